package priorityadmission

import (
	"math"
	"time"
)

// A waiter is a request that waits for its turn.
type waiter struct {
	call Request
	seq  uint64
	// latest is when the request must have started to be answered in time.
	latest time.Time
	// due is when it must have started to meet its objective, overdue is set
	// once that has passed.
	due     time.Time
	overdue bool
	// turn orders waiting requests that are alike otherwise, see turnOf.
	turn time.Time
	// hold is for how long it waits beyond its objective.
	hold time.Duration
	// index is the place in the heap.
	index int
	// ready is closed once pass or refusal is set.
	ready   chan struct{}
	pass    *Slot
	refusal *Refusal
}

func (w *waiter) refuse(r *Refusal) {
	w.refusal = r
	close(w.ready)
}

// rootSpread is the span over which the turns of nested requests are moved. It
// exceeds the time to the objective of such requests in both deployments.
const rootSpread = 300 * time.Millisecond

// turnOf returns when a request would get its turn: when it is due, and for a
// nested one earlier or later by its root. A running request mostly needs all
// calls that it makes. Where many are refused, those that are served must
// belong to few roots: all doors of a fleet prefer the same ones.
func turnOf(c Request, due time.Time) time.Time {
	if !c.Nested {
		return due
	}
	part := float64(c.RootHash) / math.MaxUint32
	return due.Add(time.Duration((part - 0.5) * float64(rootSpread)))
}

// before orders waiting requests: those that can still meet their objective,
// priority, the nearest turn, those that running requests need, arrival.
func (w *waiter) before(o *waiter) bool {
	switch {
	case w.overdue != o.overdue:
		return o.overdue
	case w.call.Priority != o.call.Priority:
		return w.call.Priority < o.call.Priority
	case !w.turn.Equal(o.turn):
		return w.turn.Before(o.turn)
	case w.call.Nested != o.call.Nested:
		return w.call.Nested
	}
	return w.seq < o.seq
}

// A queue implements heap.Interface.
type queue []*waiter

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].before(q[j]) }

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return w
}

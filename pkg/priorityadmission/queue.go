package priorityadmission

import (
	"math"
	"time"
)

// A waiter is a request that waits for a slot.
type waiter struct {
	request Request
	seq     uint64
	// usual is the duration of its class at the usual pace.
	usual duration
	// startBy is the time by which the request must start, or it is refused.
	startBy time.Time
	// lateReason is the reason of the refusal once startBy has passed.
	lateReason Reason
	// objectiveStartBy is the time by which the request must start to meet its
	// objective. overdue is set once the objective can no longer be met.
	objectiveStartBy time.Time
	overdue          bool
	// preferred is set for a request of a kind that is hardly served, see prefers.
	preferred bool
	// order is the sort key among requests of equal priority, see orderTime.
	order time.Time
	// maxWait bounds the wait of a request that has an objective, from its arrival on.
	maxWait   time.Duration
	arrivedAt time.Time
	// heapIndex is the index in the heap.
	heapIndex int
	// ready is closed once granted or refusal is set.
	ready   chan struct{}
	granted *Slot
	refusal *Refusal
}

func (w *waiter) refuse(r *Refusal) {
	w.refusal = r
	close(w.ready)
}

// nestedOrderSpan is the range over which the order times of nested requests
// are shifted. It exceeds the time that nested requests usually have until their
// objective.
const nestedOrderSpan = 300 * time.Millisecond

// orderTime returns the time by which waiting requests of equal priority are
// ordered: objectiveStartBy, shifted by a hash of the root request for a nested
// one.
//
// A root request mostly needs the answers to all of its nested requests. In an
// overload the served ones must therefore belong to a few roots, and the hash
// makes all nodes of the fleet prefer the same roots.
func orderTime(req Request, objectiveStartBy time.Time) time.Time {
	if !req.Nested {
		return objectiveStartBy
	}
	position := float64(req.RootHash) / math.MaxUint32
	return objectiveStartBy.Add(time.Duration((position - 0.5) * float64(nestedOrderSpan)))
}

// before orders waiting requests by these criteria: preferred, objective still within
// reach, priority, order time, nested before others, arrival.
func (w *waiter) before(o *waiter) bool {
	switch {
	case w.preferred != o.preferred:
		return w.preferred
	case w.overdue != o.overdue:
		return o.overdue
	case w.request.Priority != o.request.Priority:
		return w.request.Priority < o.request.Priority
	case !w.order.Equal(o.order):
		return w.order.Before(o.order)
	case w.request.Nested != o.request.Nested:
		return w.request.Nested
	}
	return w.seq < o.seq
}

// A queue is a heap of waiting requests. It implements heap.Interface.
type queue []*waiter

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].before(q[j]) }

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*q)
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

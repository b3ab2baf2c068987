package door

import "time"

// A waiter is a request that waits for its turn.
type waiter struct {
	call Call
	seq  uint64
	// latest is when the request must have started to be answered in time.
	latest time.Time
	// due is when it must have started to meet its objective, overdue is set
	// once that has passed.
	due     time.Time
	overdue bool
	// hold is for how long it waits beyond its objective.
	hold time.Duration
	// index is the place in the heap.
	index int
	// ready is closed once pass or refusal is set.
	ready   chan struct{}
	pass    *Pass
	refusal *Refusal
}

func (w *waiter) refuse(r *Refusal) {
	w.refusal = r
	close(w.ready)
}

// before orders waiting requests: those that can still meet their objective,
// priority, the nearest objective, those that running requests need, arrival.
func (w *waiter) before(o *waiter) bool {
	switch {
	case w.overdue != o.overdue:
		return o.overdue
	case w.call.Priority != o.call.Priority:
		return w.call.Priority < o.call.Priority
	case !w.due.Equal(o.due):
		return w.due.Before(o.due)
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

// Package priorityadmission is the admission control that the sidecar puts in
// front of its backend server. Requests that cannot start at once wait in the
// order of priority and, within a priority, of the time by which they must start
// to meet their objective. Requests that would get a slot too late are refused.
//
// All requests to the backend server pass through the node beside it, so one
// Controller knows how many requests run there, how many have started within
// the last second on a cold server, and which wait. A refused request has not
// run and may be sent to another server at once. The number of slots is set
// from outside.
//
// Package fairadmission does the same job for the nodes of package node: it
// shares the slots fairly among client accounts and adapts their number to the
// latency of the server. The package opens no socket.
package priorityadmission

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/pkg/pace"
)

const (
	// A request is refused as late if, when it would start, less than the mean
	// duration divided by minRunTimeDivisor is left until its deadline.
	minRunTimeDivisor = 4
	// A request with an objective waits for at most its time until the deadline
	// divided by maxWaitDivisor.
	maxWaitDivisor = 3
	// longWorkDelay is how much later, in units of its expected duration, a request
	// takes its turn among those of its priority, and overloadWorkDelay the same in an
	// overload. There a slot serves several short requests in the time of a long one.
	longWorkDelay     = 1
	overloadWorkDelay = 8
	// overdueOutcomeWeight is the weight of one outcome of an overdue request in
	// the moving average overdueServedRatio.
	overdueOutcomeWeight = 1.0 / 8
	// minOverdueServedRatio is the ratio of recent overdue requests that must
	// have been served for another one to be queued.
	minOverdueServedRatio = 0.6
	// overdueRatioExpiry is the age after which the measured ratio no longer
	// counts, so that overdue requests are queued again.
	overdueRatioExpiry = 500 * time.Millisecond
	// defaultSlots is assumed for a server whose number of slots is not known.
	defaultSlots = 4
)

// A Request describes a request to be admitted.
type Request struct {
	// Class names the kind of work, for example the route. Requests of one class
	// take about as long.
	Class string
	// Priority orders waiting requests; 0 is the most urgent.
	Priority int
	// Objective is the time by which the request should be answered; zero
	// means that any time before the deadline is as good.
	Objective time.Time
	// Deadline is the time after which the caller no longer waits.
	Deadline time.Time
	// StartBy is the time until which the request may wait. It is then refused as
	// Waited, in time for another server. Zero means as long as the deadline allows.
	StartBy time.Time
	// NoWait refuses the request if it cannot start at once.
	NoWait bool
	// TypicalDuration is how long requests take on the other servers of the
	// service; zero if unknown.
	TypicalDuration time.Duration
	// Nested is set for a request made on behalf of a request that already
	// runs elsewhere and whose priority it should have. Among otherwise equal
	// requests the nested ones go first, since refusing one wastes the work
	// done so far.
	Nested bool
	// RootHash is a hash of the ID of the root request, on whose behalf a nested
	// request is made.
	RootHash uint32
}

// A Load describes how busy the server is, in requests.
type Load struct {
	Running int
	// Permits is the number of requests that may run at once.
	Permits int
	Queued  int
	// Pace is how long requests take at present, relative to usual: 1 is as usual,
	// 2 twice as long, 0 unknown.
	Pace float64
	// PaceStated is set once the server has stated its pace, which may be unknown again.
	PaceStated bool
}

// A Controller admits requests to one backend server. Its exported fields must
// be set before the first call. It is safe for concurrent use.
type Controller struct {
	Now func() time.Time
	// AfterFunc calls f once after d; the returned function cancels the call.
	AfterFunc func(d time.Duration, f func()) (stopTimer func() bool)
	// WantConfirmation, if set, limits the starts since the server was last confirmed
	// as warm to those of a cold one, see ConfirmWarm. It is called when many of them
	// are used up. It must not block or call the Controller.
	WantConfirmation func()

	mu      sync.Mutex
	slots   int
	running int
	waiting queue
	seq     uint64
	// closedReason is why all requests are refused; empty while they are not.
	closedReason Reason
	// The server counts as cold until coldUntil. Until then coldRate limits
	// the starts per second; zero means no limit.
	coldUntil time.Time
	coldRate  float64
	// recentStarts holds the times of the starts within the last coldWindow.
	recentStarts []time.Time
	// confirmedWarm is the latest time at which the server was warm by its own word.
	confirmedWarm time.Time
	// confirmationRequested is set from a call of WantConfirmation to the next
	// ConfirmWarm.
	confirmationRequested bool
	durations             pacedDurations
	// timedFor is the pace for which the times of the waiting requests were computed,
	// and workDelay the delay of their turn in units of their expected duration.
	timedFor  float64
	workDelay time.Duration
	// runningWork is the sum of the mean durations of the running requests at the
	// usual pace, as estimated when they started.
	runningWork time.Duration
	// overdueServedRatio is the moving average of the ratio of queued overdue
	// requests that got a slot, updated at overdueServedAt.
	overdueServedRatio float64
	overdueServedAt    time.Time
	overload           overload
	// stopTimer cancels the timer of scheduleDispatch; nil if none is set.
	stopTimer func() bool
}

// New returns a Controller that accepts requests, for a server whose number of
// slots is not known.
func New() *Controller {
	return &Controller{
		Now:       time.Now,
		AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop },
		slots:     defaultSlots, durations: pacedDurations{measured: newDurations()}, timedFor: 1, workDelay: longWorkDelay, overdueServedRatio: 1,
	}
}

// SetSlots sets how many requests may run at once. Less than 1 counts as 1.
func (c *Controller) SetSlots(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slots = max(1, n)
	c.dispatch(c.Now())
}

// SetClosed refuses new and waiting requests with the reason from now on; the
// empty reason accepts them again. Running requests are not affected.
func (c *Controller) SetClosed(r Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closedReason = r
	if r == "" {
		c.dispatch(c.Now())
		return
	}
	for _, w := range c.waiting {
		w.refuse(&Refusal{Reason: r})
	}
	c.waiting = nil
}

// ClosedReason returns the reason set by SetClosed; empty while requests are
// accepted.
func (c *Controller) ClosedReason() Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedReason
}

// Load returns the current load.
func (c *Controller) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	return Load{Running: c.running, Permits: c.permits(now), Queued: len(c.waiting), Pace: c.durations.pace(now), PaceStated: c.overload.enabled}
}

// Admit admits a request and blocks until it may start, unless NoWait is set.
// The error is a *Refusal; the request has then not run.
func (c *Controller) Admit(ctx context.Context, req Request) (*Slot, error) {
	w, slot, err := c.admitOrQueue(req)
	if w == nil {
		return slot, err
	}
	c.await(ctx, w)
	<-w.ready
	if w.granted == nil {
		return nil, w.refusal
	}
	return w.granted, nil
}

// await returns once a request has left the queue.
func (c *Controller) await(ctx context.Context, w *waiter) {
	for {
		left, lateReason := c.timeToStart(w)
		if left <= 0 {
			c.cancel(w, lateReason)
			return
		}
		late := make(chan struct{})
		stop := c.AfterFunc(left, func() { close(late) })
		select {
		case <-w.ready:
			stop()
			return
		case <-ctx.Done():
			stop()
			c.cancel(w, Canceled)
			return
		case <-late:
		}
	}
}

// timeToStart returns the time until a waiting request must start, and the reason of
// its refusal if it does not.
func (c *Controller) timeToStart(w *waiter) (left time.Duration, lateReason Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return w.startBy.Sub(c.Now()), w.lateReason
}

// admitOrQueue admits, refuses or queues a request.
func (c *Controller) admitOrQueue(req Request) (*waiter, *Slot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	w, refusal := c.decide(req, now)
	switch {
	case refusal != nil:
		return nil, nil, refusal
	case w == nil:
		return nil, c.start(&req, now), nil
	}
	if w.preferred {
		c.chargePreferred(w, now)
	}
	heap.Push(&c.waiting, w)
	c.shed(now)
	c.scheduleDispatch(now)
	return w, nil, nil
}

// decide returns the queue entry of a request that has to wait, or why it is refused; both
// are nil if it may start. A refusal is counted.
func (c *Controller) decide(req Request, now time.Time) (*waiter, *Refusal) {
	if c.closedReason != "" {
		return nil, &Refusal{Reason: c.closedReason}
	}
	if len(c.waiting) == 0 && c.canStart(now) {
		if req.NoWait && c.exceedsObjective(req, now) {
			return nil, &Refusal{Reason: Slow, RetryAfter: max(0, c.durations.mean(now)-req.TypicalDuration)}
		}
		return nil, nil
	}
	c.seq++
	if c.retime(now) {
		heap.Init(&c.waiting)
	}
	w := c.newWaiter(req, now)
	w.preferred = !req.NoWait && c.prefers(w, now)
	wait := c.estimateWait(w, now)
	if req.NoWait {
		return nil, &Refusal{Reason: Full, RetryAfter: wait}
	}
	if now.Add(wait).After(w.objectiveStartBy) && !c.awaitsNextSlot(w, now) {
		// The request waits behind all that can meet their objective.
		w.overdue = true
	}
	wait = c.waitInOverload(w, wait, now)
	if now.Add(wait).After(w.startBy) || (w.overdue && !c.servesOverdue(now)) {
		if w.hasTimeToRun(now) {
			c.overload.recordRefused(req.kind(), now)
		}
		return nil, &Refusal{Reason: Overloaded, RetryAfter: c.returnDelay(w, wait, now)}
	}
	return w, nil
}

// cancel removes a request from the queue unless it has already left it.
func (c *Controller) cancel(w *waiter, r Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.granted != nil || w.refusal != nil {
		return
	}
	heap.Remove(&c.waiting, w.heapIndex)
	now := c.Now()
	if r == w.lateReason {
		c.refuseLate(w, now)
		return
	}
	c.recordOverdue(w, false, now)
	w.refuse(&Refusal{Reason: r})
}

// markOverdue moves requests that can no longer meet their objective behind all
// others.
func (c *Controller) markOverdue(now time.Time) {
	changed := c.retime(now)
	for _, w := range c.waiting {
		if !w.overdue && w.objectiveStartBy.Before(now) {
			w.overdue, changed = true, true
		}
	}
	if changed {
		heap.Init(&c.waiting)
	}
}

// dispatch starts waiting requests while slots are free. Requests without
// enough time left to run are refused.
func (c *Controller) dispatch(now time.Time) {
	if len(c.waiting) > 0 {
		c.markOverdue(now)
	}
	for len(c.waiting) > 0 && c.canStart(now) {
		w := heap.Pop(&c.waiting).(*waiter)
		if !now.Before(w.startBy) {
			c.refuseLate(w, now)
			continue
		}
		c.recordLeft(w, true, now)
		w.granted = c.start(&w.request, now)
		close(w.ready)
	}
	c.shed(now)
	c.scheduleDispatch(now)
}

// permits returns the number of requests that may run at once. For a cold
// server it is the number that its start rate sustains.
func (c *Controller) permits(now time.Time) int {
	if !c.isCold(now) {
		return c.slots
	}
	return min(c.slots, max(1, int(c.coldRate*c.durations.mean(now).Seconds())))
}

// canStart reports whether a request may start now.
func (c *Controller) canStart(now time.Time) bool {
	return c.running < c.slots && !now.Before(c.nextStart(now))
}

// start takes a slot.
func (c *Controller) start(req *Request, now time.Time) *Slot {
	expected := scale(c.durations.of(req.Class, now).mean, 1/c.durations.factor(now))
	c.running++
	c.runningWork += expected
	c.recordStart(now)
	return &Slot{
		controller: c, class: req.Class, kind: c.overload.recordStart(req.kind(), now), expected: expected,
		startedAt: now, mark: c.durations.mark(now),
	}
}

// A Slot is the right to run one request. Release must be called once; further
// calls have no effect.
type Slot struct {
	controller *Controller
	class      string
	kind       *kindState
	// expected is the mean duration of the class at the usual pace.
	expected  time.Duration
	startedAt time.Time
	mark      pace.Mark
	released  bool
}

// Release frees the slot. completed means that the server ran the request to
// its end, so that its duration is a valid measurement.
func (s *Slot) Release(completed bool) {
	c := s.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	c.running--
	c.runningWork -= s.expected
	now := c.Now()
	s.kind.running--
	s.kind.busyAt = now
	if completed {
		c.durations.record(s, now)
	}
	c.dispatch(now)
}

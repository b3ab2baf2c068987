// Package priorityadmission admits requests to the one backend server beside a node.
//
// The node is the only way to that server. So its door alone knows how many
// requests run there, how many a cold server has got within the last second,
// and who waits; a request that it refuses has certainly not run, and another
// server can be asked at once. The package opens no socket.
package priorityadmission

import (
	"container/heap"
	"context"
	"math"
	"sync"
	"time"
)

const (
	// coldWindow is the time over which a cold server's requests are counted.
	coldWindow = time.Second
	// coldParts is the number of parts of that time of which each gets its share
	// of the requests. All at its start would leave the urgent ones that come
	// later to wait for the next second.
	coldParts = 4
	// firstEstimate is the assumed time a request runs before any was seen.
	firstEstimate = 100 * time.Millisecond
	// estimateWeight is the weight of a new duration in the moving average.
	estimateWeight = 1.0 / 16
	// lateShare is the part of the usual running time, its inverse, that a
	// request must have left when it starts.
	lateShare = 4
	// holdShare is the part of a request's time, its inverse, for which it
	// waits beyond its objective.
	holdShare = 3
	// luckWeight is the weight of one request that waited beyond its objective
	// in the share of those that are served.
	luckWeight = 1.0 / 8
	// leastLuck is the share of such requests that must be served lately for
	// another one to be let wait, and luckReturns the time after which it is
	// tried again.
	leastLuck   = 0.6
	luckReturns = 500 * time.Millisecond
	// unknownSlots is assumed of a server that has not published its slots.
	unknownSlots = 4
)

// A Call is what the door needs to know of a request.
type Request struct {
	// Priority ranks waiting requests, 0 first.
	Priority int
	// Objective is the time until which the answer is worth most; zero means
	// that it is worth as much until the deadline.
	Objective time.Time
	// Deadline is the time after which no one waits for the answer.
	Deadline time.Time
	// NoWait refuses the request if it cannot run at once.
	NoWait bool
	// Usual is how long requests take at the other servers of the service, zero
	// if that is not known.
	TypicalDuration time.Duration
	// Nested requests belong to a request that already runs elsewhere, whose
	// priority they should have. Where all else is equal they go first:
	// refusing one wastes what has run.
	Nested bool
	// Root is a hash of the ID of the request for which a nested one was made.
	RootHash uint32
}

// A Load describes how busy the server is.
type Load struct {
	Running int
	// Permits is the number of requests that may run at once.
	Permits int
	Queued  int
}

// A Door admits requests to one backend server. Its exported fields are set
// before the first call. It is safe for concurrent use.
type Controller struct {
	Now func() time.Time
	// After calls f once after d; the returned function stops it.
	AfterFunc func(d time.Duration, f func()) (stop func() bool)

	mu      sync.Mutex
	slots   int
	running int
	waiting queue
	seq     uint64
	// closed is why nothing new is taken, empty while the door is open.
	closed Reason
	// coldUntil is until when starts are counted, coldRate their limit;
	// zero means no limit.
	coldUntil time.Time
	coldRate  float64
	// starts holds the times of the starts of the last coldWindow.
	starts []time.Time
	// mean is the moving average of the time a request runs, spread that of
	// the distance from it.
	mean   time.Duration
	spread time.Duration
	// luck is the share of requests beyond their objective that are served in
	// the end, as last measured at luckAt.
	luck   float64
	luckAt time.Time
	stop   func() bool
}

// New returns an open door to a server with unknown slots.
func New() *Controller {
	return &Controller{
		Now:       time.Now,
		AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop },
		slots:     unknownSlots, mean: firstEstimate, luck: 1,
	}
}

// SetSlots sets how many requests run at once.
func (d *Controller) SetSlots(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slots = max(1, n)
	d.dispatch(d.Now())
}

// SetCold limits the requests per second until the given time. A limit of
// zero or a time that has passed means that the server is warm.
func (d *Controller) SetColdLimit(until time.Time, perSecond float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.coldUntil, d.coldRate = until, perSecond
	d.dispatch(d.Now())
}

// Cold reports whether the server is taken for cold.
func (d *Controller) Cold() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isCold(d.Now())
}

// ColdUntil returns until when the server is taken for cold.
func (d *Controller) ColdUntil() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.coldUntil
}

// Close refuses new and waiting requests for the reason; the empty reason
// opens the door. Requests that run are finished.
func (d *Controller) SetClosed(r Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = r
	if r == "" {
		d.dispatch(d.Now())
		return
	}
	for _, w := range d.waiting {
		w.refuse(&Refusal{Reason: r})
	}
	d.waiting = nil
}

// Closed returns why nothing new is taken, empty while the door is open.
func (d *Controller) ClosedReason() Reason {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed
}

// Load returns the present load.
func (d *Controller) Load() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Load{Running: d.running, Permits: d.permits(d.Now()), Queued: len(d.waiting)}
}

// Enter admits a request, waiting for its turn if it may. The error is a
// *Refusal, and the request then has not run.
func (d *Controller) Admit(ctx context.Context, c Request) (*Slot, error) {
	w, p, err := d.offer(c)
	if w == nil {
		return p, err
	}
	late := make(chan struct{})
	defer d.AfterFunc(w.latest.Sub(d.Now()), func() { close(late) })()
	select {
	case <-w.ready:
	case <-late:
		d.cancel(w, Late)
	case <-ctx.Done():
		d.cancel(w, Canceled)
	}
	<-w.ready
	if w.pass == nil {
		return nil, w.refusal
	}
	return w.pass, nil
}

// offer admits, refuses or queues a request.
func (d *Controller) offer(c Request) (*waiter, *Slot, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	if d.closed != "" {
		return nil, nil, &Refusal{Reason: d.closed}
	}
	if len(d.waiting) == 0 && d.free(now) {
		if c.NoWait && d.tooSlow(c, now) {
			return nil, nil, &Refusal{Reason: Slow, RetryAfter: max(0, d.mean-c.TypicalDuration)}
		}
		return nil, d.start(now), nil
	}
	d.seq++
	w := d.waiter(c, now)
	wait := d.estimate(w, now)
	if c.NoWait {
		return nil, nil, &Refusal{Reason: Full, RetryAfter: wait}
	}
	if start := now.Add(wait); start.After(w.due) {
		// Behind all that can meet their objective.
		w.overdue = true
		if start.After(w.latest) || !d.lucky(now) {
			return nil, nil, &Refusal{Reason: Overloaded, RetryAfter: max(wait, w.hold)}
		}
	}
	heap.Push(&d.waiting, w)
	d.arm(now)
	return w, nil, nil
}

// waiter returns a place in the queue. A request that cannot be answered
// within its objective waits behind those that can, and not for long: in an
// overload it would only be held and then refused.
func (d *Controller) waiter(c Request, now time.Time) *waiter {
	w := &waiter{call: c, seq: d.seq, ready: make(chan struct{})}
	w.latest = c.Deadline.Add(-d.mean / lateShare)
	w.hold = c.Deadline.Sub(now) / holdShare
	w.due = w.latest
	if !c.Objective.IsZero() {
		if hold := now.Add(w.hold); hold.Before(w.latest) {
			w.latest = hold
		}
		w.due = c.Objective.Add(-d.mean - d.spread)
		if w.due.After(w.latest) {
			w.due = w.latest
		}
	}
	w.turn = turnOf(c, w.due)
	return w
}

// tooSlow reports whether the server has lately taken longer than the request
// has until its objective. One request at a time finds out whether it still
// does.
func (d *Controller) tooSlow(c Request, now time.Time) bool {
	return d.running > 0 && c.Objective.After(now) && now.Add(d.mean).After(c.Objective)
}

// lucky reports whether requests beyond their objective are served lately.
func (d *Controller) lucky(now time.Time) bool {
	return d.luck >= leastLuck || now.Sub(d.luckAt) > luckReturns
}

// tell records whether a request beyond its objective was served.
func (d *Controller) tell(w *waiter, served bool, now time.Time) {
	if !w.overdue {
		return
	}
	x := 0.0
	if served {
		x = 1
	}
	if now.Sub(d.luckAt) > luckReturns {
		d.luck = max(d.luck, leastLuck)
	}
	d.luck += luckWeight * (x - d.luck)
	d.luckAt = now
}

// estimate returns how long a new request would wait.
func (d *Controller) estimate(w *waiter, now time.Time) time.Duration {
	ahead := 1
	for _, o := range d.waiting {
		if o.before(w) {
			ahead++
		}
	}
	wait := time.Duration(float64(ahead) * float64(d.mean) / float64(d.slots))
	if d.isCold(now) {
		wait = max(wait, time.Duration(float64(ahead)/d.coldRate*float64(time.Second)))
	}
	return wait
}

// cancel takes a request out of the queue unless it has left it already.
func (d *Controller) cancel(w *waiter, r Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.pass != nil || w.refusal != nil {
		return
	}
	heap.Remove(&d.waiting, w.index)
	d.tell(w, false, d.Now())
	w.refuse(&Refusal{Reason: r})
}

// demote puts requests behind all others whose objective can no longer be met.
func (d *Controller) demote(now time.Time) {
	changed := false
	for _, w := range d.waiting {
		if !w.overdue && w.due.Before(now) {
			w.overdue, changed = true, true
		}
	}
	if changed {
		heap.Init(&d.waiting)
	}
}

// dispatch starts waiting requests while the server has room. Those that no
// longer have the time to run are refused.
func (d *Controller) dispatch(now time.Time) {
	if len(d.waiting) > 0 {
		d.demote(now)
	}
	for len(d.waiting) > 0 && d.free(now) {
		w := heap.Pop(&d.waiting).(*waiter)
		if !now.Before(w.latest) {
			d.tell(w, false, now)
			w.refuse(&Refusal{Reason: Late})
			continue
		}
		d.tell(w, true, now)
		w.pass = d.start(now)
		close(w.ready)
	}
	d.arm(now)
}

// arm sets the timer that dispatches when a cold server may get more, or when
// it becomes warm.
func (d *Controller) arm(now time.Time) {
	if d.stop != nil {
		d.stop()
		d.stop = nil
	}
	if len(d.waiting) == 0 || !d.isCold(now) || d.running >= d.slots {
		return
	}
	at := d.coldUntil
	if t := d.nextCold(); t.Before(at) {
		at = t
	}
	d.stop = d.AfterFunc(max(time.Millisecond, at.Sub(now)), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.stop = nil
		d.dispatch(d.Now())
	})
}

func (d *Controller) isCold(now time.Time) bool {
	return d.coldRate > 0 && now.Before(d.coldUntil)
}

func (d *Controller) coldLimit() int { return max(1, int(math.Floor(d.coldRate))) }

// nextCold returns the earliest time at which a cold server may get one more
// request.
func (d *Controller) nextCold() time.Time {
	most := d.coldLimit()
	next := d.startBefore(most).Add(coldWindow)
	part := (most + coldParts - 1) / coldParts
	if t := d.startBefore(part).Add(coldWindow / coldParts); t.After(next) {
		next = t
	}
	return next
}

// startBefore returns the time of the n-th last start, zero if there were fewer
// in the last coldWindow.
func (d *Controller) startBefore(n int) time.Time {
	if len(d.starts) < n {
		return time.Time{}
	}
	return d.starts[len(d.starts)-n]
}

// permits is the number of requests that may run at once. A cold server's is
// the number that its rate sustains.
func (d *Controller) permits(now time.Time) int {
	if !d.isCold(now) {
		return d.slots
	}
	return min(d.slots, max(1, int(d.coldRate*d.mean.Seconds())))
}

// free reports whether a request may start now.
func (d *Controller) free(now time.Time) bool {
	if d.running >= d.slots {
		return false
	}
	if d.coldRate <= 0 {
		return true
	}
	d.forget(now)
	return !d.isCold(now) || !now.Before(d.nextCold())
}

// forget drops the starts that are older than the window.
func (d *Controller) forget(now time.Time) {
	i := 0
	for i < len(d.starts) && now.Sub(d.starts[i]) >= coldWindow {
		i++
	}
	d.starts = d.starts[i:]
}

// start takes a slot. Starts are counted while the server is warm as well,
// since it may turn out to be cold.
func (d *Controller) start(now time.Time) *Slot {
	d.running++
	if d.coldRate > 0 {
		d.starts = append(d.starts, now)
	}
	return &Slot{door: d, begun: now}
}

// A Pass is the right to run one request. Done must be called once; further
// calls have no effect.
type Slot struct {
	door  *Controller
	begun time.Time
	done  bool
}

// Done gives the slot back. ran states that the server ran the request to its
// end, so that its duration tells how long requests take.
func (p *Slot) Release(completed bool) {
	d := p.door
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.done {
		return
	}
	p.done = true
	d.running--
	now := d.Now()
	if completed {
		off := now.Sub(p.begun) - d.mean
		d.mean += time.Duration(estimateWeight * float64(off))
		d.spread += time.Duration(estimateWeight * float64(max(off, -off)-d.spread))
	}
	d.dispatch(now)
}

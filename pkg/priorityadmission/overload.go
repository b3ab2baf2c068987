package priorityadmission

import (
	"container/heap"
	"slices"
	"time"
)

const (
	// overloadExpiry is how long after a refusal the server still counts as overloaded.
	overloadExpiry = 500 * time.Millisecond
	// gapWeight is the weight of a new time between starts in its moving average.
	gapWeight = 1.0 / 8
	// gapExpiry is the age after which the time between starts no longer counts.
	gapExpiry = time.Second
	// A kind is starving after maxRefusals refusals without a start, or after one if none
	// has run for maxStartGap.
	maxRefusals = 7
	maxStartGap = 500 * time.Millisecond
	// maxKinds is the number of kinds that are kept. A class has several if the requests
	// that it is nested in have different priorities.
	maxKinds = 4 * maxClasses
	// preferredShare is the share of the slots that requests of starving kinds may take
	// before all others.
	preferredShare = 1.0 / 8
	// shedInterval is the least time between two looks for requests that would get a
	// slot too late. Each look sorts the queue.
	shedInterval = 20 * time.Millisecond
	// returnShare is the share of refused requests that come back to this server. The
	// node that sent one asks two servers for a place in their queue.
	returnShare = 0.5
	// maxReturnDelay bounds the time for which a refused request is sent away.
	maxReturnDelay = 2 * time.Second
)

// A kind identifies requests among which none should be served at the expense of all
// others.
type kind struct {
	class    string
	priority int
	nested   bool
}

// A kindState holds what became of the recent requests of a kind.
type kindState struct {
	// running is the number of running requests. busyAt is the time of the last start or
	// end, refusals the number of refusals since the last start.
	running  int
	busyAt   time.Time
	refusals int
	// preferredAt is the time at which a request of the kind was last preferred.
	preferredAt time.Time
	// gap is the moving average of the time between starts while others of the kind
	// wait, last updated at gapAt; 0 if it is not known.
	gap   time.Duration
	gapAt time.Time
	// waitingSince is the time since which others of the kind wait and none started.
	waitingSince time.Time
}

// An overload keeps what a controller needs to know in an overload.
type overload struct {
	// enabled is set by EnableOverloadControl. While it is not, requests are admitted by
	// their estimated waits alone.
	enabled  bool
	counters OverloadCounters
	kinds    map[kind]*kindState
	// preferredWork is the slot time that preferred requests may take, up to date at
	// preferredAt. It is negative if they took more.
	preferredWork time.Duration
	preferredAt   time.Time
	// refusedAt is the time of the last refusal for lack of time.
	refusedAt time.Time
	// shedAt is the time of the last look for requests that are too late.
	shedAt time.Time
	// returnsUntil is the time at which the last of the refused requests returns.
	returnsUntil time.Time
}

// OverloadCounters counts decisions of a Controller in overloads.
type OverloadCounters struct {
	// Preferred counts the requests that went first because their kind was starving.
	Preferred int64
	// Shed counts the waiting requests that were refused because a slot was expected too
	// late for them.
	Shed int64
}

// EnableOverloadControl makes the controller refuse waiting requests once a slot is
// expected too late for them, serve some requests of each kind, put short requests first
// and spread the returns of refused requests.
func (c *Controller) EnableOverloadControl() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overload.enabled = true
}

// OverloadCounters returns the counters.
func (c *Controller) OverloadCounters() OverloadCounters {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overload.counters
}

func (r *Request) kind() kind { return kind{r.Class, r.Priority, r.Nested} }

// state returns the state of a kind.
func (o *overload) state(k kind, now time.Time) *kindState {
	s := o.kinds[k]
	if s == nil {
		if o.kinds == nil {
			o.kinds = map[kind]*kindState{}
		}
		if len(o.kinds) >= maxKinds {
			o.dropIdle()
		}
		s = &kindState{busyAt: now}
		o.kinds[k] = s
	}
	if now.Sub(s.gapAt) > gapExpiry {
		s.gap = 0
	}
	return s
}

// dropIdle drops the kind that was busy longest ago among those that do not run.
func (o *overload) dropIdle() {
	var oldest kind
	var at time.Time
	for k, s := range o.kinds {
		if s.running == 0 && (at.IsZero() || s.busyAt.Before(at)) {
			oldest, at = k, s.busyAt
		}
	}
	delete(o.kinds, oldest)
}

// active reports whether requests were refused of late for lack of time.
func (o *overload) active(now time.Time) bool {
	return o.enabled && now.Sub(o.refusedAt) < overloadExpiry
}

// recordRefused records that a request of a kind was refused for lack of time.
func (o *overload) recordRefused(k kind, now time.Time) {
	o.state(k, now).refusals++
	o.refusedAt = now
}

// recordStart records that a request of a kind has started, and returns its state.
func (o *overload) recordStart(k kind, now time.Time) *kindState {
	s := o.state(k, now)
	s.running++
	s.busyAt, s.refusals = now, 0
	return s
}

// recordLeft records that a request left the queue.
func (c *Controller) recordLeft(w *waiter, served bool, now time.Time) {
	c.recordOverdue(w, served, now)
	s := c.overload.state(w.request.kind(), now)
	if !served {
		c.overload.recordRefused(w.request.kind(), now)
		return
	}
	if w.preferred {
		return
	}
	gap := now.Sub(s.waitingSince)
	s.waitingSince = now
	if gap > gapExpiry {
		// The process was paused, or the start of the wait is not known.
		return
	}
	if s.gap == 0 {
		s.gap = gap
	}
	s.gap += scale(gap-s.gap, gapWeight)
	s.gapAt = now
}

// awaitsNextSlot reports whether a new request is the most urgent one and gets the next
// slot. It may wait for it even if it is expected too late for the objective: the slot may
// become free earlier, and no request of its priority waits longer for it.
func (c *Controller) awaitsNextSlot(w *waiter, now time.Time) bool {
	if !c.overload.enabled || c.isCold(now) || !w.objectiveStartBy.After(now) {
		return false
	}
	return len(c.waiting) == 0 || (w.before(c.waiting[0]) && w.request.Priority < c.waiting[0].request.Priority)
}

// waitInOverload returns the expected wait of a new request, given the estimate from the
// requests that were before it when it was not overdue yet.
func (c *Controller) waitInOverload(w *waiter, wait time.Duration, now time.Time) time.Duration {
	if !c.overload.enabled {
		return wait
	}
	if w.overdue {
		wait = c.estimateWait(w, now)
	}
	return max(wait, c.waitAmongKind(w, now))
}

// waitAmongKind returns how long a new request waits for the requests of its kind that
// wait already, at the rate at which these started of late. Requests that arrive later may
// go before them, so that this exceeds the time that their work takes. It is 0 for nested
// requests, which are not served in the order of their arrival.
func (c *Controller) waitAmongKind(w *waiter, now time.Time) time.Duration {
	if w.request.Nested || w.preferred {
		return 0
	}
	waiting, k := 0, w.request.kind()
	for _, o := range c.waiting {
		if !o.preferred && o.request.kind() == k {
			waiting++
		}
	}
	s := c.overload.state(k, now)
	if waiting == 0 {
		s.waitingSince = now
		return 0
	}
	gap := s.gap
	if gap == 0 {
		gap = min(now.Sub(s.waitingSince), gapExpiry) / 2
	}
	return time.Duration(waiting) * gap
}

// starving reports whether none of the recent requests of a kind were served.
func (s *kindState) starving(now time.Time) bool {
	return s.refusals >= maxRefusals || (s.refusals > 0 && s.running == 0 && now.Sub(s.busyAt) > maxStartGap)
}

// prefers reports whether a new request goes before those of other kinds because its own
// is starving. A kind that had no such request for some time may exceed the share that all
// have together: without that, one with many requests would use it up.
func (c *Controller) prefers(w *waiter, now time.Time) bool {
	o := &c.overload
	s := o.state(w.request.kind(), now)
	if !o.enabled || !s.starving(now) {
		return false
	}
	perSecond := scale(time.Second, preferredShare*float64(c.slots))
	gained := scale(perSecond, min(now.Sub(o.preferredAt), time.Second).Seconds())
	o.preferredWork, o.preferredAt = min(o.preferredWork+gained, perSecond), now
	least := time.Duration(0)
	if now.Sub(s.preferredAt) > time.Second {
		least = -perSecond
	}
	return o.preferredWork > least
}

// chargePreferred records that a preferred request waits. A request that is refused all
// the same costs nothing.
func (c *Controller) chargePreferred(w *waiter, now time.Time) {
	s := c.overload.state(w.request.kind(), now)
	c.overload.preferredWork -= w.expected(c.durations.factor(now))
	s.preferredAt, s.busyAt, s.refusals = now, now, 0
	c.overload.counters.Preferred++
}

// hasTimeToRun reports whether a request could meet its deadline if it started now. Those
// that could not do not count as refused for lack of room.
func (w *waiter) hasTimeToRun(now time.Time) bool { return w.startBy.After(now) }

// shed refuses waiting requests that would get a slot too late, given those before them.
func (c *Controller) shed(now time.Time) {
	if !c.overload.enabled || len(c.waiting) == 0 || now.Sub(c.overload.shedAt) < shedInterval {
		return
	}
	c.overload.shedAt = now
	c.markOverdue(now)
	ordered := slices.Clone(c.waiting)
	slices.SortFunc(ordered, func(a, b *waiter) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	factor := c.durations.factor(now)
	kept, work := ordered[:0], c.meanRunning(now)
	for _, w := range ordered {
		wait := c.waitBehind(len(kept), work, now)
		if !now.Before(w.startBy) {
			c.refuseLate(w, now)
			continue
		}
		if now.Add(wait).After(w.startBy) {
			c.overload.counters.Shed++
			c.recordLeft(w, false, now)
			w.refuse(&Refusal{Reason: Overloaded, RetryAfter: c.returnDelay(w, wait, now)})
			continue
		}
		kept = append(kept, w)
		work += w.expected(factor)
	}
	clear(ordered[len(kept):])
	c.waiting = queue(kept)
	for i, w := range c.waiting {
		w.heapIndex = i
	}
	heap.Init(&c.waiting)
}

// refuseLate refuses a request that has left the queue because its time has passed.
func (c *Controller) refuseLate(w *waiter, now time.Time) {
	c.recordLeft(w, false, now)
	refusal := &Refusal{Reason: w.lateReason}
	if c.overload.enabled && w.lateReason == Late {
		refusal.RetryAfter = c.returnDelay(w, 0, now)
	}
	w.refuse(refusal)
}

// returnDelay returns the time after which a refused request should return. Requests that
// are refused one after the other are sent away for increasing times, so that they return
// at the rate at which the server can serve them.
func (c *Controller) returnDelay(w *waiter, wait time.Duration, now time.Time) time.Duration {
	o := &c.overload
	if !o.enabled {
		return max(wait, w.maxWait)
	}
	last := max(o.returnsUntil.Sub(now), wait, w.maxWait)
	delay := min(last+scale(w.expected(c.durations.factor(now)), returnShare/float64(c.slots)), maxReturnDelay)
	o.returnsUntil = now.Add(delay)
	return delay
}

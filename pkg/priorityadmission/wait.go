package priorityadmission

import "time"

// nestedReturnTime is how long before its deadline a nested request that still waits
// is returned, so that the refusal reaches the sender before the sender gives up and
// has to report an unknown outcome. It covers some round trips between zones, 3 ms
// each, and the delays of two busy hosts.
const nestedReturnTime = 20 * time.Millisecond

// reserve returns how long before its deadline a request must start. The request
// that made a nested one waits until the deadline and no longer, so a nested one must
// have the time that it needs on average. The class may be new or its mean that of a
// slower time, so half of the time left may always be spent waiting.
func reserve(req *Request, expected duration, arrivedAt time.Time) time.Duration {
	if !req.Nested {
		return expected.mean / minRunTimeDivisor
	}
	return min(expected.mean+nestedReturnTime, req.Deadline.Sub(arrivedAt)/2)
}

// newWaiter returns the queue entry of a request. A request with an objective
// waits only for a limited time: in an overload, one that cannot be answered
// within its objective is behind those that can, and would mostly wait for long
// and then be refused. A nested request is not refused for its objective: without
// it the request that made it fails, although it has run for some time.
func (c *Controller) newWaiter(req Request, now time.Time) *waiter {
	expected := c.durations.of(req.Class, now)
	w := &waiter{request: req, seq: c.seq, usual: expected.scaled(1 / c.durations.factor(now)), arrivedAt: now, ready: make(chan struct{})}
	w.maxWait = req.Deadline.Sub(now) / maxWaitDivisor
	w.setTimes(expected, c.workDelay)
	return w
}

// setTimes sets the times of a waiting request, given its expected duration and the delay
// of its turn in units of it.
func (w *waiter) setTimes(expected duration, workDelay time.Duration) {
	req := &w.request
	w.startBy, w.lateReason = req.Deadline.Add(-reserve(req, expected, w.arrivedAt)), Late
	dueStart := w.startBy
	if !req.Objective.IsZero() {
		dueStart = earlier(dueStart, w.arrivedAt.Add(w.maxWait))
		if !req.Nested {
			w.startBy = dueStart
		}
		dueStart = earlier(dueStart, req.Objective.Add(-expected.mean-expected.deviation))
	}
	w.objectiveStartBy = dueStart
	if !req.StartBy.IsZero() && req.StartBy.Before(w.startBy) {
		w.startBy, w.lateReason = req.StartBy, Waited
		w.objectiveStartBy = earlier(w.objectiveStartBy, w.startBy)
	}
	if req.Nested {
		w.objectiveStartBy, workDelay = w.startBy, longWorkDelay
	}
	w.order = orderTime(*req, dueStart.Add(workDelay*expected.mean))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// exceedsObjective reports whether the mean duration exceeds the time left
// until the objective of the request. It is false once the objective has passed,
// and on an idle server, so that one request at a time can measure whether the
// server is still slow.
func (c *Controller) exceedsObjective(req Request, now time.Time) bool {
	return c.running > 0 && req.Objective.After(now) && now.Add(c.durations.of(req.Class, now).mean).After(req.Objective)
}

// servesOverdue reports whether enough of the recent overdue requests got a
// slot for another one to be queued.
func (c *Controller) servesOverdue(now time.Time) bool {
	return c.overdueServedRatio >= minOverdueServedRatio || now.Sub(c.overdueServedAt) > overdueRatioExpiry
}

// recordOverdue records whether an overdue request got a slot.
func (c *Controller) recordOverdue(w *waiter, served bool, now time.Time) {
	if !w.overdue {
		return
	}
	outcome := 0.0
	if served {
		outcome = 1
	}
	if now.Sub(c.overdueServedAt) > overdueRatioExpiry {
		c.overdueServedRatio = max(c.overdueServedRatio, minOverdueServedRatio)
	}
	c.overdueServedRatio += overdueOutcomeWeight * (outcome - c.overdueServedRatio)
	c.overdueServedAt = now
}

// estimateWait returns how long a new request would wait for a slot, given the requests
// that wait now.
func (c *Controller) estimateWait(w *waiter, now time.Time) time.Duration {
	factor := c.durations.factor(now)
	ahead, work := 0, c.meanRunning(now)
	for _, o := range c.waiting {
		if o.before(w) {
			ahead++
			work += o.expected(factor)
		}
	}
	return c.waitBehind(ahead, work, now)
}

// waitBehind returns how long a request waits for a slot behind others, given their number
// and the expected duration of these and one running request.
func (c *Controller) waitBehind(ahead int, work time.Duration, now time.Time) time.Duration {
	wait := work / time.Duration(c.slots)
	if c.isCold(now) {
		wait = max(wait, time.Duration(float64(ahead+1)/c.coldRate*float64(time.Second)))
	}
	return wait
}

// meanRunning returns the mean duration of the running requests at the present pace.
func (c *Controller) meanRunning(now time.Time) time.Duration {
	if c.running == 0 {
		return c.durations.mean(now)
	}
	return scale(c.runningWork/time.Duration(c.running), c.durations.factor(now))
}

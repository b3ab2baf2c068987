package priorityadmission

import (
	"math"
	"time"
)

const (
	// coldWindow is the window in which the starts on a cold server are limited.
	coldWindow = time.Second
	// coldWindowParts is the number of parts of coldWindow. The starts of a
	// window are spread evenly over its parts; if all were allowed at its
	// beginning, urgent requests that arrive later would wait for the next
	// window.
	coldWindowParts = 4
	// confirmationShare is the share of the starts allowed since the last
	// confirmation after which the next one is wanted.
	confirmationShare = 2.0 / 3
)

// SetColdLimit limits the starts per second until the given time, while the
// server is cold. A limit of zero or a time in the past means that the server
// is warm.
func (c *Controller) SetColdLimit(until time.Time, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldUntil, c.coldRate = until, perSecond
	c.dispatch(c.Now())
}

// Cold reports whether the server counts as cold.
func (c *Controller) Cold() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isCold(c.Now())
}

// ColdUntil returns the time until which the server counts as cold.
func (c *Controller) ColdUntil() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.coldUntil
}

// ConfirmWarm states that the server was warm at the given time. Without another sign
// it may have become cold since, so that the starts after that time count as starts on
// a cold server.
func (c *Controller) ConfirmWarm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmedWarm) {
		c.confirmedWarm = at
	}
	c.confirmationRequested = false
	now := c.Now()
	c.requestConfirmation(now)
	c.dispatch(now)
}

// WantsConfirmation reports whether many of the starts that are allowed since the last
// confirmation of a warm server are used up.
func (c *Controller) WantsConfirmation() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wantsConfirmation(c.Now())
}

func (c *Controller) wantsConfirmation(now time.Time) bool {
	if c.WantConfirmation == nil || c.coldRate <= 0 || c.isCold(now) {
		return false
	}
	c.dropOldStarts(now)
	n := max(1, int(confirmationShare*float64(c.coldStartsPerWindow())))
	return c.nthLastStart(n).After(c.confirmedWarm)
}

// requestConfirmation calls WantConfirmation if necessary, once for each confirmation.
func (c *Controller) requestConfirmation(now time.Time) {
	if !c.confirmationRequested && c.wantsConfirmation(now) {
		c.confirmationRequested = true
		c.WantConfirmation()
	}
}

func (c *Controller) isCold(now time.Time) bool {
	return c.coldRate > 0 && now.Before(c.coldUntil)
}

func (c *Controller) coldStartsPerWindow() int { return max(1, int(math.Floor(c.coldRate))) }

// nextStart returns the earliest time at which the cold limit allows one more start. It
// is not after now if it allows one at once.
func (c *Controller) nextStart(now time.Time) time.Time {
	switch {
	case c.coldRate <= 0:
		return time.Time{}
	case c.isCold(now):
		c.dropOldStarts(now)
		return c.nextColdStart()
	case c.WantConfirmation == nil:
		return time.Time{}
	}
	c.dropOldStarts(now)
	if t := c.nthLastStart(c.coldStartsPerWindow()); t.After(c.confirmedWarm) {
		return t.Add(coldWindow)
	}
	return time.Time{}
}

// scheduleDispatch sets the timer that dispatches when the cold limit allows the next
// start, or when a cold server becomes warm.
func (c *Controller) scheduleDispatch(now time.Time) {
	if c.stopTimer != nil {
		c.stopTimer()
		c.stopTimer = nil
	}
	if len(c.waiting) == 0 || c.running >= c.slots {
		return
	}
	at := c.nextStart(now)
	if at.IsZero() {
		return
	}
	if c.isCold(now) {
		at = earlier(at, c.coldUntil)
	}
	c.stopTimer = c.AfterFunc(max(time.Millisecond, at.Sub(now)), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.stopTimer = nil
		c.dispatch(c.Now())
	})
}

// nextColdStart returns the earliest time at which a cold server may start one
// more request.
func (c *Controller) nextColdStart() time.Time {
	windowLimit := c.coldStartsPerWindow()
	next := c.nthLastStart(windowLimit).Add(coldWindow)
	partLimit := (windowLimit + coldWindowParts - 1) / coldWindowParts
	if t := c.nthLastStart(partLimit).Add(coldWindow / coldWindowParts); t.After(next) {
		next = t
	}
	return next
}

// nthLastStart returns the time of the n-th last start; zero if there were
// fewer within the last coldWindow.
func (c *Controller) nthLastStart(n int) time.Time {
	if len(c.recentStarts) < n {
		return time.Time{}
	}
	return c.recentStarts[len(c.recentStarts)-n]
}

// dropOldStarts drops the starts that are older than coldWindow.
func (c *Controller) dropOldStarts(now time.Time) {
	i := 0
	for i < len(c.recentStarts) && now.Sub(c.recentStarts[i]) >= coldWindow {
		i++
	}
	c.recentStarts = c.recentStarts[i:]
}

// recordStart records a start. Starts are recorded while the server is warm as well,
// since it may be found to be cold later.
func (c *Controller) recordStart(now time.Time) {
	if c.coldRate <= 0 {
		return
	}
	c.dropOldStarts(now)
	c.recentStarts = append(c.recentStarts, now)
	c.requestConfirmation(now)
}

package fairadmission

import (
	"context"
	"time"
)

// At most ConnectionsPerSecond divided by dialBurstDivisor connections may be
// opened at once.
const dialBurstDivisor = 20

// A dialPacer spaces new connections evenly. nextAt is the time at which the
// next one is due.
type dialPacer struct {
	nextAt time.Time
}

// ReserveDial reserves a new connection and returns how long to wait before
// opening it. It reports false and reserves nothing if the wait would pass the
// deadline; a zero deadline means none.
func (c *Controller) ReserveDial(deadline time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	n := c.limits.ConnectionsPerSecond
	interval := time.Second / time.Duration(n)
	burst := time.Duration(n/dialBurstDivisor) * interval
	due := c.dialPacer.nextAt
	if earliest := now.Add(-burst); due.Before(earliest) {
		due = earliest
	}
	wait := max(0, due.Sub(now))
	if !deadline.IsZero() && now.Add(wait).After(deadline) {
		return 0, false
	}
	c.dialPacer.nextAt = due.Add(interval)
	return wait, true
}

// WaitToDial blocks until a new connection to the server may be opened. The
// error is a *Refusal if ctx ends earlier.
func (c *Controller) WaitToDial(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	wait, ok := c.ReserveDial(deadline)
	if !ok {
		return NewRefusal(Overloaded)
	}
	if wait == 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return NewRefusal(Canceled)
	}
}

package fairadmission

import (
	"context"
	"time"
)

// dialBurst is the part of a second's connections that may be opened at once.
const dialBurst = 20

// dials spaces new connections evenly; next is when the one after the last
// allowed is due.
type dials struct {
	next time.Time
}

// ReserveDial reserves a new connection and returns how long to wait before
// opening it. It reports false, and reserves nothing, if that is past the
// deadline; a zero deadline means none.
func (g *Controller) ReserveDial(deadline time.Time) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	n := g.limits.ConnectionsPerSecond
	interval := time.Second / time.Duration(n)
	burst := time.Duration(n/dialBurst) * interval
	due := g.dials.next
	if earliest := now.Add(-burst); due.Before(earliest) {
		due = earliest
	}
	wait := max(0, due.Sub(now))
	if !deadline.IsZero() && now.Add(wait).After(deadline) {
		return 0, false
	}
	g.dials.next = due.Add(interval)
	return wait, true
}

// DialAllowed blocks until a new connection to the server may be opened. The
// error is a *Refusal if ctx ends before that.
func (g *Controller) WaitToDial(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	wait, ok := g.ReserveDial(deadline)
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

package ratelimit

import (
	"time"

	"golang.org/x/sys/unix"
)

// A Moment is a time by two clocks, neither of which jumps with the time of day.
type Moment struct {
	// Steady is by the steady clock, which stops while the host is suspended.
	Steady time.Time
	// SinceBoot counts suspensions.
	SinceBoot time.Duration
}

// Moment returns the present time by both clocks.
func (l *Limiter) Moment() Moment { return Moment{l.Now(), l.SinceBoot()} }

func (m Moment) add(d time.Duration) Moment { return Moment{m.Steady.Add(d), m.SinceBoot + d} }

// sinceBoot returns zero on a system without that clock. Suspensions are then not
// noticed.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

package priorityadmission

import (
	"time"

	"quetzaldock.example/quetzaldock/pkg/pace"
)

const (
	// minUsualSamples is the number of runs of a class from which on its durations are
	// estimated by the pace.
	minUsualSamples = 4
	// retimeChange is the change of the pace at which the times of waiting requests are
	// computed again.
	retimeChange = 0.05
)

// pacedDurations estimates durations at the present pace of the server. Without a known
// pace the estimates are those of the measured durations.
type pacedDurations struct {
	// tracker is nil if the pace of the server is not tracked.
	tracker *pace.Tracker
	// measured holds durations as measured, usual what they would have been at the
	// usual pace by the tracker's rule usualBasis.
	measured, usual durations
	usualBasis      int
}

// pace returns the present pace; 0 if it is not known.
func (p *pacedDurations) pace(now time.Time) float64 {
	if p.tracker == nil {
		return 0
	}
	return p.tracker.Pace(now)
}

// factor returns the present pace; 1 if it is not known.
func (p *pacedDurations) factor(now time.Time) float64 {
	if f := p.pace(now); f > 0 {
		return f
	}
	return 1
}

// of returns the estimate for a class at the present pace.
func (p *pacedDurations) of(class string, now time.Time) duration {
	if f := p.pace(now); f > 0 && p.usualBasis == p.tracker.Basis() {
		if d := p.usual.of(class); d.samples >= minUsualSamples {
			return d.scaled(f)
		}
	}
	return p.measured.of(class)
}

// mean returns the mean duration over all classes at the present pace.
func (p *pacedDurations) mean(now time.Time) time.Duration {
	if f := p.pace(now); f > 0 && p.usualBasis == p.tracker.Basis() && p.usual.all.samples >= minUsualSamples {
		return p.usual.all.scaled(f).mean
	}
	return p.measured.all.mean
}

// mark returns the mark of a run that starts now.
func (p *pacedDurations) mark(now time.Time) pace.Mark {
	if p.tracker == nil {
		return pace.Mark{}
	}
	return p.tracker.Mark(now)
}

// record adds the measured duration of a run.
func (p *pacedDurations) record(s *Slot, now time.Time) {
	p.measured.record(s.class, now.Sub(s.startedAt), now)
	if p.tracker == nil {
		return
	}
	usual := p.tracker.Observe(s.class, s.mark, now)
	if b := p.tracker.Basis(); b != p.usualBasis {
		p.usual, p.usualBasis = durations{byClass: map[string]*duration{}}, b
	}
	if usual > 0 {
		p.usual.record(s.class, usual, now)
	}
}

// scaled returns the estimate at a pace, given that at the usual one.
func (d duration) scaled(pace float64) duration {
	d.mean, d.deviation = scale(d.mean, pace), scale(d.deviation, pace)
	return d
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(by * float64(d)) }

// TrackPace makes the controller follow the pace of the server. It must be called before
// the first request.
func (c *Controller) TrackPace(t *pace.Tracker) { c.durations.tracker = t }

// retime computes the times of the waiting requests again after the pace has changed, or
// after an overload has begun or ended.
func (c *Controller) retime(now time.Time) (changed bool) {
	factor, delay := c.durations.factor(now), time.Duration(longWorkDelay)
	if c.overload.active(now) {
		delay = overloadWorkDelay
	}
	if ratio := factor / c.timedFor; delay == c.workDelay && ratio < 1+retimeChange && ratio > 1/(1+retimeChange) {
		return false
	}
	c.timedFor, c.workDelay = factor, delay
	for _, w := range c.waiting {
		w.setTimes(w.usual.scaled(factor), delay)
	}
	return true
}

// expected returns the expected duration of a waiting request at the present pace.
func (w *waiter) expected(factor float64) time.Duration { return scale(w.usual.mean, factor) }

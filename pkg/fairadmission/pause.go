package fairadmission

import "time"

const (
	// tickInterval is the interval at which Tick is to be called.
	tickInterval = 100 * time.Millisecond
	// minPause is the delay of a tick from which the process counts as paused.
	minPause = 500 * time.Millisecond
	// pauseGrace is added to the end of a pause: requests that waited in socket
	// buffers are read and get their arrival time shortly after the process
	// resumes.
	pauseGrace = 100 * time.Millisecond
	// pauseMergeGap is the maximum gap between two pauses that count as one.
	pauseMergeGap = time.Second
)

// A pauseDetector records the last pause of the process, extended by pauseGrace.
type pauseDetector struct {
	lastTick          time.Time
	startedAt, endsAt time.Time
}

func (p *pauseDetector) covers(t time.Time) bool {
	return !p.endsAt.IsZero() && t.After(p.startedAt) && !t.After(p.endsAt)
}

// detectPause detects that the process was paused. Besides Tick, Offer calls it,
// since a request that arrived during the pause may be offered before the late
// tick.
func (c *Controller) detectPause(now time.Time) {
	p := &c.pause
	if p.lastTick.IsZero() || now.Sub(p.lastTick) <= tickInterval+minPause {
		return
	}
	if p.endsAt.IsZero() || p.lastTick.Sub(p.endsAt) > pauseMergeGap {
		p.startedAt = p.lastTick
	}
	p.endsAt = now.Add(pauseGrace)
	p.lastTick = now
	// The server may have restarted in the meantime, and the closing of its
	// connections may not have been seen yet.
	c.limiter.becomeCold(c, now)
}

package fairadmission

import "time"

const (
	// tickInterval is the interval at which Tick is to be called.
	tickInterval = 100 * time.Millisecond
	// pauseAfter is the delay of a tick that counts as a pause.
	pauseAfter = 500 * time.Millisecond
	// pauseGrace is added to the end of a pause: requests that waited in
	// socket buffers are read, and stamped, shortly after the process wakes.
	pauseGrace = 100 * time.Millisecond
	// pauseJoin joins pauses that follow each other closely.
	pauseJoin = time.Second
)

// pauses remembers the last span in which the process did not run.
type pauses struct {
	lastTick time.Time
	from, to time.Time
}

func (p *pauses) covers(t time.Time) bool {
	return !p.to.IsZero() && t.After(p.from) && !t.After(p.to)
}

// wake notices a pause. Enter calls it too, since a call that arrived during
// the pause may run before the late tick does.
func (g *Controller) wake(now time.Time) {
	p := &g.pause
	if p.lastTick.IsZero() || now.Sub(p.lastTick) <= tickInterval+pauseAfter {
		return
	}
	if p.to.IsZero() || p.lastTick.Sub(p.to) > pauseJoin {
		p.from = p.lastTick
	}
	p.to = now.Add(pauseGrace)
	p.lastTick = now
	// The server may have been restarted meanwhile, and the evidence may
	// still be unread.
	g.limit.restarted(g, now)
}

package fairadmission

import "time"

const (
	// inflated is the ratio to the usual latency above which the limit does
	// not rise.
	inflated = 1.25
	// overloaded is the ratio above which the limit falls.
	overloaded = 3
	// latencySlack keeps very short calls from counting as inflated because
	// of scheduling delays.
	latencySlack = 500 * time.Microsecond
	// stillSlow is the ratio to the latency at the first fall above which
	// fewer calls at once have not helped.
	stillSlow = 0.8
	// shedFactor and slowFactor lower the limit after shedding and after
	// overloaded latency.
	shedFactor, slowFactor = 0.75, 0.85
	// idleCloses idle connections closed within idleCloseSpan are taken for
	// a restart; servers close single idle connections on timeouts.
	idleCloses    = 3
	idleCloseSpan = 100 * time.Millisecond
	// peakSpan is the length of each of the two spans over which the recent
	// peak of running calls is kept.
	peakSpan = 5 * time.Second
)

// A limiter holds the concurrency limit of one backend server.
type limiter struct {
	permits int
	// epoch counts detected restarts. Outcomes of calls that started in an
	// earlier epoch say nothing about the present server.
	epoch uint64
	// answered is set by the first good answer of an epoch. The window for
	// the first rise starts there, since the server may come up long after
	// the restart was detected.
	answered bool

	good     int // good answers in this window while the limit was in use
	answers  int
	sum      time.Duration
	usual    time.Duration // moving average of the latency of calm windows
	slowFrom time.Duration // latency at the first fall for latency, or 0
	lastStep time.Time
	lastFall time.Time
	lastEnd  time.Time

	peak, peakBefore int
	peakSince        time.Time
	closes           int
	closesSince      time.Time
}

// ServerRestarted records evidence that the backend server was started anew.
// The gate is cold afterwards.
func (g *Controller) ServerRestarted(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = reason
	g.limit.restarted(g, g.Now())
}

// IdleClosed records that the server closed an idle connection.
func (g *Controller) IdleConnectionClosed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	l := &g.limit
	if now.Sub(l.closesSince) > idleCloseSpan {
		l.closes, l.closesSince = 0, now
	}
	l.closes++
	// With fewer calls than idleCloses at once there are fewer connections,
	// and all of them closed is as much evidence.
	if l.closes >= min(idleCloses, max(1, l.peak, l.peakBefore)) {
		l.restarted(g, now)
	}
}

func (l *limiter) restarted(g *Controller, now time.Time) {
	l.epoch++
	l.permits = g.limits.ColdSlots
	l.closes = 0
	l.answered = false
	l.newWindow(now)
}

func (l *limiter) newWindow(now time.Time) {
	l.good, l.answers, l.sum, l.lastStep = 0, 0, 0, now
}

// idle makes the gate cold when no call ran for IdleReset: without open
// connections a restart would leave no evidence.
func (l *limiter) idle(g *Controller, now time.Time) {
	if g.running == 0 && !l.lastEnd.IsZero() && now.Sub(l.lastEnd) > g.ColdAfterIdle {
		l.lastEnd = now
		l.restarted(g, now)
	}
}

func (l *limiter) started(running int, now time.Time) {
	if now.Sub(l.peakSince) > peakSpan {
		l.peakBefore, l.peak, l.peakSince = l.peak, 0, now
	}
	l.peak = max(l.peak, running)
}

// ended learns from the end of a call.
func (l *limiter) ended(g *Controller, t *Slot, o Outcome, d time.Duration, now time.Time) {
	l.lastEnd = now
	if t.epoch != l.epoch {
		return
	}
	switch o {
	case Succeeded:
		if !l.answered {
			l.answered = true
			l.newWindow(now)
		}
		l.answers++
		l.sum += d
		if t.limited {
			l.good++
		}
		l.step(g, now)
	case Shed:
		if l.usual > 0 && l.answers > 0 && l.mean() > overloaded*l.usual+latencySlack {
			l.restarted(g, now)
			return
		}
		l.fall(shedFactor, 1, g, now)
	case Failed:
		l.good = 0
	case ConnectionReset, ConnectionRefused:
		l.restarted(g, now)
	}
}

func (l *limiter) mean() time.Duration { return l.sum / time.Duration(max(1, l.answers)) }

// step ends a window once it has enough answers: it raises the limit by one
// if the limit was in use and the latency is as usual.
func (l *limiter) step(g *Controller, now time.Time) {
	if now.Sub(l.lastStep) < g.stepInterval() || l.answers < l.permits {
		return
	}
	m := l.mean()
	slow := l.usual > 0 && m > time.Duration(inflated*float64(l.usual))+latencySlack
	switch {
	case l.usual > 0 && m > overloaded*l.usual+latencySlack:
		// A limit that most calls did not reach did not cause the latency.
		if 2*l.good >= l.answers {
			l.tooSlow(m, g, now)
		}
	case !slow && l.good >= l.permits && l.permits < g.limits.Slots:
		l.permits++
	}
	if !slow {
		l.slowFrom = 0
	}
	l.learn(m, slow, l.permits < g.limits.Slots)
	l.newWindow(now)
}

// tooSlow lowers the limit after a window of overloaded latency, to half of
// the slots at most. If that does not make the calls quicker, they are slower
// by themselves or wait for another service, and the latency becomes the
// usual one.
func (l *limiter) tooSlow(m time.Duration, g *Controller, now time.Time) {
	floor := max(g.limits.ColdSlots, g.limits.Slots/2)
	switch {
	case l.slowFrom == 0:
		l.slowFrom = m
		l.fall(slowFactor, floor, g, now)
	case l.permits > floor:
		l.fall(slowFactor, floor, g, now)
	case m > time.Duration(stillSlow*float64(l.slowFrom)):
		l.usual, l.slowFrom = m, 0
	}
}

// learn follows a falling latency quickly and a rising one slowly, so that a
// lasting change is accepted in the end and an overload is not.
func (l *limiter) learn(m time.Duration, slow, rising bool) {
	switch {
	case l.usual == 0:
		l.usual = m
	case m < l.usual:
		l.usual += (m - l.usual) / 2
	case slow || rising:
		// While the server warms up, a higher latency may be its own doing.
		l.usual += (m - l.usual) / 32
	default:
		l.usual += (m - l.usual) / 8
	}
}

// stepInterval is the least time between two rises of the limit, so that it
// does not outrun a server that warms up evenly.
func (g *Controller) stepInterval() time.Duration {
	return g.WarmUp / time.Duration(max(1, g.limits.Slots-g.limits.ColdSlots))
}

// fall lowers the limit by a factor, at most once per step interval, since
// calls that started before a fall report the same overload.
func (l *limiter) fall(factor float64, floor int, g *Controller, now time.Time) {
	l.good = 0
	if now.Sub(l.lastFall) < g.stepInterval() && !l.lastFall.IsZero() {
		return
	}
	l.lastFall = now
	if n := int(factor * float64(l.permits)); n < l.permits {
		l.permits = min(l.permits, max(floor, n, 1))
	}
	l.newWindow(now)
}

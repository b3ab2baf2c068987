package fairadmission

import "time"

const (
	// elevatedLatencyRatio is the ratio to the typical latency above which the
	// limit is not raised.
	elevatedLatencyRatio = 1.25
	// overloadLatencyRatio is the ratio to the typical latency above which the
	// limit is lowered.
	overloadLatencyRatio = 3
	// latencySlack is added to the limits on latency, so that scheduling delays
	// don't make very short requests count as slow.
	latencySlack = 500 * time.Microsecond
	// unimprovedLatencyRatio is the ratio to latencyAtFirstFall above which
	// lowering the limit counts as having had no effect.
	unimprovedLatencyRatio = 0.8
	// shedLimitFactor and slowLimitFactor lower the limit after the server has
	// shed a request, and after an overload latency.
	shedLimitFactor, slowLimitFactor = 0.75, 0.85
	// A restart is assumed when minRestartCloses idle connections are closed
	// within closeWindow. Servers close single idle connections on timeouts.
	minRestartCloses = 3
	closeWindow      = 100 * time.Millisecond
	// peakWindow is the length of each of the two windows over which the peak
	// of running requests is kept.
	peakWindow = 5 * time.Second
)

// A concurrencyLimiter adapts the concurrency limit of one backend server. It
// measures the latency in windows; at the end of each window it raises the limit
// by one, keeps it, or lowers it.
type concurrencyLimiter struct {
	permits int
	// epoch counts detected restarts. Outcomes of requests that started in an
	// earlier epoch say nothing about the current server process.
	epoch uint64
	// answered is set by the first successful answer of an epoch. The first
	// window starts there, since the server may come up long after the restart
	// was detected.
	answered bool

	// answers counts the successful answers in this window, limitedAnswers those
	// whose requests started with all permits in use. latencySum is the sum of
	// the latencies of answers.
	limitedAnswers int
	answers        int
	latencySum     time.Duration
	// typicalLatency is the moving average of the mean latency of windows. It
	// follows an elevated latency only slowly.
	typicalLatency time.Duration
	// latencyAtFirstFall is the latency at which the limit was first lowered in
	// a row of windows with elevated latency; zero if it was not.
	latencyAtFirstFall time.Duration
	windowStart        time.Time
	lastLowered        time.Time
	lastRequestEnd     time.Time

	// peak is the largest number of running requests in the current peakWindow,
	// previousPeak that of the one before.
	peak, previousPeak int
	peakWindowStart    time.Time
	// closedIdle counts the idle connections closed since closeWindowStart.
	closedIdle       int
	closeWindowStart time.Time
}

// ServerRestarted records that the backend server has restarted. The server
// counts as cold afterwards. The reason is not used.
func (c *Controller) ServerRestarted(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = reason
	c.limiter.becomeCold(c, c.Now())
}

// IdleConnectionClosed records that the server closed an idle connection.
func (c *Controller) IdleConnectionClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	l := &c.limiter
	if now.Sub(l.closeWindowStart) > closeWindow {
		l.closedIdle, l.closeWindowStart = 0, now
	}
	l.closedIdle++
	// If recently fewer than minRestartCloses requests ran at once, there are
	// fewer connections, and it is enough that all of them are closed.
	if l.closedIdle >= min(minRestartCloses, max(1, l.peak, l.previousPeak)) {
		l.becomeCold(c, now)
	}
}

// becomeCold resets the limit to ColdSlots and starts a new epoch.
func (l *concurrencyLimiter) becomeCold(c *Controller, now time.Time) {
	l.epoch++
	l.permits = c.limits.ColdSlots
	l.closedIdle = 0
	l.answered = false
	l.newWindow(now)
}

func (l *concurrencyLimiter) newWindow(now time.Time) {
	l.limitedAnswers, l.answers, l.latencySum, l.windowStart = 0, 0, 0, now
}

// becomeColdIfIdle makes the server count as cold if no request ran for
// ColdAfterIdle: without open connections a restart would not be detected.
func (l *concurrencyLimiter) becomeColdIfIdle(c *Controller, now time.Time) {
	if c.running == 0 && !l.lastRequestEnd.IsZero() && now.Sub(l.lastRequestEnd) > c.ColdAfterIdle {
		l.lastRequestEnd = now
		l.becomeCold(c, now)
	}
}

func (l *concurrencyLimiter) recordStart(running int, now time.Time) {
	if now.Sub(l.peakWindowStart) > peakWindow {
		l.previousPeak, l.peak, l.peakWindowStart = l.peak, 0, now
	}
	l.peak = max(l.peak, running)
}

// recordEnd updates the limit after the end of a request.
func (l *concurrencyLimiter) recordEnd(c *Controller, s *Slot, o Outcome, d time.Duration, now time.Time) {
	l.lastRequestEnd = now
	if s.epoch != l.epoch {
		return
	}
	switch o {
	case Succeeded:
		if !l.answered {
			l.answered = true
			l.newWindow(now)
		}
		l.answers++
		l.latencySum += d
		if s.atLimit {
			l.limitedAnswers++
		}
		l.endWindow(c, now)
	case Shed:
		// A server that sheds requests and is slow as well is treated like a
		// restarted one.
		if l.typicalLatency > 0 && l.answers > 0 && l.meanLatency() > overloadLatencyRatio*l.typicalLatency+latencySlack {
			l.becomeCold(c, now)
			return
		}
		l.lower(shedLimitFactor, 1, c, now)
	case Failed:
		l.limitedAnswers = 0
	case ConnectionReset, ConnectionRefused:
		l.becomeCold(c, now)
	}
}

func (l *concurrencyLimiter) meanLatency() time.Duration {
	return l.latencySum / time.Duration(max(1, l.answers))
}

// endWindow ends the window once it is long enough and has enough answers. It
// raises the limit by one if the limit was in use and the latency is not
// elevated, and lowers it if the latency shows an overload.
func (l *concurrencyLimiter) endWindow(c *Controller, now time.Time) {
	if now.Sub(l.windowStart) < c.raiseInterval() || l.answers < l.permits {
		return
	}
	latency := l.meanLatency()
	elevated := l.typicalLatency > 0 && latency > time.Duration(elevatedLatencyRatio*float64(l.typicalLatency))+latencySlack
	switch {
	case l.typicalLatency > 0 && latency > overloadLatencyRatio*l.typicalLatency+latencySlack:
		// If most requests started below the limit, it did not cause the
		// latency.
		if 2*l.limitedAnswers >= l.answers {
			l.lowerForLatency(latency, c, now)
		}
	case !elevated && l.limitedAnswers >= l.permits && l.permits < c.limits.Slots:
		l.permits++
	}
	if !elevated {
		l.latencyAtFirstFall = 0
	}
	l.learnLatency(latency, elevated, l.permits < c.limits.Slots)
	l.newWindow(now)
}

// lowerForLatency lowers the limit after a window with overload latency, down to
// half of the slots. If that does not make the requests quicker, they have become
// slower for another reason, such as another service that they wait for, and
// their latency becomes the typical one.
func (l *concurrencyLimiter) lowerForLatency(latency time.Duration, c *Controller, now time.Time) {
	floor := max(c.limits.ColdSlots, c.limits.Slots/2)
	switch {
	case l.latencyAtFirstFall == 0:
		l.latencyAtFirstFall = latency
		l.lower(slowLimitFactor, floor, c, now)
	case l.permits > floor:
		l.lower(slowLimitFactor, floor, c, now)
	case latency > time.Duration(unimprovedLatencyRatio*float64(l.latencyAtFirstFall)):
		l.typicalLatency, l.latencyAtFirstFall = latency, 0
	}
}

// learnLatency updates the typical latency. It follows a falling latency quickly
// and a rising one slowly, so that a lasting change is accepted in the end and an
// overload is not.
func (l *concurrencyLimiter) learnLatency(latency time.Duration, elevated, warmingUp bool) {
	switch {
	case l.typicalLatency == 0:
		l.typicalLatency = latency
	case latency < l.typicalLatency:
		l.typicalLatency += (latency - l.typicalLatency) / 2
	case elevated || warmingUp:
		// While the limit still rises, a higher latency may be due to the
		// limit itself.
		l.typicalLatency += (latency - l.typicalLatency) / 32
	default:
		l.typicalLatency += (latency - l.typicalLatency) / 8
	}
}

// raiseInterval returns the minimum time between two increases of the limit, so
// that the limit does not rise faster than the capacity of a server that warms up
// evenly.
func (c *Controller) raiseInterval() time.Duration {
	return c.WarmUp / time.Duration(max(1, c.limits.Slots-c.limits.ColdSlots))
}

// lower multiplies the limit by a factor, but not to less than floor. It does so
// at most once per raiseInterval, since requests that started before the limit
// was lowered report the same overload.
func (l *concurrencyLimiter) lower(factor float64, floor int, c *Controller, now time.Time) {
	l.limitedAnswers = 0
	if now.Sub(l.lastLowered) < c.raiseInterval() && !l.lastLowered.IsZero() {
		return
	}
	l.lastLowered = now
	if lowered := int(factor * float64(l.permits)); lowered < l.permits {
		l.permits = min(l.permits, max(floor, lowered, 1))
	}
	l.newWindow(now)
}

package sidecar

import (
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"quetzaldock.example/quetzaldock/pkg/nestedthrottle"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
)

// beginRoot refuses a root request whose nested requests would not be served. The kind
// of a request is its class. The result is nil for a nested request.
func (l *localBackend) beginRoot(r *InstanceRequest, class string) (*nestedthrottle.Run, error) {
	if r.Nested || !l.load.statesPace.Load() {
		return nil, nil
	}
	run, retryAfter := l.throttle.Begin(class)
	if run == nil {
		return nil, &priorityadmission.Refusal{Reason: nestedUnserved, RetryAfter: retryAfter}
	}
	return run, nil
}

// endRoot records how the run of a root request ended.
func (l *localBackend) endRoot(run *nestedthrottle.Run, o nestedthrottle.Outcome) {
	if run != nil {
		run.End(o)
		l.onOutcome(o)
	}
}

// throttleLogPause is the time for which a kind of request must be admitted fully
// before it is logged as such. A share may reach 1 several times in one overload.
const throttleLogPause = 10 * time.Second

// A throttleReview logs which kinds of root requests are throttled, and sets metrics.
// It is used by one goroutine.
type throttleReview struct {
	// throttledAt is when a logged kind was last seen throttled.
	throttledAt map[string]time.Time
}

// review looks at the current shares.
func (t *throttleReview) review(shares map[string]float64, now time.Time, log *slog.Logger, m tally.Scope) {
	lowest := 1.0
	for kind, share := range shares {
		lowest = min(lowest, share)
		if _, known := t.throttledAt[kind]; !known {
			log.Warn("root requests throttled, their nested requests are not served", "route", kind, "share", share)
		}
		if t.throttledAt == nil {
			t.throttledAt = map[string]time.Time{}
		}
		t.throttledAt[kind] = now
	}
	for kind, at := range t.throttledAt {
		if now.Sub(at) > throttleLogPause {
			log.Info("root requests no longer throttled", "route", kind)
			delete(t.throttledAt, kind)
		}
	}
	m.Gauge("throttled_kinds").Update(float64(len(shares)))
	m.Gauge("throttled_lowest_share").Update(lowest)
}

// countOutcome counts the runs of root requests that were wasted or strained.
func (n *Node) countOutcome(o nestedthrottle.Outcome) {
	switch o {
	case nestedthrottle.Wasted:
		n.metrics.Scope().Counter("wasted_runs").Inc(1)
	case nestedthrottle.Strained:
		n.metrics.Scope().Counter("strained_runs").Inc(1)
	}
}

package operator

import (
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"quetzaldock.example/quetzaldock/pkg/memorybudget"
)

// MaxLimitLogsPerSecond bounds the log lines about limits.
const MaxLimitLogsPerSecond = 4

// A LimitReporter counts and logs the connections that a limit refuses or closes. Its
// exported fields are set before its first use.
type LimitReporter struct {
	Log   *slog.Logger
	Scope tally.Scope

	mu       sync.Mutex
	counters map[limitKey]tally.Counter
	// second is the start of the second in which logged lines were written. skipped
	// counts those left out since the last one.
	second          time.Time
	logged, skipped int
}

// A limitKey is a listener and a limit.
type limitKey struct{ listener, limit string }

// For returns the function that reports for a listener.
func (l *LimitReporter) For(listener string) func(memorybudget.Limit, string) {
	return func(limit memorybudget.Limit, address string) { l.report(limitKey{listener, string(limit)}, address) }
}

func (l *LimitReporter) report(k limitKey, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counters[k]
	if c == nil {
		if l.counters == nil {
			l.counters = map[limitKey]tally.Counter{}
		}
		c = l.Scope.Tagged(map[string]string{"listener": k.listener, "limit": k.limit}).Counter("client_limits")
		l.counters[k] = c
	}
	c.Inc(1)
	if now := time.Now(); now.Sub(l.second) >= time.Second {
		l.second, l.logged = now, 0
	}
	if l.logged >= MaxLimitLogsPerSecond {
		l.skipped++
		return
	}
	l.logged++
	l.Log.Warn("client limit reached", "limit", k.limit, "listener", k.listener, "address", address, "skipped", l.skipped)
	l.skipped = 0
}

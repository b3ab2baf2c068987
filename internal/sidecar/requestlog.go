package sidecar

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// maxLinesPerSecond limits the lines about failed requests. An overload fails
	// hundreds of requests per second.
	maxLinesPerSecond = 20
	// One of ordinaryPerLine requests without a failure is logged.
	ordinaryPerLine = 200
)

// A requestLogger logs requests that failed, up to a rate, and a sample of the
// others.
type requestLogger struct {
	log *slog.Logger
	now func() time.Time

	mu           sync.Mutex
	windowStart  time.Time
	linesWritten int
	linesDropped int
	ordinary     int
}

// logRequest logs a request that ended.
func (l *requestLogger) logRequest(record *RequestRecord) {
	if !l.shouldLog(record) {
		return
	}
	l.log.Info("request ended", "request", record.ID, "route", record.Route, "account", record.Account, "nested", record.Nested,
		"status", record.Status, "reason", record.Reason, "detail", record.Detail, "hosts", record.Instances, "runs", record.Runs, "version", record.Version,
		"ms", record.Latency.Milliseconds(), "left", record.CallerLeft, "cut", string(record.Cut))
}

// logFailure logs that an instance sent no complete response.
func (l *requestLogger) logFailure(request, instance string, err error) {
	if l.allowLine() {
		l.log.Info("no whole answer of the backend server", "request", request, "instance", instance, "error", err)
	}
}

func (l *requestLogger) shouldLog(record *RequestRecord) bool {
	if record.Reason == "" && record.Status < 500 && record.Cut == "" {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ordinary++
		return l.ordinary%ordinaryPerLine == 0
	}
	return l.allowLine()
}

// allowLine takes one line from the limit of the current second.
func (l *requestLogger) allowLine() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if now.Sub(l.windowStart) >= time.Second {
		if l.linesDropped > 0 {
			l.log.Warn("lines about requests dropped", "count", l.linesDropped)
		}
		l.windowStart, l.linesWritten, l.linesDropped = now, 0, 0
	}
	if l.linesWritten++; l.linesWritten > maxLinesPerSecond {
		l.linesDropped++
		return false
	}
	return true
}

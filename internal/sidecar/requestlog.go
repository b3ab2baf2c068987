package sidecar

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// linesPerSecond bounds the lines about failed requests; an overload fails
	// hundreds of requests a second.
	maxLinesPerSecond = 20
	// usualEvery is how many requests that end as usual share one line.
	usualPerLine = 200
)

// A journal writes a line about each request that ended otherwise than
// usual, within a bound, and about a sample of the others.
type requestLogger struct {
	log *slog.Logger
	now func() time.Time

	mu          sync.Mutex
	windowStart time.Time
	written     int
	dropped     int
	usual       int
}

// observe writes what is to be written about a request.
func (j *requestLogger) logRequest(record *RequestRecord) {
	if !j.shouldLog(record) {
		return
	}
	j.log.Info("request ended", "request", record.ID, "route", record.Route, "account", record.Account, "nested", record.Nested,
		"status", record.Status, "reason", record.Reason, "detail", record.Detail, "hosts", record.Instances, "runs", record.Runs, "version", record.Version,
		"ms", record.Latency.Milliseconds(), "left", record.CallerLeft)
}

// failed writes that an instance brought no whole answer to a request.
func (j *requestLogger) logFailure(request, instance string, err error) {
	if j.allowLine() {
		j.log.Info("no whole answer of the backend server", "request", request, "instance", instance, "error", err)
	}
}

func (j *requestLogger) shouldLog(record *RequestRecord) bool {
	if record.Reason == "" && record.Status < 500 {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.usual++
		return j.usual%usualPerLine == 0
	}
	return j.allowLine()
}

// withinBound takes one line from the bound of this second.
func (j *requestLogger) allowLine() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.now()
	if now.Sub(j.windowStart) >= time.Second {
		if j.dropped > 0 {
			j.log.Warn("lines about requests dropped", "count", j.dropped)
		}
		j.windowStart, j.written, j.dropped = now, 0, 0
	}
	if j.written++; j.written > maxLinesPerSecond {
		j.dropped++
		return false
	}
	return true
}

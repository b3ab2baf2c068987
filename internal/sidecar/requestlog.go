package sidecar

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// linesPerSecond bounds the lines about failed requests; an overload fails
	// hundreds of requests a second.
	linesPerSecond = 20
	// usualEvery is how many requests that end as usual share one line.
	usualEvery = 200
)

// A journal writes a line about each request that ended otherwise than
// usual, within a bound, and about a sample of the others.
type journal struct {
	log *slog.Logger
	now func() time.Time

	mu      sync.Mutex
	since   time.Time
	written int
	dropped int
	usual   int
}

// observe writes what is to be written about a request.
func (j *journal) observe(o *RequestRecord) {
	if !j.admit(o) {
		return
	}
	j.log.Info("request ended", "request", o.ID, "route", o.Route, "account", o.Account, "nested", o.Nested,
		"status", o.Status, "reason", o.Reason, "detail", o.Detail, "hosts", o.Instances, "runs", o.Runs, "version", o.Version,
		"ms", o.Latency.Milliseconds(), "left", o.CallerLeft)
}

// failed writes that an instance brought no whole answer to a request.
func (j *journal) failed(request, instance string, err error) {
	if j.withinBound() {
		j.log.Info("no whole answer of the backend server", "request", request, "instance", instance, "error", err)
	}
}

func (j *journal) admit(o *RequestRecord) bool {
	if o.Reason == "" && o.Status < 500 {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.usual++
		return j.usual%usualEvery == 0
	}
	return j.withinBound()
}

// withinBound takes one line from the bound of this second.
func (j *journal) withinBound() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.now()
	if now.Sub(j.since) >= time.Second {
		if j.dropped > 0 {
			j.log.Warn("lines about requests dropped", "count", j.dropped)
		}
		j.since, j.written, j.dropped = now, 0, 0
	}
	if j.written++; j.written > linesPerSecond {
		j.dropped++
		return false
	}
	return true
}

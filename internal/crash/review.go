package crash

import (
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"quetzaldock.example/quetzaldock/internal/operator"
	"quetzaldock.example/quetzaldock/pkg/quarantine"
)

// maxExamples limits the requests that are remembered as examples.
const maxExamples = 512

// Reasons for which a quarantine ends, in log lines.
const (
	reasonAnswered = "Answered"
	reasonExpired  = "Expired"
)

// examples remembers one request for each fingerprint that is suspected or
// quarantined.
type examples struct {
	mu  sync.Mutex
	all map[quarantine.Fingerprint]requestExample
}

// A requestExample is the ID and path of a request.
type requestExample struct{ id, path string }

// add remembers a request unless another one with its fingerprint is known.
func (e *examples) add(f quarantine.Fingerprint, id, target string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.all == nil {
		e.all = map[quarantine.Fingerprint]requestExample{}
	}
	if _, known := e.all[f]; !known && len(e.all) < maxExamples {
		path, _, _ := strings.Cut(target, "?")
		e.all[f] = requestExample{id, path}
	}
}

// get returns the example for a fingerprint, or the zero value.
func (e *examples) get(f quarantine.Fingerprint) requestExample {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.all[f]
}

// forget removes the examples that keep does not ask for.
func (e *examples) forget(keep func(f quarantine.Fingerprint) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for f := range e.all {
		if !keep(f) {
			delete(e.all, f)
		}
	}
}

// Review clears the requests that were answered before the report of their crash
// arrived, logs which requests are quarantined and which no longer are, and
// updates the metrics. It is called regularly, from one goroutine.
func (d *Detector) Review(m tally.Scope) {
	d.clearAnswered()
	d.forgetInterrupted()
	d.examples.forget(func(f quarantine.Fingerprint) bool { return d.Table.Crashes(f) > 0 })
	d.recordRefusals(m)
	if d.Table.Empty() && len(d.logged) == 0 {
		return
	}
	d.Table.Expire()
	current := map[quarantine.Fingerprint]bool{}
	for _, q := range d.Table.Quarantines() {
		current[q.Fingerprint] = true
		if d.logged[q.Fingerprint] {
			continue
		}
		x := d.examples.get(q.Fingerprint)
		d.Log.Warn("request quarantined", "fingerprint", q.Fingerprint.String(), "crashes", q.Crashes, "instances", q.Instances,
			"until", q.Until.UTC().Format(time.RFC3339Nano), "request", x.id, "path", x.path)
	}
	for f := range d.logged {
		if !current[f] {
			reason := reasonExpired
			if d.Table.Crashes(f) < quarantine.CrashesToQuarantine {
				reason = reasonAnswered
			}
			d.Log.Info("request no longer quarantined", "fingerprint", f.String(), "reason", reason)
		}
	}
	d.logged = current
	m.Gauge("quarantine_reports").Update(float64(d.Table.Len()))
	m.Gauge("quarantined_requests").Update(float64(len(current)))
}

// recordRefusals adds the refusals since the last call to their metric.
func (d *Detector) recordRefusals(m tally.Scope) {
	if count := d.refusals.Swap(0); count > 0 {
		m.Counter("quarantine_refusals").Inc(int64(count))
	}
}

// Status lists the quarantined requests.
func (d *Detector) Status() []operator.QuarantineStatus {
	var all []operator.QuarantineStatus
	for _, q := range d.Table.Quarantines() {
		x := d.examples.get(q.Fingerprint)
		all = append(all, operator.QuarantineStatus{
			Fingerprint: q.Fingerprint.String(), Crashes: q.Crashes, Instances: q.Instances,
			LeftMs: time.Until(q.Until).Milliseconds(), Request: x.id, Path: x.path,
		})
	}
	return all
}

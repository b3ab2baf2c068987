package sidecar

import (
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"quetzaldock.example/quetzaldock/internal/operator"
	"quetzaldock.example/quetzaldock/pkg/pace"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
)

// badLoadLogInterval is the time between log lines about invalid load headers of the
// backend server, which may send one with each response.
const badLoadLogInterval = 20 * time.Second

// An instanceLoadReader reads the load that the backend server states in its responses.
// Its fields are set before first use.
type instanceLoadReader struct {
	names   *HeaderNames
	tracker *pace.Tracker
	// admission controls overloads once the backend server has stated its pace.
	admission *priorityadmission.Controller
	log       *slog.Logger
	now       func() time.Time

	// statesPace is set once the backend server has stated its pace.
	statesPace atomic.Bool

	mu sync.Mutex
	// invalid counts the invalid headers, and invalidMeasured those of them that are
	// part of the metrics.
	invalid, invalidMeasured int64
	loggedAt                 time.Time
	// measured holds the counters of admission that are part of the metrics.
	measured priorityadmission.OverloadCounters
}

// read reads the load in the header of a response of the backend server. An invalid one
// is ignored.
func (r *instanceLoadReader) read(h http.Header) {
	values := h[r.names.InstanceLoad]
	if r.names.InstanceLoad == "" || len(values) == 0 {
		return
	}
	var report pace.Report
	err := error(nil)
	if len(values) > 1 {
		err = pace.InvalidReport.New("%d headers", len(values))
	} else {
		report, err = pace.ParseReport(values[0])
	}
	if err != nil {
		r.countInvalid(err)
		return
	}
	if report.Pace > 0 {
		// Instances that state their pace ask for the admission that follows it.
		r.admission.EnableOverloadControl()
		r.statesPace.Store(true)
		r.tracker.State(report.Pace, r.now())
	}
}

func (r *instanceLoadReader) countInvalid(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.invalid++
	if now := r.now(); now.Sub(r.loggedAt) >= badLoadLogInterval {
		r.loggedAt = now
		r.log.Warn("invalid load header of the backend server ignored", "error", err, "count", r.invalid)
	}
}

// measure updates the metrics.
func (r *instanceLoadReader) measure(scope tally.Scope) {
	s := r.tracker.Status(r.now())
	scope.Gauge("instance_pace").Update(s.Pace)
	scope.Gauge("instance_pace_stated").Update(s.Stated)
	scope.Gauge("instance_pace_sensitivity").Update(s.Sensitivity)
	r.mu.Lock()
	defer r.mu.Unlock()
	scope.Counter("instance_load_headers_invalid").Inc(r.invalid - r.invalidMeasured)
	r.invalidMeasured = r.invalid
	c := r.admission.OverloadCounters()
	scope.Counter("admission_preferred").Inc(c.Preferred - r.measured.Preferred)
	scope.Counter("admission_shed").Inc(c.Shed - r.measured.Shed)
	r.measured = c
}

// status returns the pace for operators; nil if the backend server states none.
func (r *instanceLoadReader) status() *operator.PaceStatus {
	s := r.tracker.Status(r.now())
	if s.Stated == 0 {
		return nil
	}
	return &operator.PaceStatus{Stated: s.Stated, Used: s.Pace, Sensitivity: s.Sensitivity}
}

package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quetzaldock.example/quetzaldock/internal/standin"
)

// A Report is what a run measured. Counts and latencies leave out the warm-up;
// checks include it. Latencies are milliseconds from the scheduled time of
// answered calls.
type Report struct {
	Name       string
	Deployment string
	Seed       uint64
	Nodes      int
	RunMs      int
	Calls      Row
	Accounts   []Row
	Classes    []Row
	// Reasons counts refusals and failures by outcome and what was said.
	Reasons map[string]int
	// Served is the part of the calls within rate, with a valid key, that
	// were answered; WrongfulRatio the part of them refused for the rate.
	Served        float64
	Wrongful      int
	WrongfulRatio float64
	// Worst is the account within its rate with the lowest success, and among
	// equals with the highest p99. SuccessSpread and P99Spread compare it and
	// the highest p99 with the median account, as parts of the median.
	Worst         string
	SuccessSpread float64
	P99Spread     float64
	Convergence   []Convergence
	Added         Added
	Control       Control
	Source        standin.ReadCounts
	Backends      []Backend
	Events        []EventRow
	Seconds       []Second
	Checks        []Check
	Aims          []Aim
	// Skipped are scheduled calls that the driver could not send; DriverLagMs
	// is how late it sent calls at p99.
	Skipped     int
	DriverLagMs float64
}

// A Row counts calls by outcome.
type Row struct {
	Name         string
	Offered      int
	OK           int
	Limited      int
	NotRun       int
	Unauthorized int
	Repeated     int
	// Failed counts all other outcomes; Outcomes has each of them.
	Failed   int
	Outcomes map[Outcome]int
	// Conforming states that an ideal bucket of the account's rate and burst
	// would have passed all its calls. Wrongful are then its Limited calls.
	Conforming bool
	Wrongful   int
	// Success is the part of the calls with a valid key that were answered.
	Success float64
	P50     float64
	P99     float64
	P999    float64
}

// Added is the latency in milliseconds that the mesh adds: the caller's
// waiting without the backend server's own time, and the same for calls that
// go to a backend server directly.
type Added struct {
	P50, P99, P999       float64
	DirectP50, DirectP99 float64
	Probes               int
}

// Control is the traffic of control messages in bytes per second.
type Control struct {
	Measured bool
	Mean     float64 // per node
	Max      float64 // of the busiest node
}

// A Backend is what one backend server counted from its start.
type Backend struct {
	Host string
	standin.BackendStats
}

// A Second is one second of the run.
type Second struct {
	At      int
	Offered int
	OK      int
	Limited int
	NotRun  int
	Failed  int
	// P99 is the 99th percentile of answered calls in milliseconds.
	P99 float64
}

// An Aim is a measurement that was to be reached.
type Aim struct {
	What     string
	Wanted   float64
	Measured float64
	Met      bool
}

// Broken lists the checks with violations.
func (r *Report) BrokenPromises() []Check {
	var out []Check
	for _, c := range r.Checks {
		if c.Violations > 0 {
			out = append(out, c)
		}
	}
	return out
}

// Err is nil unless a promise was broken.
func (r *Report) Err() error {
	b := r.BrokenPromises()
	if len(b) == 0 {
		return nil
	}
	return PromiseBroken.New("%s: %s broken: %d %s", r.Name, b[0].Promise, b[0].Violations, b[0].What)
}

// maxLatencyUs is the largest latency that histograms tell apart.
const maxLatencyUs = int64(time.Minute / time.Microsecond)

// newHistogram counts microseconds with three significant figures.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyUs, 3) }

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyUs))
}

func percentileMs(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

// A tally builds a Row.
type rowCounter struct {
	row        Row
	authorized int
	served     int
	latency    *hdrhistogram.Histogram
}

func newRowCounter(name string) *rowCounter {
	return &rowCounter{row: Row{Name: name, Outcomes: map[Outcome]int{}}, latency: newHistogram()}
}

func (c *rowCounter) add(r *Result) {
	w := &c.row
	w.Offered++
	switch r.Outcome {
	case OutcomeOK:
		w.OK++
		recordLatency(c.latency, r.Latency())
	case OutcomeLimited:
		w.Limited++
	case OutcomeNotRun:
		w.NotRun++
	case OutcomeUnauthorized:
		w.Unauthorized++
	case OutcomeRepeated:
		w.Repeated++
	default:
		w.Failed++
		w.Outcomes[r.Outcome]++
	}
	if r.Authorized {
		c.authorized++
		// One of two sendings of a call is answered; the other is Repeated.
		if r.Outcome == OutcomeOK || r.Outcome == OutcomeRepeated {
			c.served++
		}
	}
}

func (c *rowCounter) finish() Row {
	w := &c.row
	w.Success = 1
	if c.authorized > 0 {
		w.Success = float64(c.served) / float64(c.authorized)
	}
	w.P50, w.P99, w.P999 = percentileMs(c.latency, 50), percentileMs(c.latency, 99), percentileMs(c.latency, 99.9)
	return *w
}

// conforms reports whether all the account's charged calls fit its rate and
// burst, both as scheduled and as sent.
func conforms(results []Result, a Account) bool {
	var scheduled, sent []time.Duration
	for i := range results {
		if r := &results[i]; r.Account == a.Name && r.UsesAccountKey {
			scheduled = append(scheduled, r.Call.At)
			sent = append(sent, r.SentAt)
		}
	}
	slices.Sort(scheduled)
	slices.Sort(sent)
	return refusedByTokenBucket(scheduled, a.Rate, a.Burst) == 0 && refusedByTokenBucket(sent, a.Rate, a.Burst) == 0
}

package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quetzaldock.example/quetzaldock/internal/standin"
)

// A Report contains the measurements and checks of a run. Counts and latencies
// exclude the warm-up; checks include it. Latencies are in milliseconds and
// count from the scheduled time of answered calls.
type Report struct {
	Name       string
	Deployment string
	Seed       uint64
	Nodes      int
	RunMs      int
	Calls      Row
	Accounts   []Row
	Classes    []Row
	// Reasons counts refusals and failures by outcome and Result.Detail.
	Reasons map[string]int
	// Served is the fraction of the authorized calls of accounts within their
	// rate that were answered. Wrongful is how many calls of such accounts were
	// refused as over the rate, WrongfulRatio the same as a fraction.
	Served        float64
	Wrongful      int
	WrongfulRatio float64
	// Worst is the account within its rate with the lowest success, and among
	// equals with the highest p99. SuccessSpread is how far its success is below
	// that of the median account, P99Spread how far the highest p99 is above the
	// median, both as fractions of the median.
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
	// Skipped is the number of scheduled calls that the driver could not send;
	// DriverLagMs is the p99 of its delay in sending.
	Skipped     int
	DriverLagMs float64
}

// A Row counts the calls of one account or class by outcome.
type Row struct {
	Name         string
	Offered      int
	OK           int
	Limited      int
	NotRun       int
	Unauthorized int
	Repeated     int
	// Failed counts all other outcomes, Outcomes each of them separately.
	Failed   int
	Outcomes map[Outcome]int
	// Conforming states that an ideal token bucket of the account's rate and
	// burst would have admitted all its calls. Wrongful is then the number of
	// its Limited calls.
	Conforming bool
	Wrongful   int
	// Success is the fraction of the authorized calls that were answered.
	Success float64
	// P50, P99 and P999 are latencies in milliseconds.
	P50  float64
	P99  float64
	P999 float64
}

// Added contains the latencies, in milliseconds, without the backend server's
// own time: of calls through the mesh, and of direct calls to a backend server
// (Probes of them). The difference is what the mesh adds.
type Added struct {
	P50, P99, P999       float64
	DirectP50, DirectP99 float64
	Probes               int
}

// Control is the traffic of control messages, in bytes per second.
type Control struct {
	Measured bool
	Mean     float64 // per node
	Max      float64 // of the busiest node
}

// A Backend contains the counts of one backend server since its creation.
type Backend struct {
	Host string
	standin.BackendStats
}

// A Second counts the calls of one second of the run by outcome; At counts
// seconds from the end of the warm-up.
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

// An Aim is a measurement with its target value.
type Aim struct {
	What     string
	Wanted   float64
	Measured float64
	Met      bool
}

// BrokenPromises returns the checks with violations.
func (r *Report) BrokenPromises() []Check {
	var out []Check
	for _, c := range r.Checks {
		if c.Violations > 0 {
			out = append(out, c)
		}
	}
	return out
}

// Err returns PromiseBroken with the first broken promise, or nil.
func (r *Report) Err() error {
	b := r.BrokenPromises()
	if len(b) == 0 {
		return nil
	}
	return PromiseBroken.New("%s: %s broken: %d %s", r.Name, b[0].Promise, b[0].Violations, b[0].What)
}

// maxLatencyUs is the maximum latency that histograms record; higher ones are
// recorded as this.
const maxLatencyUs = int64(time.Minute / time.Microsecond)

// newHistogram returns a histogram of microseconds with three significant
// digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyUs, 3) }

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyUs))
}

func percentileMs(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

// A rowCounter counts calls for a Row.
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
		// Of the two sendings of a repeated call one is answered and the other
		// gets OutcomeRepeated; both count as served.
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

// conforms reports whether all calls that count against the account's rate fit
// its rate and burst, both at their scheduled and at their sending times.
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

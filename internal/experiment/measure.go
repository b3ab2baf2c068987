package experiment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// measure fills in the counts, latencies and comparisons of the calls after the
// warm-up, without those of intruders.
func (r *Report) measure(spec *Spec, d *Deployment, results []Result) {
	warmUp := ms(spec.WarmUpMs)
	all := newRowCounter("all")
	accounts, classes := map[string]*rowCounter{}, map[string]*rowCounter{}
	seconds := newSecondCounter((spec.RunMs + 999) / 1000)
	r.Reasons = map[string]int{}
	lag, added := newHistogram(), newHistogram()
	for i := range results {
		result := &results[i]
		if result.Call.At < warmUp || result.Call.Intruder {
			continue
		}
		all.add(result)
		counterFor(accounts, result.Account).add(result)
		counterFor(classes, result.Class).add(result)
		if result.Outcome == OutcomeOK {
			recordLatency(added, result.AddedLatency())
		} else {
			r.Reasons[string(result.Outcome)+": "+result.Detail]++
		}
		recordLatency(lag, result.SentAt-result.Call.At)
		seconds.add(result, result.Call.At-warmUp)
	}
	r.Calls = all.finish()
	r.Seconds = seconds.finish()
	r.DriverLagMs = percentileMs(lag, 99)
	r.Added.P50, r.Added.P99, r.Added.P999 = percentileMs(added, 50), percentileMs(added, 99), percentileMs(added, 99.9)
	for _, n := range slices.Sorted(maps.Keys(classes)) {
		r.Classes = append(r.Classes, classes[n].finish())
	}
	authorized, served := 0, 0
	for _, a := range d.Accounts {
		c := counterFor(accounts, a.Name)
		row := c.finish()
		row.Conforming = conforms(results, a)
		if row.Conforming {
			row.Wrongful = row.Limited
			r.Wrongful += row.Limited
			authorized += c.authorized
			served += c.served
		}
		r.Accounts = append(r.Accounts, row)
	}
	r.Served = 1
	if authorized > 0 {
		r.Served = float64(served) / float64(authorized)
		r.WrongfulRatio = float64(r.Wrongful) / float64(authorized)
	}
	r.compareAccounts()
}

// counterFor returns the counter with the name and creates it if necessary.
func counterFor(m map[string]*rowCounter, name string) *rowCounter {
	c := m[name]
	if c == nil {
		c = newRowCounter(name)
		m[name] = c
	}
	return c
}

// A secondCounter counts the calls of each second of the run.
type secondCounter struct {
	rows      []Second
	latencies []*hdrhistogram.Histogram
}

func newSecondCounter(n int) *secondCounter {
	s := &secondCounter{rows: make([]Second, n), latencies: make([]*hdrhistogram.Histogram, n)}
	for i := range s.latencies {
		s.latencies[i] = newHistogram()
	}
	return s
}

// add counts a call that was scheduled at the given time after the warm-up.
func (s *secondCounter) add(r *Result, at time.Duration) {
	i := int(at / time.Second)
	if i >= len(s.rows) {
		return
	}
	row := &s.rows[i]
	row.Offered++
	switch r.Outcome {
	case OutcomeOK:
		row.OK++
		recordLatency(s.latencies[i], r.Latency())
	case OutcomeLimited:
		row.Limited++
	case OutcomeNotRun:
		row.NotRun++
	case OutcomeUnauthorized, OutcomeRepeated:
	default:
		row.Failed++
	}
}

func (s *secondCounter) finish() []Second {
	for i := range s.rows {
		s.rows[i].At, s.rows[i].P99 = i, percentileMs(s.latencies[i], 99)
	}
	return s.rows
}

// compareAccounts finds the worst account among those within their rate and
// compares it with the median account.
func (r *Report) compareAccounts() {
	var rows []Row
	for _, w := range r.Accounts {
		if w.Conforming && w.Offered > 0 {
			rows = append(rows, w)
		}
	}
	if len(rows) == 0 {
		return
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Or(cmp.Compare(a.Success, b.Success), cmp.Compare(b.P99, a.P99)) })
	r.Worst = rows[0].Name
	if m := rows[len(rows)/2].Success; m > 0 {
		r.SuccessSpread = 1 - rows[0].Success/m
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.P99, b.P99) })
	if m := rows[len(rows)/2].P99; m > 0 {
		r.P99Spread = rows[len(rows)-1].P99/m - 1
	}
}

// judgeAims compares the measurements with the aims that are set.
func (r *Report) judgeAims(a Aims) {
	atLeast := func(what string, wanted, measured float64) {
		if wanted != 0 {
			r.Aims = append(r.Aims, Aim{what, wanted, measured, measured >= wanted})
		}
	}
	atMost := func(what string, wanted, measured float64) {
		if wanted != 0 {
			r.Aims = append(r.Aims, Aim{what, wanted, measured, measured <= wanted})
		}
	}
	atLeast("served within rate", a.MinServed, r.Served)
	atMost("wrongful refusals", a.MaxWrongful, r.WrongfulRatio)
	slowest := int64(0)
	for _, c := range r.Convergence {
		if c.Judged {
			slowest = max(slowest, c.Ms)
		}
	}
	atMost("convergence in ms", float64(a.MaxConvergenceMs), float64(slowest))
	atMost("source reads in a second", float64(a.MaxSourceReads), float64(r.Source.PeakPerSecond))
	atMost("worst account's success below the median", a.MaxSpread, r.SuccessSpread)
	atMost("worst account's p99 above the median", a.MaxSpread, r.P99Spread)
}

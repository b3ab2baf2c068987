package experiment

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// measure fills in everything that follows from the results.
func (r *Report) measure(spec *Spec, d *Deployment, results []Result) {
	warmUp := ms(spec.WarmUpMs)
	all := newTally("all")
	accounts, classes := map[string]*tally{}, map[string]*tally{}
	seconds := make([]Second, (spec.RunMs+999)/1000)
	lag, added := newHistogram(), newHistogram()
	for i := range results {
		v := &results[i]
		if v.Arrival.At < warmUp || v.Arrival.Intruder {
			continue
		}
		all.add(v)
		of(accounts, v.Account).add(v)
		of(classes, v.Class).add(v)
		if v.Outcome == OK {
			record(added, v.Added())
		}
		record(lag, v.Sent-v.Arrival.At)
		addSecond(seconds, v, v.Arrival.At-warmUp)
	}
	r.Calls = all.finish()
	r.Seconds = seconds
	r.DriverLagMs = quantileMs(lag, 99)
	r.Added.P50, r.Added.P99, r.Added.P999 = quantileMs(added, 50), quantileMs(added, 99), quantileMs(added, 99.9)
	for _, n := range slices.Sorted(maps.Keys(classes)) {
		r.Classes = append(r.Classes, classes[n].finish())
	}
	entitled, served := 0, 0
	for _, a := range d.Accounts {
		t := of(accounts, a.Name)
		row := t.finish()
		row.Conforming = conforms(results, a)
		if row.Conforming {
			row.Wrongful = row.Limited
			r.Wrongful += row.Limited
			entitled += t.entitled
			served += t.served
		}
		r.Accounts = append(r.Accounts, row)
	}
	r.Served = 1
	if entitled > 0 {
		r.Served = float64(served) / float64(entitled)
		r.WrongfulRatio = float64(r.Wrongful) / float64(entitled)
	}
	r.compareAccounts()
}

func of(m map[string]*tally, name string) *tally {
	t := m[name]
	if t == nil {
		t = newTally(name)
		m[name] = t
	}
	return t
}

func addSecond(seconds []Second, r *Result, at time.Duration) {
	i := int(at / time.Second)
	if i >= len(seconds) {
		return
	}
	s := &seconds[i]
	s.At = i
	s.Offered++
	switch r.Outcome {
	case OK:
		s.OK++
	case Limited:
		s.Limited++
	case NotRun:
		s.NotRun++
	case Unauthorized, Repeated:
	default:
		s.Failed++
	}
}

// compareAccounts finds the worst-served account among those within their
// rate.
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

// judgeAims compares the measurements with the aims.
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

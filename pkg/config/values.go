package config

import "strconv"

// scope says which selectors make sense for a value.
type scope int

const (
	// anyScope values apply to one call.
	anyScope scope = iota
	// hostScope values apply to a host and cannot depend on the account.
	hostScope
	// accountScope values count fleet-wide and can depend only on the account.
	accountScope
)

// A setting describes one field of Values and Effective.
type setting struct {
	name     string
	scope    scope
	min, max float64
	get      func(v *Values) (float64, bool)
}

// UnlimitedRate is the Rate of an account without limit, the largest there is.
const UnlimitedRate = 1e7

// settings lists the fields of Values in the order of their declaration. The
// bounds exclude values that no deployment needs and that would overflow
// or stall arithmetic elsewhere.
var settings = []setting{
	{"Slots", hostScope, 1, 100_000, func(v *Values) (float64, bool) { return whole(v.Slots) }},
	{"ColdSlots", hostScope, 1, 100_000, func(v *Values) (float64, bool) { return whole(v.ColdSlots) }},
	{"ConnectionsPerSecond", hostScope, 1, 100_000, func(v *Values) (float64, bool) { return whole(v.ConnectionsPerSecond) }},
	{"QueuePerAccount", anyScope, 0, 100_000, func(v *Values) (float64, bool) { return whole(v.QueuePerAccount) }},
	{"CallTimeoutMs", anyScope, 1, 300_000, func(v *Values) (float64, bool) { return whole(v.CallTimeoutMs) }},
	{"RetryPercent", anyScope, 0, 100, func(v *Values) (float64, bool) { return whole(v.RetryPercent) }},
	{"MaxHeaderBytes", hostScope, 1024, 64 << 10, func(v *Values) (float64, bool) { return whole(v.MaxHeaderBytes) }},
	{"Rate", accountScope, 0.001, UnlimitedRate, func(v *Values) (float64, bool) { return fraction(v.Rate) }},
	{"Burst", accountScope, 1, 1e7, func(v *Values) (float64, bool) { return fraction(v.Burst) }},
}

func whole(p *int) (float64, bool) {
	if p == nil {
		return 0, false
	}
	return float64(*p), true
}

func fraction(p *float64) (float64, bool) {
	if p == nil {
		return 0, false
	}
	return *p, true
}

func numeral(v float64) string {
	return strconv.FormatFloat(v, 'f', -1, 64)
}

// checkValues checks the range of every value that is set.
func checkValues(f *Faults, part, key string, v *Values) {
	for _, s := range settings {
		// The comparison is written so that NaN fails it.
		if x, ok := s.get(v); ok && !(x >= s.min && x <= s.max) {
			f.add(part, key+"."+s.name, "%s is not between %s and %s", numeral(x), numeral(s.min), numeral(s.max))
		}
	}
}

// apply overrides e with the values that v sets.
func (e *EffectiveValues) apply(v *Values) {
	set(&e.Slots, v.Slots)
	set(&e.ColdSlots, v.ColdSlots)
	set(&e.ConnectionsPerSecond, v.ConnectionsPerSecond)
	set(&e.QueuePerAccount, v.QueuePerAccount)
	set(&e.CallTimeoutMs, v.CallTimeoutMs)
	set(&e.RetryPercent, v.RetryPercent)
	set(&e.MaxHeaderBytes, v.MaxHeaderBytes)
	set(&e.Rate, v.Rate)
	set(&e.Burst, v.Burst)
}

func set[T int | float64](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// merge sets in v every value that w sets.
func (v *Values) merge(w *Values) {
	inherit(&v.Slots, w.Slots)
	inherit(&v.ColdSlots, w.ColdSlots)
	inherit(&v.ConnectionsPerSecond, w.ConnectionsPerSecond)
	inherit(&v.QueuePerAccount, w.QueuePerAccount)
	inherit(&v.CallTimeoutMs, w.CallTimeoutMs)
	inherit(&v.RetryPercent, w.RetryPercent)
	inherit(&v.MaxHeaderBytes, w.MaxHeaderBytes)
	inherit(&v.Rate, w.Rate)
	inherit(&v.Burst, w.Burst)
}

func inherit[T int | float64](to **T, from *T) {
	if from != nil {
		*to = from
	}
}

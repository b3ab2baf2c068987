package config

import "strconv"

// A scope says on which selectors a value may depend.
type scope int

const (
	// callScope values apply to one call and may depend on every selector.
	callScope scope = iota
	// hostScope values apply to a host and cannot depend on the account.
	hostScope
	// accountScope values apply to the whole fleet and can depend only on the
	// account.
	accountScope
)

// A valueField describes one field of Values and EffectiveValues.
type valueField struct {
	name     string
	scope    scope
	min, max float64
	// get returns the field's value and whether it is set.
	get func(v *Values) (float64, bool)
}

// UnlimitedRate is the Rate, in requests per second, of an account without
// limit. It is the largest Rate that is accepted.
const UnlimitedRate = 1e7

// The smallest Rate and the bounds of Burst that are accepted.
const (
	MinRate  = 0.001
	MinBurst = 1
	MaxBurst = 1e7
)

// valueFields lists the fields of Values in the order of their declaration. The
// bounds exclude values that no deployment needs and with which computations
// elsewhere would overflow or not end.
var valueFields = []valueField{
	{"Slots", hostScope, 1, 100_000, func(v *Values) (float64, bool) { return intValue(v.Slots) }},
	{"ColdSlots", hostScope, 1, 100_000, func(v *Values) (float64, bool) { return intValue(v.ColdSlots) }},
	{"ConnectionsPerSecond", hostScope, 1, 100_000, func(v *Values) (float64, bool) { return intValue(v.ConnectionsPerSecond) }},
	{"QueuePerAccount", callScope, 0, 100_000, func(v *Values) (float64, bool) { return intValue(v.QueuePerAccount) }},
	{"CallTimeoutMs", callScope, 1, 300_000, func(v *Values) (float64, bool) { return intValue(v.CallTimeoutMs) }},
	{"RetryPercent", callScope, 0, 100, func(v *Values) (float64, bool) { return intValue(v.RetryPercent) }},
	{"MaxHeaderBytes", hostScope, 1024, 64 << 10, func(v *Values) (float64, bool) { return intValue(v.MaxHeaderBytes) }},
	{"Rate", accountScope, MinRate, UnlimitedRate, func(v *Values) (float64, bool) { return floatValue(v.Rate) }},
	{"Burst", accountScope, MinBurst, MaxBurst, func(v *Values) (float64, bool) { return floatValue(v.Burst) }},
}

func intValue(p *int) (float64, bool) {
	if p == nil {
		return 0, false
	}
	return float64(*p), true
}

func floatValue(p *float64) (float64, bool) {
	if p == nil {
		return 0, false
	}
	return *p, true
}

func formatNumber(v float64) string {
	return strconv.FormatFloat(v, 'f', -1, 64)
}

// checkValues adds a fault for each value that is set and out of its range.
func checkValues(f *Faults, part, key string, v *Values) {
	for _, field := range valueFields {
		// The comparison is negated so that NaN is a fault.
		if x, ok := field.get(v); ok && !(x >= field.min && x <= field.max) {
			f.add(part, key+"."+field.name, "%s is not between %s and %s", formatNumber(x), formatNumber(field.min), formatNumber(field.max))
		}
	}
}

// override replaces the values of e that v sets.
func (e *EffectiveValues) override(v *Values) {
	assignIfSet(&e.Slots, v.Slots)
	assignIfSet(&e.ColdSlots, v.ColdSlots)
	assignIfSet(&e.ConnectionsPerSecond, v.ConnectionsPerSecond)
	assignIfSet(&e.QueuePerAccount, v.QueuePerAccount)
	assignIfSet(&e.CallTimeoutMs, v.CallTimeoutMs)
	assignIfSet(&e.RetryPercent, v.RetryPercent)
	assignIfSet(&e.MaxHeaderBytes, v.MaxHeaderBytes)
	assignIfSet(&e.Rate, v.Rate)
	assignIfSet(&e.Burst, v.Burst)
}

func assignIfSet[T int | float64](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// merge replaces the values of v that w sets.
func (v *Values) merge(w *Values) {
	replaceIfSet(&v.Slots, w.Slots)
	replaceIfSet(&v.ColdSlots, w.ColdSlots)
	replaceIfSet(&v.ConnectionsPerSecond, w.ConnectionsPerSecond)
	replaceIfSet(&v.QueuePerAccount, w.QueuePerAccount)
	replaceIfSet(&v.CallTimeoutMs, w.CallTimeoutMs)
	replaceIfSet(&v.RetryPercent, w.RetryPercent)
	replaceIfSet(&v.MaxHeaderBytes, w.MaxHeaderBytes)
	replaceIfSet(&v.Rate, w.Rate)
	replaceIfSet(&v.Burst, w.Burst)
}

func replaceIfSet[T int | float64](to **T, from *T) {
	if from != nil {
		*to = from
	}
}

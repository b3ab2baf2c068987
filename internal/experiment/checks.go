package experiment

import (
	"fmt"
	"math"
	"slices"
	"time"

	"quetzaldock.example/quetzaldock/internal/standin"
)

const (
	// promiseGrace is what "within seconds" means in the promises: the target
	// for a change to be in force everywhere.
	promiseGrace = 4 * time.Second
	// roundingSlack allows for the arithmetic of overAdmission, in requests.
	roundingSlack = 0.01
	// maxDetails bounds the examples that a check keeps.
	maxDetails = 5
)

// A Check is the judgement on one promise.
type Check struct {
	Promise    string
	What       string
	Violations int
	// Details holds the first few violations, or a figure.
	Details []string
}

func (c *Check) violate(format string, args ...any) {
	c.Violations++
	if len(c.Details) < maxDetails {
		c.Details = append(c.Details, fmt.Sprintf(format, args...))
	}
}

// checkAnswers judges P10: each caller gets the whole answer to its own
// request.
func checkAnswers(results []Result) Check {
	c := Check{Promise: "P10", What: "answers that are not the caller's own or not whole"}
	for i := range results {
		if r := &results[i]; r.Outcome == Wrong {
			c.violate("%s by %s", r.Arrival.Trial, r.Host)
		}
	}
	return c
}

// checkNotRun judges P11: what was refused as not run was not executed.
// Repeated calls are left out, because the other sending may have run.
func checkNotRun(results []Result, x *standin.Executions) Check {
	c := Check{Promise: "P11", What: "requests refused as not run that ran"}
	for i := range results {
		r := &results[i]
		if r.Reason == "" || r.Arrival.RepeatHost >= 0 {
			continue
		}
		if n := x.CountForTrial(r.Arrival.Trial); n > 0 {
			c.violate("%s: %d %s at %s, ran %d times", r.Arrival.Trial, r.Status, r.Reason, r.Ingress, n)
		}
	}
	return c
}

// checkDoubled judges P12: a request that is not idempotent runs at most once.
func checkDoubled(results []Result, x *standin.Executions) Check {
	c := Check{Promise: "P12", What: "non-idempotent requests that ran twice"}
	for _, k := range x.DuplicateKeys() {
		c.violate("key %s", k)
	}
	for i := range results {
		r := &results[i]
		if r.Keyed && !r.Repetition && x.CountForTrial(r.Arrival.Trial) > 1 {
			c.violate("%s", r.Arrival.Trial)
		}
	}
	return c
}

// checkLeaks judges P7: no backend server sees a caller's key.
func checkLeaks(x *standin.Executions) Check {
	c := Check{Promise: "P7", What: "requests that brought a caller's key to a backend server"}
	if n := x.LeakedRequestCount(); n > 0 {
		c.Violations = n
	}
	return c
}

// checkIntruders judges P6: no keyed route runs a call without a valid key. A
// run under another account than the key's is found by checkAnswers.
func checkIntruders(results []Result, x *standin.Executions) Check {
	c := Check{Promise: "P6", What: "requests without a valid key that ran"}
	for i := range results {
		r := &results[i]
		if r.Arrival.Intruder && x.CountForTrial(r.Arrival.Trial) > 0 {
			c.violate("%s at %s", r.Arrival.Trial, r.Ingress)
		}
	}
	return c
}

// checkRates judges P9 for every account and window.
func checkRates(results []Result, d *Deployment, x *standin.Executions) Check {
	c := Check{Promise: "P9", What: "requests admitted over rate and burst"}
	for _, a := range d.Accounts {
		var spans []span
		for i := range results {
			r := &results[i]
			if r.Account == a.Name && r.Charged && !r.Repetition && r.Outcome == OK && x.CountForTrial(r.Arrival.Trial) > 0 {
				spans = append(spans, span{r.Sent, r.Done})
			}
		}
		excess := overAdmission(spans, a.Rate, a.Burst)
		if excess > roundingSlack {
			c.Violations += int(excess) + 1
			c.Details = append(c.Details, fmt.Sprintf("%s: %.1f over", a.Name, excess))
		}
	}
	return c
}

// A barrier is a time from which something must not get work any more, until
// it is lifted (0 means never). A change that was published while the
// configuration service had a fault counts from the fault's end: until then
// nobody can know of it, and a service that answers stale values cannot be told
// from a good one.
type barrier struct {
	kind   string
	target string
	from   time.Duration
	until  time.Duration
}

// notShown is the start of a barrier whose change the configuration service
// does not show yet.
const notShown = time.Duration(math.MaxInt64)

func (b *barrier) holds(at time.Duration) bool {
	return at > b.from && (b.until == 0 || at < b.until)
}

// checkBarriers judges P5, P13 and P8: zones and hosts taken out get no new
// work, and withdrawn keys no answers, a few seconds after the change.
func checkBarriers(results []Result, barriers []barrier, zoneOf map[string]string) []Check {
	zones := Check{Promise: "P5", What: "requests run in a zone or host long out"}
	keys := Check{Promise: "P8", What: "requests run with a key long withdrawn"}
	last := map[string]time.Duration{}
	for i := range results {
		r := &results[i]
		if r.Outcome != OK {
			continue
		}
		for j := range barriers {
			b := &barriers[j]
			if !b.hits(r, zoneOf) || !b.holds(r.Sent) {
				continue
			}
			after := r.Sent - b.from
			last[b.kind+" "+b.target] = max(last[b.kind+" "+b.target], after)
			c := &zones
			if b.kind == targetAccount {
				c = &keys
			}
			if after > promiseGrace {
				c.violate("%s sent %d ms after %s %s", r.Arrival.Trial, after.Milliseconds(), b.kind, b.target)
			}
		}
	}
	for k, d := range last {
		c := &zones
		if k[:len(targetAccount)] == targetAccount {
			c = &keys
		}
		c.Details = append(c.Details, fmt.Sprintf("last work for %s %d ms after the change", k, d.Milliseconds()))
	}
	slices.Sort(zones.Details)
	slices.Sort(keys.Details)
	return []Check{zones, keys}
}

func (b *barrier) hits(r *Result, zoneOf map[string]string) bool {
	switch b.kind {
	case targetZone:
		return zoneOf[r.Host] == b.target
	case targetHost:
		return r.Host == b.target
	default:
		return r.Charged && r.Account == b.target
	}
}

// checkCold judges P4: no backend server is overloaded while it is cold.
func checkCold(hosts []string, stats func(string) standin.BackendStats) Check {
	c := Check{Promise: "P4", What: "cold backend servers that fell over"}
	excess := 0
	for _, h := range hosts {
		s := stats(h)
		excess = max(excess, s.ColdExcess)
		for range s.FellOver {
			c.violate("%s, %d requests beyond its capacity", h, s.ColdExcess)
		}
	}
	c.Details = append(c.Details, fmt.Sprintf("at most %d requests beyond the capacity of a cold server", excess))
	return c
}

// checkStops judges P14 in runs whose only ends of processes are planned
// stops: no call that runs is cut. A request that a caller sent on a
// connection while the host closed it did not run; HTTP/1.1 cannot avoid that.
// Calls that ended before the first stop are left out.
func checkStops(results []Result, spec *Spec, x *standin.Executions) (Check, bool) {
	c := Check{Promise: "P14", What: "requests cut by a planned stop"}
	planned, from := false, time.Duration(0)
	for _, e := range spec.Events {
		switch e.Do {
		case StopNode:
			if !planned {
				planned, from = true, ms(spec.WarmUpMs+e.AtMs)
			}
		case KillNode, RestartNodes, RestartBackend, SilenceBackend, RestartBackends, SilencePeers, PartitionZone:
			return c, false
		}
	}
	for i := range results {
		r := &results[i]
		if r.Done >= from && (r.Outcome == Cut || r.Outcome == Unknown) && x.CountForTrial(r.Arrival.Trial) > 0 {
			c.violate("%s at %s: %s", r.Arrival.Trial, r.Ingress, r.Outcome)
		}
	}
	return c, planned
}

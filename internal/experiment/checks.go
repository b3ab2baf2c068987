package experiment

import (
	"fmt"
	"math"
	"slices"
	"time"

	"quetzaldock.example/quetzaldock/internal/standin"
)

const (
	// changeDeadline is the time within which a change must be in force
	// everywhere. The promises say "within seconds".
	changeDeadline = 4 * time.Second
	// excessTolerance allows for the rounding of maxWindowExcess, in requests.
	excessTolerance = 0.01
	// maxDetails limits the violations that a check describes.
	maxDetails = 5
)

// A Check is the result of checking one promise.
type Check struct {
	// Promise is the number of the promise, such as "P9".
	Promise string
	// What describes what Violations counts.
	What       string
	Violations int
	// Details describes the first few violations, or contains a measurement.
	Details []string
}

// violate counts a violation and keeps its description up to maxDetails.
func (c *Check) violate(format string, args ...any) {
	c.Violations++
	if len(c.Details) < maxDetails {
		c.Details = append(c.Details, fmt.Sprintf(format, args...))
	}
}

// checkAnswers checks P10: each caller gets the complete answer to its own
// request.
func checkAnswers(results []Result) Check {
	c := Check{Promise: "P10", What: "answers that are not the caller's own or not whole"}
	for i := range results {
		if r := &results[i]; r.Outcome == OutcomeWrong {
			c.violate("%s by %s", r.Call.TrialID, r.Host)
		}
	}
	return c
}

// checkNotRun checks P11: a request that was refused as not run did not run.
// Repeated calls are left out, because the other sending may have run.
func checkNotRun(results []Result, executions *standin.Executions) Check {
	c := Check{Promise: "P11", What: "requests refused as not run that ran"}
	for i := range results {
		r := &results[i]
		if r.Reason == "" || r.Call.RepeatHostIndex >= 0 {
			continue
		}
		if n := executions.CountForTrial(r.Call.TrialID); n > 0 {
			c.violate("%s: %d %s at %s, ran %d times", r.Call.TrialID, r.Status, r.Reason, r.IngressHost, n)
		}
	}
	return c
}

// checkDuplicateRuns checks P12: a request that is not idempotent runs at most
// once.
func checkDuplicateRuns(results []Result, executions *standin.Executions) Check {
	c := Check{Promise: "P12", What: "non-idempotent requests that ran twice"}
	for _, k := range executions.DuplicateKeys() {
		c.violate("key %s", k)
	}
	for i := range results {
		r := &results[i]
		if r.AtMostOnce && !r.Repetition && executions.CountForTrial(r.Call.TrialID) > 1 {
			c.violate("%s", r.Call.TrialID)
		}
	}
	return c
}

// checkKeyLeaks checks P7: no backend server receives the account key of a
// caller.
func checkKeyLeaks(executions *standin.Executions) Check {
	c := Check{Promise: "P7", What: "requests that brought a caller's key to a backend server"}
	if n := executions.LeakedRequestCount(); n > 0 {
		c.Violations = n
	}
	return c
}

// checkIntruders checks P6: a route that requires an account key runs no call
// without a valid one. Calls that ran under the wrong account are found by
// checkAnswers.
func checkIntruders(results []Result, executions *standin.Executions) Check {
	c := Check{Promise: "P6", What: "requests without a valid key that ran"}
	for i := range results {
		r := &results[i]
		if r.Call.Intruder && executions.CountForTrial(r.Call.TrialID) > 0 {
			c.violate("%s at %s", r.Call.TrialID, r.IngressHost)
		}
	}
	return c
}

// checkRates checks P9: no account is admitted more than its rate and burst in
// any time window.
func checkRates(results []Result, d *Deployment, executions *standin.Executions) Check {
	c := Check{Promise: "P9", What: "requests admitted over rate and burst"}
	for _, a := range d.Accounts {
		var intervals []admissionInterval
		for i := range results {
			r := &results[i]
			if r.Account == a.Name && r.UsesAccountKey && !r.Repetition && r.Outcome == OutcomeOK && executions.CountForTrial(r.Call.TrialID) > 0 {
				intervals = append(intervals, admissionInterval{r.SentAt, r.DoneAt})
			}
		}
		excess := maxWindowExcess(intervals, a.Rate, a.Burst)
		if excess > excessTolerance {
			c.Violations += int(excess) + 1
			c.Details = append(c.Details, fmt.Sprintf("%s: %.1f over", a.Name, excess))
		}
	}
	return c
}

// An exclusion is a period in which a zone, host or account must not get work;
// until 0 means that it does not end. If the change was published while the
// configuration service had a fault, the period begins with the fault's end:
// until then no node can know the change, because a service that answers with
// stale values looks like a healthy one.
type exclusion struct {
	targetKind string
	target     string
	from       time.Duration
	until      time.Duration
}

// notYetVisible is the start of an exclusion while the configuration service
// has a fault.
const notYetVisible = time.Duration(math.MaxInt64)

// activeAt reports whether a call sent at the time falls into the period.
func (x *exclusion) activeAt(at time.Duration) bool {
	return at > x.from && (x.until == 0 || at < x.until)
}

// checkExclusions checks P5 and P13 (zones and hosts taken out of service get no
// new work) and P8 (withdrawn keys get no answers). Work within changeDeadline
// after the change is no violation.
func checkExclusions(results []Result, exclusions []exclusion, zoneOf map[string]string) []Check {
	zoneCheck := Check{Promise: "P5", What: "requests run in a zone or host long out"}
	keyCheck := Check{Promise: "P8", What: "requests run with a key long withdrawn"}
	lastWork := map[string]time.Duration{}
	for i := range results {
		r := &results[i]
		if r.Outcome != OutcomeOK {
			continue
		}
		for j := range exclusions {
			x := &exclusions[j]
			if !x.matches(r, zoneOf) || !x.activeAt(r.SentAt) {
				continue
			}
			after := r.SentAt - x.from
			lastWork[x.targetKind+" "+x.target] = max(lastWork[x.targetKind+" "+x.target], after)
			c := &zoneCheck
			if x.targetKind == targetAccount {
				c = &keyCheck
			}
			if after > changeDeadline {
				c.violate("%s sent %d ms after %s %s", r.Call.TrialID, after.Milliseconds(), x.targetKind, x.target)
			}
		}
	}
	for k, d := range lastWork {
		c := &zoneCheck
		if k[:len(targetAccount)] == targetAccount {
			c = &keyCheck
		}
		c.Details = append(c.Details, fmt.Sprintf("last work for %s %d ms after the change", k, d.Milliseconds()))
	}
	slices.Sort(zoneCheck.Details)
	slices.Sort(keyCheck.Details)
	return []Check{zoneCheck, keyCheck}
}

// matches reports whether the call ran in the excluded zone, on the excluded
// host or for the excluded account.
func (x *exclusion) matches(r *Result, zoneOf map[string]string) bool {
	switch x.targetKind {
	case targetZone:
		return zoneOf[r.Host] == x.target
	case targetHost:
		return r.Host == x.target
	default:
		return r.UsesAccountKey && r.Account == x.target
	}
}

// checkColdOverload checks P4: no backend server is overloaded while it is cold.
func checkColdOverload(hostIDs []string, stats func(string) standin.BackendStats) Check {
	c := Check{Promise: "P4", What: "cold backend servers that fell over"}
	excess := 0
	for _, host := range hostIDs {
		s := stats(host)
		excess = max(excess, s.ColdExcess)
		for range s.FellOver {
			c.violate("%s, %d requests beyond its capacity", host, s.ColdExcess)
		}
	}
	c.Details = append(c.Details, fmt.Sprintf("at most %d requests beyond the capacity of a cold server", excess))
	return c
}

// checkPlannedStops checks P14: a planned stop cuts off no call that runs. It
// returns false for runs without planned stops, and for those with other events
// that cut connections. Calls that ended before the first stop are left out, and
// so are cut calls that did not run: HTTP/1.1 can't prevent that a caller sends
// a request on a connection that the host is closing.
func checkPlannedStops(results []Result, spec *Spec, executions *standin.Executions) (Check, bool) {
	c := Check{Promise: "P14", What: "requests cut by a planned stop"}
	planned, firstStop := false, time.Duration(0)
	for _, e := range spec.Events {
		switch e.Do {
		case StopNode:
			if !planned {
				planned, firstStop = true, ms(spec.WarmUpMs+e.AtMs)
			}
		case KillNode, RestartNodes, RestartBackend, SilenceBackend, RestartBackends, SilencePeers, PartitionZone:
			return c, false
		}
	}
	for i := range results {
		r := &results[i]
		if r.DoneAt >= firstStop && (r.Outcome == OutcomeCut || r.Outcome == OutcomeUnknown) && executions.CountForTrial(r.Call.TrialID) > 0 {
			c.violate("%s at %s: %s", r.Call.TrialID, r.IngressHost, r.Outcome)
		}
	}
	return c, planned
}

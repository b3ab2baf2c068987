// Package balance is the client side of load balancing between hosts: it chooses
// the host for each call, by availability zone, load and latency, ejects failing
// hosts, and decides whether a failed call is retried. It opens no socket and
// starts no goroutine.
package balance

import "time"

// A Target is a host that runs calls of a service.
type Target struct {
	// ID is unique over all services.
	ID          string
	Service     string
	Zone        string
	CallAddress string
	// OutOfService is set if the configuration takes the host or its zone out
	// of service.
	OutOfService bool
	// Permits is the published number of calls that the host runs at once; zero
	// if unknown.
	Permits int
	// Leaving is set if the platform's host list marks the host as leaving.
	Leaving bool
}

// A Load is a host's report in the header Quetzaldock-Load, in calls.
type Load struct {
	Running int
	// Permits is the number of calls that may run at once.
	Permits int
	Queued  int
	// Pace is how long work takes on the host at present, relative to usual: 1 is
	// as usual, 2 twice as long, 0 unknown.
	Pace float64
	// PaceStated is set if the host states its pace, also while it is not known.
	PaceStated bool
}

// A Result is the outcome of a call as evidence about the host.
type Result int

// The results of a call.
const (
	// Answered: the host answered, with any status.
	Answered Result = iota
	// Overloaded: the host refused the call because of its load.
	Overloaded
	// NotAccepting: the host accepts no new work, since it is leaving, draining,
	// out of service, or has an outdated configuration.
	NotAccepting
	// Failed: the connection failed, or no answer came in time.
	Failed
	// Canceled: the caller canceled the call, which says nothing about the host.
	Canceled
)

// A hostState is what the Chooser knows about one target.
type hostState struct {
	Target
	inFlight int
	// reported is the last report, received at reportedAt when this node had
	// inFlightAtReport calls at the host.
	reported         Load
	inFlightAtReport int
	reportedAt       time.Time
	// failures counts consecutive failures.
	failures int
	// ejections counts the ejections since the last answer.
	ejections    int
	ejectedUntil time.Time
	// notAcceptingUntil is set when the host itself refuses new work.
	notAcceptingUntil time.Time
	// rampStart is the start of the host's ramp; zero if it has no ramp.
	rampStart time.Time
	// joinedLater is set for hosts that were not in the first list of targets.
	joinedLater bool
	// latency is the moving average of the latencies of successful answers, last
	// updated at observedAt; zero before the first one.
	latency    time.Duration
	observedAt time.Time
	// meanStart is the mean start time of the calls in flight.
	meanStart time.Time
	// freeSlots is the number of slots that answers to this node have freed, the last
	// one at freedAt, and that its calls have not taken since.
	freeSlots int
	freedAt   time.Time
	// refusedAt is the time of the last refusal because of the host's load.
	refusedAt time.Time
}

// permits returns the host's concurrency limit: the reported one, else the
// published one, else defaultPermits.
func (h *hostState) permits() float64 {
	switch {
	case h.reported.Permits > 0:
		return float64(h.reported.Permits)
	case h.Permits > 0:
		return float64(h.Permits)
	}
	return defaultPermits
}

// limitKnown reports whether the host's concurrency limit is reported or published.
func (h *hostState) limitKnown() bool { return h.reported.Permits > 0 || h.Permits > 0 }

// Package balance chooses the host that runs a call and decides about
// retries. It opens no socket and starts no goroutine.
package balance

import "time"

// A Target is a host that runs calls of a service.
type Target struct {
	// ID is unique over all services.
	ID          string
	Service     string
	Zone        string
	CallAddress string
	// Out: the configuration takes the host or its zone out of service.
	OutOfService bool
	// Permits is the number of calls the host runs at once, as far as that was
	// published; zero if it was not.
	Permits int
	// Leaving: the platform's list says that the host is leaving.
	Leaving bool
}

// A Load is what a host last reported in the header Quetzaldock-Load.
type Load struct {
	Running int
	Permits int
	Queued  int
}

// A Result says how a call at a host ended, as far as it says something
// about the host.
type Result int

// The results of a call.
const (
	// Good: the host answered, whatever the status of the answer.
	Answered Result = iota
	// NotRun: the host refused the call for its load.
	Overloaded
	// Closed: the host takes no new work (leaving, draining, out, behind).
	NotAccepting
	// Failed: the connection failed, or no answer came in time.
	Failed
	// Canceled: the caller gave up; this says nothing about the host.
	Canceled
)

// peer is what the Chooser knows about one target.
type peer struct {
	Target
	inFlight int
	// load is the last report; own is inFlight at that time.
	load   Load
	own    int
	loadAt time.Time
	// failures counts consecutive failures.
	failures int
	// ejections counts ejections without a good answer in between.
	ejections    int
	ejectedUntil time.Time
	// closedUntil is set when the host itself refused new work.
	closedUntil time.Time
	// rampFrom is the time at which the host returned; zero means long ago.
	rampFrom time.Time
	// joined is set for hosts that were not in the first view.
	joined bool
	// latency is the moving average of good answers, zero before the first.
	latency    time.Duration
	observedAt time.Time
	// begun is the mean start of the calls in flight.
	begun time.Time
}

// permits returns the host's concurrency limit; an unknown one is small.
func (p *peer) permits() float64 {
	switch {
	case p.load.Permits > 0:
		return float64(p.load.Permits)
	case p.Permits > 0:
		return float64(p.Permits)
	}
	return unknownPermits
}

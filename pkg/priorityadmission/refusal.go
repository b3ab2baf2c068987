package priorityadmission

import "time"

// A Reason says why a request was refused.
type Reason string

// The reasons of a door.
const (
	// Full: the server has no room and the request may not wait.
	Full Reason = "Full"
	// Slow: the server would not answer within the objective, and the request
	// may not wait. Another one may be quicker.
	Slow Reason = "Slow"
	// Overloaded: the request would get its turn too late.
	Overloaded Reason = "Overloaded"
	// Late: the deadline came too close while the request waited.
	Late Reason = "Late"
	// Canceled: the caller left while the request waited.
	Canceled Reason = "Canceled"
	// Draining: the server is leaving or gone.
	Draining Reason = "Draining"
	// ZoneOut: the server's zone is taken out.
	ZoneOut Reason = "ZoneOut"
	// Starting: the node does not know yet what the server bears.
	Starting Reason = "Starting"
	// Leaving: the node is being stopped.
	Leaving Reason = "Leaving"
	// Unreachable: the server does not take connections.
	Unreachable Reason = "Unreachable"
)

// Closed reports whether the server takes no new work at all.
func (r Reason) RefusesAllWork() bool {
	return r == Draining || r == ZoneOut || r == Leaving || r == Unreachable
}

// A Refusal is the error of a request that was not admitted and has not run.
type Refusal struct {
	Reason Reason
	// After is when there may be room, from now; zero if that is not known.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "not run: " + string(r.Reason) }

package priorityadmission

import "time"

// A Reason says why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	// Full: no slot is free and the request has NoWait set.
	Full Reason = "Full"
	// Slow: the server would probably miss the objective and the request has
	// NoWait set; another server may be quicker.
	Slow Reason = "Slow"
	// Overloaded: the request would get a slot too late.
	Overloaded Reason = "Overloaded"
	// Late: too little time until the deadline was left while the request
	// waited.
	Late Reason = "Late"
	// Waited: the request has waited until its StartBy; another server may have
	// room.
	Waited Reason = "Waited"
	// Canceled: the caller canceled the request while it waited.
	Canceled Reason = "Canceled"
	// Draining: the server is draining or gone.
	Draining Reason = "Draining"
	// ZoneOut: the availability zone of the server is out of service.
	ZoneOut Reason = "ZoneOut"
	// Starting: the node does not know yet which load the server can take.
	Starting Reason = "Starting"
	// Leaving: the node is stopping.
	Leaving Reason = "Leaving"
	// Unreachable: the server does not accept connections.
	Unreachable Reason = "Unreachable"
)

// RefusesAllWork reports whether the reason means that the server accepts no
// new requests at all.
func (r Reason) RefusesAllWork() bool {
	return r == Draining || r == ZoneOut || r == Leaving || r == Unreachable
}

// A Refusal is the error of a request that was not admitted and has not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which a slot may be free; zero if unknown.
	RetryAfter time.Duration
}

// Error returns the reason as an error message.
func (r *Refusal) Error() string { return "not run: " + string(r.Reason) }

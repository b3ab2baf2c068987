package fairadmission

import "github.com/joomcode/errorx"

// Errors is the namespace of the errors of this package.
var ErrorNamespace = errorx.NewNamespace("gate")

// NotRun is the errorx type behind every Refusal.
var NotRun = ErrorNamespace.NewType("not_run").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// A Reason names why a call was refused. It is the value of the header
// Quetzaldock-Not-Run.
type Reason string

// The reasons of refusals. Each of them means that the call was not run.
const (
	// Overloaded: the expected wait passes the deadline.
	Overloaded Reason = "Overloaded"
	// QueueFull: the account has QueuePerAccount calls waiting.
	QueueFull Reason = "QueueFull"
	// Late: the deadline passed before the call was started.
	Late Reason = "Late"
	// Canceled: the caller gave up while the call waited.
	Canceled Reason = "Canceled"
	// Draining: the backend server is being drained.
	Draining Reason = "Draining"
	// ZoneOut: the availability zone was taken out.
	ZoneOut Reason = "ZoneOut"
	// HostOut: the host was taken out.
	HostOut Reason = "HostOut"
	// Leaving: the host is on the platform's list as leaving, or the node stops.
	Leaving Reason = "Leaving"
	// Behind: the node knows of a newer configuration than its own.
	Behind Reason = "Behind"
	// Paused: the call arrived while the process did not run.
	Paused Reason = "Paused"
)

// A Refusal is the error of a call that was not run.
type Refusal struct {
	Reason Reason
}

// Refuse returns a Refusal for the reason.
func NewRefusal(r Reason) *Refusal { return &Refusal{Reason: r} }

// Error returns the reason in the form of an error message.
func (r *Refusal) Error() string { return "gate: call was not run: " + string(r.Reason) }

// Unwrap returns an error of type NotRun.
func (r *Refusal) Unwrap() error { return NotRun.New("%s", r.Reason) }

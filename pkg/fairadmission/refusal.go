package fairadmission

import "github.com/joomcode/errorx"

// ErrorNamespace is the namespace of the errors of this package.
var ErrorNamespace = errorx.NewNamespace("gate")

// NotRun is the errorx type behind every Refusal.
var NotRun = ErrorNamespace.NewType("not_run").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// A Reason says why a request was refused. It is the value of the header
// Quetzaldock-Not-Run.
type Reason string

// The reasons for a refusal. Each of them means that the request has not run.
const (
	// Overloaded: the request would probably not end before its deadline.
	Overloaded Reason = "Overloaded"
	// QueueFull: the account has QueuePerAccount requests waiting.
	QueueFull Reason = "QueueFull"
	// Late: the deadline passed before the request was started.
	Late Reason = "Late"
	// Canceled: the caller canceled the request while it waited.
	Canceled Reason = "Canceled"
	// Draining: the backend server is draining.
	Draining Reason = "Draining"
	// ZoneOut: the availability zone is out of service.
	ZoneOut Reason = "ZoneOut"
	// HostOut: the host is out of service.
	HostOut Reason = "HostOut"
	// Leaving: the platform lists the host as leaving, or the node is stopping.
	Leaving Reason = "Leaving"
	// Behind: the node knows of a newer configuration than its own.
	Behind Reason = "Behind"
	// Paused: the request arrived while the process was paused.
	Paused Reason = "Paused"
)

// A Refusal is the error of a request that has not run.
type Refusal struct {
	Reason Reason
}

// NewRefusal returns a Refusal for the reason.
func NewRefusal(r Reason) *Refusal { return &Refusal{Reason: r} }

// Error returns the reason as an error message.
func (r *Refusal) Error() string { return "request was not run: " + string(r.Reason) }

// Unwrap returns an error of type NotRun.
func (r *Refusal) Unwrap() error { return NotRun.New("%s", r.Reason) }

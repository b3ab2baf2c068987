package experiment

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"quetzaldock.example/quetzaldock/internal/standin"
)

// An Outcome is how a call ended for the caller.
type Outcome string

// The outcomes of a call.
const (
	// OK is the whole answer to the caller's own request.
	OutcomeOK Outcome = "OK"
	// Wrong is an answer with status 200 that is not that.
	OutcomeWrong Outcome = "Wrong"
	// Limited is 429: over the rate, not run.
	OutcomeLimited Outcome = "Limited"
	// NotRun is 503 with the statement that the request did not run.
	OutcomeNotRun Outcome = "NotRun"
	// Unauthorized is 401.
	OutcomeUnauthorized Outcome = "Unauthorized"
	// Repeated is 409: a request with the same key runs or has run.
	OutcomeRepeated Outcome = "Repeated"
	// Unknown is 502 with unknown outcome.
	OutcomeUnknown Outcome = "Unknown"
	// Deadline is 504, or no answer until the caller's own deadline.
	OutcomeDeadline Outcome = "Deadline"
	// Failed is any other answer.
	OutcomeFailed Outcome = "Failed"
	// Refused means that no connection was made.
	OutcomeRefused Outcome = "Refused"
	// Cut means that the connection ended before the whole answer came.
	OutcomeCut Outcome = "Cut"
)

// A Result is what became of one call. Times count from the start of the
// warm-up.
type Result struct {
	Call    *ScheduledCall
	Class   string
	Account string
	// Charged states that the call came with an account's key.
	UsesAccountKey bool
	// Keyed states that the call must run at most once.
	AtMostOnce bool
	// Repetition marks the second sending of a call.
	Repetition bool
	// Entitled is false while the account's key is withdrawn.
	Authorized bool
	SentAt     time.Duration
	DoneAt     time.Duration
	Outcome    Outcome
	Status     int
	// Reason is the reason of a refusal as not run, or "".
	Reason string
	// Detail says more about a failure.
	Detail string
	// Ingress is the host that was called, Host the host that ran the call.
	IngressHost string
	Host        string
	// Run is how long the backend server took.
	BackendTime time.Duration
}

// Latency counts from the scheduled time, so that a driver that falls behind
// does not hide waiting.
func (r *Result) Latency() time.Duration { return r.DoneAt - r.Call.At }

// Added is the part of the caller's waiting that the backend server did not
// cause.
func (r *Result) AddedLatency() time.Duration { return r.DoneAt - r.SentAt - r.BackendTime }

// maxDetail bounds Result.Detail in bytes.
const maxDetailBytes = 120

// classify fills in the outcome of an answer.
func (r *Result) classify(a *http.Response, body []byte, path string) {
	r.Status = a.StatusCode
	r.Reason = a.Header.Get(standin.HeaderNotRun)
	if a.StatusCode != http.StatusOK {
		line, _, _ := strings.Cut(string(body), "\n")
		r.Detail = line[:min(len(line), maxDetailBytes)]
	}
	switch a.StatusCode {
	case http.StatusOK:
		r.Outcome = r.verifyEcho(body, path)
	case http.StatusTooManyRequests:
		r.Outcome = OutcomeLimited
	case http.StatusUnauthorized:
		r.Outcome = OutcomeUnauthorized
	case http.StatusConflict:
		r.Outcome = OutcomeRepeated
	case http.StatusBadGateway:
		r.Outcome = OutcomeUnknown
	case http.StatusGatewayTimeout:
		r.Outcome = OutcomeDeadline
	case http.StatusServiceUnavailable:
		r.Outcome = OutcomeFailed
		if r.Reason != "" {
			r.Outcome = OutcomeNotRun
		}
	default:
		r.Outcome = OutcomeFailed
	}
}

// verify checks that the body is the whole answer to this very call.
func (r *Result) verifyEcho(body []byte, path string) Outcome {
	e, ok := standin.DecodeEcho(body)
	r.Host, r.BackendTime = e.Host, time.Duration(e.RunUs)*time.Microsecond
	account := ""
	if r.UsesAccountKey {
		account = r.Account
	}
	if !ok || e.TrialID != r.Call.TrialID || e.Account != account || e.Path != path {
		return OutcomeWrong
	}
	return OutcomeOK
}

// classifyError fills in the outcome of a call without a whole answer.
func (r *Result) classifyError(err error) {
	root := err
	for errors.Unwrap(root) != nil {
		root = errors.Unwrap(root)
	}
	r.Detail = root.Error()
	var op *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		r.Outcome = OutcomeDeadline
	case errors.As(err, &op) && op.Op == "dial":
		r.Outcome = OutcomeRefused
	default:
		r.Outcome = OutcomeCut
	}
}

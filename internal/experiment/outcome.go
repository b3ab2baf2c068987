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
	OK Outcome = "OK"
	// Wrong is an answer with status 200 that is not that.
	Wrong Outcome = "Wrong"
	// Limited is 429: over the rate, not run.
	Limited Outcome = "Limited"
	// NotRun is 503 with the statement that the request did not run.
	NotRun Outcome = "NotRun"
	// Unauthorized is 401.
	Unauthorized Outcome = "Unauthorized"
	// Repeated is 409: a request with the same key runs or has run.
	Repeated Outcome = "Repeated"
	// Unknown is 502 with unknown outcome.
	Unknown Outcome = "Unknown"
	// Deadline is 504, or no answer until the caller's own deadline.
	Deadline Outcome = "Deadline"
	// Failed is any other answer.
	Failed Outcome = "Failed"
	// Refused means that no connection was made.
	Refused Outcome = "Refused"
	// Cut means that the connection ended before the whole answer came.
	Cut Outcome = "Cut"
)

// A Result is what became of one call. Times count from the start of the
// warm-up.
type Result struct {
	Arrival *Arrival
	Class   string
	Account string
	// Charged states that the call came with an account's key.
	Charged bool
	// Keyed states that the call must run at most once.
	Keyed bool
	// Repetition marks the second sending of a call.
	Repetition bool
	// Entitled is false while the account's key is withdrawn.
	Entitled bool
	Sent     time.Duration
	Done     time.Duration
	Outcome  Outcome
	Status   int
	// Reason is the reason of a refusal as not run, or "".
	Reason string
	// Detail says more about a failure.
	Detail string
	// Ingress is the host that was called, Host the host that ran the call.
	Ingress string
	Host    string
	// Run is how long the backend server took.
	Run time.Duration
}

// Latency counts from the scheduled time, so that a driver that falls behind
// does not hide waiting.
func (r *Result) Latency() time.Duration { return r.Done - r.Arrival.At }

// Added is the part of the caller's waiting that the backend server did not
// cause.
func (r *Result) Added() time.Duration { return r.Done - r.Sent - r.Run }

// maxDetail bounds Result.Detail in bytes.
const maxDetail = 120

// classify fills in the outcome of an answer.
func (r *Result) classify(a *http.Response, body []byte, path string) {
	r.Status = a.StatusCode
	r.Reason = a.Header.Get(standin.HeaderNotRun)
	if a.StatusCode != http.StatusOK {
		line, _, _ := strings.Cut(string(body), "\n")
		r.Detail = line[:min(len(line), maxDetail)]
	}
	switch a.StatusCode {
	case http.StatusOK:
		r.Outcome = r.verify(body, path)
	case http.StatusTooManyRequests:
		r.Outcome = Limited
	case http.StatusUnauthorized:
		r.Outcome = Unauthorized
	case http.StatusConflict:
		r.Outcome = Repeated
	case http.StatusBadGateway:
		r.Outcome = Unknown
	case http.StatusGatewayTimeout:
		r.Outcome = Deadline
	case http.StatusServiceUnavailable:
		r.Outcome = Failed
		if r.Reason != "" {
			r.Outcome = NotRun
		}
	default:
		r.Outcome = Failed
	}
}

// verify checks that the body is the whole answer to this very call.
func (r *Result) verify(body []byte, path string) Outcome {
	e, ok := standin.DecodeEcho(body)
	r.Host, r.Run = e.Host, time.Duration(e.RunUs)*time.Microsecond
	account := ""
	if r.Charged {
		account = r.Account
	}
	if !ok || e.TrialID != r.Arrival.Trial || e.Account != account || e.Path != path {
		return Wrong
	}
	return OK
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
		r.Outcome = Deadline
	case errors.As(err, &op) && op.Op == "dial":
		r.Outcome = Refused
	default:
		r.Outcome = Cut
	}
}

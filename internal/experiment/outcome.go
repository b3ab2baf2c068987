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

// An Outcome is how a call ended, as the caller sees it.
type Outcome string

// The outcomes of a call.
const (
	// OutcomeOK is a complete answer to the caller's own request.
	OutcomeOK Outcome = "OK"
	// OutcomeWrong is an answer with status 200 that is incomplete or belongs to
	// another request.
	OutcomeWrong Outcome = "Wrong"
	// OutcomeLimited is 429: the account is over its rate, the call did not run.
	OutcomeLimited Outcome = "Limited"
	// OutcomeNotRun is 503 with the header that states that the call did not run.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeUnauthorized is 401: the account key is missing or invalid.
	OutcomeUnauthorized Outcome = "Unauthorized"
	// OutcomeRepeated is 409: a request with the same Idempotency-Key runs or
	// has run.
	OutcomeRepeated Outcome = "Repeated"
	// OutcomeUnknown is 502: it is not known whether the call ran.
	OutcomeUnknown Outcome = "Unknown"
	// OutcomeDeadline is 504, or no answer within callerTimeout.
	OutcomeDeadline Outcome = "Deadline"
	// OutcomeFailed is any other answer.
	OutcomeFailed Outcome = "Failed"
	// OutcomeRefused means that no connection could be opened.
	OutcomeRefused Outcome = "Refused"
	// OutcomeCut means that the connection ended before the answer was complete.
	OutcomeCut Outcome = "Cut"
)

// A Result is the result of one sending of a call. Times count from the start
// of the warm-up.
type Result struct {
	Call    *ScheduledCall
	Class   string
	Account string
	// UsesAccountKey states that the call was sent with the key of its account,
	// so that it counts against the account's rate.
	UsesAccountKey bool
	// AtMostOnce states that the call has an Idempotency-Key and must not run
	// twice.
	AtMostOnce bool
	// Repetition marks the second sending of a repeated call.
	Repetition bool
	// Authorized is false for intruders, and for calls to routes that require a
	// key while the account's key is withdrawn.
	Authorized bool
	SentAt     time.Duration
	DoneAt     time.Duration
	Outcome    Outcome
	Status     int
	// Reason is the reason that the mesh gave for not running the call, or "".
	Reason string
	// Detail is the first line of a refusal or the text of a transport error.
	Detail string
	// IngressHost is the host that was called, Host the host that ran the call.
	IngressHost string
	Host        string
	// BackendTime is how long the backend server took.
	BackendTime time.Duration
}

// Latency returns the time from the scheduled time to the end of the call. It
// includes any delay of the driver, so that late sending does not hide waiting.
func (r *Result) Latency() time.Duration { return r.DoneAt - r.Call.At }

// AddedLatency returns the time from sending to the end of the call without the
// backend server's own time.
func (r *Result) AddedLatency() time.Duration { return r.DoneAt - r.SentAt - r.BackendTime }

// maxDetailBytes limits the length of Result.Detail for answers.
const maxDetailBytes = 120

// classify sets the outcome, status, reason and detail from an answer.
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

// verifyEcho checks that the body is the complete answer to this call. Backend
// servers echo the trial ID, account and path of the request.
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

// classifyError sets the outcome and detail of a call without a complete answer.
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

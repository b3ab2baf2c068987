// Package call defines what the packages on the path of a call share: the
// description of a call, the errors with which it can end without a response,
// the names of the headers that carry both between nodes, and helpers for
// request headers and bodies.
//
// A call is one request of a caller on its way to a backend server. Package
// caller accepts calls, package peercall sends them from node to node, and
// package backend runs them at the backend server of its host. This package
// opens no connection.
package call

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"quetzaldock.example/quetzaldock/pkg/quarantine"
)

// MaxDepth is the maximum number of nested calls in a chain in which each is
// made by the backend server that runs the previous call.
const MaxDepth = 8

// A Call describes one request on its way to a backend server.
type Call struct {
	// ID identifies the request in logs and at the backend server.
	ID string
	// Service is the service of the request's route.
	Service string
	// Account is the client account that the call runs for, or "" for a call
	// without a valid client key on an open route.
	Account string
	// IdempotencyKey is the value of the caller's header Idempotency-Key, or "".
	IdempotencyKey string
	// Idempotent states that the call may be retried after an attempt that may
	// have run.
	Idempotent bool
	// Deadline is when the call has to end. It is never zero.
	Deadline time.Time
	// ArrivedAt is when the request arrived at this process: the time at which
	// its header was read, less the extra delay of a request from another node;
	// see DelayEstimator.
	ArrivedAt time.Time
	// Depth is 0 for a caller's own request, and one more than that of the call
	// that it belongs to for a nested call. It is at most MaxDepth.
	Depth int
	// ConfigVersion is the configuration version that the node which accepted
	// the call applied.
	ConfigVersion uint64
	// Fingerprint identifies the request in crash reports. It is zero while it is not
	// known because the body streams.
	Fingerprint quarantine.Fingerprint
}

// Identity returns what identifies a request besides its body. It is the same at the
// node that accepts the call and at the one that runs it. The service stands for the
// header Host, in which callers name the node that they are connected to.
func (c *Call) Identity(r *http.Request) *quarantine.Request {
	q := &quarantine.Request{Account: c.Account, Method: r.Method, Host: c.Service, Target: r.URL.EscapedPath()}
	if r.URL.RawQuery != "" {
		q.Target += "?" + r.URL.RawQuery
	}
	return q
}

// NotRun is the error of a call that did not run: no byte of the request
// reached a backend server.
type NotRun struct {
	// Reason is the value of HeaderNotRun.
	Reason string
	// Final states that a retry would not help.
	Final bool
	// RetryAfter is the time after which the request may run, or 0 if it is not known.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NotRun) Error() string { return "not run: " + e.Reason }

// NotRunFromContext returns the error of a call whose ctx ended before the
// request was sent, or nil if ctx has not ended. Such an error is no evidence
// of a failure of the host.
func NotRunFromContext(ctx context.Context) *NotRun {
	switch {
	case ctx.Err() == nil:
		return nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &NotRun{Reason: "Late", Final: true}
	default:
		return &NotRun{Reason: "Canceled", Final: true}
	}
}

// OutcomeUnknown is the error of a call that may have run.
type OutcomeUnknown struct {
	Reason string
	// Cause is the underlying error, or nil. It is context.DeadlineExceeded if
	// the deadline of the call passed.
	Cause error
	// Crashes is the number of crashes of backend servers in which the request was
	// running, if the server crashed in this attempt; otherwise 0.
	Crashes int
	// NestedCallRetried states that the call failed because of a nested call
	// that has already been retried. The call itself is then not retried.
	NestedCallRetried bool
}

// Error implements error.
func (e *OutcomeUnknown) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("outcome unknown: %s: %v", e.Reason, e.Cause)
	}
	return "outcome unknown: " + e.Reason
}

// Unwrap returns the cause.
func (e *OutcomeUnknown) Unwrap() error { return e.Cause }

// A ServerCrash is the error of a response that a crash of the backend server cut short.
type ServerCrash struct {
	// Crashes is OutcomeUnknown.Crashes. It is positive.
	Crashes int
	// Cause is the error of the connection.
	Cause error
}

// WithCrashes returns the error of a response's body that ended with err. crashes is
// OutcomeUnknown.Crashes.
func WithCrashes(err error, crashes int) error {
	if crashes == 0 {
		return err
	}
	return &ServerCrash{crashes, err}
}

// CrashesIn returns the OutcomeUnknown.Crashes of a call whose response ended with err.
func CrashesIn(err error) int {
	var s *ServerCrash
	if errors.As(err, &s) {
		return s.Crashes
	}
	return 0
}

// Error implements error.
func (e *ServerCrash) Error() string { return "the backend server crashed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ServerCrash) Unwrap() error { return e.Cause }

// DuplicateRequest is the error of a call that was refused because an earlier
// request with the same Idempotency-Key is running or was answered.
type DuplicateRequest struct {
	// Status is the HTTP status of the earlier request's response, or 0 while
	// the earlier request is running.
	Status int
}

// Error implements error.
func (e *DuplicateRequest) Error() string {
	if e.Status == 0 {
		return "a request with the same key is running"
	}
	return fmt.Sprintf("a request with the same key ended with status %d", e.Status)
}

// Names of the headers of the mesh. Headers with HeaderPrefix are not passed on
// from a caller or a backend server. Of those that a caller sends, nodes read
// only HeaderTimeout and HeaderCallToken.
const (
	HeaderPrefix    = "Quetzaldock-"
	HeaderRequestID = HeaderPrefix + "Request-Id"
	HeaderAccount   = HeaderPrefix + "Account"
	HeaderService   = HeaderPrefix + "Service"
	// HeaderTimeout is the caller's time limit, or the time left to the
	// deadline for the backend server, in milliseconds.
	HeaderTimeout = HeaderPrefix + "Timeout-Ms"
	// HeaderCallToken is the token of a running call. The backend server sends
	// it with the nested calls that it makes for that call.
	HeaderCallToken = HeaderPrefix + "Call"
	// HeaderTimeLeft is the time left to the deadline, in microseconds.
	HeaderTimeLeft = HeaderPrefix + "Budget-Us"
	// HeaderSentAt is the identity of the sending process, a dash, and its
	// monotonic clock in microseconds; see DelayEstimator.
	HeaderSentAt        = HeaderPrefix + "Sent-Us"
	HeaderDepth         = HeaderPrefix + "Depth"
	HeaderConfigVersion = HeaderPrefix + "Version"
	// HeaderIdempotent is "1" for an idempotent call.
	HeaderIdempotent = HeaderPrefix + "Idempotent"
	// HeaderLoad is the load of the responding node's backend server: the
	// numbers of running, permitted and queued calls, separated by slashes. A
	// sidecar adds the pace as a second value, if it is known.
	HeaderLoad = HeaderPrefix + "Load"
	// HeaderNotRun is the reason why the request did not run.
	HeaderNotRun = HeaderPrefix + "Not-Run"
	// HeaderOutcome is "unknown" if the request may have run, and "running" or
	// "done" if an earlier request with the same Idempotency-Key is running or
	// was answered.
	HeaderOutcome = HeaderPrefix + "Outcome"
	// HeaderEarlierStatus is the HTTP status of the earlier request if
	// HeaderOutcome is "done".
	HeaderEarlierStatus = HeaderPrefix + "Status"
	// HeaderRetry is "no" if a retry would not help.
	HeaderRetry = HeaderPrefix + "Retry"
	// HeaderRetryAfter is the time in milliseconds after which a request that did not
	// run may run.
	HeaderRetryAfter = HeaderPrefix + "After-Ms"
	// HeaderFingerprint is Call.Fingerprint in its text form. It is missing if that is
	// zero.
	HeaderFingerprint = HeaderPrefix + "Fingerprint"
	// HeaderCrashes is OutcomeUnknown.Crashes. It is missing if that is 0.
	HeaderCrashes = HeaderPrefix + "Crashes"
	// HeaderIdempotencyKey is set by callers and passed on unchanged.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// StripMeshHeaders removes the headers with HeaderPrefix from h.
func StripMeshHeaders(h http.Header) {
	for k := range h {
		if strings.HasPrefix(k, HeaderPrefix) {
			delete(h, k)
		}
	}
}

// hopByHopHeaders are the headers that concern a single connection and are not
// passed on. Expect is one of them because the server that reads the body
// answers it.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHopByHop removes the headers that concern a single connection from h,
// among them those that the header Connection names.
func StripHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for _, n := range strings.Split(v, ",") {
			h.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range hopByHopHeaders {
		delete(h, n)
	}
}

// IsIdempotentMethod reports whether HTTP defines the method as idempotent.
func IsIdempotentMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}

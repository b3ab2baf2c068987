// Package call holds what the parts of the data path say to each other about
// one call: its description, the ways it can end without an answer, and the
// header names that carry both between nodes.
package call

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// MaxDepth is the number of nested calls that one caller's request may lead to
// in a chain.
const MaxDepth = 8

// A Call describes one request on its way to a backend server.
type Call struct {
	// ID names the request in logs and at the backend server.
	ID string
	// Service is the service that the route names.
	Service string
	// Account is the client account whose key came with the request, or empty
	// on a route open to all.
	Account string
	// Key is the caller's Idempotency-Key, or empty.
	IdempotencyKey string
	// Idempotent states that the call may be tried again after an unknown
	// outcome.
	Idempotent bool
	// Deadline is never zero.
	Deadline time.Time
	// ArrivedAt is when this process read the request's header.
	ArrivedAt time.Time
	// Depth is 0 for a caller's own request and at most MaxDepth.
	Depth int
	// Version is the configuration version that the sender applied.
	ConfigVersion uint64
}

// A NotRun error means that no byte of the request reached a backend server.
type NotRun struct {
	Reason string
	// Final is set when another attempt would not help.
	Final bool
}

// Error implements error.
func (e *NotRun) Error() string { return "not run: " + e.Reason }

// Ended returns the refusal of a call that was given up before it was sent, or
// nil while ctx has not ended. Such a call says nothing about the host that it
// was meant for.
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

// An Unknown error means that the request may have run.
type OutcomeUnknown struct {
	Reason string
	// Cause may be nil. It is context.DeadlineExceeded if the time limit of
	// the call passed.
	Cause error
	// Deeper is set when the failure arose in a nested call that has been
	// tried again there.
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

// A Repeat error means that an earlier request with the same Idempotency-Key
// runs or has run.
type DuplicateRequest struct {
	// Status is the earlier request's HTTP status, or 0 while it runs.
	Status int
}

// Error implements error.
func (e *DuplicateRequest) Error() string {
	if e.Status == 0 {
		return "a request with the same key is running"
	}
	return fmt.Sprintf("a request with the same key ended with status %d", e.Status)
}

// The headers of the mesh. What a caller or a backend server sends under
// HeaderPrefix is dropped, but for HeaderTimeout and HeaderCall.
const (
	HeaderPrefix    = "Quetzaldock-"
	HeaderRequestID = HeaderPrefix + "Request-Id"
	HeaderAccount   = HeaderPrefix + "Account"
	HeaderService   = HeaderPrefix + "Service"
	// HeaderTimeout is a caller's time limit in milliseconds.
	HeaderTimeout = HeaderPrefix + "Timeout-Ms"
	// HeaderCall is the token that a backend server passes on with its nested
	// calls.
	HeaderCallToken = HeaderPrefix + "Call"
	// HeaderBudget is the time left to the deadline in microseconds.
	HeaderTimeLeft = HeaderPrefix + "Budget-Us"
	// HeaderSent is the sender's monotonic clock in microseconds, see Lateness.
	HeaderSentAt        = HeaderPrefix + "Sent-Us"
	HeaderDepth         = HeaderPrefix + "Depth"
	HeaderConfigVersion = HeaderPrefix + "Version"
	HeaderIdempotent    = HeaderPrefix + "Idempotent"
	// HeaderLoad answers running/permits/queued of the gate.
	HeaderLoad = HeaderPrefix + "Load"
	// HeaderNotRun carries the reason of a refusal; the request did not run.
	HeaderNotRun = HeaderPrefix + "Not-Run"
	// HeaderOutcome is "unknown", "running" or "done".
	HeaderOutcome = HeaderPrefix + "Outcome"
	// HeaderStatus is the status of an earlier request with the same key.
	HeaderEarlierStatus = HeaderPrefix + "Status"
	// HeaderRetry is "no" when another attempt would not help.
	HeaderRetry = HeaderPrefix + "Retry"
	// HeaderKey is the caller's Idempotency-Key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// StripInternal removes the headers of the mesh from h.
func StripMeshHeaders(h http.Header) {
	for k := range h {
		if strings.HasPrefix(k, HeaderPrefix) {
			delete(h, k)
		}
	}
}

// hopHeaders concern one connection and are not passed on. Expect is answered
// by the server that reads the body.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHop removes the headers that concern one connection only.
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

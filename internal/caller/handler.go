// Package caller serves the callers of the mesh. It accepts their requests,
// identifies the client account, charges the request to the account's rate and
// runs the request as a call at a backend server, on this host or on another
// one. A failed call is retried only if the retry cannot run a non-idempotent
// request twice.
//
// A caller is the program that begins a request: a client of the mesh with the
// key of its client account, or a backend server that makes a nested call
// through the node on its host. Calls that other nodes have already accepted
// arrive through package peercall instead, and package backend runs them at the
// backend server on this host.
package caller

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"quetzaldock.example/quetzaldock/internal/backend"
	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/peercall"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fairadmission"
)

const (
	// maxKeyBytes is the maximum length of a client key and of an
	// Idempotency-Key.
	maxKeyBytes = 256
	// maxCallTimeout is the maximum time limit of a call. It is well below
	// idempotency.KeyRetention, so no call runs for longer than its key is
	// remembered.
	maxCallTimeout = 5 * time.Minute
	// writeGrace is how long after the deadline of a call its response may
	// still be written, and how long after its arrival a refusal may.
	writeGrace = time.Second
	// DefaultMaxConcurrentCalls is the default of MaxConcurrentCalls, about
	// four times what a node has at once at the target load of 155 calls per
	// second if each takes its whole time limit of 3 s.
	DefaultMaxConcurrentCalls = 2048
)

// A Handler serves the caller listener. Its exported fields are set before
// first use.
type Handler struct {
	// Snapshot returns the configuration in force, or nil before the start is
	// complete.
	Snapshot func() *config.Snapshot
	// WaitForVersion waits until the configuration in force is not older than
	// the version floor, the newest version that other nodes are known to
	// apply. It reports false if the node has to refuse new calls.
	WaitForVersion func(ctx context.Context) bool
	// KeyedAllowed reports whether the configuration is confirmed recently
	// enough to accept client keys: a key may have been withdrawn since.
	KeyedAllowed func() bool
	// Charge takes one request from the account's rate and reports whether the
	// rate allowed it. It may wait briefly for the rate, never beyond the
	// deadline.
	Charge func(ctx context.Context, account string, deadline time.Time) bool
	// RunningCalls holds the calls at this host's backend server, which sends
	// its nested calls to this handler.
	RunningCalls *backend.RunningCalls
	// Dispatcher runs accepted calls.
	Dispatcher *Dispatcher
	// CloseConnections reports whether responses ask the caller to close the
	// connection, because the node is stopping or its availability zone is out
	// of service.
	CloseConnections func() bool
	// RefusalReason returns the reason to refuse all calls but nested ones as
	// not run, or "" to accept them.
	RefusalReason func() string
	// Observe is called at the end of each request.
	Observe func(o Observation)
	// Zone is the availability zone of this node.
	Zone string
	Now  func() time.Time
	// MaxConcurrentCalls bounds the calls that run or wait at once; 0 means
	// DefaultMaxConcurrentCalls. Nested calls are not counted: they belong to
	// calls that were admitted before, whose work would be lost if the nested
	// call were refused.
	MaxConcurrentCalls int

	concurrentCalls atomic.Int64
}

// An Observation describes the end of one request.
type Observation struct {
	// Account is the client account, or "" if the call has none or was refused
	// before its account was known.
	Account string
	// Route is the prefix of the route, or "" if no route was found.
	Route string
	// Status is the HTTP status of the response.
	Status int
	// RefusalReason is the reason of a refusal as not run, or "".
	RefusalReason string
	Latency       time.Duration
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	startedAt := h.Now()
	s := &statusWriter{ResponseWriter: w, closeConnections: h.CloseConnections}
	o := Observation{}
	defer func() {
		o.Status, o.Latency = s.status, h.Now().Sub(startedAt)
		o.RefusalReason = s.Header().Get(call.HeaderNotRun)
		h.Observe(o)
	}()
	// The request is made full duplex before any refusal. Otherwise net/http
	// would wait for the rest of the body before it sends the refusal.
	b := call.NewDuplexBody(w, r)
	defer b.Release()
	s.ResponseWriter = b.ResponseWriter()
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeGrace))
	c, route, err := h.parseCall(r, startedAt)
	if route != nil {
		o.Account, o.Route = c.Account, route.Prefix
	}
	if err != nil {
		writeError(s, r, err)
		return
	}
	if c.Depth == 0 {
		defer h.concurrentCalls.Add(-1)
		overLimit := isOverLimit(r)
		if overLimit {
			s.Header().Set("Connection", "close")
		}
		if h.concurrentCalls.Add(1) > int64(h.maxConcurrentCalls()) || overLimit {
			writeError(s, r, &call.NotRun{Reason: string(fairadmission.Overloaded)})
			return
		}
	}
	s.Header().Set(call.HeaderRequestID, c.ID)
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	b.SetDeadline(c.Deadline.Add(call.BodyGrace))
	// A caller that stops reading the response must not keep a slot at the
	// backend server after the deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(c.Deadline.Add(writeGrace))
	h.serve(ctx, s, r, c)
}

func (h *Handler) maxConcurrentCalls() int {
	if h.MaxConcurrentCalls > 0 {
		return h.MaxConcurrentCalls
	}
	return DefaultMaxConcurrentCalls
}

// serve charges the call to its account, runs it and writes the response.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, c call.Call) {
	if c.Account != "" && c.Depth == 0 && !h.Charge(ctx, c.Account, c.Deadline) {
		writeError(w, r, &Rejection{Status: http.StatusTooManyRequests, Reason: "RateExceeded"})
		return
	}
	a, err := h.Dispatcher.Do(ctx, c, r)
	if err != nil {
		h.reportNestedFailure(r, c)
		writeError(w, r, err)
		return
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode >= http.StatusInternalServerError {
		h.reportNestedFailure(r, c)
	}
	peercall.CopyResponse(w, a)
}

// reportNestedFailure records the failure of a nested call at the running call
// that it belongs to, so that this one is not retried.
func (h *Handler) reportNestedFailure(r *http.Request, c call.Call) {
	if c.Depth == 0 {
		return
	}
	if e, ok := h.RunningCalls.Find(r.Header.Get(call.HeaderCallToken)); ok {
		e.RecordNestedFailure()
	}
}

// parseCall returns the call that a request describes and its route, if one was
// found. The error is the reason to refuse the request.
func (h *Handler) parseCall(r *http.Request, now time.Time) (call.Call, *config.Route, error) {
	if r.Method == http.MethodConnect {
		return call.Call{}, nil, &Rejection{Status: http.StatusMethodNotAllowed, Reason: "MethodNotAllowed"}
	}
	if !h.WaitForVersion(r.Context()) {
		return call.Call{}, nil, &call.NotRun{Reason: "Behind"}
	}
	v := h.Snapshot()
	if v == nil {
		return call.Call{}, nil, &call.NotRun{Reason: "Starting"}
	}
	route, ok := v.Route(r.URL.EscapedPath())
	if !ok {
		return call.Call{}, nil, &Rejection{Status: http.StatusNotFound, Reason: "NoRoute"}
	}
	c := call.Call{
		ID: rand.Text(), Service: route.Service, IdempotencyKey: r.Header.Get(call.HeaderIdempotencyKey),
		Idempotent: route.Idempotent || call.IsIdempotentMethod(r.Method),
		ArrivedAt:  now, ConfigVersion: v.Version,
	}
	if len(c.IdempotencyKey) > maxKeyBytes {
		return c, route, &Rejection{Status: http.StatusBadRequest, Reason: "IdempotencyKeyTooLong"}
	}
	if err := h.setAccount(&c, v, route, r); err != nil {
		return c, route, err
	}
	return c, route, h.setDeadline(&c, v, r, now)
}

// setAccount sets the call's account. A nested call takes over the account and
// the deadline of the call that it belongs to; for any other call the account
// is that of its client key.
func (h *Handler) setAccount(c *call.Call, v *config.Snapshot, route *config.Route, r *http.Request) error {
	if t := r.Header.Get(call.HeaderCallToken); t != "" {
		e, ok := h.RunningCalls.Find(t)
		if !ok {
			return &Rejection{Status: http.StatusUnauthorized, Reason: "UnknownCall"}
		}
		c.Account, c.Depth, c.Deadline = e.Call.Account, e.Call.Depth+1, e.Call.Deadline
		if c.Depth > call.MaxDepth {
			return &call.NotRun{Reason: "TooDeep", Final: true}
		}
		if _, ok := v.Accounts[c.Account]; !ok && c.Account != "" {
			return &Rejection{Status: http.StatusUnauthorized, Reason: "AccountWithdrawn"}
		}
		if c.Account == "" && !route.Open {
			return &Rejection{Status: http.StatusUnauthorized, Reason: "KeyMissing"}
		}
		return nil
	}
	if reason := h.RefusalReason(); reason != "" {
		return &call.NotRun{Reason: reason}
	}
	return h.setAccountByKey(c, v, route, r)
}

// setAccountByKey sets the call's account from the client key in the header
// Authorization. On an open route a call without a valid key is accepted
// without an account.
func (h *Handler) setAccountByKey(c *call.Call, v *config.Snapshot, route *config.Route, r *http.Request) error {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || len(key) > maxKeyBytes {
		if route.Open {
			return nil
		}
		return &Rejection{Status: http.StatusUnauthorized, Reason: "KeyMissing"}
	}
	if !h.KeyedAllowed() {
		if route.Open {
			return nil
		}
		return &call.NotRun{Reason: "KeysNotFresh"}
	}
	a, ok := v.AccountOfKey(key)
	switch {
	case ok:
		c.Account = a.Name
		return nil
	case route.Open:
		return nil
	default:
		return &Rejection{Status: http.StatusUnauthorized, Reason: "KeyUnknown"}
	}
}

// setDeadline checks the size of the header and sets the call's deadline. A
// nested call keeps the deadline of the call that it belongs to if that one is
// earlier.
func (h *Handler) setDeadline(c *call.Call, v *config.Snapshot, r *http.Request, now time.Time) error {
	e := v.EffectiveValues(c.Service, h.Zone, c.Account)
	if len(r.RequestURI)+len(r.Host)+headerBytes(r.Header) > e.MaxHeaderBytes {
		return &Rejection{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "HeaderTooLarge"}
	}
	limit := time.Duration(e.CallTimeoutMs) * time.Millisecond
	if t := r.Header.Get(call.HeaderTimeout); t != "" {
		ms, err := strconv.ParseInt(t, 10, 32)
		if err != nil || ms <= 0 {
			return &Rejection{Status: http.StatusBadRequest, Reason: "BadTimeout"}
		}
		limit = time.Duration(ms) * time.Millisecond
	}
	d := now.Add(min(limit, maxCallTimeout))
	if c.Deadline.IsZero() || d.Before(c.Deadline) {
		c.Deadline = d
	}
	return nil
}

// headerBytes returns the size of the header fields as they are sent: 4 bytes
// per field are for the colon, the space and the line break.
func headerBytes(h http.Header) int {
	n := 0
	for k, v := range h {
		for _, s := range v {
			n += len(k) + len(s) + 4
		}
	}
	return n
}

// A Rejection is the refusal of a request that the caller has to change or to
// send less often. The request did not run.
type Rejection struct {
	// Status is the HTTP status of the response, a 4xx status.
	Status int
	// Reason is the value of the header Quetzaldock-Not-Run.
	Reason string
}

// Error implements error.
func (e *Rejection) Error() string { return "not run: " + e.Reason }

// writeError writes the response of a request that was refused or failed with
// err.
func writeError(w http.ResponseWriter, r *http.Request, err error) {
	call.DiscardBody(r)
	var j *Rejection
	var b *call.IncompleteBody
	if errors.As(err, &b) {
		j = &Rejection{Status: http.StatusBadRequest, Reason: "BodyIncomplete"}
		if b.TimedOut {
			j = &Rejection{Status: http.StatusRequestTimeout, Reason: "BodyLate"}
		}
		err = j
	}
	if j == nil && !errors.As(err, &j) {
		peercall.WriteError(w, err)
		return
	}
	w.Header().Set(call.HeaderNotRun, j.Reason)
	switch j.Status {
	case http.StatusUnauthorized:
		w.Header().Set("WWW-Authenticate", "Bearer")
	case http.StatusTooManyRequests:
		w.Header().Set("Retry-After", "1")
	}
	peercall.WriteText(w, err.Error(), j.Status)
}

// A statusWriter is a ResponseWriter that records the status.
type statusWriter struct {
	http.ResponseWriter
	status int
	// closeConnections is Handler.CloseConnections. It is called when the
	// response begins, which may be long after the request arrived.
	closeConnections func() bool
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	if w.closeConnections() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

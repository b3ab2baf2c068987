// Package caller speaks to the callers of the mesh: it accepts their requests,
// tells whose they are, charges their account, and has each run at a backend
// server, trying again only where that cannot run a request twice.
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
	// maxKeyBytes is the longest client key or Idempotency-Key looked at.
	maxKeyBytes = 256
	// maxTimeout bounds the time limit of a call. It is well below the time
	// for which witnesses remember keys, so that no call outlives its record.
	maxCallTimeout = 5 * time.Minute
	// writeGrace is how long after its deadline a call's answer, or after its
	// arrival a refusal, may take to be written.
	writeGrace = time.Second
	// bodyGrace is how long after its deadline a call's body may take. It lets
	// a call whose body stopped midway end by its deadline, which tells the
	// caller more than a broken body does.
	bodyGrace = 250 * time.Millisecond
	// DefaultMaxCalls is about four times what a node carries at the target:
	// 155 calls a second with a time limit of 3 s.
	DefaultMaxConcurrentCalls = 2048
)

// A Handler serves the caller listener. Its exported fields are set before
// first use.
type Handler struct {
	// Snapshot returns the configuration in force, or nil before the start is
	// complete.
	Snapshot func() *config.Snapshot
	// WaitVersion waits for the version floor and reports whether work may go
	// on.
	WaitForVersion func(ctx context.Context) bool
	// KeyedAllowed reports whether this node knows of key withdrawals in time.
	KeyedAllowed func() bool
	// Charge takes one request from the account's rate. It may wait shortly.
	Charge func(ctx context.Context, account string, deadline time.Time) bool
	// Running holds the calls at this host's backend server, whose nested
	// calls arrive here.
	RunningCalls *backend.RunningCalls
	// Dispatcher has a call run.
	Dispatcher *Dispatcher
	// Closing reports that the node is being stopped: answers then ask the
	// caller to connect elsewhere.
	Stopping func() bool
	// Refuse, if set, gives a reason to refuse new calls of callers as not run.
	RefusalReason func() string
	// Observe is told the account, route and status of each answered call.
	Observe func(o Observation)
	Zone    string
	Now     func() time.Time
	// MaxCalls bounds the calls of callers that run or wait at once; 0 means
	// DefaultMaxCalls. Nested calls are not counted: they belong to calls that
	// were admitted before, and refusing them would waste those.
	MaxConcurrentCalls int

	concurrentCalls atomic.Int64
}

// An Observation describes one answered call.
type Observation struct {
	Account string
	// Route is the prefix of the route, or "" without one.
	Route  string
	Status int
	// Refused is the reason of a refusal as not run, or "".
	RefusalReason string
	Latency       time.Duration
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	startedAt := h.Now()
	s := &statusWriter{ResponseWriter: w, stopping: h.Stopping}
	o := Observation{}
	defer func() {
		o.Status, o.Latency = s.status, h.Now().Sub(startedAt)
		o.RefusalReason = s.Header().Get(call.HeaderNotRun)
		h.Observe(o)
	}()
	// The body is guarded before any refusal: net/http would otherwise wait
	// for the rest of a refused body before it sends the refusal.
	b := call.NewDuplexBody(w, r)
	defer b.Release()
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeGrace))
	c, route, err := h.parseCall(r, startedAt)
	if route != nil {
		o.Account, o.Route = c.Account, route.Prefix
	}
	if err != nil {
		writeError(s, err)
		return
	}
	if c.Depth == 0 {
		defer h.concurrentCalls.Add(-1)
		overLimit := isOverLimit(r)
		if overLimit {
			s.Header().Set("Connection", "close")
		}
		if h.concurrentCalls.Add(1) > int64(h.maxConcurrentCalls()) || overLimit {
			writeError(s, &call.NotRun{Reason: string(fairadmission.Overloaded)})
			return
		}
	}
	s.Header().Set(call.HeaderRequestID, c.ID)
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	b.SetDeadline(c.Deadline.Add(bodyGrace))
	// A caller that stops reading must not hold a slot past the deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(c.Deadline.Add(writeGrace))
	h.serve(ctx, s, r, c)
}

func (h *Handler) maxConcurrentCalls() int {
	if h.MaxConcurrentCalls > 0 {
		return h.MaxConcurrentCalls
	}
	return DefaultMaxConcurrentCalls
}

func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, c call.Call) {
	if c.Account != "" && c.Depth == 0 && !h.Charge(ctx, c.Account, c.Deadline) {
		writeError(w, &Rejection{Status: http.StatusTooManyRequests, Reason: "RateExceeded"})
		return
	}
	a, err := h.Dispatcher.Do(ctx, c, r)
	if err != nil {
		h.reportNestedFailure(r, c)
		writeError(w, err)
		return
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode >= http.StatusInternalServerError {
		h.reportNestedFailure(r, c)
	}
	peercall.CopyResponse(w, a)
}

// noteNested tells the call that a nested call belongs to of its failure.
func (h *Handler) reportNestedFailure(r *http.Request, c call.Call) {
	if c.Depth == 0 {
		return
	}
	if e, ok := h.RunningCalls.Find(r.Header.Get(call.HeaderCallToken)); ok {
		e.RecordNestedFailure()
	}
}

// accept turns a request into a call or says why it is refused.
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

// identify sets the call's account, from the call it is nested in or from the
// key that came with it.
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

// limit sets the deadline, which a nested call has inherited.
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

func headerBytes(h http.Header) int {
	n := 0
	for k, v := range h {
		for _, s := range v {
			n += len(k) + len(s) + 4
		}
	}
	return n
}

// A Rejection is a refusal that is the caller's to mend. The request did not
// run.
type Rejection struct {
	Status int
	Reason string
}

// Error implements error.
func (e *Rejection) Error() string { return "not run: " + e.Reason }

func writeError(w http.ResponseWriter, err error) {
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
	http.Error(w, err.Error(), j.Status)
}

// A statusWriter remembers the status it has written.
type statusWriter struct {
	http.ResponseWriter
	status int
	// closing is asked when the answer begins, which may be long after the
	// request came.
	stopping func() bool
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	if w.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

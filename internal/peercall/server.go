// Package peercall carries calls from the node that accepts them to the node
// beside the backend server that runs them. It uses HTTP/1.1 over mutual TLS,
// with one call per connection at a time, so that a response cannot be taken
// for that of another call.
//
// Package peer carries the control messages between nodes.
package peercall

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/pkg/quarantine"
)

const (
	// copyBufferBytes is the size of the buffers with which bodies are copied.
	copyBufferBytes = 32 << 10
	// firstBytes is how much of a response with a length is read before its header
	// is sent. net/http would hold the header back until then.
	firstBytes = 4 << 10
)

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// A Server serves the calls of other nodes. Its exported fields are set before
// first use.
type Server struct {
	// Do runs a call at the backend server of this host.
	Do func(ctx context.Context, c call.Call, r *http.Request) (*http.Response, error)
	// Load returns the numbers of calls that run at the backend server of this
	// host, that may run at once, and that wait.
	Load func() (running, permits, queued int)
	// ConfigVersion returns the configuration version in force.
	ConfigVersion func() uint64
	// Authorized reports whether the sender of the request is a node of the
	// mesh; nil means that every sender is.
	Authorized func(r *http.Request) bool
	Now        func() time.Time
	// StartedAt is when this process started. The clock with which extra delays
	// are estimated counts from it.
	StartedAt time.Time

	mu sync.Mutex
	// delays holds the delay estimator of each sender by the sender's identity.
	delays map[string]*call.DelayEstimator
}

// maxSenders is the maximum number of senders in Server.delays. A fleet has
// about a thousand nodes, each with a new identity after a restart. If another
// one were to exceed the maximum, all estimators are discarded first.
const maxSenders = 8192

const (
	// maxTimeLeft is the maximum time left to a call's deadline. It is longer
	// than any time limit that a node accepts from a caller. A much larger
	// number of microseconds would overflow a time.Duration.
	maxTimeLeft = time.Hour
	// maxSenderClock is the maximum reading of a sender's clock, which counts
	// from the start of the sender.
	maxSenderClock = 100 * 365 * 24 * time.Hour
	// maxSenderIDBytes is the maximum length of a sender's identity.
	maxSenderIDBytes = 64
	// writeGrace is how long after the deadline of a call its response may
	// still be written.
	writeGrace = time.Second
)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b := call.NewDuplexBody(w, r)
	defer b.Release()
	w = b.ResponseWriter()
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeGrace))
	if s.Authorized != nil && !s.Authorized(r) {
		s.refuse(w, r, "NotANode", "the sender of the request is not a node of this mesh", http.StatusForbidden)
		return
	}
	c, err := s.parseCall(r)
	if err != nil {
		s.refuse(w, r, "BadHeader", err.Error(), http.StatusBadRequest)
		return
	}
	// A sender that stops reading the response, because its process is paused or
	// its network fails, must not keep a slot at the backend server after the
	// deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(c.Deadline.Add(writeGrace))
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	a, err := s.Do(ctx, c, r)
	s.setNodeHeaders(w.Header())
	if err != nil {
		call.DiscardBody(r)
		writeErrorToNode(w, err)
		return
	}
	defer func() { _ = a.Body.Close() }()
	copyResponse(w, a, writeErrorToNode)
}

// writeErrorToNode is WriteError with call.HeaderCrashes, which only nodes are told.
func writeErrorToNode(w http.ResponseWriter, err error) {
	var u *call.OutcomeUnknown
	if errors.As(err, &u) && u.Crashes > 0 {
		w.Header().Set(call.HeaderCrashes, strconv.Itoa(u.Crashes))
	}
	WriteError(w, err)
}

// refuse writes the response to a request that is not a valid call of a node.
// The response is marked as not run: the sender would otherwise take it for a
// response of the backend server.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, reason, text string, status int) {
	call.DiscardBody(r)
	s.setNodeHeaders(w.Header())
	w.Header().Set(call.HeaderNotRun, reason)
	w.Header().Set(call.HeaderRetry, "no")
	WriteText(w, text, status)
}

// parseCall returns the call that the headers of the mesh describe. Its deadline
// and arrival are earlier by the extra delay of the request.
func (s *Server) parseCall(r *http.Request) (call.Call, error) {
	h, now := r.Header, s.Now()
	timeLeft, err := strconv.ParseInt(h.Get(call.HeaderTimeLeft), 10, 64)
	if err != nil || timeLeft < 0 || timeLeft > maxTimeLeft.Microseconds() {
		return call.Call{}, &BadHeader{Name: call.HeaderTimeLeft}
	}
	depth, err := strconv.Atoi(h.Get(call.HeaderDepth))
	if err != nil || depth < 0 || depth > call.MaxDepth {
		return call.Call{}, &BadHeader{Name: call.HeaderDepth}
	}
	version, err := strconv.ParseUint(h.Get(call.HeaderConfigVersion), 10, 64)
	if err != nil {
		return call.Call{}, &BadHeader{Name: call.HeaderConfigVersion}
	}
	delay, err := s.extraDelay(h.Get(call.HeaderSentAt), now)
	if err != nil {
		return call.Call{}, err
	}
	var fingerprint quarantine.Fingerprint
	if v := h.Get(call.HeaderFingerprint); v != "" {
		if fingerprint, err = quarantine.ParseFingerprint(v); err != nil {
			return call.Call{}, &BadHeader{Name: call.HeaderFingerprint}
		}
	}
	return call.Call{
		ID: h.Get(call.HeaderRequestID), Service: h.Get(call.HeaderService), Account: h.Get(call.HeaderAccount),
		IdempotencyKey: h.Get(call.HeaderIdempotencyKey), Idempotent: h.Get(call.HeaderIdempotent) == "1",
		Deadline:  now.Add(time.Duration(timeLeft)*time.Microsecond - delay),
		ArrivedAt: now.Add(-delay), Depth: depth, ConfigVersion: version, Fingerprint: fingerprint,
	}, nil
}

// extraDelay returns the extra delay of a request that was received at now. v is
// the value of call.HeaderSentAt.
func (s *Server) extraDelay(v string, now time.Time) (time.Duration, error) {
	sender, us, ok := strings.Cut(v, "-")
	n, err := strconv.ParseInt(us, 10, 64)
	if !ok || err != nil || len(sender) > maxSenderIDBytes || n < 0 || n > maxSenderClock.Microseconds() {
		return 0, &BadHeader{Name: call.HeaderSentAt}
	}
	s.mu.Lock()
	estimator := s.delays[sender]
	if estimator == nil {
		if s.delays == nil || len(s.delays) >= maxSenders {
			s.delays = map[string]*call.DelayEstimator{}
		}
		estimator = &call.DelayEstimator{}
		s.delays[sender] = estimator
	}
	s.mu.Unlock()
	return estimator.ExtraDelay(time.Duration(n)*time.Microsecond, now, now.Sub(s.StartedAt)), nil
}

// setNodeHeaders sets the headers that a node sends with each response.
func (s *Server) setNodeHeaders(h http.Header) {
	r, p, q := s.Load()
	h.Set(call.HeaderLoad, strconv.Itoa(r)+"/"+strconv.Itoa(p)+"/"+strconv.Itoa(q))
	h.Set(call.HeaderConfigVersion, strconv.FormatUint(s.ConfigVersion(), 10))
}

// BadHeader is the error of a request without a valid value of the header Name.
type BadHeader struct{ Name string }

// Error implements error.
func (e *BadHeader) Error() string { return "header " + e.Name + " is missing or invalid" }

// WriteText is http.Error with the length of the response. With it, the response is
// complete before the handler waits for the rest of the request's body.
func WriteText(w http.ResponseWriter, text string, status int) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n")
}

// WriteError writes the response to a call that failed with err.
func WriteError(w http.ResponseWriter, err error) {
	var n *call.NotRun
	var r *call.DuplicateRequest
	var u *call.OutcomeUnknown
	h := w.Header()
	switch {
	case errors.As(err, &n):
		h.Set(call.HeaderNotRun, n.Reason)
		if n.Final {
			h.Set(call.HeaderRetry, "no")
		}
		if n.RetryAfter > 0 {
			h.Set(call.HeaderRetryAfter, strconv.FormatFloat(math.Ceil(n.RetryAfter.Seconds()*1000), 'f', 0, 64))
			h.Set("Retry-After", strconv.FormatFloat(math.Ceil(n.RetryAfter.Seconds()), 'f', 0, 64))
		}
		WriteText(w, err.Error(), http.StatusServiceUnavailable)
	case errors.As(err, &r):
		h.Set(call.HeaderOutcome, "running")
		if r.Status != 0 {
			h.Set(call.HeaderOutcome, "done")
			h.Set(call.HeaderEarlierStatus, strconv.Itoa(r.Status))
		}
		WriteText(w, err.Error(), http.StatusConflict)
	case errors.As(err, &u):
		h.Set(call.HeaderOutcome, "unknown")
		if u.NestedCallRetried {
			h.Set(call.HeaderRetry, "no")
		}
		status := http.StatusBadGateway
		if errors.Is(err, context.DeadlineExceeded) {
			status = http.StatusGatewayTimeout
		}
		WriteText(w, "outcome unknown: "+u.Reason, status)
	default:
		h.Set(call.HeaderOutcome, "unknown")
		WriteText(w, "outcome unknown", http.StatusBadGateway)
	}
}

// CopyResponse is SendResponse. If the response breaks off before anything was sent,
// it writes that the outcome is unknown. If it cannot be completed later, it aborts
// the connection, so that the receiver notices that the response is truncated.
func CopyResponse(w http.ResponseWriter, a *http.Response) { copyResponse(w, a, WriteError) }

// copyResponse is CopyResponse with the function that writes an error.
func copyResponse(w http.ResponseWriter, a *http.Response, writeError func(http.ResponseWriter, error)) {
	switch t := SendResponse(w, a); {
	case t == nil:
	case t.NothingSent:
		writeError(w, t.Outcome())
	default:
		panic(http.ErrAbortHandler)
	}
}

// Truncated is the error of a response that was not sent completely.
type Truncated struct {
	// NotReceived is set if it could not be written to the receiver, and not if
	// its body could not be read to the end.
	NotReceived bool
	// NothingSent is set if another response can be sent instead.
	NothingSent bool
	Cause       error
}

// Error implements error.
func (e *Truncated) Error() string {
	if e.NotReceived {
		return "response not received: " + e.Cause.Error()
	}
	return "response broke off: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Truncated) Unwrap() error { return e.Cause }

// Outcome returns the error of the call.
func (e *Truncated) Outcome() *call.OutcomeUnknown {
	return &call.OutcomeUnknown{Reason: "the answer broke off", Cause: e.Cause, Crashes: call.CrashesIn(e.Cause)}
}

// SendResponse copies a response to w as it arrives. Unless it returns nil or
// NothingSent is set, the handler must abort the connection.
func SendResponse(w http.ResponseWriter, a *http.Response) *Truncated {
	b := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(b)
	n, err := io.ReadAtLeast(a.Body, *b, int(min(max(1, a.ContentLength), firstBytes)))
	if err != nil && err != io.EOF {
		return &Truncated{NothingSent: true, Cause: err}
	}
	h := w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	if a.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	w.WriteHeader(a.StatusCode)
	c := http.NewResponseController(w)
	for ; ; n, err = a.Body.Read(*b) {
		if n > 0 {
			if _, e := w.Write((*b)[:n]); e != nil {
				return &Truncated{NotReceived: true, Cause: e}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &Truncated{Cause: err}
		}
		if a.ContentLength < 0 {
			_ = c.Flush()
		}
	}
}

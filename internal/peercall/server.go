// Package peercall carries calls between nodes: HTTP/1.1 over mutual TLS, one
// call per connection at a time, so that answers cannot cross.
package peercall

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/internal/call"
)

// copyBytes is the size of the buffers that carry bodies.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// A Server takes calls from other nodes. Its exported fields are set before
// first use.
type Server struct {
	// Do runs a call at the backend server of this host.
	Do func(ctx context.Context, c call.Call, r *http.Request) (*http.Response, error)
	// Load returns the gate's running, permitted and queued calls.
	Load func() (running, permits, queued int)
	// Version returns the configuration version in force.
	ConfigVersion func() uint64
	// Authorized reports whether the connection belongs to a node; nil lets
	// every connection pass.
	Authorized func(r *http.Request) bool
	Now        func() time.Time
	// Started is when this process started; clock readings count from it.
	StartedAt time.Time

	mu     sync.Mutex
	delays map[string]*call.DelayEstimator
}

// maxSenders bounds the senders whose lateness is tracked. A fleet has about
// a thousand nodes, each with a new identity after a restart.
const maxSenders = 8192

const (
	// maxBudget is longer than any time limit that a node accepts from a
	// caller. Far larger numbers would overflow a duration.
	maxTimeLeft = time.Hour
	// maxClock bounds a sender's clock, which counts from its start.
	maxSenderClock = 100 * 365 * 24 * time.Hour
	// maxSenderBytes is the longest identity of a sender that is remembered.
	maxSenderIDBytes = 64
	// writeGrace is how long after its deadline a call's answer may take to be
	// written.
	writeGrace = time.Second
)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b := call.NewDuplexBody(w, r)
	defer b.Release()
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeGrace))
	if s.Authorized != nil && !s.Authorized(r) {
		s.refuse(w, "NotANode", "not a node of this mesh", http.StatusForbidden)
		return
	}
	c, err := s.parseCall(r)
	if err != nil {
		s.refuse(w, "BadHeader", err.Error(), http.StatusBadRequest)
		return
	}
	// A sender that stops reading, as a paused or cut off process does, must
	// not hold a slot past the deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(c.Deadline.Add(writeGrace))
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	a, err := s.Do(ctx, c, r)
	s.setNodeHeaders(w.Header())
	if err != nil {
		WriteError(w, err)
		return
	}
	defer func() { _ = a.Body.Close() }()
	CopyResponse(w, a)
}

// refuse answers a request that is no call of a node. It is marked as not
// run, or the sender would take it for an answer of the backend server.
func (s *Server) refuse(w http.ResponseWriter, reason, text string, status int) {
	s.setNodeHeaders(w.Header())
	w.Header().Set(call.HeaderNotRun, reason)
	w.Header().Set(call.HeaderRetry, "no")
	http.Error(w, text, status)
}

// parse reads the call's description from the headers of the mesh.
func (s *Server) parseCall(r *http.Request) (call.Call, error) {
	h, now := r.Header, s.Now()
	budget, err := strconv.ParseInt(h.Get(call.HeaderTimeLeft), 10, 64)
	if err != nil || budget < 0 || budget > maxTimeLeft.Microseconds() {
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
	late, err := s.extraDelay(h.Get(call.HeaderSentAt), now)
	if err != nil {
		return call.Call{}, err
	}
	return call.Call{
		ID: h.Get(call.HeaderRequestID), Service: h.Get(call.HeaderService), Account: h.Get(call.HeaderAccount),
		IdempotencyKey: h.Get(call.HeaderIdempotencyKey), Idempotent: h.Get(call.HeaderIdempotent) == "1",
		Deadline:  now.Add(time.Duration(budget)*time.Microsecond - late),
		ArrivedAt: now.Add(-late), Depth: depth, ConfigVersion: version,
	}, nil
}

// late returns the extra delay of a request. The header is the sender's
// process identity, a dash, and its clock in microseconds.
func (s *Server) extraDelay(v string, now time.Time) (time.Duration, error) {
	sender, us, ok := strings.Cut(v, "-")
	n, err := strconv.ParseInt(us, 10, 64)
	if !ok || err != nil || len(sender) > maxSenderIDBytes || n < 0 || n > maxSenderClock.Microseconds() {
		return 0, &BadHeader{Name: call.HeaderSentAt}
	}
	s.mu.Lock()
	l := s.delays[sender]
	if l == nil {
		if s.delays == nil || len(s.delays) >= maxSenders {
			s.delays = map[string]*call.DelayEstimator{}
		}
		l = &call.DelayEstimator{}
		s.delays[sender] = l
	}
	s.mu.Unlock()
	return l.ExtraDelay(time.Duration(n)*time.Microsecond, now, now.Sub(s.StartedAt)), nil
}

func (s *Server) setNodeHeaders(h http.Header) {
	r, p, q := s.Load()
	h.Set(call.HeaderLoad, strconv.Itoa(r)+"/"+strconv.Itoa(p)+"/"+strconv.Itoa(q))
	h.Set(call.HeaderConfigVersion, strconv.FormatUint(s.ConfigVersion(), 10))
}

// A BadHeader error names a header of the mesh that cannot be parsed.
type BadHeader struct{ Name string }

// Error implements error.
func (e *BadHeader) Error() string { return "header " + e.Name + " is missing or malformed" }

// WriteFailure answers a call that ended without an answer.
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
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case errors.As(err, &r):
		h.Set(call.HeaderOutcome, "running")
		if r.Status != 0 {
			h.Set(call.HeaderOutcome, "done")
			h.Set(call.HeaderEarlierStatus, strconv.Itoa(r.Status))
		}
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.As(err, &u):
		h.Set(call.HeaderOutcome, "unknown")
		if u.NestedCallRetried {
			h.Set(call.HeaderRetry, "no")
		}
		status := http.StatusBadGateway
		if errors.Is(err, context.DeadlineExceeded) {
			status = http.StatusGatewayTimeout
		}
		http.Error(w, "outcome unknown: "+u.Reason, status)
	default:
		h.Set(call.HeaderOutcome, "unknown")
		http.Error(w, "outcome unknown", http.StatusBadGateway)
	}
}

// CopyAnswer passes an answer on as it arrives. A failure before the end
// breaks the connection, so that a truncated answer never looks whole.
func CopyResponse(w http.ResponseWriter, a *http.Response) {
	h := w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	if a.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	w.WriteHeader(a.StatusCode)
	b := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(b)
	c := http.NewResponseController(w)
	for {
		n, err := a.Body.Read(*b)
		if n > 0 {
			if _, e := w.Write((*b)[:n]); e != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if a.ContentLength < 0 {
			_ = c.Flush()
		}
	}
}

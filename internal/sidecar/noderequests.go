package sidecar

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/internal/peercall"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
)

// writeGrace is how long after its deadline a response may still be written.
const writeGrace = time.Second

// nodeRequestHandler serves requests of other nodes for the local backend server.
type nodeRequestHandler struct {
	names        *HeaderNames
	localBackend *localBackend
	now          func() time.Time
	requestHosts *requestHosts
	calls        *callGraph
	uploads      *uploadReceiver
	// hidden reports whether other nodes should not know the local instance any more.
	hidden func() bool
	// onHeard is called for each request of another node.
	onHeard func()
	// maxBody returns the largest size of a body, zero for no limit. It may be nil.
	maxBody func() int64
}

// ServeHTTP implements http.Handler.
func (s *nodeRequestHandler) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	if in.Method == http.MethodOptions && in.RequestURI == "*" {
		// Another node checks whether the connection still works.
		w.WriteHeader(http.StatusNoContent)
		return
	}
	s.requestHosts.add(in.RemoteAddr, s.now())
	s.onHeard()
	b := call.NewDuplexBody(w, in)
	defer b.Release()
	w = b.ResponseWriter()
	r, err := parseNodeRequest(in, s.names, s.now())
	if err == nil && s.hidden() {
		err = &priorityadmission.Refusal{Reason: priorityadmission.Draining}
	}
	if err == nil && !http1.Reserve(in.Context(), call.BodyMemory(in)) {
		err = &call.NotRun{Reason: reasonMemory}
	}
	if err != nil {
		s.writeError(w, in, err)
		return
	}
	if s.maxBody != nil {
		b.SetLimit(s.maxBody())
		if n := s.maxBody(); n > 0 && in.ContentLength > n {
			s.writeTooLarge(w, in)
			return
		}
	}
	b.SetDeadline(r.Deadline.Add(writeGrace))
	_ = http.NewResponseController(w).SetWriteDeadline(r.Deadline.Add(writeGrace))
	ctx, cancel := context.WithDeadline(in.Context(), r.Deadline)
	defer cancel()
	release, err := s.uploads.receive(ctx, r)
	if err != nil {
		s.writeError(w, in, err)
		return
	}
	defer release()
	a, err := s.localBackend.do(ctx, r)
	if err != nil && b.IsTooLarge() {
		s.writeTooLarge(w, in)
		return
	}
	if err != nil {
		s.writeError(w, in, err)
		return
	}
	defer func() { _ = a.Body.Close() }()
	writeLoadHeaders(a.Header, s.localBackend.admission.Load(), s.calls.header())
	switch t := peercall.SendResponse(w, a); {
	case t == nil:
	case t.NothingSent:
		s.writeError(w, in, t.Outcome())
	default:
		panic(http.ErrAbortHandler)
	}
}

// writeTooLarge answers a request whose body exceeds the limit.
func (s *nodeRequestHandler) writeTooLarge(w http.ResponseWriter, in *http.Request) {
	call.DiscardBody(in)
	w.Header()["Content-Length"] = []string{"0"}
	w.WriteHeader(http.StatusRequestEntityTooLarge)
}

// writeError answers a request for which there is no response of the backend
// server.
func (s *nodeRequestHandler) writeError(w http.ResponseWriter, in *http.Request, err error) {
	call.DiscardBody(in)
	h := w.Header()
	// With its length, the response is complete before Release waits for the sender.
	h["Content-Length"] = []string{"0"}
	writeLoadHeaders(h, s.localBackend.admission.Load(), s.calls.header())
	var f *priorityadmission.Refusal
	var n *call.NotRun
	var u *call.OutcomeUnknown
	switch {
	case errors.As(err, &f):
		h[call.HeaderNotRun] = []string{string(f.Reason)}
		h[headerRetryAfter] = []string{strconv.FormatInt(f.RetryAfter.Milliseconds(), 10)}
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.As(err, &n):
		h[call.HeaderNotRun] = []string{n.Reason}
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		h[call.HeaderOutcome] = []string{err.Error()}
		if errors.As(err, &u) && u.Crashes > 0 {
			h[headerCrashes] = []string{strconv.Itoa(u.Crashes)}
		}
		w.WriteHeader(http.StatusBadGateway)
	}
}

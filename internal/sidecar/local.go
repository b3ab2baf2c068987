package sidecar

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/crash"
	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/pkg/nestedthrottle"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
)

// A localBackend runs requests at the backend server of this host. Its fields are
// set before first use.
type localBackend struct {
	names           *HeaderNames
	admission       *priorityadmission.Controller
	pool            *http1.Pool
	log             *slog.Logger
	now             func() time.Time
	runningRequests runningRequests
	load            *instanceLoadReader
	// throttle decides which root requests start.
	throttle *nestedthrottle.Throttle
	crashes  *crash.Detector
	// instanceID returns the ID of the instance at the backend server's address, or
	// the empty string if none is known.
	instanceID func() string
	// successor returns the ID of the instance that has taken the place of another
	// one, see fleet.View.Successor. It is empty if there is none.
	successor func(id string) string
	// class names the kind of work of a request, see priorityadmission.Request.
	class func(in *http.Request) string
	// onOutcome is called for each run of a root request at its end.
	onOutcome func(o nestedthrottle.Outcome)
	// onSent is called for each request that is sent to the backend server.
	onSent func()
	// onFailure is called for each sent request without a complete response.
	onFailure func(request, instanceID string, err error)
	// onClosed is called when the backend server closed n connections.
	onClosed func(n int)
	// onUnreachable is called when the backend server accepted no connection.
	onUnreachable func()
}

// do runs a request and returns the backend server's response; its body streams.
// The error is a *priorityadmission.Refusal if the request has not run and a
// *call.OutcomeUnknown if it may have.
func (l *localBackend) do(ctx context.Context, r *InstanceRequest) (*http.Response, error) {
	if err := l.resolveInstance(r); err != nil {
		return nil, err
	}
	if err := l.fingerprint(r); err != nil {
		return nil, err
	}
	if f := l.names.quarantineRefusal(l.crashes, r.Fingerprint, r.Original); f != nil {
		return nil, f
	}
	request := l.admissionRequest(r)
	root, err := l.beginRoot(r, request.Class)
	if err != nil {
		return nil, err
	}
	arrived := l.now()
	slot, err := l.admission.Admit(ctx, request)
	if err != nil {
		root.Cancel()
		return nil, err
	}
	left := r.Deadline.Sub(l.now())
	if left < time.Millisecond {
		root.Cancel()
		slot.Release(false)
		return nil, &priorityadmission.Refusal{Reason: priorityadmission.Late}
	}
	if f := l.names.quarantineRefusal(l.crashes, r.Fingerprint, r.Original); f != nil {
		// It was quarantined while it waited.
		root.Cancel()
		slot.Release(false)
		return nil, f
	}
	h := make(http.Header, len(r.Header)+2)
	for k, v := range r.Header {
		h[k] = v
	}
	h[l.names.ExpectedInstance] = []string{r.Instance}
	h[l.names.TimeLeft] = []string{formatMs(left)}
	l.onSent()
	running := &runningRequest{priority: r.Priority, deadline: r.Deadline, objective: r.Objective}
	running.strained.Store(r.Nested && r.Deadline.Sub(arrived)-left > r.Deadline.Sub(arrived)/nestedthrottle.StrainDivisor)
	remove := l.runningRequests.add(r.Header.Get(l.names.RequestID), running)
	status := 0
	x := l.crashes.Begin(l.names.crashRequest(r), &r.Body)
	done := func(ran bool, err error) (crashes int) {
		if err != nil {
			crashes = l.crashes.Failed(ctx, x, err)
			if errorx.IsOfType(err, http1.Interrupted) {
				l.onFailure(r.Header.Get(l.names.RequestID), r.Instance, err)
			}
		} else {
			l.crashes.End(x, ran)
		}
		remove()
		l.endRoot(root, running.outcome(status, err, r.Deadline.Sub(l.now())))
		slot.Release(ran)
		return crashes
	}
	a, err := l.exchange(ctx, r, x, h)
	if err != nil {
		done(false, nil)
		l.onFailure(r.Header.Get(l.names.RequestID), r.Instance, err)
		return nil, err
	}
	call.StripHopByHop(a.Header)
	stripNodeHeaders(a.Header)
	ran := a.Header.Get(l.names.NotExecuted) == "" && a.StatusCode != http.StatusMisdirectedRequest
	if status = a.StatusCode; !ran {
		status = 0
	}
	running.setNestedHeaders(a)
	l.crashes.CheckEnd(ctx, x, r.Original.Method, a)
	a.Body = &trackedBody{ReadCloser: a.Body, done: done, ran: ran}
	return a, nil
}

// resolveInstance sets the instance of a request to the one at the backend server's
// address if that has taken the place of the instance that the request is for. The
// error is a *priorityadmission.Refusal.
func (l *localBackend) resolveInstance(r *InstanceRequest) error {
	id := l.instanceID()
	// The sender may not know yet that the instance was started anew.
	if id != r.Instance && (id == "" || l.successor(r.Instance) != id) {
		return &priorityadmission.Refusal{Reason: priorityadmission.Draining}
	}
	r.Instance = id
	return nil
}

// preview returns the refusal that a request would get at once, or nil.
func (l *localBackend) preview(r *InstanceRequest) error {
	if err := l.resolveInstance(r); err != nil {
		return err
	}
	if f := l.names.quarantineRefusal(l.crashes, r.Fingerprint, r.Original); f != nil {
		return f
	}
	if f := l.admission.Preview(l.admissionRequest(r)); f != nil {
		return f
	}
	return nil
}

func (l *localBackend) admissionRequest(r *InstanceRequest) priorityadmission.Request {
	return priorityadmission.Request{
		Class: l.class(r.Original), Priority: r.Priority, Objective: r.Objective, Deadline: r.Deadline, StartBy: r.StartBy, NoWait: r.NoWait, TypicalDuration: r.TypicalLatency, Nested: r.Nested,
		RootHash: l.names.rootHash(r.Header.Get(l.names.RequestID)),
	}
}

// exchange sends a request with the given headers to the backend server.
func (l *localBackend) exchange(ctx context.Context, r *InstanceRequest, x *crash.Running, h http.Header) (*http.Response, error) {
	send := l.pool.DoNonIdempotent
	if r.Repeatable {
		send = l.pool.Do
	}
	a, err := send(ctx, r.httpRequest(h))
	if err != nil {
		return nil, l.classifyError(ctx, x, err)
	}
	if err := l.checkResponse(a, r); err != nil {
		_ = a.Body.Close()
		l.crashes.GiveUp(x)
		return nil, err
	}
	l.load.read(a.Header)
	return a, nil
}

// checkResponse refuses a response to another request, and one with a
// Content-Encoding, whose bytes are not those of the backend server itself.
func (l *localBackend) checkResponse(a *http.Response, r *InstanceRequest) error {
	if id := r.Header.Get(l.names.RequestID); !l.names.isAnswerTo(a, id) {
		l.log.Warn("answer to another request", "request", id, "answer", a.Header.Get(l.names.RequestID))
		return &call.OutcomeUnknown{Reason: "the answer belongs to another request"}
	}
	if a.Header.Get("Content-Encoding") != "" {
		return &call.OutcomeUnknown{Reason: "the answer is encoded unasked"}
	}
	return nil
}

// classifyError returns the error of a failed exchange, which tells whether the
// request may have run.
func (l *localBackend) classifyError(ctx context.Context, x *crash.Running, err error) error {
	crashes := l.crashes.Failed(ctx, x, err)
	switch {
	case errorx.IsOfType(err, http1.NotSent):
		if ctx.Err() != nil {
			return &priorityadmission.Refusal{Reason: priorityadmission.Canceled}
		}
		l.onUnreachable()
		return &priorityadmission.Refusal{Reason: priorityadmission.Unreachable}
	case ctx.Err() != nil:
		return &call.OutcomeUnknown{Reason: "no answer in time", Cause: context.Cause(ctx)}
	case crashes > 0:
		l.onUnreachable()
	case errorx.IsOfType(err, http1.ClosedByPeer):
		l.onClosed(1)
	}
	return &call.OutcomeUnknown{Reason: "no whole answer from the backend server", Cause: err, Crashes: crashes}
}

// errClosedEarly is the error of a response that was closed before its end.
var errClosedEarly = http1.Expired.New("the answer was closed before its end")

// A trackedBody ends a request when the body of its response ends.
type trackedBody struct {
	io.ReadCloser
	// done is called once. ran states that the backend server ran the request to
	// its end, err is the error that ended the answer before. It returns
	// call.OutcomeUnknown.Crashes.
	done func(ran bool, err error) (crashes int)
	ran  bool
	once sync.Once
	// err is the error at the end, nil before. Only Read uses it.
	err error
}

// Read implements io.Reader. The error is a *call.ServerCrash if the backend server
// crashed before the end of the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(func() {
			if errors.Is(err, io.EOF) {
				b.done(b.ran, nil)
			} else {
				err = call.WithCrashes(err, b.done(false, err))
			}
		})
	}
	b.err = err
	return n, err
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() {
		if b.ran {
			b.done(false, errClosedEarly)
		} else {
			b.done(false, nil)
		}
	})
	return err
}

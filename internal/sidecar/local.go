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
	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
)

// A local runs requests at the backend server of this host. Its fields are set
// before first use.
type localBackend struct {
	names           *HeaderNames
	admission       *priorityadmission.Controller
	pool            *http1.Pool
	log             *slog.Logger
	now             func() time.Time
	runningRequests runningRequests
	// instance returns the ID of the instance that has the backend server's
	// address; empty if none is known.
	instanceID func() string
	// ran is told of each request that is sent to the server.
	onSent func()
	// failed is told of each request that was sent without a whole answer.
	onFailure func(request, instanceID string, err error)
	// closed is told that the server closed some connections.
	onClosed func(n int)
	// unreachable is told that the server took no connection.
	onUnreachable func()
}

// do runs a request and returns the server's answer; its body streams. The
// error is a *priorityadmission.Refusal if the request has not run and a *call.Unknown if
// it may have.
func (l *localBackend) do(ctx context.Context, r *InstanceRequest) (*http.Response, error) {
	if id := l.instanceID(); id != r.Instance {
		return nil, &priorityadmission.Refusal{Reason: priorityadmission.Draining}
	}
	permit, err := l.admission.Admit(ctx, priorityadmission.Request{
		Priority: r.Priority, Objective: r.Objective, Deadline: r.Deadline, NoWait: r.NoWait, TypicalDuration: r.TypicalLatency, Nested: r.Nested,
		RootHash: l.names.rootHash(r.Header.Get(l.names.RequestID)),
	})
	if err != nil {
		return nil, err
	}
	left := r.Deadline.Sub(l.now())
	if left < time.Millisecond {
		permit.Release(false)
		return nil, &priorityadmission.Refusal{Reason: priorityadmission.Late}
	}
	h := make(http.Header, len(r.Header)+2)
	for k, v := range r.Header {
		h[k] = v
	}
	h[l.names.ExpectedInstance] = []string{r.Instance}
	h[l.names.TimeLeft] = []string{formatMs(left)}
	l.onSent()
	remove := l.runningRequests.add(r.Header.Get(l.names.RequestID), r.Priority)
	done := func(ran bool) {
		remove()
		permit.Release(ran)
	}
	a, err := l.exchange(ctx, r, h)
	if err != nil {
		done(false)
		l.onFailure(r.Header.Get(l.names.RequestID), r.Instance, err)
		return nil, err
	}
	call.StripHop(a.Header)
	stripNodeHeaders(a.Header)
	a.Body = &trackedBody{ReadCloser: a.Body, done: done, ran: a.Header.Get(l.names.NotExecuted) == ""}
	return a, nil
}

// exchange sends a request with the headers to the server.
func (l *localBackend) exchange(ctx context.Context, r *InstanceRequest, h http.Header) (*http.Response, error) {
	send := l.pool.DoOnce
	if r.Repeatable {
		send = l.pool.Do
	}
	a, err := send(ctx, r.httpRequest(h))
	if err != nil {
		return nil, l.classifyError(ctx, err)
	}
	if err := l.checkResponse(a, r); err != nil {
		_ = a.Body.Close()
		return nil, err
	}
	return a, nil
}

// check refuses an answer that belongs to another request or whose bytes are
// not the server's own.
func (l *localBackend) checkResponse(a *http.Response, r *InstanceRequest) error {
	want := r.Header.Get(l.names.RequestID)
	if got := a.Header.Get(l.names.RequestID); got != "" && got != want {
		l.log.Warn("answer to another request", "request", want, "answer", got)
		return &call.Unknown{Reason: "the answer belongs to another request"}
	}
	if a.Header.Get("Content-Encoding") != "" {
		return &call.Unknown{Reason: "the answer is encoded unasked"}
	}
	return nil
}

// failure says what a failed exchange means for the request.
func (l *localBackend) classifyError(ctx context.Context, err error) error {
	switch {
	case errorx.IsOfType(err, http1.NotSent):
		if ctx.Err() != nil {
			return &priorityadmission.Refusal{Reason: priorityadmission.Canceled}
		}
		l.onUnreachable()
		return &priorityadmission.Refusal{Reason: priorityadmission.Unreachable}
	case ctx.Err() != nil:
		return &call.Unknown{Reason: "no answer in time", Cause: context.Cause(ctx)}
	case errorx.IsOfType(err, http1.Reset):
		l.onClosed(1)
	}
	return &call.Unknown{Reason: "no whole answer from the backend server", Cause: err}
}

// A passBody ends a request when its answer ends.
type trackedBody struct {
	io.ReadCloser
	// done is told once whether the server ran the request to its end.
	done func(ran bool)
	ran  bool
	once sync.Once
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(func() { b.done(b.ran && errors.Is(err, io.EOF)) })
	}
	return n, err
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.done(false) })
	return err
}

package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/pkg/gate"
)

// An ending gives back what a call holds, exactly once.
type ending struct {
	s      *Server
	ticket *gate.Ticket
	token  string
	entry  *Entry
	status int
	once   sync.Once
}

// failed ends a call that got no answer and says what that means to the
// caller.
func (e *ending) failed(ctx context.Context, err error) error {
	if f := dialRefusal(err); f != nil {
		// The gate spares the server a connection; the server did nothing.
		e.finish(gate.CallerGone)
		return &call.NotRun{Reason: string(f.Reason), Final: f.Reason == gate.Canceled}
	}
	e.finish(outcome(ctx, err))
	if errorx.IsOfType(err, http1.NotSent) {
		if n := call.Ended(ctx); n != nil {
			return n
		}
		return &call.NotRun{Reason: "ServerUnreachable"}
	}
	u := &call.Unknown{Reason: "no whole answer from the backend server", Cause: err, Deeper: e.entry.HasNestedFailure()}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		u.Cause = ctx.Err()
	}
	return u
}

// dialRefusal returns the gate's refusal of a new connection to the server.
func dialRefusal(err error) *gate.Refusal {
	var f *gate.Refusal
	for x := errorx.Cast(err); x != nil; x = errorx.Cast(x.Cause()) {
		if errors.As(x.Cause(), &f) {
			return f
		}
	}
	return nil
}

// finish releases the slot.
func (e *ending) finish(o gate.Outcome) {
	e.once.Do(func() {
		e.s.Running.Remove(e.token)
		e.ticket.Done(o)
	})
}

// An answerBody ends the call when the answer ends.
type answerBody struct {
	io.ReadCloser
	e *ending
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.e.finish(b.e.answered())
	default:
		b.e.finish(gate.Failed)
	}
	return n, err
}

// Close implements io.Closer. An answer that is closed before its end was not
// wanted any more.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.e.finish(gate.CallerGone)
	return err
}

func (e *ending) answered() gate.Outcome {
	switch {
	case e.status == http.StatusServiceUnavailable:
		return gate.Shed
	case e.status >= http.StatusInternalServerError:
		return gate.Failed
	default:
		return gate.Good
	}
}

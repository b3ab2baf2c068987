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
	"quetzaldock.example/quetzaldock/pkg/fairadmission"
)

// An ending gives back what a call holds, exactly once.
type ending struct {
	s      *Proxy
	ticket *fairadmission.Slot
	token  string
	entry  *RunningCall
	status int
	once   sync.Once
}

// failed ends a call that got no answer and says what that means to the
// caller.
func (e *ending) failed(ctx context.Context, err error) error {
	if f := dialRefusal(err); f != nil {
		// The gate spares the server a connection; the server did nothing.
		e.finish(fairadmission.CallerCanceled)
		return &call.NotRun{Reason: string(f.Reason), Final: f.Reason == fairadmission.Canceled}
	}
	e.finish(outcome(ctx, err))
	if errorx.IsOfType(err, http1.NotSent) {
		if n := call.NotRunFromContext(ctx); n != nil {
			return n
		}
		return &call.NotRun{Reason: "ServerUnreachable"}
	}
	u := &call.OutcomeUnknown{Reason: "no whole answer from the backend server", Cause: err, NestedCallRetried: e.entry.HasNestedFailure()}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		u.Cause = ctx.Err()
	}
	return u
}

// dialRefusal returns the gate's refusal of a new connection to the server.
func dialRefusal(err error) *fairadmission.Refusal {
	var f *fairadmission.Refusal
	for x := errorx.Cast(err); x != nil; x = errorx.Cast(x.Cause()) {
		if errors.As(x.Cause(), &f) {
			return f
		}
	}
	return nil
}

// finish releases the slot.
func (e *ending) finish(o fairadmission.Outcome) {
	e.once.Do(func() {
		e.s.RunningCalls.Remove(e.token)
		e.ticket.Release(o)
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
		b.e.finish(fairadmission.Failed)
	}
	return n, err
}

// Close implements io.Closer. An answer that is closed before its end was not
// wanted any more.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.e.finish(fairadmission.CallerCanceled)
	return err
}

func (e *ending) answered() fairadmission.Outcome {
	switch {
	case e.status == http.StatusServiceUnavailable:
		return fairadmission.Shed
	case e.status >= http.StatusInternalServerError:
		return fairadmission.Failed
	default:
		return fairadmission.Succeeded
	}
}

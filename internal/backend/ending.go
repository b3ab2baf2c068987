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
	e.finish(outcome(ctx, err))
	if errorx.IsOfType(err, http1.NotSent) {
		return &call.NotRun{Reason: "ServerUnreachable"}
	}
	return &call.Unknown{Reason: "no whole answer from the backend server", Cause: err, Deeper: e.entry.HasNestedFailure()}
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

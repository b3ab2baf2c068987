package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/crash"
	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/pkg/fairadmission"
)

// A callCompletion ends a call exactly once: it removes the call from the running
// calls and releases its slot.
type callCompletion struct {
	proxy       *Proxy
	slot        *fairadmission.Slot
	token       string
	runningCall *RunningCall
	// running is the call in the crash detector. It is nil before the request is sent.
	running *crash.Running
	// ctx is the context of the call.
	ctx context.Context
	// status is the HTTP status of the response.
	status int
	once   sync.Once
}

// completeWithError ends a call that got no response and returns the error for
// the caller: *call.NotRun if the request was not sent, otherwise
// *call.OutcomeUnknown.
func (c *callCompletion) completeWithError(ctx context.Context, err error) error {
	if f := dialRefusal(err); f != nil {
		// The admission control allowed no new connection, so the failure says
		// nothing about the server.
		c.complete(fairadmission.CallerCanceled)
		c.proxy.Crashes.End(c.running, false)
		return &call.NotRun{Reason: string(f.Reason), Final: f.Reason == fairadmission.Canceled}
	}
	c.complete(failureOutcome(ctx, err))
	crashes := c.proxy.Crashes.Failed(ctx, c.running, err)
	if errorx.IsOfType(err, http1.NotSent) {
		if n := call.NotRunFromContext(ctx); n != nil {
			return n
		}
		return &call.NotRun{Reason: "ServerUnreachable"}
	}
	u := &call.OutcomeUnknown{Reason: "no whole answer from the backend server", Cause: err, Crashes: crashes, NestedCallRetried: c.runningCall.HasNestedFailure()}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		u.Cause = ctx.Err()
	}
	return u
}

// dialRefusal returns the refusal if err means that the admission control allowed
// no new connection to the server, and nil otherwise.
func dialRefusal(err error) *fairadmission.Refusal {
	var f *fairadmission.Refusal
	for x := errorx.Cast(err); x != nil; x = errorx.Cast(x.Cause()) {
		if errors.As(x.Cause(), &f) {
			return f
		}
	}
	return nil
}

// complete removes the call from the running calls and releases its slot with
// the outcome. Only the first call has an effect; it returns true.
func (c *callCompletion) complete(o fairadmission.Outcome) (first bool) {
	c.once.Do(func() {
		c.proxy.RunningCalls.Remove(c.token)
		c.slot.Release(o)
		first = true
	})
	return first
}

// completeAnswered ends a call whose response has been read to its end. A server that
// sheds a request has not run it, so its answer says nothing about crashes.
func (c *callCompletion) completeAnswered() {
	o := c.responseOutcome()
	if c.complete(o) {
		c.proxy.Crashes.End(c.running, o != fairadmission.Shed)
	}
}

// completeInterrupted ends a call whose response ended early with err. It returns the
// error for the caller, a *call.ServerCrash if the backend server crashed.
func (c *callCompletion) completeInterrupted(err error) error {
	if c.complete(fairadmission.Failed) {
		return call.WithCrashes(err, c.proxy.Crashes.Failed(c.ctx, c.running, err))
	}
	return err
}

// completeCanceled ends a call whose response was not read to its end. The backend
// server may still run it, unless it has shed it.
func (c *callCompletion) completeCanceled() {
	switch {
	case !c.complete(fairadmission.CallerCanceled):
	case c.responseOutcome() == fairadmission.Shed:
		c.proxy.Crashes.End(c.running, false)
	default:
		c.proxy.Crashes.GiveUp(c.running)
	}
}

// A responseBody is the body of a response. It ends the call when it has been
// read or is closed.
type responseBody struct {
	io.ReadCloser
	completion *callCompletion
	// err is the error at the end, nil before. Only Read uses it.
	err error
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.completion.completeAnswered()
	default:
		err = b.completion.completeInterrupted(err)
	}
	b.err = err
	return n, err
}

// Close implements io.Closer. If it is called before the end of the body, the
// caller has canceled the call.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.completion.completeCanceled()
	return err
}

// responseOutcome returns the outcome of a call whose response has been read to
// its end.
func (c *callCompletion) responseOutcome() fairadmission.Outcome {
	switch {
	case c.status == http.StatusServiceUnavailable:
		return fairadmission.Shed
	case c.status >= http.StatusInternalServerError:
		return fairadmission.Failed
	default:
		return fairadmission.Succeeded
	}
}

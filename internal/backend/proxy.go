// Package backend forwards calls to the backend server on this host.
//
// All requests to that server pass through one Proxy. It checks that this host
// may run the call, waits for a slot of the admission control, sends the
// request at most once, and keeps the slot until the response has ended. It
// also keeps the running calls, so that nested calls can be recognized by their
// token.
//
// Package peercall sends calls to the nodes of other hosts, and package caller
// chooses between the two.
package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/crash"
	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fairadmission"
)

// A Proxy forwards calls to the backend server on this host. Its exported fields
// must be set before first use.
type Proxy struct {
	// Host is the ID of this host.
	Host string
	// Service is the service of the backend server. Calls for other services are
	// refused.
	Service string
	// Admission admits the calls.
	Admission *fairadmission.Controller
	// Pool holds the connections to the backend server.
	Pool *http1.Pool
	// RunningCalls holds the calls from when they are sent until their response
	// has ended.
	RunningCalls *RunningCalls
	// Snapshot returns the configuration in force, or nil before the start is
	// complete.
	Snapshot func() *config.Snapshot
	// WaitForVersion waits until the given version is in force. It returns false
	// if the call has to be refused.
	WaitForVersion func(ctx context.Context, version uint64) bool
	// Crashes notices when the backend server crashes, and knows the requests that are
	// quarantined.
	Crashes *crash.Detector
	Now     func() time.Time
}

// Do runs a call at the backend server and returns the response. The error is a
// *call.NotRun or a *call.OutcomeUnknown. The call holds its slot until the
// response's body has been read or is closed.
func (p *Proxy) Do(ctx context.Context, c call.Call, r *http.Request) (*http.Response, error) {
	if err := p.check(ctx, c); err != nil {
		return nil, err
	}
	body, err := p.fingerprint(&c, r)
	if err != nil {
		return nil, err
	}
	if err := quarantineError(p.Crashes, &c, r); err != nil {
		return nil, err
	}
	slot, err := p.Admission.Admit(ctx, fairadmission.Request{Account: c.Account, Deadline: c.Deadline, ArrivedAt: c.ArrivedAt})
	if err != nil {
		return nil, notRunError(err)
	}
	if !p.WaitForVersion(ctx, 0) {
		// The version floor rose while the call waited in the queue.
		slot.Release(fairadmission.CallerCanceled)
		return nil, &call.NotRun{Reason: string(fairadmission.Behind)}
	}
	if err := quarantineError(p.Crashes, &c, r); err != nil {
		// It was quarantined while it waited.
		slot.Release(fairadmission.CallerCanceled)
		return nil, err
	}
	return p.forward(ctx, c, r, body, &callCompletion{proxy: p, slot: slot})
}

// check refuses calls that this host may not run.
func (p *Proxy) check(ctx context.Context, c call.Call) error {
	if !p.WaitForVersion(ctx, c.ConfigVersion) {
		return &call.NotRun{Reason: string(fairadmission.Behind)}
	}
	v := p.Snapshot()
	switch {
	case v == nil:
		return &call.NotRun{Reason: "Starting"}
	case c.Service != p.Service:
		return &call.NotRun{Reason: "WrongService"}
	case !p.Now().Before(c.Deadline):
		return &call.NotRun{Reason: "Late", Final: true}
	}
	if c.Account != "" {
		if _, ok := v.Accounts[c.Account]; !ok {
			return &call.NotRun{Reason: "UnknownAccount", Final: true}
		}
	}
	return nil
}

// notRunError converts the error of the admission control for the caller.
func notRunError(err error) error {
	var f *fairadmission.Refusal
	if errors.As(err, &f) {
		return &call.NotRun{Reason: string(f.Reason), Final: f.Reason == fairadmission.Late}
	}
	return &call.NotRun{Reason: "Canceled", Final: true}
}

// forward sends the request and returns the response. The call ends at once if
// it fails, and with the response's body otherwise.
func (p *Proxy) forward(ctx context.Context, c call.Call, r *http.Request, body io.ReadCloser, completion *callCompletion) (*http.Response, error) {
	token, runningCall := p.RunningCalls.Add(c)
	completion.token, completion.runningCall = token, runningCall
	out := p.backendRequest(c, r, token)
	out.Body = body
	completion.running = p.Crashes.Begin(p.crashRequest(&c, r), &out.Body)
	completion.ctx = ctx
	a, err := p.exchange(ctx, c, out)
	if err != nil {
		return nil, completion.completeWithError(ctx, err)
	}
	call.StripHopByHop(a.Header)
	call.StripMeshHeaders(a.Header)
	if a.StatusCode >= http.StatusInternalServerError && runningCall.HasNestedFailure() {
		a.Header.Set(call.HeaderRetry, "no")
	}
	completion.status = a.StatusCode
	p.Crashes.CheckEnd(ctx, completion.running, r.Method, a)
	a.Body = &responseBody{ReadCloser: a.Body, completion: completion}
	return a, nil
}

// exchange sends the request over a connection of the pool.
func (p *Proxy) exchange(ctx context.Context, c call.Call, r *http.Request) (*http.Response, error) {
	if c.Idempotent {
		return p.Pool.Do(ctx, r)
	}
	return p.Pool.DoNonIdempotent(ctx, r)
}

// backendRequest returns the request for the backend server. Headers that belong
// to the mesh, to the caller's connection or to its key are dropped, and the
// headers for the backend server are added.
func (p *Proxy) backendRequest(c call.Call, r *http.Request, token string) *http.Request {
	h, set := call.ForwardedHeaders(r.Header, 5)
	set.Set(call.HeaderRequestID, c.ID)
	set.Set(call.HeaderAccount, c.Account)
	set.Set(call.HeaderCallToken, token)
	leftMs := c.Deadline.Sub(p.Now()).Milliseconds()
	set.Set(call.HeaderTimeout, strconv.FormatInt(max(leftMs, 1), 10))
	out := &http.Request{
		Method: r.Method, Host: r.Host, Header: h, Body: r.Body, ContentLength: r.ContentLength,
		URL: &url.URL{Scheme: "http", Host: r.Host, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery},
	}
	if out.Host == "" {
		out.Host, out.URL.Host = p.Service, p.Service
	}
	return out
}

// failureOutcome returns the outcome that a failed exchange means for the
// admission control.
func failureOutcome(ctx context.Context, err error) fairadmission.Outcome {
	switch {
	case errorx.IsOfType(err, http1.DialRefused):
		return fairadmission.ConnectionRefused
	case errorx.IsOfType(err, http1.ClosedByPeer):
		return fairadmission.ConnectionReset
	case errors.Is(ctx.Err(), context.Canceled):
		return fairadmission.CallerCanceled
	default:
		return fairadmission.Failed
	}
}

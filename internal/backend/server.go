// Package backend speaks to the backend server on this host. Every request
// for that server passes here: it enters the gate and is sent once.
package backend

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fairadmission"
)

// A Server is the way to the backend server of this host. Its exported fields
// are set before first use.
type Proxy struct {
	// Host and Service say whom this node serves.
	Host      string
	Service   string
	Admission *fairadmission.Controller
	// Pool holds the connections to the backend server.
	Pool         *http1.Pool
	RunningCalls *RunningCalls
	// Snapshot returns the configuration in force, or nil before the start is
	// complete.
	Snapshot func() *config.Snapshot
	// WaitVersion waits until the given version is in force and reports
	// whether work may go on.
	WaitForVersion func(ctx context.Context, version uint64) bool
	Now            func() time.Time
}

// Do runs a call at the backend server. It fails with *call.NotRun or
// *call.Unknown. The slot at the server is held until the
// answer's body ends or is closed.
func (s *Proxy) Do(ctx context.Context, c call.Call, r *http.Request) (*http.Response, error) {
	if err := s.check(ctx, c); err != nil {
		return nil, err
	}
	t, err := s.Admission.Admit(ctx, fairadmission.Request{Account: c.Account, Deadline: c.Deadline, ArrivedAt: c.ArrivedAt})
	if err != nil {
		return nil, refusal(err)
	}
	if !s.WaitForVersion(ctx, 0) {
		// The floor rose while the call waited in the queue.
		t.Release(fairadmission.CallerCanceled)
		return nil, &call.NotRun{Reason: string(fairadmission.Behind)}
	}
	return s.send(ctx, c, r, &ending{s: s, ticket: t})
}

// check refuses calls that this host may not run.
func (s *Proxy) check(ctx context.Context, c call.Call) error {
	if !s.WaitForVersion(ctx, c.ConfigVersion) {
		return &call.NotRun{Reason: string(fairadmission.Behind)}
	}
	v := s.Snapshot()
	switch {
	case v == nil:
		return &call.NotRun{Reason: "Starting"}
	case c.Service != s.Service:
		return &call.NotRun{Reason: "WrongService"}
	case !s.Now().Before(c.Deadline):
		return &call.NotRun{Reason: "Late", Final: true}
	}
	if c.Account != "" {
		if _, ok := v.Accounts[c.Account]; !ok {
			return &call.NotRun{Reason: "UnknownAccount", Final: true}
		}
	}
	return nil
}

func refusal(err error) error {
	var f *fairadmission.Refusal
	if errors.As(err, &f) {
		return &call.NotRun{Reason: string(f.Reason), Final: f.Reason == fairadmission.Late}
	}
	return &call.NotRun{Reason: "Canceled", Final: true}
}

// send forwards the request and ties the end of the answer to the ticket.
func (s *Proxy) send(ctx context.Context, c call.Call, r *http.Request, e *ending) (*http.Response, error) {
	token, entry := s.RunningCalls.Add(c)
	e.token, e.entry = token, entry
	a, err := s.exchange(ctx, c, s.outgoing(c, r, token))
	if err != nil {
		return nil, e.failed(ctx, err)
	}
	call.StripHopByHop(a.Header)
	call.StripMeshHeaders(a.Header)
	if a.StatusCode >= http.StatusInternalServerError && entry.HasNestedFailure() {
		a.Header.Set(call.HeaderRetry, "no")
	}
	e.status = a.StatusCode
	a.Body = &answerBody{ReadCloser: a.Body, e: e}
	return a, nil
}

func (s *Proxy) exchange(ctx context.Context, c call.Call, r *http.Request) (*http.Response, error) {
	if c.Idempotent {
		return s.Pool.Do(ctx, r)
	}
	return s.Pool.DoNonIdempotent(ctx, r)
}

// outgoing builds the request as the backend server sees it.
func (s *Proxy) outgoing(c call.Call, r *http.Request, token string) *http.Request {
	h, set := call.ForwardedHeaders(r.Header, 5)
	set.Set(call.HeaderRequestID, c.ID)
	set.Set(call.HeaderAccount, c.Account)
	set.Set(call.HeaderCallToken, token)
	left := c.Deadline.Sub(s.Now()).Milliseconds()
	set.Set(call.HeaderTimeout, strconv.FormatInt(max(left, 1), 10))
	o := &http.Request{
		Method: r.Method, Host: r.Host, Header: h, Body: r.Body, ContentLength: r.ContentLength,
		URL: &url.URL{Scheme: "http", Host: r.Host, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery},
	}
	if o.Host == "" {
		o.Host, o.URL.Host = s.Service, s.Service
	}
	return o
}

// outcome says what a failed exchange tells about the backend server.
func outcome(ctx context.Context, err error) fairadmission.Outcome {
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

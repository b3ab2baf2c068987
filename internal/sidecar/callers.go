package sidecar

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/internal/peercall"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
	"quetzaldock.example/quetzaldock/pkg/quarantine"
)

const (
	// maxRequestTimeout limits each request. The request and its route may
	// state less, but not more.
	maxRequestTimeout = 30 * time.Second
	// maxBufferedResponseBytes is the largest response that is read completely
	// before it is forwarded, so that an interrupted one can be replaced by
	// another attempt.
	maxBufferedResponseBytes = 64 << 10
	// statusCallerLeft is the status in logs and metrics if the caller left
	// before the response.
	statusCallerLeft = 499
)

// callerHandler serves the requests that begin on this host.
type callerHandler struct {
	names         *HeaderNames
	dispatch      *dispatcher
	accountLimits *accountLimiter
	log           *slog.Logger
	now           func() time.Time
	// snapshot returns the configuration in force, or nil before there is one.
	snapshot func() *config.Snapshot
	// service returns the service of this host.
	service func() string
	// stopping reports whether the node is stopping.
	stopping func() bool
	// waitingCtx ends when requests without a response must get one, because the
	// node stops.
	waitingCtx context.Context
	// stopDeadlines is set once the node stops. Requests that may last longer are not
	// accepted.
	stopDeadlines atomic.Pointer[stopDeadlines]
	// nearMaxConnections reports whether callers hold many connections.
	nearMaxConnections func() bool
	// maxBody returns the largest size of a body, zero for no limit.
	maxBody       func() int64
	recordRequest func(record *RequestRecord)
	callerWaits   callerWaits
}

// A RequestRecord describes a request that has ended.
type RequestRecord struct {
	// ID is the caller's request ID.
	ID string
	// Route is the prefix of the route, empty if no route matched.
	Route   string
	Account string
	Nested  bool
	Status  int
	// Reason identifies the node's own response. It is empty for a response of a
	// backend server. There are few reasons; Detail says more.
	Reason string
	Detail string
	// Instances lists the IDs of the instances that were tried, in order. Runs
	// counts the failed tries that were not refused.
	Instances []string
	Runs      int
	// Version is the version of the configuration in force.
	Version uint64
	Latency time.Duration
	// CallerLeft is set if the caller left before the request ended.
	CallerLeft bool
	// Cut says why the connection was closed without a complete response. It is
	// empty if the response is complete.
	Cut CutCause
}

// ServeHTTP implements http.Handler.
func (s *callerHandler) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	record := RequestRecord{Cut: CutPanic} // until the response is complete
	began := s.now()
	b := call.NewDuplexBody(w, in)
	// Release may wait for the caller, so the request is recorded before.
	defer b.Release()
	w = b.ResponseWriter()
	defer func() {
		record.ID, record.Latency = in.Header.Get(s.names.RequestID), s.now().Sub(began)
		// A body that does not arrive before a refusal ends the context too.
		record.CallerLeft = in.Context().Err() != nil && (record.Reason == "" || record.Status == statusCallerLeft)
		s.recordRequest(&record)
	}()
	j, err := s.acceptRequest(in, began)
	if j.route != nil {
		record.Route, record.Account, record.Nested, record.Version = j.route.Prefix, j.account, j.nested, j.version
	}
	defer j.begin()()
	if err != nil {
		j.reportToParent(err)
		s.writeRejection(w, in, err, &record)
		return
	}
	j.incoming = b
	b.SetLimit(s.maxBody())
	b.SetDeadline(j.deadline)
	_ = http.NewResponseController(w).SetWriteDeadline(j.deadline.Add(writeGrace))
	ctx, cancel := context.WithDeadline(in.Context(), j.deadline)
	defer cancel()
	keepContext := context.AfterFunc(s.waitingCtx, cancel)
	a, err := s.serve(ctx, j)
	if !keepContext() && err == nil && !isBuffered(a) {
		// The end of ctx has closed the connection that the rest comes from.
		_ = a.Body.Close()
		a, err = nil, &call.OutcomeUnknown{Reason: "the node stops"}
	}
	record.Instances, record.Runs = j.instances, j.runs
	j.reportToParent(err)
	if err != nil {
		if b.IsTooLarge() {
			err = errBodyTooLarge
		}
		s.writeRejection(w, in, err, &record)
		return
	}
	defer func() { _ = a.Body.Close() }()
	record.Status = a.StatusCode
	s.setConnectionClose(w.Header())
	if _, ok := a.Header["Content-Type"]; !ok {
		// Without this entry net/http would guess a type.
		w.Header()["Content-Type"] = nil
	}
	// The deadline of the node beside the instance may pass a little earlier.
	late := func() bool { return j.deadline.Sub(s.now()) <= minTimeLeft }
	switch t := peercall.SendResponse(w, a); {
	case t == nil:
		record.Cut = ""
	case t.NothingSent:
		u := t.Outcome()
		if late() {
			u.Cause = context.DeadlineExceeded
		}
		j.reportToParent(u)
		s.writeRejection(w, in, u, &record)
	default:
		record.Cut, record.Detail = cutCause(in, t, late()), t.Error()
		j.unserved = record.Cut == CutDeadline
		j.reportToParent(nil)
		panic(http.ErrAbortHandler)
	}
}

// A job is one accepted request.
type job struct {
	original *http.Request
	header   http.Header
	route    *config.Route
	account  string
	deadline time.Time
	// objective is zero for routes without one.
	objective time.Time
	priority  int
	// overLimit is set if the request was admitted only because of the tolerance
	// of the account's limit.
	overLimit bool
	// nested requests are made by the local backend server for a request that it
	// runs: their ID names that request, or they come without a key on an open route.
	nested bool
	// parent is the request for which a nested one is made, nil if it is not known.
	parent *runningRequest
	// strained is set if the request, or one made for it, waited for a large part of
	// its time, unserved if its response is a failure for lack of a nested request.
	strained, unserved bool
	// repeatable requests may run more than once.
	repeatable bool
	// incoming is the request's body as it arrives, and body what each try sends of it.
	incoming *call.DuplexBody
	body     *call.RetryBody
	// fingerprint identifies the request in crash reports. It is zero if the body
	// streams.
	fingerprint quarantine.Fingerprint
	// version is the version of the configuration that was in force at the start.
	version uint64
	// The dispatcher sets instances and runs, see RequestRecord.
	instances []string
	runs      int
}

// acceptRequest determines the route, account, priority and deadline of a
// request, or returns why it is refused.
func (s *callerHandler) acceptRequest(in *http.Request, now time.Time) (*job, error) {
	j := &job{original: in}
	v := s.snapshot()
	if v == nil {
		return j, &rejection{http.StatusServiceUnavailable, "Starting", "", defaultRetryAfter}
	}
	route, ok := v.RouteForHost(in.Host, requestPath(in))
	if !ok {
		return j, &rejection{http.StatusNotFound, "NoRoute", "", 0}
	}
	j.route, j.priority, j.version = route, combinedPriority(route.Priority, route.Priority), v.Version
	j.repeatable = route.CanRepeat(call.IsIdempotentMethod(in.Method))
	s.recognizeNested(j, now)
	if err := s.identifyAccount(j, v); err != nil {
		return j, err
	}
	if n := v.CallerLimits.BodyBytes; n > 0 && in.ContentLength > int64(n) {
		return j, errBodyTooLarge
	}
	if err := s.setDeadline(j, now); err != nil {
		return j, err
	}
	j.header = forwardedHeaders(in.Header, 4, s.names)
	j.header[s.names.CallerService] = []string{s.service()}
	if j.account != "" {
		j.header[s.names.Account] = []string{j.account}
	}
	return j, nil
}

// routePriorities is the number of route priorities that are distinguished. Larger
// ones count as the largest of them.
const routePriorities = 100

// combinedPriority orders requests by the account's priority first and by the
// route's second. Requests without an account priority have the route's priority in
// both places.
func combinedPriority(account, route int) int {
	return account*routePriorities + min(route, routePriorities-1)
}

// identifyAccount sets the account that holds the key of the request.
func (s *callerHandler) identifyAccount(j *job, v *config.Snapshot) error {
	if j.route.Open || len(v.Accounts) == 0 {
		return nil
	}
	a, ok := v.AccountOfKey(j.original.Header.Get(s.names.Key))
	if !ok {
		return &rejection{http.StatusUnauthorized, "KeyUnknown", "", 0}
	}
	j.account = a.Name
	if a.Priority != nil {
		j.priority = combinedPriority(*a.Priority, j.route.Priority)
	}
	return nil
}

// setDeadline sets the deadline and the objective of the request.
func (s *callerHandler) setDeadline(j *job, now time.Time) error {
	timeout, waited := maxRequestTimeout, time.Duration(0)
	if t := j.original.Header.Get(s.names.TimeLeft); t != "" {
		ms, err := strconv.ParseFloat(t, 64)
		if err != nil || !(ms > 0) {
			return &rejection{http.StatusBadRequest, "BadTimeLeft", "", 0}
		}
		// What the caller states must not move the usual timeout of the route beyond what
		// a request may take.
		left := time.Duration(min(ms, float64(maxRequestTimeout.Milliseconds())) * float64(time.Millisecond))
		timeout = min(timeout, left)
		if j.parent == nil {
			// A backend server states what is left of its own time.
			waited = s.callerWaits.waitedBefore(j.route, left)
		}
	}
	if t := j.route.TimeoutMs; t > 0 {
		timeout = min(timeout, time.Duration(t)*time.Millisecond)
	}
	j.deadline = now.Add(timeout)
	if t := j.route.ObjectiveMs; t > 0 {
		j.objective = now.Add(time.Duration(t)*time.Millisecond - waited)
	}
	if err := j.inherit(now); err != nil {
		return err
	}
	if d := s.stopDeadlines.Load(); d != nil && d.outlasts(j, now) {
		return &priorityadmission.Refusal{Reason: priorityadmission.Leaving}
	}
	return nil
}

// serve charges an accepted request to its account and runs it. writeRejection
// handles its errors.
func (s *callerHandler) serve(ctx context.Context, j *job) (*http.Response, error) {
	if !http1.Reserve(j.original.Context(), call.BodyMemory(j.original)) {
		return nil, &rejection{http.StatusServiceUnavailable, reasonMemory, "", defaultRetryAfter}
	}
	if err := s.charge(ctx, j); err != nil {
		return nil, err
	}
	a, err := s.dispatchBody(ctx, j)
	if err == nil {
		return a, nil
	}
	var u *call.OutcomeUnknown
	if j.account != "" && !errors.As(err, &u) {
		s.accountLimits.rateLimiter.Refund(j.account, j.overLimit)
	}
	return nil, err
}

// dispatchBody reads what is to be known of the request's body and runs the request.
func (s *callerHandler) dispatchBody(ctx context.Context, j *job) (*http.Response, error) {
	var err error
	if j.body, err = call.NewRetryBody(j.original); err != nil {
		return nil, err
	}
	if !j.body.IsBuffered() {
		j.incoming.SetDeadline(j.deadline.Add(call.BodyGrace))
	}
	if err := s.fingerprint(j); err != nil {
		return nil, err
	}
	return s.dispatch.do(ctx, j)
}

// overLimitPriority is added to the priority of requests that were admitted only
// because of the tolerance of their account's limit. It is larger than every
// combinedPriority.
const overLimitPriority = 1 << 20

// charge takes a token for the request from its account's limit.
func (s *callerHandler) charge(ctx context.Context, j *job) error {
	if j.account == "" {
		return nil
	}
	if ok, after, detail := s.accountLimits.takeToken(ctx, j.account); !ok {
		return &rejection{http.StatusTooManyRequests, "RateExceeded", detail, after}
	}
	if j.overLimit = s.accountLimits.rateLimiter.ChargeShare(j.account); j.overLimit && j.parent == nil {
		j.priority += overLimitPriority
	}
	return nil
}

// writeRejection sends the node's own response to a request.
func (s *callerHandler) writeRejection(w http.ResponseWriter, in *http.Request, err error, record *RequestRecord) {
	r := rejectionFor(err)
	record.Status, record.Reason, record.Detail = r.status, r.reason, r.detail
	// A body that does not arrive ends the context too, but the caller may be there.
	var incomplete *call.IncompleteBody
	if in.Context().Err() != nil && !errors.As(err, &incomplete) {
		record.Status, record.Reason, record.Cut = statusCallerLeft, "CallerLeft", endedCause(in)
		// If the handler returned, net/http would answer with an empty 200.
		panic(http.ErrAbortHandler)
	}
	call.DiscardBody(in)
	h := w.Header()
	s.setConnectionClose(h)
	if id := in.Header[s.names.RequestID]; len(id) > 0 {
		h[s.names.RequestID] = id
	}
	if s.nearMaxConnections() {
		h.Set("Connection", "close")
	}
	if r.retryAfter > 0 {
		h.Set("Retry-After", formatSeconds(r.statedRetryAfter()))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	// With its length, the response is complete before Release waits for the caller.
	h.Set("Content-Length", strconv.Itoa(len(r.reason)+1))
	w.WriteHeader(r.status)
	_, _ = io.WriteString(w, r.reason+"\n")
	record.Cut = ""
}

func (s *callerHandler) setConnectionClose(h http.Header) {
	if s.stopping() {
		h.Set("Connection", "close")
	}
}

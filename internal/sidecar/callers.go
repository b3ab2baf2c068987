package sidecar

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/peercall"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
)

const (
	// defaultTimeout bounds a request that states no time and whose route has
	// none.
	defaultRequestTimeout = 30 * time.Second
	// keepAnswerBytes is the largest answer that is read whole before its
	// first byte is passed on, so that one that breaks off can be replaced.
	maxBufferedBytes = 64 << 10
	// returnFirst and returnLast bound the time after which a refused caller
	// is asked to come back.
	minRetryAfter = 30 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// returnSpread is the part of that time by which callers are spread, so
	// that those refused together do not come back together.
	retryAfterJitter = 0.5
	// statusCallerLeft stands in logs and metrics for an answer that nobody got.
	statusCallerLeft = 499
	// returnUnknown is that time where nothing is known of the cause's end.
	defaultRetryAfter = 250 * time.Millisecond
)

// callers serves the requests that begin on this host.
type callerHandler struct {
	names    *HeaderNames
	dispatch *dispatcher
	limiter  *accountLimiter
	log      *slog.Logger
	now      func() time.Time
	// snapshot returns the configuration in force, nil before the first.
	snapshot func() *config.Snapshot
	// service returns the service of this host.
	service func() string
	// closing reports that the node is being stopped.
	stopping func() bool
	// crossed reports that the request's connection was closed as idle.
	closedWhileIdle func(context.Context) bool
	// crowded reports that callers hold many connections.
	nearMaxConnections func() bool
	recordRequest      func(o *RequestRecord)
	callerWaits        callerWaits
}

// An Observation describes one request that has ended.
type RequestRecord struct {
	// ID is the caller's.
	ID string
	// Route is the prefix of the route, empty without one.
	Route   string
	Account string
	Nested  bool
	Status  int
	// Reason is that of the node's own answer, empty for an answer of a backend
	// server. There are few of them; Detail says more.
	Reason string
	Detail string
	// Hosts names the instances whose doors were asked, in order, and Runs
	// counts those that the request reached.
	Instances []string
	Runs      int
	// Version is that of the configuration in force.
	Version uint64
	Latency time.Duration
	// Left is set if the caller went away first.
	CallerLeft bool
}

// A rejection is the node's own answer to a request.
type rejection struct {
	status int
	reason string
	// detail is for logs only.
	detail string
	// after asks the caller to come back, zero if it says nothing.
	retryAfter time.Duration
}

// Error implements error.
func (r *rejection) Error() string { return r.reason }

// ServeHTTP implements http.Handler.
func (s *callerHandler) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	if s.closedWhileIdle(in.Context()) {
		panic(http.ErrAbortHandler)
	}
	record := RequestRecord{}
	began := s.now()
	defer func() {
		record.ID, record.Latency = in.Header.Get(s.names.RequestID), s.now().Sub(began)
		record.CallerLeft = in.Context().Err() != nil
		s.recordRequest(&record)
	}()
	b := call.NewBody(w, in)
	defer b.Release()
	j, err := s.acceptRequest(in, began)
	if j.route != nil {
		record.Route, record.Account, record.Nested, record.Version = j.route.Prefix, j.account, j.nested, j.version
	}
	if err != nil {
		s.writeRejection(w, in, err, &record)
		return
	}
	b.Limit(j.deadline)
	_ = http.NewResponseController(w).SetWriteDeadline(j.deadline.Add(writeGrace))
	ctx, cancel := context.WithDeadline(in.Context(), j.deadline)
	defer cancel()
	a, err := s.serve(ctx, j)
	record.Instances, record.Runs = j.instances, j.runs
	if err != nil {
		s.writeRejection(w, in, err, &record)
		return
	}
	defer func() { _ = a.Body.Close() }()
	record.Status = a.StatusCode
	s.setConnectionClose(w.Header())
	if _, ok := a.Header["Content-Type"]; !ok {
		// Without the entry net/http would guess a type.
		w.Header()["Content-Type"] = nil
	}
	peercall.CopyAnswer(w, a)
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
	// beyond: only the tolerance of the account's limit admitted the request.
	overLimit bool
	// nested requests come without a key on an open route: that is how backend
	// servers call each other for a request that they run.
	nested bool
	// repeatable requests may run more than once.
	repeatable bool
	body       *call.Replay
	// version is that of the configuration in force at the start.
	version uint64
	// hosts and runs are filled by the dispatcher, see Observation.
	instances []string
	runs      int
}

// accept tells what a request is and whose, or why it is refused.
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
	j.nested = route.Open && in.Header.Get(s.names.Key) == ""
	if j.nested && s.names.ParentID != nil {
		if p, ok := s.dispatch.localBackend.runningRequests.priority(s.names.ParentID(in.Header.Get(s.names.RequestID))); ok {
			j.priority = p
		}
	}
	if err := s.identifyAccount(j, v); err != nil {
		return j, err
	}
	if n := v.CallerLimits.BodyBytes; n > 0 && in.ContentLength > int64(n) {
		return j, &rejection{http.StatusRequestEntityTooLarge, "BodyTooLarge", "", 0}
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

// routeRanks is the number of route priorities that are told apart.
const routePriorities = 100

// rank joins the priorities of an account and a route: the account's goes
// first, the route's decides between equal ones.
func combinedPriority(account, route int) int {
	return account*routePriorities + min(route, routePriorities-1)
}

// identify sets the account that holds the request's key.
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

// limit sets the time at which the request ends.
func (s *callerHandler) setDeadline(j *job, now time.Time) error {
	timeout, waited := defaultRequestTimeout, time.Duration(0)
	if t := j.original.Header.Get(s.names.TimeLeft); t != "" {
		ms, err := strconv.ParseFloat(t, 64)
		if err != nil || !(ms > 0) {
			return &rejection{http.StatusBadRequest, "BadTimeLeft", "", 0}
		}
		left := time.Duration(ms * float64(time.Millisecond))
		timeout, waited = min(timeout, left), s.callerWaits.waitedBefore(j.route, left)
	}
	if t := j.route.TimeoutMs; t > 0 {
		timeout = min(timeout, time.Duration(t)*time.Millisecond)
	}
	j.deadline = now.Add(timeout)
	if t := j.route.ObjectiveMs; t > 0 {
		j.objective = now.Add(time.Duration(t)*time.Millisecond - waited)
	}
	return nil
}

// serve has an accepted request run. Its errors are those that reject takes.
func (s *callerHandler) serve(ctx context.Context, j *job) (*http.Response, error) {
	if err := s.charge(ctx, j); err != nil {
		return nil, err
	}
	body, err := call.NewReplay(j.original)
	if err == nil {
		j.body = body
		var a *http.Response
		if a, err = s.dispatch.do(ctx, j); err == nil {
			return a, nil
		}
	}
	var u *call.Unknown
	if j.account != "" && !errors.As(err, &u) {
		s.limiter.quota.Refund(j.account, j.overLimit)
	}
	return nil, err
}

// beyondRank is added to the rank of requests that only the tolerance of their
// account's limit admits. It exceeds the ranks of all accounts and routes.
const overLimitPriority = 1 << 20

// charge takes a request from its account's limit.
func (s *callerHandler) charge(ctx context.Context, j *job) error {
	if j.account == "" {
		return nil
	}
	if ok, after := s.limiter.takeToken(ctx, j.account); !ok {
		return &rejection{http.StatusTooManyRequests, "RateExceeded", "", after}
	}
	if j.overLimit = s.limiter.quota.ChargeShare(j.account); j.overLimit {
		j.priority += overLimitPriority
	}
	return nil
}

// reject gives the node's own answer to a request.
func (s *callerHandler) writeRejection(w http.ResponseWriter, in *http.Request, err error, record *RequestRecord) {
	r := rejectionFor(err)
	record.Status, record.Reason, record.Detail = r.status, r.reason, r.detail
	if in.Context().Err() != nil {
		record.Status, record.Reason = statusCallerLeft, "CallerLeft"
		return
	}
	h := w.Header()
	s.setConnectionClose(h)
	if id := in.Header[s.names.RequestID]; len(id) > 0 {
		h[s.names.RequestID] = id
	}
	if s.nearMaxConnections() {
		h.Set("Connection", "close")
	}
	if r.retryAfter > 0 {
		h.Set("Retry-After", formatSeconds(addJitter(r.retryAfter)))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(r.status)
	_, _ = io.WriteString(w, r.reason+"\n")
}

// rejectionOf maps the ways a request can end without an answer. Statuses
// that promise "not run" are kept for requests that have not run.
func rejectionFor(err error) *rejection {
	var r *rejection
	var f *priorityadmission.Refusal
	var u *call.Unknown
	var b *call.BadBody
	switch {
	case errors.As(err, &r):
		return r
	case errors.As(err, &f):
		after := f.RetryAfter
		if after <= 0 {
			after = defaultRetryAfter
		}
		return &rejection{http.StatusServiceUnavailable, string(f.Reason), "", after}
	case errors.As(err, &b) && b.Late:
		return &rejection{http.StatusRequestTimeout, "BodyLate", "", 0}
	case errors.As(err, &b):
		return &rejection{http.StatusBadRequest, "BodyIncomplete", "", 0}
	case errors.As(err, &u) && errors.Is(u, context.DeadlineExceeded):
		return &rejection{http.StatusGatewayTimeout, "NoAnswerInTime", u.Error(), 0}
	default:
		return &rejection{http.StatusBadGateway, "NoWholeAnswer", err.Error(), 0}
	}
}

func (s *callerHandler) setConnectionClose(h http.Header) {
	if s.stopping() {
		h.Set("Connection", "close")
	}
}

// spread moves a time by a random part, so that callers come back one by one.
func addJitter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return time.Duration(float64(d) * (1 + retryAfterJitter*(2*rand.Float64()-1)))
}

func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

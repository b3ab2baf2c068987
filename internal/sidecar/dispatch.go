package sidecar

import (
	"context"
	"errors"
	"net/http"
	"time"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/crash"
	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/pkg/balance"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
)

const (
	// maxSends limits the sends of one request in total.
	maxSends = 8
	// defaultAttempts is the number of runs allowed for a route that states none.
	defaultAttempts = 2
	// minTimeLeft is the remaining time below which a request is not sent again.
	minTimeLeft = 5 * time.Millisecond
)

// A dispatcher runs requests at instances of their service.
type dispatcher struct {
	names        *HeaderNames
	chooser      *balance.Chooser
	budget       *balance.RetryBudget
	localBackend *localBackend
	remoteNodes  *remoteNodes
	now          func() time.Time
	// selfAddress is the CallAddress of this node.
	selfAddress string
	// pickService chooses one of a route's services by weight.
	pickService   func(j *job) string
	responseSizes responseSizes
	calls         *callGraph
	crashes       *crash.Detector
	// onTry is called after each send of a request to an instance.
	onTry func(otherZone, refusedAsBusy bool)
}

// do runs a request and returns the response, whose body is buffered or streams.
// The error is a *priorityadmission.Refusal if no instance has run the request,
// and a *call.OutcomeUnknown otherwise.
func (d *dispatcher) do(ctx context.Context, j *job) (*http.Response, error) {
	t := &requestDispatch{dispatcher: d, job: j, service: d.pickService(j)}
	t.search = balance.Search{Service: t.service, CrossZoneCost: d.crossZoneCost(j, t.service), Objective: j.objective}
	if j.nested {
		d.calls.recordCall(t.service)
	} else {
		d.budget.RecordCall(t.service)
	}
	for {
		a, err := t.tryNextOrLate(ctx)
		more := err != nil && t.finishTry(ctx, err)
		if err != nil && !more && t.failed == nil {
			a = t.awaitLate(ctx)
		}
		switch {
		case a != nil:
			t.pending.abandon()
			t.setFailed(nil)
			return a, nil
		case !more:
			t.pending.abandon()
			return t.finalResult(err)
		}
	}
}

// crossZoneCost returns the additional cost of having a request run in another zone. All
// bytes count for services that are chosen for even load.
func (d *dispatcher) crossZoneCost(j *job, service string) float64 {
	if !d.chooser.ChoosesEvenly(service) {
		return d.responseSizes.crossZoneResponseCost(j.route)
	}
	return d.responseSizes.crossZoneCost(j.route, service, j.original.ContentLength, d.calls)
}

// A requestDispatch is the state of one request while it is tried at instances.
type requestDispatch struct {
	dispatcher *dispatcher
	job        *job
	service    string
	// search holds the instances asked so far.
	search balance.Search
	// sends counts all tries, runs the failed tries that were not refused.
	sends, runs int
	// crashes counts the tries that ended in a crash of the instance.
	crashes int
	// unknown is set once an instance may have run the request. failed is set
	// once an instance has run it and its response is a failure.
	unknown *call.OutcomeUnknown
	failed  *http.Response
	// unservedTries counts the refusals as nestedUnserved.
	unservedTries int
	// pending holds the tries at nodes that answer nothing.
	pending pendingTries
	// endTry ends the try that runs beside pending ones. It must not be called while its
	// response is read.
	endTry context.CancelFunc
	// lastRefusal is the latest refusal.
	lastRefusal *priorityadmission.Refusal
}

// notExecuted is the reason for a request that instances refused to run.
const notExecuted priorityadmission.Reason = "NotExecuted"

// errNoTarget ends the dispatch if no instance is left to try.
var errNoTarget = &priorityadmission.Refusal{Reason: priorityadmission.Unreachable}

// A failedResponse is a failure that another instance may not have.
type failedResponse struct {
	response *http.Response
	// notRun states that the instance did not run the request.
	notRun bool
}

// Error implements error.
func (f *failedResponse) Error() string { return "status " + http.StatusText(f.response.StatusCode) }

// tryNext sends the request to one more instance.
func (t *requestDispatch) tryNext(ctx context.Context) (*http.Response, error) {
	d, j := t.dispatcher, t.job
	if f := d.names.quarantineRefusal(d.crashes, j.fingerprint, j.original); f != nil {
		return nil, f
	}
	to, wait, ok := d.chooser.Next(&t.search)
	if !ok {
		return nil, errNoTarget
	}
	t.sends++
	// It must precede j.body.Next, whose stream it would end.
	startBy := t.startBy(wait)
	r := &InstanceRequest{
		Original: j.original, Header: j.header, Body: j.body.Next(), BodyLength: j.original.ContentLength,
		Instance: to.ID, Deadline: j.deadline, Objective: j.objective, Priority: j.priority, Nested: j.nested,
		Repeatable: j.repeatable, StartBy: startBy, NoWait: !wait, Fingerprint: j.fingerprint,
		TypicalLatency: d.chooser.TypicalLatency(t.service),
	}
	j.instances = append(j.instances, to.ID)
	d.chooser.CallStarted(to.ID)
	began := d.now()
	a, l, err := d.send(ctx, to, r)
	if err == nil {
		a, err = t.acceptResponse(a)
	}
	d.chooser.CallFinished(to.ID, t.balanceResult(ctx, err), l)
	t.recordTiming(ctx, to, a, err, wait, d.now().Sub(began))
	var s *silentNode
	if errors.As(err, &s) {
		t.pending.add(s.exchange)
	}
	var f *priorityadmission.Refusal
	busy := errors.As(err, &f) && (f.Reason == priorityadmission.Full || f.Reason == priorityadmission.Slow)
	d.onTry(to.Zone != d.chooser.Zone, busy)
	if busy {
		t.search.AddBusy(to, f.RetryAfter)
	}
	if f != nil && (f.Reason == priorityadmission.Waited || f.Reason == priorityadmission.Overloaded) {
		j.strained = true
	}
	return a, err
}

// recordTiming learns from the duration and size of a response. Time spent in a
// queue says nothing about the instance. A missing response shows that the
// instance is slow, and a refusal with the reason Slow says how slow.
func (t *requestDispatch) recordTiming(ctx context.Context, to balance.Target, a *http.Response, err error, waited bool, took time.Duration) {
	var u *call.OutcomeUnknown
	var f *priorityadmission.Refusal
	switch {
	case errors.As(err, &f) && f.Reason == priorityadmission.Slow:
		t.dispatcher.chooser.ObserveLatency(to.ID, f.RetryAfter+t.dispatcher.chooser.TypicalLatency(t.service))
	case err == nil && a.StatusCode < http.StatusInternalServerError && !waited,
		errors.As(err, &u) && errors.Is(ctx.Err(), context.DeadlineExceeded):
		t.dispatcher.chooser.ObserveLatency(to.ID, took)
	}
	if err == nil {
		t.dispatcher.responseSizes.record(t.job.route, t.service, t.job.original.ContentLength, a.ContentLength)
	}
}

func (d *dispatcher) send(ctx context.Context, to balance.Target, r *InstanceRequest) (*http.Response, balance.Load, error) {
	if to.CallAddress != d.selfAddress {
		return d.remoteNodes.do(ctx, to, r)
	}
	a, err := d.localBackend.do(ctx, r)
	d.calls.learnFromHeader(to.Service, d.calls.header())
	l := d.localBackend.admission.Load()
	return a, balance.Load(l), err
}

// acceptResponse reads the headers of the node beside the instance and checks the
// response, see checkResponse.
func (t *requestDispatch) acceptResponse(a *http.Response) (*http.Response, error) {
	t.job.takeNestedHeaders(a)
	return t.checkResponse(a)
}

// checkResponse buffers a short response and returns failures that another
// instance may not have as errors.
func (t *requestDispatch) checkResponse(a *http.Response) (*http.Response, error) {
	notRun := a.Header.Get(t.dispatcher.names.NotExecuted) != "" || a.StatusCode == http.StatusMisdirectedRequest
	// Without memory, the response is forwarded while it arrives.
	if a.ContentLength <= maxBufferedResponseBytes && http1.Reserve(t.job.original.Context(), responseMemory(a)) {
		if err := buffer(a); err != nil {
			return nil, err
		}
	}
	if notRun || a.StatusCode >= http.StatusInternalServerError {
		return nil, &failedResponse{a, notRun}
	}
	return a, nil
}

// finishTry records how a try ended and reports whether another may follow.
func (t *requestDispatch) finishTry(ctx context.Context, err error) bool {
	left := t.job.deadline.Sub(t.dispatcher.now())
	more := ctx.Err() == nil && left > minTimeLeft && t.sends < maxSends
	var f *priorityadmission.Refusal
	if errors.As(err, &f) {
		if err == errNoTarget {
			return false
		}
		t.lastRefusal = f
		switch f.Reason {
		case priorityadmission.Late, priorityadmission.Canceled, quarantined:
			return false
		case nestedUnserved:
			t.unservedTries++
		}
		return more && t.unservedTries < maxUnservedTries && t.job.body.CanResend()
	}
	t.runs++
	t.job.runs = t.runs
	var a *failedResponse
	if errors.As(err, &a) && a.notRun {
		_ = a.response.Body.Close()
		return more && t.mayRetry() && t.job.body.CanResend()
	}
	var u *call.OutcomeUnknown
	switch {
	case a != nil:
		t.setFailed(a.response)
	case errors.As(err, &u) && left <= minTimeLeft:
		// The node beside the instance gets the time left in whole milliseconds, so
		// its deadline may pass first.
		t.unknown = &call.OutcomeUnknown{Reason: u.Reason, Cause: context.DeadlineExceeded}
	case errors.As(err, &u):
		t.unknown = u
	}
	if u != nil && u.Crashes > 0 {
		t.crashes++
	}
	return more && !t.isSuspected(u) && t.job.repeatable && t.mayRetry() && t.job.body.IsBuffered()
}

// isSuspected reports whether a request with this outcome was running in so many
// crashes that this node must not send it again.
func (t *requestDispatch) isSuspected(u *call.OutcomeUnknown) bool {
	return u != nil && max(t.crashes, u.Crashes, t.dispatcher.crashes.Table.Crashes(t.job.fingerprint)) >= crash.MaxResendCrashes
}

// setFailed replaces the failure that the caller gets if no try succeeds. The
// former one is closed: its body may be long, and holds a slot until it ends.
func (t *requestDispatch) setFailed(a *http.Response) {
	if t.failed != nil {
		_ = t.failed.Body.Close()
	}
	t.failed = a
}

// mayRetry reports whether the request may be sent to one more instance after a
// try that was not refused. If so, it takes a retry from the budget.
func (t *requestDispatch) mayRetry() bool {
	maxAttempts := t.job.route.Attempts
	if maxAttempts == 0 {
		maxAttempts = defaultAttempts
	}
	if t.runs >= maxAttempts {
		return false
	}
	if !t.dispatcher.chooser.CanContinue(&t.search) {
		return false
	}
	return t.dispatcher.budget.AllowWithNestedCalls(t.service, t.dispatcher.calls.callsOf(t.service))
}

// finalResult returns what the caller gets if no try succeeded: the failure of an
// instance that ran the request, or else an error that tells whether an instance
// may have run it.
func (t *requestDispatch) finalResult(err error) (*http.Response, error) {
	var f *priorityadmission.Refusal
	switch {
	case t.failed != nil:
		return t.failed, nil
	case t.unknown != nil:
		return nil, t.unknown
	case t.lastRefusal != nil:
		return nil, t.lastRefusal
	case errors.As(err, &f):
		return nil, f
	}
	return nil, &priorityadmission.Refusal{Reason: notExecuted}
}

// balanceResult returns what a try says about the instance.
func (t *requestDispatch) balanceResult(ctx context.Context, err error) balance.Result {
	var f *priorityadmission.Refusal
	var a *failedResponse
	switch {
	case err == nil:
		return balance.Answered
	case errors.Is(ctx.Err(), context.Canceled), errors.As(err, &f) && f.Reason == quarantined:
		return balance.Canceled
	case errors.As(err, &f) && f.Reason == priorityadmission.Unreachable:
		return balance.Failed
	case errors.As(err, &f) && (f.Reason.RefusesAllWork() || f.Reason == "BadHeader"), errors.Is(err, errNodeSilent):
		return balance.NotAccepting
	case errors.As(err, &f):
		return balance.Overloaded
	case errors.As(err, &a) && a.notRun:
		return balance.Overloaded
	case errors.As(err, &a):
		return balance.Failed
	}
	return balance.Failed
}

package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/pkg/balance"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
)

const (
	// doorsAsked is the number of doors that are asked for a free slot before
	// one is asked for a place in its queue. An answer takes about 2 ms.
	maxSlotTries = 3
	// queuesAsked is the number of doors that are then asked for a place in
	// their queue, shortest wait first.
	maxQueueTries = 2
	// sendsMost bounds the doors that one request is sent to in all.
	maxSends = 8
	// defaultAttempts is the number of instances for a route without one.
	defaultAttempts = 2
	// leastLeft is the time below which a request is not sent on.
	minTimeLeft = 5 * time.Millisecond
)

// A dispatcher has requests run at instances of their service.
type dispatcher struct {
	names        *HeaderNames
	chooser      *balance.Chooser
	budget       *balance.RetryBudget
	localBackend *localBackend
	remoteNodes  *remoteNodes
	now          func() time.Time
	// self is the address at which other nodes reach this one.
	selfAddress string
	// pickService chooses one of a route's services by weight.
	pickService func(j *job) string
	answerSizes answerSizes
	calls       *callGraph
}

// do has a request run and returns the answer, whose body is whole or streams.
// The error is a *priorityadmission.Refusal if no instance has run the request, else a
// *call.Unknown.
func (d *dispatcher) do(ctx context.Context, j *job) (*http.Response, error) {
	t := &requestDispatch{dispatcher: d, job: j, service: d.pickService(j), crossingCost: d.answerSizes.crossingCost(j.route)}
	if j.nested {
		d.calls.recordCall(t.service)
	} else {
		d.budget.RecordCall(t.service)
	}
	for {
		a, err := t.tryNext(ctx)
		if err == nil {
			return a, nil
		}
		if !t.finishTry(ctx, err) {
			return t.finalResult(err)
		}
	}
}

// A trial is the course of one request over doors and instances.
type requestDispatch struct {
	dispatcher *dispatcher
	job        *job
	service    string
	// crossing is the cost of a host in another zone, see balance.PickNear.
	crossingCost float64
	// tried holds the hosts that are not asked again.
	tried []string
	// sends counts requests to doors, runs those that reached an instance.
	sends, runs int
	// unknown is set once an instance may have run the request, failed once
	// one has run it and answered with a failure.
	unknown *call.Unknown
	failed  *http.Response
	// full holds the doors that had no free slot, or a slow server.
	busy []busyInstance
	// queued counts the doors that were asked for a place in their queue.
	queueTries int
	// last is the latest refusal.
	lastRefusal *priorityadmission.Refusal
}

// A fullDoor is a door without a free slot, or of a slow server, and the wait
// that it foresees.
type busyInstance struct {
	target balance.Target
	wait   time.Duration
}

// notExecuted is the reason of a request that instances refused to run.
const notExecuted priorityadmission.Reason = "NotExecuted"

// errNoTarget ends a trial for which no host is left.
var errNoTarget = &priorityadmission.Refusal{Reason: priorityadmission.Unreachable}

// A failedAnswer is an instance's answer that another instance may better.
type failedResponse struct {
	response *http.Response
	// notRun states that the instance did not run the request.
	notRun bool
}

// Error implements error.
func (f *failedResponse) Error() string { return "status " + http.StatusText(f.response.StatusCode) }

// pick returns the next host, and whether the request may wait there: a host
// that is known to be full is asked for a place in its queue at once.
func (t *requestDispatch) pickTarget() (to balance.Target, wait, ok bool) {
	if len(t.busy) < maxSlotTries {
		to, busy, ok := t.dispatcher.chooser.PickWithZoneCost(t.service, t.tried, t.crossingCost)
		if near := t.shortestWait(t.inLocalZone); ok && near >= 0 && !t.inLocalZone(&to) && t.worthWaiting(near) {
			return t.queueAt(near), true, true
		}
		if ok && (!busy || t.queueTries < maxQueueTries) {
			if busy {
				t.queueTries++
			}
			return to, busy, true
		}
	}
	if len(t.busy) == 0 || t.queueTries >= maxQueueTries {
		return to, false, false
	}
	return t.queueAt(t.shortestWait(func(*balance.Target) bool { return true })), true, true
}

// inZone reports whether a host is in the zone of this node.
func (t *requestDispatch) inLocalZone(to *balance.Target) bool {
	return to.Zone == t.dispatcher.chooser.Zone
}

// worthWaiting reports whether the wait at a full door of the own zone costs
// less than to have the request answered from another zone.
func (t *requestDispatch) worthWaiting(index int) bool {
	typical := t.dispatcher.chooser.TypicalLatency(t.service)
	return t.queueTries < maxQueueTries && t.busy[index].wait.Seconds() < t.crossingCost*typical.Seconds()
}

// shortest returns the index of the full door with the shortest wait among
// those that fit, below zero if there is none.
func (t *requestDispatch) shortestWait(fits func(*balance.Target) bool) int {
	found := -1
	for i := range t.busy {
		if fits(&t.busy[i].target) && (found < 0 || t.busy[i].wait < t.busy[found].wait) {
			found = i
		}
	}
	return found
}

// queue takes a full door that is asked for a place in its queue.
func (t *requestDispatch) queueAt(index int) balance.Target {
	t.queueTries++
	to := t.busy[index].target
	t.busy = slices.Delete(t.busy, index, index+1)
	return to
}

// next sends the request to one more host.
func (t *requestDispatch) tryNext(ctx context.Context) (*http.Response, error) {
	d, j := t.dispatcher, t.job
	to, wait, ok := t.pickTarget()
	if !ok {
		return nil, errNoTarget
	}
	t.sends++
	r := &InstanceRequest{
		Original: j.original, Header: j.header, Body: j.body.Next(), BodyLength: j.original.ContentLength,
		Instance: to.ID, Deadline: j.deadline, Objective: j.objective, Priority: j.priority, Nested: j.nested,
		Repeatable: j.repeatable, NoWait: !wait,
	}
	if r.NoWait {
		r.TypicalLatency = d.chooser.TypicalLatency(t.service)
	}
	t.tried = append(t.tried, to.ID)
	j.instances = append(j.instances, to.ID)
	d.chooser.CallStarted(to.ID)
	began := d.now()
	a, l, err := d.send(ctx, to, r)
	if err == nil {
		a, err = t.checkResponse(a)
	}
	d.chooser.CallFinished(to.ID, t.balanceResult(ctx, err), l)
	t.recordTiming(ctx, to, a, err, wait, d.now().Sub(began))
	var f *priorityadmission.Refusal
	if errors.As(err, &f) && (f.Reason == priorityadmission.Full || f.Reason == priorityadmission.Slow) {
		t.busy = append(t.busy, busyInstance{to, f.RetryAfter})
	}
	return a, err
}

// observe learns from the time and size of an answer. A wait in the queue says
// nothing about the instance; no answer in time says that it is slow, and its
// door says how slow.
func (t *requestDispatch) recordTiming(ctx context.Context, to balance.Target, a *http.Response, err error, waited bool, took time.Duration) {
	var u *call.Unknown
	var f *priorityadmission.Refusal
	switch {
	case errors.As(err, &f) && f.Reason == priorityadmission.Slow:
		t.dispatcher.chooser.ObserveLatency(to.ID, f.RetryAfter+t.dispatcher.chooser.TypicalLatency(t.service))
	case err == nil && a.StatusCode < http.StatusInternalServerError && !waited,
		errors.As(err, &u) && errors.Is(ctx.Err(), context.DeadlineExceeded):
		t.dispatcher.chooser.ObserveLatency(to.ID, took)
	}
	if err == nil && a.ContentLength >= 0 {
		t.dispatcher.answerSizes.record(t.job.route, a.ContentLength)
	}
}

func (d *dispatcher) send(ctx context.Context, to balance.Target, r *InstanceRequest) (*http.Response, balance.Load, error) {
	if to.CallAddress != d.selfAddress {
		return d.remoteNodes.do(ctx, to, r)
	}
	a, err := d.localBackend.do(ctx, r)
	d.calls.learnFromHeader(to.Service, d.calls.header())
	l := d.localBackend.admission.Load()
	return a, balance.Load{Running: l.Running, Permits: l.Permits, Queued: l.Queued}, err
}

// judge reads a short answer whole, and tells failures that another instance
// may not have.
func (t *requestDispatch) checkResponse(a *http.Response) (*http.Response, error) {
	notRun := a.Header.Get(t.dispatcher.names.NotExecuted) != "" || a.StatusCode == http.StatusMisdirectedRequest
	if a.ContentLength <= maxBufferedBytes {
		if err := buffer(a); err != nil {
			return nil, err
		}
	}
	if notRun || a.StatusCode >= http.StatusInternalServerError {
		return nil, &failedResponse{a, notRun}
	}
	return a, nil
}

// keep reads an answer into memory, up to keepAnswerBytes.
func buffer(a *http.Response) error {
	var b bytes.Buffer
	if a.ContentLength > 0 {
		b.Grow(int(a.ContentLength))
	}
	n, err := io.CopyN(&b, a.Body, maxBufferedBytes+1)
	switch {
	case err == nil && n > maxBufferedBytes:
		a.Body = &bufferedBody{io.MultiReader(&b, a.Body), a.Body}
		return nil
	case err == nil || errors.Is(err, io.EOF):
		_ = a.Body.Close()
		a.Body, a.ContentLength = io.NopCloser(&b), n
		return nil
	}
	_ = a.Body.Close()
	return &call.Unknown{Reason: "the answer broke off", Cause: err}
}

// joined is the kept start of a body followed by its rest.
type bufferedBody struct {
	io.Reader
	rest io.Closer
}

// Close implements io.Closer.
func (j *bufferedBody) Close() error { return j.rest.Close() }

// again records how a try ended and decides whether another may follow.
func (t *requestDispatch) finishTry(ctx context.Context, err error) bool {
	left := t.job.deadline.Sub(t.dispatcher.now())
	more := ctx.Err() == nil && left > minTimeLeft && t.sends < maxSends
	var f *priorityadmission.Refusal
	if errors.As(err, &f) {
		if err == errNoTarget {
			return false
		}
		t.lastRefusal = f
		return more && f.Reason != priorityadmission.Late && f.Reason != priorityadmission.Canceled && t.job.body.CanRepeat()
	}
	t.runs++
	t.job.runs = t.runs
	var a *failedResponse
	if errors.As(err, &a) && a.notRun {
		return more && t.mayRepeat() && t.job.body.CanRepeat()
	}
	var u *call.Unknown
	switch {
	case a != nil:
		t.failed = a.response
	case errors.As(err, &u):
		t.unknown = u
	}
	return more && t.job.repeatable && t.mayRepeat() && t.job.body.Kept()
}

// mayRunAgain reports whether one more instance may get the request.
func (t *requestDispatch) mayRepeat() bool {
	maxAttempts := t.job.route.Attempts
	if maxAttempts == 0 {
		maxAttempts = defaultAttempts
	}
	if t.runs >= maxAttempts {
		return false
	}
	if _, _, other := t.dispatcher.chooser.PickWithZoneCost(t.service, t.tried, t.crossingCost); !other {
		return false
	}
	return t.dispatcher.budget.AllowWithNestedCalls(t.service, t.dispatcher.calls.callsOf(t.service))
}

// end returns what the caller gets in place of a good answer: the failure of an
// instance that ran the request, else the error that tells whether one may
// have.
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

// result says what a try tells about the host.
func (t *requestDispatch) balanceResult(ctx context.Context, err error) balance.Result {
	var f *priorityadmission.Refusal
	var a *failedResponse
	switch {
	case err == nil:
		return balance.Answered
	case errors.Is(ctx.Err(), context.Canceled):
		return balance.Canceled
	case errors.As(err, &f) && f.Reason == priorityadmission.Unreachable:
		return balance.Failed
	case errors.As(err, &f) && (f.Reason.RefusesAllWork() || f.Reason == "BadHeader"):
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

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
	doorsAsked = 3
	// queuesAsked is the number of doors that are then asked for a place in
	// their queue, shortest wait first.
	queuesAsked = 2
	// sendsMost bounds the doors that one request is sent to in all.
	sendsMost = 8
	// defaultAttempts is the number of instances for a route without one.
	defaultAttempts = 2
	// leastLeft is the time below which a request is not sent on.
	leastLeft = 5 * time.Millisecond
)

// A dispatcher has requests run at instances of their service.
type dispatcher struct {
	names   *HeaderNames
	chooser *balance.Chooser
	budget  *balance.RetryBudget
	local   *local
	peers   *peers
	now     func() time.Time
	// self is the address at which other nodes reach this one.
	self string
	// pickService chooses one of a route's services by weight.
	pickService func(j *job) string
	sizes       sizes
	calls       *callGraph
}

// do has a request run and returns the answer, whose body is whole or streams.
// The error is a *priorityadmission.Refusal if no instance has run the request, else a
// *call.Unknown.
func (d *dispatcher) do(ctx context.Context, j *job) (*http.Response, error) {
	t := &trial{d: d, j: j, service: d.pickService(j), crossing: d.sizes.crossing(j.route)}
	if j.nested {
		d.calls.called(t.service)
	} else {
		d.budget.RecordCall(t.service)
	}
	for {
		a, err := t.next(ctx)
		if err == nil {
			return a, nil
		}
		if !t.again(ctx, err) {
			return t.end(err)
		}
	}
}

// A trial is the course of one request over doors and instances.
type trial struct {
	d       *dispatcher
	j       *job
	service string
	// crossing is the cost of a host in another zone, see balance.PickNear.
	crossing float64
	// tried holds the hosts that are not asked again.
	tried []string
	// sends counts requests to doors, runs those that reached an instance.
	sends, runs int
	// unknown is set once an instance may have run the request, failed once
	// one has run it and answered with a failure.
	unknown *call.Unknown
	failed  *http.Response
	// full holds the doors that had no free slot, or a slow server.
	full []fullDoor
	// queued counts the doors that were asked for a place in their queue.
	queued int
	// last is the latest refusal.
	last *priorityadmission.Refusal
}

// A fullDoor is a door without a free slot, or of a slow server, and the wait
// that it foresees.
type fullDoor struct {
	to   balance.Target
	wait time.Duration
}

// notExecuted is the reason of a request that instances refused to run.
const notExecuted priorityadmission.Reason = "NotExecuted"

// errNoTarget ends a trial for which no host is left.
var errNoTarget = &priorityadmission.Refusal{Reason: priorityadmission.Unreachable}

// A failedAnswer is an instance's answer that another instance may better.
type failedAnswer struct {
	answer *http.Response
	// notRun states that the instance did not run the request.
	notRun bool
}

// Error implements error.
func (f *failedAnswer) Error() string { return "status " + http.StatusText(f.answer.StatusCode) }

// pick returns the next host, and whether the request may wait there: a host
// that is known to be full is asked for a place in its queue at once.
func (t *trial) pick() (to balance.Target, wait, ok bool) {
	if len(t.full) < doorsAsked {
		to, full, ok := t.d.chooser.PickWithZoneCost(t.service, t.tried, t.crossing)
		if near := t.shortest(t.inZone); ok && near >= 0 && !t.inZone(&to) && t.worthWaiting(near) {
			return t.queue(near), true, true
		}
		if ok && (!full || t.queued < queuesAsked) {
			if full {
				t.queued++
			}
			return to, full, true
		}
	}
	if len(t.full) == 0 || t.queued >= queuesAsked {
		return to, false, false
	}
	return t.queue(t.shortest(func(*balance.Target) bool { return true })), true, true
}

// inZone reports whether a host is in the zone of this node.
func (t *trial) inZone(to *balance.Target) bool { return to.Zone == t.d.chooser.Zone }

// worthWaiting reports whether the wait at a full door of the own zone costs
// less than to have the request answered from another zone.
func (t *trial) worthWaiting(full int) bool {
	usual := t.d.chooser.TypicalLatency(t.service)
	return t.queued < queuesAsked && t.full[full].wait.Seconds() < t.crossing*usual.Seconds()
}

// shortest returns the index of the full door with the shortest wait among
// those that fit, below zero if there is none.
func (t *trial) shortest(fits func(*balance.Target) bool) int {
	best := -1
	for i := range t.full {
		if fits(&t.full[i].to) && (best < 0 || t.full[i].wait < t.full[best].wait) {
			best = i
		}
	}
	return best
}

// queue takes a full door that is asked for a place in its queue.
func (t *trial) queue(full int) balance.Target {
	t.queued++
	to := t.full[full].to
	t.full = slices.Delete(t.full, full, full+1)
	return to
}

// next sends the request to one more host.
func (t *trial) next(ctx context.Context) (*http.Response, error) {
	d, j := t.d, t.j
	to, wait, ok := t.pick()
	if !ok {
		return nil, errNoTarget
	}
	t.sends++
	r := &InstanceRequest{
		Original: j.in, Header: j.header, Body: j.body.Next(), BodyLength: j.in.ContentLength,
		Instance: to.ID, Deadline: j.deadline, Objective: j.objective, Priority: j.priority, Nested: j.nested,
		Repeatable: j.repeatable, NoWait: !wait,
	}
	if r.NoWait {
		r.TypicalLatency = d.chooser.TypicalLatency(t.service)
	}
	t.tried = append(t.tried, to.ID)
	j.hosts = append(j.hosts, to.ID)
	d.chooser.CallStarted(to.ID)
	began := d.now()
	a, l, err := d.send(ctx, to, r)
	if err == nil {
		a, err = t.judge(a)
	}
	d.chooser.CallFinished(to.ID, t.result(ctx, err), l)
	t.observe(ctx, to, a, err, wait, d.now().Sub(began))
	var f *priorityadmission.Refusal
	if errors.As(err, &f) && (f.Reason == priorityadmission.Full || f.Reason == priorityadmission.Slow) {
		t.full = append(t.full, fullDoor{to, f.RetryAfter})
	}
	return a, err
}

// observe learns from the time and size of an answer. A wait in the queue says
// nothing about the instance; no answer in time says that it is slow, and its
// door says how slow.
func (t *trial) observe(ctx context.Context, to balance.Target, a *http.Response, err error, waited bool, took time.Duration) {
	var u *call.Unknown
	var f *priorityadmission.Refusal
	switch {
	case errors.As(err, &f) && f.Reason == priorityadmission.Slow:
		t.d.chooser.ObserveLatency(to.ID, f.RetryAfter+t.d.chooser.TypicalLatency(t.service))
	case err == nil && a.StatusCode < http.StatusInternalServerError && !waited,
		errors.As(err, &u) && errors.Is(ctx.Err(), context.DeadlineExceeded):
		t.d.chooser.ObserveLatency(to.ID, took)
	}
	if err == nil && a.ContentLength >= 0 {
		t.d.sizes.observe(t.j.route, a.ContentLength)
	}
}

func (d *dispatcher) send(ctx context.Context, to balance.Target, r *InstanceRequest) (*http.Response, balance.Load, error) {
	if to.CallAddress != d.self {
		return d.peers.do(ctx, to, r)
	}
	a, err := d.local.do(ctx, r)
	d.calls.learn(to.Service, d.calls.header())
	l := d.local.door.Load()
	return a, balance.Load{Running: l.Running, Permits: l.Permits, Queued: l.Queued}, err
}

// judge reads a short answer whole, and tells failures that another instance
// may not have.
func (t *trial) judge(a *http.Response) (*http.Response, error) {
	notRun := a.Header.Get(t.d.names.NotExecuted) != "" || a.StatusCode == http.StatusMisdirectedRequest
	if a.ContentLength <= keepAnswerBytes {
		if err := keep(a); err != nil {
			return nil, err
		}
	}
	if notRun || a.StatusCode >= http.StatusInternalServerError {
		return nil, &failedAnswer{a, notRun}
	}
	return a, nil
}

// keep reads an answer into memory, up to keepAnswerBytes.
func keep(a *http.Response) error {
	var b bytes.Buffer
	if a.ContentLength > 0 {
		b.Grow(int(a.ContentLength))
	}
	n, err := io.CopyN(&b, a.Body, keepAnswerBytes+1)
	switch {
	case err == nil && n > keepAnswerBytes:
		a.Body = &joined{io.MultiReader(&b, a.Body), a.Body}
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
type joined struct {
	io.Reader
	rest io.Closer
}

// Close implements io.Closer.
func (j *joined) Close() error { return j.rest.Close() }

// again records how a try ended and decides whether another may follow.
func (t *trial) again(ctx context.Context, err error) bool {
	left := t.j.deadline.Sub(t.d.now())
	more := ctx.Err() == nil && left > leastLeft && t.sends < sendsMost
	var f *priorityadmission.Refusal
	if errors.As(err, &f) {
		if err == errNoTarget {
			return false
		}
		t.last = f
		return more && f.Reason != priorityadmission.Late && f.Reason != priorityadmission.Canceled && t.j.body.CanRepeat()
	}
	t.runs++
	t.j.runs = t.runs
	var a *failedAnswer
	if errors.As(err, &a) && a.notRun {
		return more && t.mayRunAgain() && t.j.body.CanRepeat()
	}
	var u *call.Unknown
	switch {
	case a != nil:
		t.failed = a.answer
	case errors.As(err, &u):
		t.unknown = u
	}
	return more && t.j.repeatable && t.mayRunAgain() && t.j.body.Kept()
}

// mayRunAgain reports whether one more instance may get the request.
func (t *trial) mayRunAgain() bool {
	most := t.j.route.Attempts
	if most == 0 {
		most = defaultAttempts
	}
	if t.runs >= most {
		return false
	}
	if _, _, other := t.d.chooser.PickWithZoneCost(t.service, t.tried, t.crossing); !other {
		return false
	}
	return t.d.budget.AllowWithNestedCalls(t.service, t.d.calls.of(t.service))
}

// end returns what the caller gets in place of a good answer: the failure of an
// instance that ran the request, else the error that tells whether one may
// have.
func (t *trial) end(err error) (*http.Response, error) {
	var f *priorityadmission.Refusal
	switch {
	case t.failed != nil:
		return t.failed, nil
	case t.unknown != nil:
		return nil, t.unknown
	case t.last != nil:
		return nil, t.last
	case errors.As(err, &f):
		return nil, f
	}
	return nil, &priorityadmission.Refusal{Reason: notExecuted}
}

// result says what a try tells about the host.
func (t *trial) result(ctx context.Context, err error) balance.Result {
	var f *priorityadmission.Refusal
	var a *failedAnswer
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

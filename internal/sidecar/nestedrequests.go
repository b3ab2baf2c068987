package sidecar

import (
	"net/http"
	"time"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
)

// recognizeNested sets whether a request is made by the local backend server for a
// request that it runs, and for which one. Authorization does not depend on it.
func (s *callerHandler) recognizeNested(j *job, now time.Time) {
	in := j.original
	j.parent, j.nested = s.dispatch.localBackend.runningRequests.parentOf(in.Header.Get(s.names.RequestID), s.names, now)
	if j.route.Open && in.Header.Get(s.names.Key) == "" {
		j.nested = true
	}
}

// inherit replaces the priority and the objective of a nested request by those of
// its root, and bounds its deadline by that of its parent. The account and the
// route of the nested request do not count: the root request waits for it.
func (j *job) inherit(now time.Time) error {
	p := j.parent
	if p == nil {
		return nil
	}
	j.priority, j.objective = p.priority, p.objective
	if p.deadline.Before(j.deadline) {
		j.deadline = p.deadline
	}
	if j.deadline.Sub(now) <= minTimeLeft {
		return &priorityadmission.Refusal{Reason: priorityadmission.Late}
	}
	return nil
}

// nestedWaitDivisor is the part of the time left that a nested request waits in the
// queue of one instance while another one can be asked. At most two instances are asked
// for a place in their queue, so that with a deadline of 250 ms the first may keep it for
// 80 ms, and the second has 160 ms left to keep and run it. Half would leave the
// second too little time to run what it has queued.
const nestedWaitDivisor = 3

// startBy returns the time until which the instance that is asked next may queue the
// request, or zero if only the deadline bounds it. An instance that is the last to
// be asked returns a nested request in time for a refusal, see
// priorityadmission.Controller.
func (t *requestDispatch) startBy(wait bool) time.Time {
	if !t.job.nested || !wait || !t.otherQueue() {
		return time.Time{}
	}
	now := t.dispatcher.now()
	return now.Add(t.job.deadline.Sub(now) / nestedWaitDivisor)
}

// otherQueue reports whether another instance can be asked for a place in its queue
// after the one that is asked next.
func (t *requestDispatch) otherQueue() bool {
	return t.job.body.CanResend() && t.dispatcher.chooser.CanQueueAgain(&t.search)
}

// Headers of a response between nodes that say what a run shows about the requests
// that were made for it.
const (
	// headerStrained is set if the run or one of its nested requests waited for a
	// large part of its time.
	headerStrained = call.HeaderPrefix + "Strained"
	// headerUnserved is set if the run failed and one of its nested requests was not
	// served.
	headerUnserved = call.HeaderPrefix + "Nested-Unserved"
)

// maxUnservedTries is the number of instances that may refuse a root request as
// nestedUnserved. One instance may have another view than most; if all are asked,
// each would admit its share of the same requests.
const maxUnservedTries = 2

// nestedUnserved is the reason for a root request whose nested requests would not be
// served.
const nestedUnserved priorityadmission.Reason = "NestedUnserved"

// setNestedHeaders states in the response of a run what became of its nested requests.
func (r *runningRequest) setNestedHeaders(a *http.Response) {
	if r.strained.Load() {
		a.Header[headerStrained] = []string{flagSet}
	}
	if r.unserved.Load() && a.StatusCode >= http.StatusInternalServerError {
		a.Header[headerUnserved] = []string{flagSet}
	}
}

// takeNestedHeaders removes what setNestedHeaders has set.
func (j *job) takeNestedHeaders(a *http.Response) {
	j.strained = j.strained || a.Header.Get(headerStrained) != ""
	j.unserved = a.Header.Get(headerUnserved) != ""
	delete(a.Header, headerStrained)
	delete(a.Header, headerUnserved)
}

// begin counts a nested request at its parent, and the returned function its end.
func (j *job) begin() (end func()) {
	if j.parent == nil {
		return func() {}
	}
	j.parent.open.Add(1)
	return func() { j.parent.open.Add(-1) }
}

// reportToParent records at the parent of a nested request how it ended. It precedes
// the response, after which the parent may end. err is nil for a response of an
// instance. A request that the instance gave up shows nothing: the caller of the parent
// may have left.
func (j *job) reportToParent(err error) {
	if j.parent == nil || j.original.Context().Err() != nil {
		return
	}
	unserved := j.unserved
	if err != nil {
		r := rejectionFor(err)
		lacksRoom := r.status == http.StatusServiceUnavailable && r.reason != string(quarantined)
		unserved = lacksRoom || r.status == http.StatusGatewayTimeout
	}
	if unserved {
		j.parent.unserved.Store(true)
	}
	if j.strained {
		j.parent.strained.Store(true)
	}
}

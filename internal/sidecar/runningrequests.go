package sidecar

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"quetzaldock.example/quetzaldock/pkg/nestedthrottle"
)

const (
	// maxNesting limits how many parents of an ID are looked up. Requests nest up to
	// 8 levels deep; an own part of an ID may contain the separator.
	maxNesting = 16
	// unknownParentsFor is how long after the start of the node a request is nested
	// if its ID names an unknown parent. The node does not know the requests that
	// were running when it started, but none of them runs longer than this.
	unknownParentsFor = maxRequestTimeout
)

// A runningRequest is a request that the backend server runs. Requests that the
// backend server makes for it inherit its priority, deadline and objective, which
// are those of the root request.
type runningRequest struct {
	priority  int
	deadline  time.Time
	objective time.Time

	// open counts its nested requests without a response.
	open atomic.Int32
	// unserved is set once a nested request was not served, by its service or by one
	// deeper in the chain, for lack of capacity. strained is set once one waited for
	// a large part of its time.
	unserved, strained atomic.Bool
}

// outcome says what the end of the run shows about its nested requests. status is that
// of the response, or zero if there is none, and left the time until the deadline.
func (r *runningRequest) outcome(status int, err error, left time.Duration) nestedthrottle.Outcome {
	waits := status == 0 && left <= lateMargin && r.open.Load() > 0
	switch {
	case (status == 0 || status >= http.StatusInternalServerError) && (r.unserved.Load() || waits):
		return nestedthrottle.Wasted
	case err != nil, status == 0, status >= http.StatusInternalServerError:
		return nestedthrottle.Unclear
	case r.strained.Load():
		return nestedthrottle.Strained
	}
	return nestedthrottle.Served
}

// lateMargin is the time left below which the end of a run without a response counts
// as the deadline. A sender on another host reaches it some milliseconds before.
const lateMargin = 20 * time.Millisecond

// runningRequests holds the requests that the backend server runs, by request ID.
type runningRequests struct {
	// startedAt is the start of the node.
	startedAt time.Time

	mu   sync.Mutex
	byID map[string]*runningRequest
}

// add records a request. The returned function removes it.
func (r *runningRequests) add(id string, running *runningRequest) (remove func()) {
	if id == "" {
		return func() {}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = map[string]*runningRequest{}
	}
	r.byID[id] = running
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.byID[id] == running {
			delete(r.byID, id)
		}
	}
}

// parentOf reports whether the request with this ID is made for another one, and
// returns that one if it runs here. Soon after the start of the node, an ID that
// names any parent suffices. Later it does not, because callers choose their IDs.
func (r *runningRequests) parentOf(id string, names *HeaderNames, now time.Time) (parent *runningRequest, nested bool) {
	first := names.parentID(id)
	if first == "" {
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, depth := first, 0; p != "" && depth < maxNesting; p, depth = names.parentID(p), depth+1 {
		if running := r.byID[p]; running != nil {
			return running, true
		}
	}
	return nil, now.Sub(r.startedAt) < unknownParentsFor
}

package sidecar

import "sync"

// runningRequests holds the priorities of the requests that the backend server
// runs, by request ID. Requests that the backend server makes for one of them
// inherit its priority, because it waits for them.
type runningRequests struct {
	mu         sync.Mutex
	priorities map[string]int
}

// add records a request. The returned function removes it.
func (r *runningRequests) add(id string, priority int) (remove func()) {
	if id == "" {
		return func() {}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.priorities == nil {
		r.priorities = map[string]int{}
	}
	r.priorities[id] = priority
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.priorities, id)
	}
}

// priority returns the priority of a running request.
func (r *runningRequests) priority(id string) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.priorities[id]
	return p, ok
}

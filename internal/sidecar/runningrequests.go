package sidecar

import "sync"

// A running holds the priorities of the requests that the local backend server
// runs, by their IDs. Requests that it makes for one of them inherit its
// priority: they are as urgent as what waits for them.
type runningRequests struct {
	mu         sync.Mutex
	priorities map[string]int
}

// add records a request; the returned function removes it.
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

// priority returns the priority of a request that runs.
func (r *runningRequests) priority(id string) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.priorities[id]
	return p, ok
}

package backend

import (
	"crypto/rand"
	"sync"
	"sync/atomic"

	"quetzaldock.example/quetzaldock/internal/call"
)

// RunningCalls holds the calls that run at the backend server, each under a
// token that the server sends with the nested calls it makes for that call. It
// is safe for concurrent use.
type RunningCalls struct {
	mu    sync.Mutex
	calls map[string]*RunningCall
}

// A RunningCall is a call that runs at the backend server.
type RunningCall struct {
	Call call.Call
	// nestedFailed is set when a nested call failed after its own retries.
	nestedFailed atomic.Bool
}

// NewRunningCalls returns an empty RunningCalls.
func NewRunningCalls() *RunningCalls {
	return &RunningCalls{calls: map[string]*RunningCall{}}
}

// Add adds a call and returns its token. The token cannot be guessed, and it is
// valid only until the call ends.
func (r *RunningCalls) Add(c call.Call) (string, *RunningCall) {
	token, runningCall := rand.Text(), &RunningCall{Call: c}
	r.mu.Lock()
	r.calls[token] = runningCall
	r.mu.Unlock()
	return token, runningCall
}

// Remove removes a call that has ended.
func (r *RunningCalls) Remove(token string) {
	r.mu.Lock()
	delete(r.calls, token)
	r.mu.Unlock()
}

// Find returns the running call with the token.
func (r *RunningCalls) Find(token string) (*RunningCall, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.calls[token]
	return c, ok
}

// Len returns the number of running calls.
func (r *RunningCalls) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls)
}

// RecordNestedFailure records that a nested call failed after its own retries, so
// that its callers do not retry as well.
func (c *RunningCall) RecordNestedFailure() { c.nestedFailed.Store(true) }

// HasNestedFailure reports whether RecordNestedFailure was called.
func (c *RunningCall) HasNestedFailure() bool { return c.nestedFailed.Load() }

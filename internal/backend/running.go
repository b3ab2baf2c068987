package backend

import (
	"crypto/rand"
	"sync"
	"sync/atomic"

	"quetzaldock.example/quetzaldock/internal/call"
)

// Running holds the calls that run at the backend server now, by the token
// that the server passes on with its nested calls.
type RunningCalls struct {
	mu    sync.Mutex
	calls map[string]*RunningCall
}

// An Entry is one running call.
type RunningCall struct {
	Call call.Call
	// failed is set when a nested call failed after its own retries.
	failed atomic.Bool
}

// NewRunning returns an empty set.
func NewRunningCalls() *RunningCalls {
	return &RunningCalls{calls: map[string]*RunningCall{}}
}

// Add registers a call and returns its token. A token cannot be guessed and is
// worth nothing once the call has ended.
func (r *RunningCalls) Add(c call.Call) (string, *RunningCall) {
	t, e := rand.Text(), &RunningCall{Call: c}
	r.mu.Lock()
	r.calls[t] = e
	r.mu.Unlock()
	return t, e
}

// Remove ends a call.
func (r *RunningCalls) Remove(token string) {
	r.mu.Lock()
	delete(r.calls, token)
	r.mu.Unlock()
}

// Find returns the running call with the token.
func (r *RunningCalls) Find(token string) (*RunningCall, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.calls[token]
	return e, ok
}

// Len returns the number of running calls.
func (r *RunningCalls) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls)
}

// NestedFailed notes that a nested call failed after its own retries, so that
// the callers above do not retry as well.
func (e *RunningCall) RecordNestedFailure() { e.failed.Store(true) }

// HasNestedFailure reports whether NestedFailed was called.
func (e *RunningCall) HasNestedFailure() bool { return e.failed.Load() }

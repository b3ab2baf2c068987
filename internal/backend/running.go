package backend

import (
	"crypto/rand"
	"sync"
	"sync/atomic"

	"quetzaldock.example/quetzaldock/internal/call"
)

// Running holds the calls that run at the backend server now, by the token
// that the server passes on with its nested calls.
type Running struct {
	mu    sync.Mutex
	calls map[string]*Entry
}

// An Entry is one running call.
type Entry struct {
	Call call.Call
	// failed is set when a nested call failed after its own retries.
	failed atomic.Bool
}

// NewRunning returns an empty set.
func NewRunning() *Running {
	return &Running{calls: map[string]*Entry{}}
}

// Add registers a call and returns its token. A token cannot be guessed and is
// worth nothing once the call has ended.
func (r *Running) Add(c call.Call) (string, *Entry) {
	t, e := rand.Text(), &Entry{Call: c}
	r.mu.Lock()
	r.calls[t] = e
	r.mu.Unlock()
	return t, e
}

// Remove ends a call.
func (r *Running) Remove(token string) {
	r.mu.Lock()
	delete(r.calls, token)
	r.mu.Unlock()
}

// Find returns the running call with the token.
func (r *Running) Find(token string) (*Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.calls[token]
	return e, ok
}

// Len returns the number of running calls.
func (r *Running) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls)
}

// NestedFailed notes that a nested call failed after its own retries, so that
// the callers above do not retry as well.
func (e *Entry) NestedFailed() { e.failed.Store(true) }

// HasNestedFailure reports whether NestedFailed was called.
func (e *Entry) HasNestedFailure() bool { return e.failed.Load() }

package standin

import (
	"net/http"
	"slices"
	"strings"
	"sync"
)

// Header names that the stand-ins read.
const (
	HeaderRequestID      = "Quetzaldock-Request-Id"
	HeaderAccount        = "Quetzaldock-Account"
	HeaderCallToken      = "Quetzaldock-Call"
	HeaderNotRun         = "Quetzaldock-Not-Run"
	HeaderTimeoutMs      = "Quetzaldock-Timeout-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTrial carries the caller's own identification of a request. It is
	// an ordinary header, so the mesh passes it on unchanged.
	HeaderTrialID = "Trial-Id"
)

// Executions records what all backend servers of one run executed, so that a
// check can find doubled runs, false "not run" answers and leaked keys. A
// request counts as executed from the moment it takes a slot, even if it is
// cancelled later.
type Executions struct {
	mu             sync.Mutex
	secrets        []string
	byRequest      map[string]int // by Quetzaldock-Request-Id and service path
	byTrial        map[string]int // by Trial-Id
	byKey          map[string]int // by account and Idempotency-Key
	byAccount      map[string]int
	leakedRequests int
	totalCount     int
}

// NewExecutions returns an empty record.
func NewExecutions() *Executions {
	return &Executions{
		byRequest: map[string]int{}, byTrial: map[string]int{},
		byKey: map[string]int{}, byAccount: map[string]int{},
	}
}

// AddSecret makes every later request that carries the caller's key in any
// header or in its query count as a leak.
func (e *Executions) AddSecret(key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.secrets = append(slices.Clone(e.secrets), key)
}

// Inspect looks for a caller's key in an arriving request, run or not.
func (e *Executions) CheckForSecrets(r *http.Request) {
	e.mu.Lock()
	secrets := e.secrets
	e.mu.Unlock()
	if !containsSecret(r, secrets) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leakedRequests++
}

func containsSecret(r *http.Request, secrets []string) bool {
	if r.Header.Get("Authorization") != "" {
		return true
	}
	for _, vs := range r.Header {
		for _, v := range vs {
			for _, s := range secrets {
				if strings.Contains(v, s) {
					return true
				}
			}
		}
	}
	for _, s := range secrets {
		if strings.Contains(r.URL.RawQuery, s) {
			return true
		}
	}
	return false
}

// Begin records that a backend server starts to run the request.
func (e *Executions) RecordStart(r *http.Request) {
	id, trial := r.Header.Get(HeaderRequestID), r.Header.Get(HeaderTrialID)
	account, key := r.Header.Get(HeaderAccount), r.Header.Get(HeaderIdempotencyKey)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.totalCount++
	e.byAccount[account]++
	if id != "" {
		e.byRequest[id+" "+r.URL.Path]++
	}
	if trial != "" {
		e.byTrial[trial]++
	}
	if key != "" {
		e.byKey[account+" "+key]++
	}
}

// OfTrial is how often requests with the Trial-Id were executed.
func (e *Executions) CountForTrial(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byTrial[id]
}

// OfRequest is how often the request with this Quetzaldock-Request-Id was
// executed under the path.
func (e *Executions) CountForRequest(id, path string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byRequest[id+" "+path]
}

// OfKey is how often an account's Idempotency-Key was executed.
func (e *Executions) CountForKey(account, key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byKey[account+" "+key]
}

// DoubledKeys lists accounts and Idempotency-Keys that were executed more than
// once.
func (e *Executions) DuplicateKeys() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for k, n := range e.byKey {
		if n > 1 {
			out = append(out, k)
		}
	}
	return out
}

// OfAccount is how many requests ran for the account.
func (e *Executions) CountForAccount(name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byAccount[name]
}

// Leaks is how many requests reached a backend server with a caller's key.
func (e *Executions) LeakedRequestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leakedRequests
}

// Total is how many requests were executed.
func (e *Executions) TotalCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.totalCount
}

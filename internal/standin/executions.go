package standin

import (
	"net/http"
	"slices"
	"strings"
	"sync"
)

// Header names that the stand-ins, and the callers in tests, read or set.
const (
	HeaderRequestID = "Quetzaldock-Request-Id"
	HeaderAccount   = "Quetzaldock-Account"
	// HeaderCallToken is copied by a backend server to its nested calls.
	HeaderCallToken      = "Quetzaldock-Call"
	HeaderNotRun         = "Quetzaldock-Not-Run"
	HeaderTimeoutMs      = "Quetzaldock-Timeout-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTrialID carries the caller's own identifier of a request. The mesh
	// does not know this header and passes it on unchanged.
	HeaderTrialID = "Trial-Id"
)

// Executions records the requests that all backend servers of one run executed.
// Checks use it to find requests that ran twice, requests that ran although
// their caller was told that they did not, and callers' account keys that reached
// a backend server. A request counts as executed once it has a slot, even if it is
// cancelled later.
type Executions struct {
	mu             sync.Mutex
	secrets        []string
	byRequest      map[string]int // executions by Quetzaldock-Request-Id and path
	byTrial        map[string]int // executions by Trial-Id
	byKey          map[string]int // executions by account and Idempotency-Key
	byAccount      map[string]int // executions by account
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

// AddSecret adds a caller's account key, which no request to a backend server may
// contain in a header or in its query.
func (e *Executions) AddSecret(key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.secrets = append(slices.Clone(e.secrets), key)
}

// CheckForSecrets counts an arriving request that contains a caller's key,
// whether or not the request runs afterwards.
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

// containsSecret reports whether a request has an Authorization header, or one of
// the secrets in a header or in its query.
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

// RecordStart records that a backend server starts to run the request.
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

// CountForTrial returns how often requests with this Trial-Id were executed.
func (e *Executions) CountForTrial(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byTrial[id]
}

// CountForRequest returns how often the request with this Quetzaldock-Request-Id
// was executed with this path.
func (e *Executions) CountForRequest(id, path string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byRequest[id+" "+path]
}

// CountForKey returns how often requests with this account and Idempotency-Key
// were executed.
func (e *Executions) CountForKey(account, key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byKey[account+" "+key]
}

// DuplicateKeys lists the accounts and Idempotency-Keys whose requests were
// executed more than once, as "ACCOUNT KEY".
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

// CountForAccount returns the number of executed requests of the account.
func (e *Executions) CountForAccount(name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byAccount[name]
}

// LeakedRequestCount returns the number of requests that reached a backend
// server with a caller's key.
func (e *Executions) LeakedRequestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leakedRequests
}

// TotalCount returns the number of executed requests.
func (e *Executions) TotalCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.totalCount
}

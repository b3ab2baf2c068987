package balance

import (
	"sync"
	"time"
)

// MaxAttempts is the largest number of attempts for one call at one node.
const MaxAttempts = 3

// maxTokens bounds the retries that may follow each other at once, unless
// SetMost changes it.
const maxTokens = 10

// A RetryBudget limits the retries of each service to a share of its calls.
// It is safe for concurrent use.
type RetryBudget struct {
	mu      sync.Mutex
	percent map[string]float64
	tokens  map[string]float64
	most    float64
}

// NewRetryBudget returns a budget that allows no retry until Configure.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{percent: map[string]float64{}, tokens: map[string]float64{}, most: maxTokens}
}

// Configure sets the retries of a service in percent of its calls.
func (b *RetryBudget) Configure(service string, percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.percent[service] = float64(percent)
	if _, ok := b.tokens[service]; !ok {
		b.tokens[service] = b.most
	}
	if percent <= 0 {
		b.tokens[service] = 0
	}
}

// SetMost bounds the retries that may follow each other at once. A fleet that
// shares a budget divides it over its nodes.
func (b *RetryBudget) SetMaxBurst(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = n
	for s, t := range b.tokens {
		b.tokens[s] = min(t, n)
	}
}

// Earned records a call of the service; retries are not counted.
func (b *RetryBudget) RecordCall(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.most, b.tokens[service]+b.percent[service]/100)
}

// Allow takes one retry from the service's budget.
func (b *RetryBudget) Allow(service string, _ time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}

// AllowRepeat takes one retry from the service's budget and from the budget of
// each service that the repeated request calls in turn, by the number of calls.
// It takes nothing unless all of them have enough.
func (b *RetryBudget) AllowWithNestedCalls(service string, calls map[string]float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	for s, n := range calls {
		if s != service && b.tokens[s] < n {
			return false
		}
	}
	b.tokens[service]--
	for s, n := range calls {
		if s != service {
			b.tokens[s] -= n
		}
	}
	return true
}

// A Decision is what to do after an attempt that brought no answer.
type RetryDecision int

// The decisions.
const (
	// Retry: try another host.
	Retry RetryDecision = iota
	// GiveUpNotRun: refuse the call as not run.
	GiveUpNotRun
	// GiveUpUnknown: the call may have run; its outcome is unknown.
	GiveUpUnknown
)

// An Attempt describes an attempt that brought no answer.
type Attempt struct {
	Service string
	// Number is 1 for the first attempt.
	Number int
	// NotRun: the host refused the call as not run.
	NotRun bool
	// Sent: at least one byte of the request was written. A request of which
	// nothing was written has not been run.
	Sent bool
	// EarlierUnknown: an earlier attempt of the same call may have run.
	EarlierMayHaveRun bool
	Idempotent        bool
	// NoRetry: the answer carried Quetzaldock-Retry: no.
	NoRetry  bool
	Now      time.Time
	Deadline time.Time
	// Allow takes a retry from the budget; it is asked last, and only if
	// nothing else forbids the retry. Nil allows all.
	Allow func(service string, now time.Time) bool
}

// Decide returns what to do after an attempt. A call whose attempt may have
// run is retried only if it is idempotent, and is never reported as not run.
func DecideRetry(a Attempt) RetryDecision {
	notRun := a.NotRun || !a.Sent
	giveUp := GiveUpUnknown
	if notRun && !a.EarlierMayHaveRun {
		giveUp = GiveUpNotRun
	}
	switch {
	case giveUp == GiveUpUnknown && !a.Idempotent,
		a.NoRetry,
		a.Number >= MaxAttempts,
		!a.Deadline.IsZero() && !a.Now.Before(a.Deadline),
		a.Allow != nil && !a.Allow(a.Service, a.Now):
		return giveUp
	}
	return Retry
}

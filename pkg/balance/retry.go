package balance

import (
	"sync"
	"time"
)

// MaxAttempts is the maximum number of attempts of one node for one call.
const MaxAttempts = 3

// defaultMaxBurst is the number of retries that a full budget allows at once,
// unless SetMaxBurst changes it.
const defaultMaxBurst = 10

// A RetryBudget limits the retries of each service to a percentage of its calls.
// It is safe for concurrent use.
type RetryBudget struct {
	mu sync.Mutex
	// percent holds the allowed retries per 100 calls, and tokens the retries
	// that are allowed now, by service.
	percent  map[string]float64
	tokens   map[string]float64
	maxBurst float64
}

// NewRetryBudget returns a budget that allows no retry of a service before
// Configure is called for it.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{percent: map[string]float64{}, tokens: map[string]float64{}, maxBurst: defaultMaxBurst}
}

// Configure sets the allowed retries of a service in percent of its calls.
func (b *RetryBudget) Configure(service string, percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.percent[service] = float64(percent)
	if _, ok := b.tokens[service]; !ok {
		b.tokens[service] = b.maxBurst
	}
	if percent <= 0 {
		b.tokens[service] = 0
	}
}

// SetMaxBurst sets the number of retries that a full budget allows at once. The
// nodes of a fleet that share a budget each get a part of it.
func (b *RetryBudget) SetMaxBurst(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxBurst = n
	for s, t := range b.tokens {
		b.tokens[s] = min(t, n)
	}
}

// RecordCall adds the retries that one call of the service allows. It must not
// be called for retries.
func (b *RetryBudget) RecordCall(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.maxBurst, b.tokens[service]+b.percent[service]/100)
}

// Allow takes one retry from the service's budget and reports whether there was
// one. The time is not used; Attempt.Allow has this signature.
func (b *RetryBudget) Allow(service string, _ time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}

// AllowWithNestedCalls takes one retry from the service's budget, and from the
// budgets of the services that the retried request calls in turn the expected
// number of calls to each. It takes nothing unless all budgets suffice.
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

// A RetryDecision is what to do after an attempt without an answer.
type RetryDecision int

// The decisions after an attempt without an answer.
const (
	// Retry: try another host.
	Retry RetryDecision = iota
	// GiveUpNotRun: report to the caller that the call was not run.
	GiveUpNotRun
	// GiveUpUnknown: report to the caller that the call may have run.
	GiveUpUnknown
)

// An Attempt describes an attempt without an answer.
type Attempt struct {
	Service string
	// Number is 1 for the first attempt.
	Number int
	// NotRun is set if the host refused the call and stated that it was not run.
	NotRun bool
	// Sent is set if at least one byte of the request was written. A request of
	// which nothing was written has not run.
	Sent bool
	// EarlierMayHaveRun is set if an earlier attempt of the same call may have
	// run.
	EarlierMayHaveRun bool
	Idempotent        bool
	// NoRetry is set if the answer had the header Quetzaldock-Retry: no.
	NoRetry  bool
	Now      time.Time
	Deadline time.Time
	// Allow takes a retry from the budget. It is called only if nothing else
	// forbids the retry. Nil allows all retries.
	Allow func(service string, now time.Time) bool
}

// DecideRetry returns what to do after an attempt. A call that may have run is
// retried only if it is idempotent, and is never reported as not run.
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

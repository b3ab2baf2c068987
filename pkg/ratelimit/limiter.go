// Package ratelimit enforces request rate limits of client accounts that apply
// to all nodes of a fleet together.
//
// Requests arrive at the nodes in about equal numbers, and a deployment
// tolerates that an account exceeds its limit by a stated amount. Each node
// therefore admits an equal share of the limit and of most of the tolerance,
// without exchanging messages, so that restarts, partitions and outages of the
// store do not affect it.
//
// If that share is so small that random variation would exhaust it, most of the
// account's limit is pooled at one node, the account's lending node, and a node
// without tokens borrows from it. A node that cannot reach the lending node
// continues with its own share. Callers choose the lending node and carry the
// messages; the package opens no socket.
//
// Package quota also limits rates over a fleet. It needs no tolerance, but its
// hosts lend capacity to each other through brokers, with regular messages.
package ratelimit

import (
	"sync"
	"time"
)

const (
	// usedOverageShare is the share of the tolerated overage that nodes use.
	// The rest covers nodes that count fewer nodes than there are.
	usedOverageShare = 0.8
	// usedSlackShare is the share of the tolerated slack that nodes use.
	usedSlackShare = 0.8
	// initialFill is the fraction of a new bucket that is filled. It is below 1
	// because the node may have spent tokens just before a restart.
	initialFill = 0.4
	// maxRetryAfter bounds the time after which a refused caller may retry.
	maxRetryAfter = 2 * time.Second
	// nodeCountMemory is how long nodes that are no longer seen still count, so
	// that a node that is cut off does not take over the shares of the others.
	nodeCountMemory = 10 * time.Second
)

// A Tolerance is the amount by which an account may exceed its limit over the
// whole fleet.
type Tolerance struct {
	// OverageRatio is relative to the limit. SlackRequests is a number of
	// requests in addition to it, over a period of any length.
	OverageRatio  float64
	SlackRequests float64
}

// A Limit is one account's limit over the whole fleet. A Rate of zero means no
// limit.
type Limit struct {
	// Rate is in requests per second, Burst in requests.
	Rate  float64
	Burst float64
}

// A Limiter admits this node's share of each account's limit. Its exported
// fields must be set before the first call. It is safe for concurrent use.
type Limiter struct {
	Now func() time.Time
	// SinceBoot returns the time since the host was booted, suspensions included.
	// Unlike the time of day it does not jump.
	SinceBoot func() time.Duration
	Tolerance Tolerance
	// IsLender reports whether this node is the lending node of an account. If it is nil,
	// the node is that of all accounts. It must not call methods of the Limiter.
	IsLender func(account string) bool

	mu     sync.Mutex
	limits map[string]Limit
	// buckets holds this node's share of the limits including the tolerance.
	buckets map[string]*Bucket
	// strictBuckets holds this node's share of the limits without the
	// tolerance, for accounts without a pool.
	strictBuckets map[string]*Bucket
	// pools holds the pooled part of each limit. It is used only on the
	// account's lending node. loans holds what this node has borrowed.
	pools map[string]*Bucket
	loans map[string]*loan
	// lending holds, for each account with a pool, whether this node is its lending node.
	lending map[string]bool
	// poolFill is the fraction of a new pool that is filled. It is zero for the first
	// limits after the start: what an earlier process of this node has lent is not known.
	poolFill float64
	// recentCounts holds the node counts of the last nodeCountMemory, newest
	// last. nodeCount is their maximum.
	recentCounts []countedNodes
	nodeCount    int
}

type countedNodes struct {
	nodeCount int
	at        time.Time
}

// A Bucket is a token bucket of one account at this node.
type Bucket struct {
	// Rate is in tokens per second, Capacity and Tokens in tokens.
	Rate     float64
	Capacity float64
	Tokens   float64
	// Admitted and Refused count requests since the account got its limit.
	// Refunded requests do not count as admitted.
	Admitted uint64
	Refused  uint64

	// filledAt is the time up to which tokens were added.
	filledAt time.Time
}

// New returns a Limiter without limits, for a fleet of one node.
func New(t Tolerance) *Limiter {
	return &Limiter{Now: time.Now, SinceBoot: sinceBoot, Tolerance: t, buckets: map[string]*Bucket{}, strictBuckets: map[string]*Bucket{}, pools: map[string]*Bucket{}, lending: map[string]bool{}, nodeCount: 1}
}

// Configure replaces the limits of all accounts.
func (l *Limiter) Configure(limits map[string]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits == nil {
		l.poolFill = 0
	} else {
		l.poolFill = initialFill
	}
	l.limits = limits
	now := l.Now()
	l.resizeBuckets(now)
	l.updateLending(now)
}

// SetNodeCount records the number of nodes that take requests. An increase takes
// effect at once, a decrease after nodeCountMemory.
func (l *Limiter) SetNodeCount(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	for len(l.recentCounts) > 0 && (now.Sub(l.recentCounts[0].at) > nodeCountMemory) {
		l.recentCounts = l.recentCounts[1:]
	}
	if size := len(l.recentCounts); size > 0 && l.recentCounts[size-1].nodeCount == n {
		l.recentCounts = l.recentCounts[:size-1]
	}
	l.recentCounts = append(l.recentCounts, countedNodes{max(1, n), now})
	maxNodes := 1
	for _, c := range l.recentCounts {
		maxNodes = max(maxNodes, c.nodeCount)
	}
	if maxNodes != l.nodeCount {
		l.nodeCount = maxNodes
		l.resizeBuckets(now)
	}
}

// resizeBuckets fits the buckets to the limits and the node count.
func (l *Limiter) resizeBuckets(now time.Time) {
	for _, byAccount := range []map[string]*Bucket{l.buckets, l.strictBuckets, l.pools} {
		for name := range byAccount {
			if l.limits[name].Rate <= 0 {
				delete(byAccount, name)
			}
		}
	}
	for name, limit := range l.limits {
		if limit.Rate <= 0 {
			continue
		}
		pooled := pooledShare(limit, l.nodeCount)
		overageShare := usedOverageShare
		if pooled > 0 {
			overageShare = pooledOverageShare
		}
		rate := limit.Rate * (1 + overageShare*l.Tolerance.OverageRatio)
		capacity := limit.Burst + usedSlackShare*l.Tolerance.SlackRequests
		nodeShare := (1 - pooled) / float64(l.nodeCount)
		// A bucket for less than one token never admits a request. With a pool,
		// the node borrows instead.
		minCapacity := 1.0
		if pooled > 0 {
			minCapacity = 0
		}
		resize(l.buckets, name, nodeShare*rate, max(minCapacity, nodeShare*capacity), initialFill, now)
		resize(l.pools, name, pooled*rate, pooled*capacity, l.poolFill, now)
		if pooled > 0 {
			delete(l.strictBuckets, name)
		} else {
			resize(l.strictBuckets, name, nodeShare*limit.Rate, max(1, nodeShare*limit.Burst), initialFill, now)
		}
	}
}

// resize sets a bucket's rate and capacity. If there is none, it creates one that is
// filled to the given fraction.
func resize(byAccount map[string]*Bucket, name string, rate, capacity, fill float64, now time.Time) {
	b := byAccount[name]
	created := b == nil
	if created {
		b = &Bucket{filledAt: now}
		byAccount[name] = b
	}
	b.refill(now)
	b.Rate, b.Capacity = rate, capacity
	if created {
		b.Tokens = fill * capacity
	}
	b.Tokens = min(b.Tokens, capacity)
}

// refill adds the tokens that accrued since the last call.
func (b *Bucket) refill(now time.Time) {
	if d := now.Sub(b.filledAt).Seconds(); d > 0 {
		b.Tokens = min(b.Capacity, b.Tokens+d*b.Rate)
	}
	b.filledAt = now
}

// Take spends one token of the account, own or borrowed. Without a token it
// returns false and the time after which there may be one. It always succeeds
// for an account without a limit.
func (l *Limiter) Take(account string) (ok bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[account]
	if b == nil {
		return true, 0
	}
	b.refill(l.Now())
	if b.Tokens >= 1 {
		b.Tokens--
		b.Admitted++
		return true, 0
	}
	if l.spendLoan(account, l.Moment()) {
		return true, 0
	}
	b.Refused++
	return false, min(b.untilNextToken(), maxRetryAfter)
}

// ChargeShare charges a request, which Take has admitted, to this node's share of
// the limit without the tolerance. It reports whether the request exceeds that
// share, so that only the tolerance admitted it. Requests that are spread
// unevenly over the nodes may do so: the caller should give such a request lower
// priority, not refuse it.
func (l *Limiter) ChargeShare(account string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.strictBuckets[account]
	if b == nil {
		return false
	}
	b.refill(l.Now())
	if b.Tokens < 1 {
		return true
	}
	b.Tokens--
	return false
}

// Refund returns the tokens of a request that was refused later and has not run.
// exceededShare is the result of ChargeShare for the request.
func (l *Limiter) Refund(account string, exceededShare bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[account]; b != nil {
		b.Tokens = min(b.Capacity, b.Tokens+1)
		b.Admitted--
	}
	if b := l.strictBuckets[account]; b != nil && !exceededShare {
		b.Tokens = min(b.Capacity, b.Tokens+1)
	}
}

// EachAccount calls f with the limit and this node's bucket of each account that
// has a limit, in no particular order. f must not call methods of the Limiter.
func (l *Limiter) EachAccount(f func(account string, limit Limit, b Bucket)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	for name, b := range l.buckets {
		b.refill(now)
		f(name, l.limits[name], *b)
	}
}

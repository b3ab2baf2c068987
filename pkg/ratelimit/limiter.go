// Package ratelimit keeps accounts within limits that count over all nodes of a
// fleet together.
//
// Nodes take the requests of callers in about equal numbers, and a deployment
// tolerates that an account exceeds its limit by a stated part. A node may
// therefore admit an equal part of the limit and of most of that tolerance,
// without any message: a restart, a partition or an outage of the store changes
// nothing about it. Where that part is so small that chance alone would exhaust
// it, most of the limit is held by one deciding node for all, and a node whose
// own part is spent asks it. A node that cannot ask has its own part. The
// package opens no socket.
package ratelimit

import (
	"sync"
	"time"
)

const (
	// usedOverage is the part of the tolerated overage that nodes use. The
	// rest covers nodes that count fewer nodes than there are.
	usedOverage = 0.8
	// usedSlack is the part of the tolerated slack that nodes use.
	usedSlack = 0.8
	// startLevel is the part of a bucket that is full at the start of the
	// process. Whether the node spent before a restart is not known.
	startLevel = 0.4
	// longestAfter bounds the time after which a refused caller is asked back.
	longestAfter = 2 * time.Second
	// forgetNodes is how long a node that is no longer seen is counted. A node
	// that was cut off still counts all others for that time.
	forgetNodes = 10 * time.Second
)

// A Tolerance is by how much an account may exceed its limit over the fleet.
type Tolerance struct {
	// Overage is a part of the limit, Slack a number of requests beside it
	// within one window.
	OverageRatio  float64
	SlackRequests float64
}

// A Limit is one account's limit over the fleet. A Rate of zero means none.
type Limit struct {
	// Rate is in requests per second, Burst in requests.
	Rate  float64
	Burst float64
}

// A Split admits this node's part of each account's limit. Its exported fields
// are set before the first call. It is safe for concurrent use.
type Limiter struct {
	Now       func() time.Time
	Tolerance Tolerance

	mu      sync.Mutex
	limits  map[string]Limit
	buckets map[string]*Bucket
	// proper holds this node's part of the limits without the tolerance, for
	// accounts without a pool.
	proper map[string]*Bucket
	// pools holds the pooled part of each account, which counts only at the
	// account's deciding node; loans what this node borrowed.
	pools map[string]*Bucket
	loans map[string]*loan
	// counts holds the numbers of nodes of the last forgetNodes, newest last.
	counts []count
	nodes  int
}

type count struct {
	nodes int
	at    time.Time
}

// A Bucket is one account's part at this node.
type Bucket struct {
	// Rate is in tokens per second, Capacity and Tokens in tokens.
	Rate     float64
	Capacity float64
	Tokens   float64
	// Admitted and Refused count requests since the start of the process.
	Admitted uint64
	Refused  uint64

	filled time.Time
}

// New returns a split over one node without limits.
func New(t Tolerance) *Limiter {
	return &Limiter{Now: time.Now, Tolerance: t, buckets: map[string]*Bucket{}, proper: map[string]*Bucket{}, pools: map[string]*Bucket{}, nodes: 1}
}

// Configure replaces the limits of all accounts.
func (s *Limiter) Configure(limits map[string]Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.divide(s.Now())
}

// SetNodes records the number of nodes that take requests. It counts at once
// where it rises and after forgetNodes where it falls.
func (s *Limiter) SetNodeCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	for len(s.counts) > 0 && (now.Sub(s.counts[0].at) > forgetNodes) {
		s.counts = s.counts[1:]
	}
	if k := len(s.counts); k > 0 && s.counts[k-1].nodes == n {
		s.counts = s.counts[:k-1]
	}
	s.counts = append(s.counts, count{max(1, n), now})
	most := 1
	for _, c := range s.counts {
		most = max(most, c.nodes)
	}
	if most != s.nodes {
		s.nodes = most
		s.divide(now)
	}
}

// divide makes the buckets fit the limits and the number of nodes.
func (s *Limiter) divide(now time.Time) {
	for _, all := range []map[string]*Bucket{s.buckets, s.proper, s.pools} {
		for name := range all {
			if s.limits[name].Rate <= 0 {
				delete(all, name)
			}
		}
	}
	for name, l := range s.limits {
		if l.Rate <= 0 {
			continue
		}
		pool := pooled(l, s.nodes)
		overage := usedOverage
		if pool > 0 {
			overage = pooledOverage
		}
		rate := l.Rate * (1 + overage*s.Tolerance.OverageRatio)
		capacity := l.Burst + usedSlack*s.Tolerance.SlackRequests
		part := (1 - pool) / float64(s.nodes)
		least := 1.0
		if pool > 0 {
			least = 0
		}
		resize(s.buckets, name, part*rate, max(least, part*capacity), now)
		resize(s.pools, name, pool*rate, pool*capacity, now)
		if pool > 0 {
			delete(s.proper, name)
		} else {
			resize(s.proper, name, part*l.Rate, max(1, part*l.Burst), now)
		}
	}
}

// resize gives a bucket its rate and capacity.
func resize(all map[string]*Bucket, name string, rate, capacity float64, now time.Time) {
	b := all[name]
	fresh := b == nil
	if fresh {
		b = &Bucket{filled: now}
		all[name] = b
	}
	b.fill(now)
	b.Rate, b.Capacity = rate, capacity
	if fresh {
		b.Tokens = startLevel * capacity
	}
	b.Tokens = min(b.Tokens, capacity)
}

func (b *Bucket) fill(now time.Time) {
	if d := now.Sub(b.filled).Seconds(); d > 0 {
		b.Tokens = min(b.Capacity, b.Tokens+d*b.Rate)
	}
	b.filled = now
}

// Take spends a token of the account. Where there is none it returns false
// and the time after which there will be one. An account without limit always
// has one.
func (s *Limiter) Take(account string) (ok bool, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[account]
	if b == nil {
		return true, 0
	}
	b.fill(s.Now())
	if b.Tokens >= 1 {
		b.Tokens--
		b.Admitted++
		return true, 0
	}
	if s.spendLoan(account, s.Now()) {
		return true, 0
	}
	b.Refused++
	return false, min(b.nextToken(), longestAfter)
}

// Beyond charges a request that Take has admitted to the account's limit proper
// and reports whether it lies beyond this node's part of it, so that only the
// tolerance admitted it. Requests spread unevenly over the nodes may: it is a
// reason to let others go first, not to refuse.
func (s *Limiter) ChargeShare(account string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.proper[account]
	if b == nil {
		return false
	}
	b.fill(s.Now())
	if b.Tokens < 1 {
		return true
	}
	b.Tokens--
	return false
}

// GiveBack returns the tokens of a request that was refused and has not run.
// beyond is what Beyond reported of it.
func (s *Limiter) Refund(account string, exceededShare bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.buckets[account]; b != nil {
		b.Tokens = min(b.Capacity, b.Tokens+1)
		b.Admitted--
	}
	if b := s.proper[account]; b != nil && !exceededShare {
		b.Tokens = min(b.Capacity, b.Tokens+1)
	}
}

// Each calls f with the limit and this node's part of each account that has a
// limit, in no order.
func (s *Limiter) EachAccount(f func(account string, l Limit, b Bucket)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	for name, b := range s.buckets {
		b.fill(now)
		f(name, s.limits[name], *b)
	}
}

package ratelimit

import (
	"math"
	"time"
)

const (
	// plentyPerNode is the part of a rate, in requests per second, that one
	// node can admit on its own: with less, a few callers that happen to come
	// to one node together are refused although the account is within its
	// limit.
	plentyPerNode = 5.0
	// pooledOverage is the part of the tolerated overage that is used for
	// accounts with a pool. More is left than for others, since two nodes may
	// take themselves for the deciding one for a moment.
	pooledOverage = 0.4
	// loanMost bounds the tokens that one question brings.
	loanMost = 4
	// loanTerm is how long a loan may be spent. A node that stood still must
	// not spend it much later.
	loanTerm = time.Second
	// wallSlack is how far the time of day and the steady clock may differ in
	// their course before a loan counts as old: the steady clock stands still
	// while the host is suspended.
	wallSlack = 100 * time.Millisecond
)

// pooled returns the part of an account's limit that its deciding node holds
// for all. The rest is divided.
func pooled(l Limit, nodes int) float64 {
	return 1 - min(1, l.Rate/float64(nodes)/plentyPerNode)
}

// A loan is tokens of a pool that this node may spend for a while.
type loan struct {
	tokens float64
	until  time.Time
	// refusedUntil is until when the pool is known to be empty.
	refusedUntil time.Time
}

// valid reports whether the loan may be spent.
func (l *loan) valid(now time.Time) bool {
	return l.tokens >= 1 && now.Before(l.until) && now.Round(0).Before(l.until.Round(0).Add(wallSlack))
}

// Wants reports whether the account has a pool that this node should ask for a
// token, after Take found none here.
func (s *Limiter) ShouldBorrow(account string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.limits[account]
	if !ok || l.Rate <= 0 || pooled(l, s.nodes) <= 0 {
		return false
	}
	o := s.loans[account]
	return o == nil || !s.Now().Before(o.refusedUntil)
}

// Lend takes tokens of an account's pool for another node, as the account's
// deciding node. Without tokens it returns the time after which there will be
// one.
func (s *Limiter) Lend(account string) (tokens int, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.pools[account]
	if b == nil {
		return 0, loanTerm
	}
	b.fill(s.Now())
	// As much as one node uses within the term: what it does not spend is lost.
	use := 1 + math.Floor(s.limits[account].Rate/float64(s.nodes)*loanTerm.Seconds())
	n := min(use, loanMost, math.Floor(b.Tokens))
	if n < 1 {
		return 0, b.nextToken()
	}
	b.Tokens -= n
	return int(n), 0
}

// Borrowed records the answer of an account's deciding node to a question that
// was asked at the time, and spends one of the tokens. It reports whether there
// was one.
func (s *Limiter) AcceptLoan(account string, tokens int, after time.Duration, asked time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loans == nil {
		s.loans = map[string]*loan{}
	}
	o := s.loans[account]
	if o == nil {
		o = &loan{}
		s.loans[account] = o
	}
	now := s.Now()
	if tokens < 1 {
		o.refusedUntil = now.Add(after)
		return false
	}
	if !o.valid(now) {
		o.tokens = 0
	}
	o.tokens, o.until = o.tokens+float64(tokens), asked.Add(loanTerm)
	return s.spendLoan(account, now)
}

// spendLoan takes a borrowed token. The caller holds the mutex.
func (s *Limiter) spendLoan(account string, now time.Time) bool {
	o := s.loans[account]
	if o == nil || !o.valid(now) {
		return false
	}
	o.tokens--
	if b := s.buckets[account]; b != nil {
		b.Admitted++
	}
	return true
}

// nextToken returns the time after which the bucket has a token.
func (b *Bucket) nextToken() time.Duration {
	return time.Duration(math.Ceil((1 - b.Tokens) / b.Rate * float64(time.Second)))
}

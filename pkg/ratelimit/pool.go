package ratelimit

import (
	"math"
	"time"
)

const (
	// minRatePerNode is the share of a rate, in requests per second, below which
	// an account gets a pool. With a smaller share, a few requests that arrive
	// at the same node together would be refused although the account is within
	// its limit.
	minRatePerNode = 5.0
	// pooledOverageShare is the share of the tolerated overage that is used for
	// accounts with a pool. It is smaller than usedOverageShare because the lending
	// node may change, and two nodes may then lend for a moment.
	pooledOverageShare = 0.4
	// maxLoanTokens bounds the tokens of one loan.
	maxLoanTokens = 4
	// loanDuration is how long a loan may be spent, so that a process that was
	// stopped for a while does not spend an old one.
	loanDuration = time.Second
	// maxSuspension is how much longer a loan may last by the time since boot than by
	// the steady clock, which stops while the host is suspended.
	maxSuspension = 100 * time.Millisecond
)

// notLenderDelay is how long a node that is not the lending node of an account is not asked
// again. Nodes learn of a new lending node within a few tenths of a second.
const notLenderDelay = 100 * time.Millisecond

// pooledShare returns the share of an account's limit that its lending node
// holds for all nodes. The rest is divided equally among the nodes.
func pooledShare(l Limit, nodes int) float64 {
	return 1 - min(1, l.Rate/float64(nodes)/minRatePerNode)
}

// A loan is a number of tokens that this node has borrowed from a pool.
type loan struct {
	tokens    float64
	expiresAt Moment
	// poolEmptyUntil is the time until which the pool is known to be empty.
	poolEmptyUntil time.Time
}

// spendable reports whether a token of the loan may be spent.
func (l *loan) spendable(now Moment) bool {
	return l.tokens >= 1 && now.Steady.Before(l.expiresAt.Steady) && now.SinceBoot < l.expiresAt.SinceBoot+maxSuspension
}

// HasPool reports whether part of the account's limit is pooled at its lending node.
func (l *Limiter) HasPool(account string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasPool(account)
}

func (l *Limiter) hasPool(account string) bool {
	limit := l.limits[account]
	return limit.Rate > 0 && pooledShare(limit, l.nodeCount) > 0
}

// ShouldBorrow reports whether this node should ask the account's lending node
// for tokens after Take has failed.
func (l *Limiter) ShouldBorrow(account string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hasPool(account) {
		return false
	}
	o := l.loans[account]
	return o == nil || !l.Now().Before(o.poolEmptyUntil)
}

// UpdateLending is to be called when IsLender may give another result than before. A node
// that becomes the lending node of an account begins with an empty pool, which fills at
// its rate from then on: the one before has lent tokens that are still spent. Nobody has
// lent tokens of a limit that is new.
func (l *Limiter) UpdateLending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateLending(l.Now())
}

func (l *Limiter) updateLending(now time.Time) {
	if l.IsLender == nil {
		return
	}
	for name, pool := range l.pools {
		lends := l.IsLender(name)
		before, known := l.lending[name]
		if known && lends != before {
			pool.Tokens, pool.filledAt = 0, now
		}
		l.lending[name] = lends
	}
	for name := range l.lending {
		if l.pools[name] == nil {
			delete(l.lending, name)
		}
	}
}

// Lend takes tokens from an account's pool for another node, or for this one. Without
// tokens it returns the time after which there may be one, as it does on a node that is
// not the account's lending node.
func (l *Limiter) Lend(account string) (tokens int, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.pools[account]
	if b == nil {
		return 0, loanDuration
	}
	if l.IsLender != nil && !l.lending[account] {
		return 0, notLenderDelay
	}
	b.refill(l.Now())
	// Tokens that the borrower does not spend within loanDuration are lost.
	expectedUse := 1 + math.Floor(l.limits[account].Rate/float64(l.nodeCount)*loanDuration.Seconds())
	n := min(expectedUse, maxLoanTokens, math.Floor(b.Tokens))
	if n < 1 {
		return 0, b.untilNextToken()
	}
	b.Tokens -= n
	return int(n), 0
}

// AcceptLoan records the answer of an account's lending node to a request sent
// at askedAt and spends one of the tokens. It reports whether there was one.
func (l *Limiter) AcceptLoan(account string, tokens int, retryAfter time.Duration, askedAt Moment) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loans == nil {
		l.loans = map[string]*loan{}
	}
	o := l.loans[account]
	if o == nil {
		o = &loan{}
		l.loans[account] = o
	}
	now := l.Moment()
	if tokens < 1 {
		o.poolEmptyUntil = now.Steady.Add(retryAfter)
		return false
	}
	if !o.spendable(now) {
		o.tokens = 0
	}
	o.tokens, o.expiresAt = o.tokens+float64(tokens), askedAt.add(loanDuration)
	return l.spendLoan(account, now)
}

// spendLoan spends a borrowed token. The caller holds the mutex.
func (l *Limiter) spendLoan(account string, now Moment) bool {
	o := l.loans[account]
	if o == nil || !o.spendable(now) {
		return false
	}
	o.tokens--
	if b := l.buckets[account]; b != nil {
		b.Admitted++
	}
	return true
}

// untilNextToken returns the time until the bucket holds one token.
func (b *Bucket) untilNextToken() time.Duration {
	return time.Duration(math.Ceil((1 - b.Tokens) / b.Rate * float64(time.Second)))
}

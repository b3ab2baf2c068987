package quota

import (
	"sync"
	"time"
)

// A FixedSplit limits each host to its own share of an account and never
// lends. Lending by a Limiter is measured against it.
type FixedSplit struct {
	// Now reads the clock; set before first use.
	Now func() time.Time

	mu      sync.Mutex
	clock   clock
	buckets map[string]*bucket
}

// Configure sets an account's rate and burst over all hosts and the number of
// hosts. The bucket starts full. That keeps the limit only if all hosts start
// together.
func (f *FixedSplit) Configure(account string, rate, burst float64, hosts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.instant(f.Now, 1)
	if f.buckets == nil {
		f.buckets = map[string]*bucket{}
	}
	b := newBucket(now)
	b.setOwned(portion{AmountOf(rate) / Amount(hosts), AmountOf(burst) / Amount(hosts)}, now)
	b.tokens = float64(b.owned.capacity)
	f.buckets[account] = b
}

// Take spends a token of the host's share of the account. It returns false if
// there is none or the account is not configured.
func (f *FixedSplit) Take(account string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.buckets[account]
	if b == nil {
		return false
	}
	b.advance(f.clock.instant(f.Now, 1))
	return b.spend(OneToken)
}

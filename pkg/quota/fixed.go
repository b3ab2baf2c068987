package quota

import (
	"sync"
	"time"
)

// A FixedSplit gives each host its share of an account and never lends. It
// is the plain alternative that lending is measured against.
type FixedSplit struct {
	// Now reads the clock; set before first use.
	Now func() time.Time

	mu      sync.Mutex
	clock   clock
	buckets map[string]*book
}

// Configure sets an account's rate and burst over all hosts and the number of
// hosts. The bucket starts full, which only a fleet that starts as a whole
// may do.
func (f *FixedSplit) Configure(account string, rate, burst float64, hosts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.instant(f.Now, 1)
	if f.buckets == nil {
		f.buckets = map[string]*book{}
	}
	b := newBook(now)
	b.setOwn(volume{AmountOf(rate) / Amount(hosts), AmountOf(burst) / Amount(hosts)}, now)
	b.k = float64(b.own.c)
	f.buckets[account] = b
}

// Take spends a token of the host's share.
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

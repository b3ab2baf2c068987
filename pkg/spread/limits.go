package spread

import (
	"sync"
	"time"
)

// A Budget limits a node's reads at the source. The source serves a fixed
// number of reads over all nodes, so no node may retry freely.
type ReadBudget struct {
	// Rate is in reads per second, Burst in reads.
	ReadsPerSecond, BurstReads float64

	tokens     float64
	refilledAt time.Time
}

// NewBudget returns the budget of one node: 4 reads a second, burst 8.
func NewReadBudget() *ReadBudget { return &ReadBudget{ReadsPerSecond: 4, BurstReads: 8} }

// Take uses one read, if one is left.
func (b *ReadBudget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Next is the time at which Take will succeed.
func (b *ReadBudget) NextAt(now time.Time) time.Time {
	b.refill(now)
	if b.tokens >= 1 {
		return now
	}
	return now.Add(time.Duration((1 - b.tokens) / b.ReadsPerSecond * float64(time.Second)))
}

func (b *ReadBudget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.tokens, b.refilledAt = b.BurstReads, now
		return
	}
	if d := now.Sub(b.refilledAt); d > 0 {
		b.tokens = min(b.BurstReads, b.tokens+d.Seconds()*b.ReadsPerSecond)
		b.refilledAt = now
	}
}

// BulkSize is the reply size, in bytes, from which Admission counts a reply.
const MaxSmallReplyBytes = 64 << 10

// bulkLimit keeps a node that many others pull from within its share of the
// processor and the network.
const maxBulkReplies = 2

// An Admission limits the bulk replies that a node sends at once.
type BulkReplyLimiter struct {
	mu      sync.Mutex
	running int
}

// Begin admits a reply of the given size. An admitted reply must be ended with
// the same size.
func (a *BulkReplyLimiter) Begin(size int) bool {
	if size <= MaxSmallReplyBytes {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running >= maxBulkReplies {
		return false
	}
	a.running++
	return true
}

// End ends an admitted reply.
func (a *BulkReplyLimiter) End(size int) {
	if size <= MaxSmallReplyBytes {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
}

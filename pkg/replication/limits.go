package replication

import (
	"sync"
	"time"
)

// A ReadBudget is a token bucket that limits a node's reads at the source. The
// source serves a fixed number of reads per second over all nodes, so no node
// may retry without limit. It is not safe for concurrent use.
type ReadBudget struct {
	// ReadsPerSecond refills the bucket; BurstReads is its capacity.
	ReadsPerSecond, BurstReads float64

	tokens     float64
	refilledAt time.Time
}

// NewReadBudget returns the budget of one node: 4 reads per second with bursts
// of 8.
func NewReadBudget() *ReadBudget { return &ReadBudget{ReadsPerSecond: 4, BurstReads: 8} }

// Take uses one read and returns true, or returns false if none is left.
func (b *ReadBudget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NextAt returns the earliest time at which Take succeeds.
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

// MaxSmallReplyBytes is the payload size up to which a BulkReplyLimiter does not
// limit replies.
const MaxSmallReplyBytes = 64 << 10

// maxBulkReplies keeps a node that many peers pull from within its share of the
// processor and the network.
const maxBulkReplies = 2

// A BulkReplyLimiter limits how many replies over MaxSmallReplyBytes a node
// sends at the same time.
type BulkReplyLimiter struct {
	mu      sync.Mutex
	running int
}

// Begin reports whether a reply with size payload bytes may be sent. If it may,
// End must be called with the same size afterwards.
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

// End releases a reply that Begin admitted.
func (a *BulkReplyLimiter) End(size int) {
	if size <= MaxSmallReplyBytes {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
}

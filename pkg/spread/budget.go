package spread

import (
	"sync"
	"time"
)

// A Budget limits a node's reads at the source. The source serves a fixed
// number of reads over all nodes, so no node may retry freely.
type Budget struct {
	// Rate is in reads per second, Burst in reads.
	Rate, Burst float64

	tokens float64
	last   time.Time
}

// NewBudget returns the budget of one node: 4 reads a second, burst 8.
func NewBudget() *Budget { return &Budget{Rate: 4, Burst: 8} }

// Take uses one read, if one is left.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Next is the time at which Take will succeed.
func (b *Budget) Next(now time.Time) time.Time {
	b.refill(now)
	if b.tokens >= 1 {
		return now
	}
	return now.Add(time.Duration((1 - b.tokens) / b.Rate * float64(time.Second)))
}

func (b *Budget) refill(now time.Time) {
	if b.last.IsZero() {
		b.tokens, b.last = b.Burst, now
		return
	}
	if d := now.Sub(b.last); d > 0 {
		b.tokens = min(b.Burst, b.tokens+d.Seconds()*b.Rate)
		b.last = now
	}
}

// BulkSize is the reply size, in bytes, from which Admission counts a reply.
const BulkSize = 64 << 10

// bulkLimit keeps a node that many others pull from within its share of the
// processor and the network.
const bulkLimit = 2

// An Admission limits the bulk replies that a node sends at once.
type Admission struct {
	mu      sync.Mutex
	running int
}

// Begin admits a reply of the given size. An admitted reply must be ended with
// the same size.
func (a *Admission) Begin(size int) bool {
	if size <= BulkSize {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running >= bulkLimit {
		return false
	}
	a.running++
	return true
}

// End ends an admitted reply.
func (a *Admission) End(size int) {
	if size <= BulkSize {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
}

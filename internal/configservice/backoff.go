package configservice

import (
	"math/rand/v2"
	"time"
)

// A Backoff draws growing, jittered waits, so that the nodes of a fleet do not
// return to a recovered service all at once.
type Backoff struct {
	// First is the mean of the first wait; Max bounds the mean of later ones.
	First, Max time.Duration
	Rand       *rand.Rand

	next time.Duration
}

// Wait returns the next wait, between half and one and a half times the mean.
func (b *Backoff) Wait() time.Duration {
	d := max(b.next, b.First)
	b.next = min(b.Max, 2*d)
	return d/2 + time.Duration(b.Rand.Int64N(int64(d)))
}

// Reset returns to the first wait after a success.
func (b *Backoff) Reset() { b.next = 0 }

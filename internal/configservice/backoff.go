package configservice

import (
	"math/rand/v2"
	"time"
)

// A Backoff returns growing random waits, so that the nodes of a fleet do not all
// read at once when the service recovers.
type Backoff struct {
	// First is the mean of the first wait. The mean doubles with each wait up to
	// Max.
	First, Max time.Duration
	// Rand draws the waits.
	Rand *rand.Rand

	nextMean time.Duration // mean of the next wait; 0 means First
}

// Wait returns the next wait, between 1/2 and 3/2 of its mean.
func (b *Backoff) Wait() time.Duration {
	d := max(b.nextMean, b.First)
	b.nextMean = min(b.Max, 2*d)
	return d/2 + time.Duration(b.Rand.Int64N(int64(d)))
}

// Reset makes the next wait the first one again. It is called after a success.
func (b *Backoff) Reset() { b.nextMean = 0 }

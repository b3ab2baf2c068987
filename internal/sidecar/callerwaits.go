package sidecar

import (
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
)

const (
	// returnedShare is the part of the usual time limit that a caller must be
	// below for its request to count as a further try.
	minWaitedShare = 0.05
	// usualDecay is how much of the usual limit is forgotten with each request
	// that states less, so that callers may come to state less in general.
	usualTimeoutDecay = 1.0 / 4096
)

// A waits tells how long callers have waited before the request at hand.
// Callers state the time that they have left; one that was refused and comes
// again states less than the usual of its route.
type callerWaits struct {
	mu           sync.Mutex
	usualTimeout map[string]time.Duration
}

// before returns how long the caller of a route with so much time left has
// waited already.
func (w *callerWaits) waitedBefore(r *config.Route, left time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.usualTimeout == nil {
		w.usualTimeout = map[string]time.Duration{}
	}
	key := r.VirtualHost + r.Prefix
	usualTimeout := w.usualTimeout[key]
	if left >= usualTimeout {
		w.usualTimeout[key] = left
		return 0
	}
	w.usualTimeout[key] = usualTimeout - time.Duration(usualTimeoutDecay*float64(usualTimeout-left))
	if d := usualTimeout - left; d > time.Duration(minWaitedShare*float64(usualTimeout)) {
		return d
	}
	return 0
}

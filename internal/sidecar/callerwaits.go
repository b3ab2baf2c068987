package sidecar

import (
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
)

const (
	// minWaitedShare is the fraction of the usual timeout that a caller must have
	// used up for its request to count as a further try.
	minWaitedShare = 0.05
	// usualTimeoutDecay is the fraction of the difference to the usual timeout
	// that each request with a shorter one removes. So the usual timeout follows
	// when callers begin to state less in general.
	usualTimeoutDecay = 1.0 / 4096
)

// callerWaits estimates how long callers have waited before the current request.
// Callers state the time that they have left; a caller that was refused and tries
// again states less than is usual for the route.
type callerWaits struct {
	mu           sync.Mutex
	usualTimeout map[string]time.Duration
}

// waitedBefore returns how long a caller of the route with this much time left
// has waited already.
func (w *callerWaits) waitedBefore(r *config.Route, left time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.usualTimeout == nil {
		w.usualTimeout = map[string]time.Duration{}
	}
	key := r.Key()
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

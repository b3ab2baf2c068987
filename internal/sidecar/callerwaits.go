package sidecar

import (
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
)

const (
	// returnedShare is the part of the usual time limit that a caller must be
	// below for its request to count as a further try.
	returnedShare = 0.05
	// usualDecay is how much of the usual limit is forgotten with each request
	// that states less, so that callers may come to state less in general.
	usualDecay = 1.0 / 4096
)

// A waits tells how long callers have waited before the request at hand.
// Callers state the time that they have left; one that was refused and comes
// again states less than the usual of its route.
type waits struct {
	mu    sync.Mutex
	usual map[string]time.Duration
}

// before returns how long the caller of a route with so much time left has
// waited already.
func (w *waits) before(r *config.Route, left time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.usual == nil {
		w.usual = map[string]time.Duration{}
	}
	key := r.VirtualHost + r.Prefix
	usual := w.usual[key]
	if left >= usual {
		w.usual[key] = left
		return 0
	}
	w.usual[key] = usual - time.Duration(usualDecay*float64(usual-left))
	if d := usual - left; d > time.Duration(returnedShare*float64(usual)) {
		return d
	}
	return 0
}

package http1

import (
	"sync"
	"time"
)

// A Set holds a Pool for each peer. Open is set before first use. It is safe
// for concurrent use.
type PoolMap[K comparable] struct {
	// Open makes the pool of a peer that has none.
	NewPool func(peer K) *Pool

	mu    sync.Mutex
	pools map[K]*Pool
}

// Pool returns the pool of a peer.
func (s *PoolMap[K]) Pool(peer K) *Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[peer]
	if p == nil {
		if s.pools == nil {
			s.pools = map[K]*Pool{}
		}
		p = s.NewPool(peer)
		s.pools[peer] = p
	}
	return p
}

// Sweep closes connections that are dead or were idle since before the given
// time; pools without any are forgotten.
func (s *PoolMap[K]) Sweep(before time.Time) {
	for k, p := range s.all() {
		p.Sweep(before)
		if p.OpenConnections() == 0 {
			s.mu.Lock()
			delete(s.pools, k)
			s.mu.Unlock()
		}
	}
}

// Close closes all idle connections; connections that are busy close with
// their exchange.
func (s *PoolMap[K]) Close() {
	for _, p := range s.all() {
		p.Close()
	}
}

func (s *PoolMap[K]) all() map[K]*Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pools := make(map[K]*Pool, len(s.pools))
	for k, p := range s.pools {
		pools[k] = p
	}
	return pools
}

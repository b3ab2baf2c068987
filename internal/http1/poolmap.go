package http1

import (
	"sync"
	"time"
)

// A PoolMap holds a Pool for each peer. NewPool must be set before first use. It
// is safe for concurrent use.
type PoolMap[K comparable] struct {
	// NewPool creates the pool of a peer.
	NewPool func(peer K) *Pool

	mu    sync.Mutex
	pools map[K]*Pool
}

// Pool returns the pool of a peer and creates it if there is none.
func (m *PoolMap[K]) Pool(peer K) *Pool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[peer]
	if p == nil {
		if m.pools == nil {
			m.pools = map[K]*Pool{}
		}
		p = m.NewPool(peer)
		m.pools[peer] = p
	}
	return p
}

// Sweep calls Pool.Sweep on all pools and removes pools without connections.
func (m *PoolMap[K]) Sweep(idleBefore time.Time) {
	for k, p := range m.copyOfPools() {
		p.Sweep(idleBefore)
		if p.OpenConnections() == 0 {
			m.mu.Lock()
			delete(m.pools, k)
			m.mu.Unlock()
		}
	}
}

// Close closes all pools.
func (m *PoolMap[K]) Close() {
	for _, p := range m.copyOfPools() {
		p.Close()
	}
}

func (m *PoolMap[K]) copyOfPools() map[K]*Pool {
	m.mu.Lock()
	defer m.mu.Unlock()
	pools := make(map[K]*Pool, len(m.pools))
	for k, p := range m.pools {
		pools[k] = p
	}
	return pools
}

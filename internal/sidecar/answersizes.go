package sidecar

import (
	"sync"

	"quetzaldock.example/quetzaldock/pkg/config"
)

const (
	// crossingBytes is the size of an answer whose way to another zone counts
	// as much as one more running time: bytes between zones are paid for.
	crossingBytes = 12 << 10
	// crossingLeast is the cost of crossing for the smallest answer.
	crossingLeast = 0.4
	// sizeWeight is the weight of a new answer in the average of its route.
	sizeWeight = 1.0 / 16
)

// A sizes holds the usual size of each route's answers.
type sizes struct {
	mu    sync.Mutex
	usual map[string]float64
}

// observe records the size of one answer in bytes.
func (s *sizes) observe(r *config.Route, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.usual == nil {
		s.usual = map[string]float64{}
	}
	key := r.VirtualHost + r.Prefix
	u, ok := s.usual[key]
	if !ok {
		u = float64(bytes)
	}
	s.usual[key] = u + sizeWeight*(float64(bytes)-u)
}

// crossing returns what it costs to have a request of the route answered from
// another zone, in usual running times.
func (s *sizes) crossing(r *config.Route) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return crossingLeast + s.usual[r.VirtualHost+r.Prefix]/crossingBytes
}

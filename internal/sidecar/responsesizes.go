package sidecar

import (
	"sync"

	"quetzaldock.example/quetzaldock/pkg/config"
)

const (
	// crossZoneBytesPerLatency is the response size whose transfer between zones
	// costs as much as one more typical latency. Bytes between zones are paid
	// for.
	crossZoneBytesPerLatency = 12 << 10
	// minCrossZoneCost is the cost of the smallest response, in units of the
	// typical latency.
	minCrossZoneCost = 0.4
	// newSizeWeight is the weight of a new response in a route's moving average.
	newSizeWeight = 1.0 / 16
)

// responseSizes tracks the average response size of each route.
type responseSizes struct {
	mu           sync.Mutex
	averageBytes map[string]float64
}

// record adds the size of one response, in bytes.
func (s *responseSizes) record(r *config.Route, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.averageBytes == nil {
		s.averageBytes = map[string]float64{}
	}
	key := r.Key()
	average, ok := s.averageBytes[key]
	if !ok {
		average = float64(bytes)
	}
	s.averageBytes[key] = average + newSizeWeight*(float64(bytes)-average)
}

// crossZoneCost returns the additional cost of having a request of the route
// answered from another zone, in units of the typical latency.
func (s *responseSizes) crossZoneCost(r *config.Route) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return minCrossZoneCost + s.averageBytes[r.Key()]/crossZoneBytesPerLatency
}

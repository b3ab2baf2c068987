package sidecar

import (
	"sync"

	"quetzaldock.example/quetzaldock/pkg/config"
)

const (
	// crossingBytes is the size of an answer whose way to another zone counts
	// as much as one more running time: bytes between zones are paid for.
	crossingBytesPerRuntime = 12 << 10
	// crossingLeast is the cost of crossing for the smallest answer.
	minCrossingCost = 0.4
	// sizeWeight is the weight of a new answer in the average of its route.
	newSizeWeight = 1.0 / 16
)

// A sizes holds the usual size of each route's answers.
type answerSizes struct {
	mu           sync.Mutex
	averageBytes map[string]float64
}

// observe records the size of one answer in bytes.
func (s *answerSizes) record(r *config.Route, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.averageBytes == nil {
		s.averageBytes = map[string]float64{}
	}
	key := r.VirtualHost + r.Prefix
	average, ok := s.averageBytes[key]
	if !ok {
		average = float64(bytes)
	}
	s.averageBytes[key] = average + newSizeWeight*(float64(bytes)-average)
}

// crossing returns what it costs to have a request of the route answered from
// another zone, in usual running times.
func (s *answerSizes) crossingCost(r *config.Route) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return minCrossingCost + s.averageBytes[r.VirtualHost+r.Prefix]/crossingBytesPerRuntime
}

package sidecar

import (
	"math"
	"math/rand/v2"
	"sync"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// goldenRatioStep is the step of a sequence of points that are spread evenly over
// 0 to 1: each new point falls into one of the largest gaps.
var goldenRatioStep = math.Phi - 1

// A routeSplitter divides the requests of each route among the route's services
// by weight. The choice does not depend on load: requests that a service cannot
// take are refused, not moved to another service.
type routeSplitter struct {
	mu     sync.Mutex
	points map[string]float64
}

// pick returns the service for the next request of the route.
func (s *routeSplitter) pick(r *config.Route) string {
	if len(r.Splits) == 0 {
		return r.Service
	}
	total := 0
	for _, t := range r.Splits {
		total += t.Weight
	}
	at := s.nextPoint(r.Key()) * float64(total)
	for _, t := range r.Splits {
		if at -= float64(t.Weight); at < 0 {
			return t.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}

// nextPoint returns the next point of the route's sequence, from 0 to 1.
func (s *routeSplitter) nextPoint(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.points == nil {
		s.points = map[string]float64{}
	}
	p, ok := s.points[route]
	if !ok {
		p = rand.Float64()
	}
	_, p = math.Modf(p + goldenRatioStep)
	s.points[route] = p
	return p
}

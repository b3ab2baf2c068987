package sidecar

import (
	"sync"

	"quetzaldock.example/quetzaldock/pkg/config"
)

const (
	// crossZoneBytesPerLatency is the number of bytes whose transfer between zones
	// costs as much as one more typical latency. Bytes between zones are paid for.
	crossZoneBytesPerLatency = 12 << 10
	// minCrossZoneCost is the cost of the smallest request and response, in units of
	// the typical latency.
	minCrossZoneCost = 0.4
	// newSizeWeight is the weight of a new request in a moving average.
	newSizeWeight = 1.0 / 16
	// nestedByteShare is the part of the bytes of nested requests that counts. They
	// start in the zone where the request runs and stay there while it has room for
	// them, which this node cannot know.
	nestedByteShare = 0.5
	// maxNestedLevels bounds how many levels of nested requests count.
	maxNestedLevels = 8
)

// responseSizes tracks the average sizes of requests and responses.
type responseSizes struct {
	mu sync.Mutex
	// requestBytes and responseBytes are keyed by route, serviceBytes holds the sum
	// of both by service.
	requestBytes, responseBytes, serviceBytes averages
}

// averages holds moving averages.
type averages map[string]float64

func (a *averages) add(key string, value float64) {
	if *a == nil {
		*a = averages{}
	}
	old, ok := (*a)[key]
	if !ok {
		old = value
	}
	(*a)[key] = old + newSizeWeight*(value-old)
}

// record adds the sizes of one request to a service and its response, in bytes.
// Negative sizes are unknown.
func (s *responseSizes) record(r *config.Route, service string, request, response int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request >= 0 {
		s.requestBytes.add(r.Key(), float64(request))
	}
	if response >= 0 {
		s.responseBytes.add(r.Key(), float64(response))
		s.serviceBytes.add(service, float64(max(0, request)+response))
	}
}

// crossZoneCost returns the additional cost of having a request of the route with a body
// of the given size run by a service in another zone, in units of the typical latency.
// A negative size is unknown. calls tells which nested requests follow.
func (s *responseSizes) crossZoneCost(r *config.Route, service string, request int64, calls *callGraph) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	bytes := float64(request)
	if request < 0 {
		bytes = s.requestBytes[r.Key()]
	}
	bytes += s.responseBytes[r.Key()] + nestedByteShare*s.nestedBytes(service, calls)
	return minCrossZoneCost + bytes/crossZoneBytesPerLatency
}

// crossZoneResponseCost is crossZoneCost for the response alone.
func (s *responseSizes) crossZoneResponseCost(r *config.Route) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return minCrossZoneCost + s.responseBytes[r.Key()]/crossZoneBytesPerLatency
}

// nestedBytes returns the expected bytes of the nested requests of one run of a service,
// and of their responses.
func (s *responseSizes) nestedBytes(service string, calls *callGraph) float64 {
	sum := 0.0
	runs := map[string]float64{service: 1}
	for range maxNestedLevels {
		nested := map[string]float64{}
		for caller, n := range runs {
			for callee, perRun := range calls.callsOf(caller) {
				nested[callee] += n * perRun
				sum += n * perRun * s.serviceBytes[callee]
			}
		}
		if len(nested) == 0 {
			break
		}
		runs = nested
	}
	return sum
}

package balance

import (
	"math"
	"slices"
	"time"
)

const (
	// queuedLoadCost is the cost per unit of load beyond queueingLoad, where
	// calls start to wait for running ones. Costs are in units of the typical
	// latency.
	queuedLoadCost = 3
	queueingLoad   = 0.9
	// fullHostCost is added for a host without a free permit, however quick it
	// is: its admission control refuses the call or queues it.
	fullHostCost = 2
	// untriedLatencyRatio is assumed for a host that has not answered yet, so that it
	// is tried.
	untriedLatencyRatio = 0.5
	// maxLatencyRatio bounds the effect of a host's latency.
	maxLatencyRatio = 16
	// excessLatencyHalfLife is the time after which an observed latency above
	// the typical one counts half, so that a slow host is tried again.
	excessLatencyHalfLife = 1500 * time.Millisecond
	// minCallsForAge is the number of calls in flight from which their mean age
	// is used.
	minCallsForAge = 2
	// latencyPerAge is the ratio of latency to the mean age of calls in flight:
	// calls of equal length are halfway through on average.
	latencyPerAge = 2
)

// cost estimates how long a call takes at a load in calls per permit. The result
// is in units of the typical latency.
func (h *hostState) cost(load float64, typical time.Duration, now time.Time) float64 {
	total := h.latencyRatio(typical, now) * (1 + load*load/2 + queuedLoadCost*max(0, load-queueingLoad))
	if load >= 1 {
		total += fullHostCost
	}
	return total
}

// latencyRatio returns how much longer than typical a call takes at the host, beyond
// what hosts differ by. Observed ratios up to maxPaceRatio do not count: slower hosts of
// a service carry the same load with fewer calls. The age of calls in flight counts at
// once, since it may be the only sign of a host that stands still.
func (h *hostState) latencyRatio(typical time.Duration, now time.Time) float64 {
	switch {
	case h.untried():
		return untriedLatencyRatio
	case h.latency == 0 || typical == 0:
		return 1
	}
	ratio := float64(h.decayedLatency(typical, now)) / float64(typical) / maxPaceRatio
	fromAge := float64(h.latencyFromAge(now)) / float64(typical)
	return min(max(ratio, fromAge, 1), maxLatencyRatio)
}

// untried reports whether the host was added after the first list of targets and
// has not answered this node yet. Such a host is tried in any zone.
func (h *hostState) untried() bool { return h.joinedLater && h.latency == 0 }

// decayedLatency returns the host's latency. An excess over the typical latency
// decays with the time since the last observation.
func (h *hostState) decayedLatency(typical time.Duration, now time.Time) time.Duration {
	if h.latency <= typical {
		return h.latency
	}
	remaining := math.Exp2(-float64(now.Sub(h.observedAt)) / float64(excessLatencyHalfLife))
	return typical + time.Duration(remaining*float64(h.latency-typical))
}

// latencyFromAge estimates the host's latency from the mean age of the calls in
// flight. It reveals a host that stopped answering before any of its calls ends.
func (h *hostState) latencyFromAge(now time.Time) time.Duration {
	if h.inFlight < minCallsForAge || h.meanStart.IsZero() {
		return 0
	}
	return latencyPerAge * now.Sub(h.meanStart)
}

// TypicalLatency returns the median latency of a service's hosts; zero if none
// has answered.
func (c *Chooser) TypicalLatency(service string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return medianLatency(c.byService[service])
}

// medianLatency returns the lower median latency of the hosts that have answered.
// With a mean, slow hosts would count as typical where many are slow.
func medianLatency(all []*hostState) time.Duration {
	known := make([]time.Duration, 0, len(all))
	for _, h := range all {
		if h.latency > 0 {
			known = append(known, h.latency)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// newLatencyWeight is the weight of a new latency in a host's moving average.
const newLatencyWeight = 1.0 / 10

// ObserveLatency records how long the host took for a successful answer.
func (c *Chooser) ObserveLatency(id string, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[id]
	if h == nil {
		return
	}
	h.observedAt = c.Now()
	switch {
	case h.latency == 0:
		h.latency = latency
	default:
		h.latency += time.Duration(newLatencyWeight * float64(latency-h.latency))
	}
}

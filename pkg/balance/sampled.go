package balance

import (
	"time"
)

// minLatencyRatio keeps a few quick answers from attracting all calls, see sampledCost.
const minLatencyRatio = 0.5

// SetEvenLoad sets whether hosts of all services are chosen for even load.
func (c *Chooser) SetEvenLoad(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evenLoad = on
}

// choosesEvenly reports whether hosts of a service are chosen for even load. The caller
// holds the mutex.
func (c *Chooser) choosesEvenly(service string) bool {
	return !c.EvenWithPaceOnly || c.evenLoad || c.statesPace[service]
}

// ChoosesEvenly reports whether hosts of a service are chosen for even load.
func (c *Chooser) ChoosesEvenly(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.choosesEvenly(service)
}

// recordPace notes that a host of the service has reported its pace.
func (c *Chooser) recordPace(service string, l Load) {
	if (l.PaceStated || l.Pace > 0) && !c.statesPace[service] {
		if c.statesPace == nil {
			c.statesPace = map[string]bool{}
		}
		c.statesPace[service] = true
	}
}

// chooseSampled returns the cheapest host of a random sample of each zone, or of all hosts
// if that is full, and its load in calls per permit. It is the choice for services whose
// hosts do not report their pace.
func (c *Chooser) chooseSampled(all []*hostState, crossZoneCost float64, now time.Time) (*hostState, float64) {
	typical := medianLatency(all)
	candidates := append(c.uniformSample(c.inZone(all)), c.uniformSample(c.outsideZone(all))...)
	best, load := c.cheapestSampled(candidates, typical, crossZoneCost, now)
	if load >= 1 && len(candidates) < len(all) {
		best, load = c.cheapestSampled(all, typical, crossZoneCost, now)
	}
	return best, load
}

// uniformSample returns sampleSize random hosts, or all if there are no more.
func (c *Chooser) uniformSample(all []*hostState) []*hostState {
	if len(all) <= sampleSize {
		return all
	}
	chosen := make([]*hostState, 0, sampleSize)
	for _, i := range c.Rand.Perm(len(all))[:sampleSize] {
		chosen = append(chosen, all[i])
	}
	return chosen
}

// cheapestSampled returns the host with the lowest cost and its load in calls per permit.
// Ties are broken at random. crossZoneCost is added for hosts of other zones.
func (c *Chooser) cheapestSampled(all []*hostState, typical time.Duration, crossZoneCost float64, now time.Time) (*hostState, float64) {
	var best *hostState
	var cost, load float64
	for _, i := range c.Rand.Perm(len(all)) {
		h := all[i]
		hostLoad := h.estimatedCalls(now) / h.permits()
		hostCost := h.sampledCost(hostLoad, typical, now)
		if h.Zone != c.Zone && !h.untried() {
			hostCost += crossZoneCost
		}
		if best == nil || hostCost < cost {
			best, cost, load = h, hostCost, hostLoad
		}
	}
	return best, load
}

// sampledCost estimates how long a call takes at a load in calls per permit. Unlike cost it
// counts each difference of latency. The result is in units of the typical latency.
func (h *hostState) sampledCost(load float64, typical time.Duration, now time.Time) float64 {
	latencyRatio := 1.0
	if h.untried() {
		latencyRatio = minLatencyRatio
	}
	if h.latency > 0 && typical > 0 {
		observed := max(h.decayedLatency(typical, now), h.latencyFromAge(now))
		latencyRatio = min(max(float64(observed)/float64(typical), minLatencyRatio), maxLatencyRatio)
	}
	total := latencyRatio * (1 + load*load/2 + queuedLoadCost*max(0, load-queueingLoad))
	if load >= 1 {
		total += fullHostCost
	}
	return total
}

// nextSampled is Next for services whose hosts do not report their pace.
func (c *Chooser) nextSampled(s *Search) (to Target, wait, ok bool) {
	if len(s.busy) < maxSlotTries {
		to, full, ok := c.PickWithZoneCost(s.Service, s.tried, s.CrossZoneCost)
		near := s.shortestWait(c.Zone, 0, func(t *Target) bool { return t.Zone == c.Zone })
		if ok && near >= 0 && to.Zone != c.Zone && c.worthWaiting(s, near) {
			return s.queueAt(near), true, true
		}
		if ok && (!full || s.queueTries < maxQueueTries) {
			if full {
				s.queueTries++
			}
			s.tried = append(s.tried, to.ID)
			return to, full, true
		}
	}
	if len(s.busy) == 0 || s.queueTries >= maxQueueTries {
		return to, false, false
	}
	return s.queueAt(s.shortestWait(c.Zone, 0, func(*Target) bool { return true })), true, true
}

// worthWaiting reports whether waiting at a busy host of the own zone costs less than a
// response from another zone.
func (c *Chooser) worthWaiting(s *Search, index int) bool {
	return s.queueTries < maxQueueTries && s.busy[index].wait.Seconds() < s.CrossZoneCost*c.TypicalLatency(s.Service).Seconds()
}

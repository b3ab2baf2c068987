package balance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxSlotTries is the number of hosts asked for a free slot before one is asked
	// for a place in its queue. Each try takes about 2 ms.
	maxSlotTries = 3
	// maxQueueTries is the number of hosts asked for a place in their queue, shortest
	// expected wait first.
	maxQueueTries = 2
	// maxEstimateCost is the cost of a call in another zone up to which estimates of
	// the load decide. A more expensive call first asks a host of the own zone, and
	// then goes by the wait that this expects.
	maxEstimateCost = 3
	// maxObjectiveShare is the part of the time left to a call's objective that it may
	// wait in the own zone: expected waits are rough.
	maxObjectiveShare = 0.5
)

// A Search is the search for a host with room for one call. A host that refuses the
// call for lack of room is reported with AddBusy. It is not safe for concurrent use.
type Search struct {
	Service string
	// CrossZoneCost is that of Chooser.PickWithZoneCost.
	CrossZoneCost float64
	// Objective is the time by which the call should be answered; zero if there is
	// none.
	Objective time.Time
	// tried holds the IDs of the hosts asked so far. Only those in busy are asked again.
	tried []string
	busy  []busyHost
	// queueTries counts the hosts asked for a place in their queue.
	queueTries int
	// crossed is set once a host of another zone was asked.
	crossed bool
}

// A busyHost has refused the call without waiting. wait is the wait that it expects.
type busyHost struct {
	target Target
	wait   time.Duration
}

// AddBusy records that a host refused the call for lack of a free slot or because it is
// slow, and the wait that it expects.
func (s *Search) AddBusy(t Target, wait time.Duration) { s.busy = append(s.busy, busyHost{t, wait}) }

// Next returns the next host to ask, and whether the call may wait there. A host that is
// known to be full is asked for a place in its queue at once. A call is sent to another
// zone if no host of the own zone has room for it, or only after a wait that is longer
// than the transfer is worth and the objective allows.
func (c *Chooser) Next(s *Search) (to Target, wait, ok bool) {
	if !c.ChoosesEvenly(s.Service) {
		return c.nextSampled(s)
	}
	near := s.shortestWait(c.Zone, 0, func(t *Target) bool { return t.Zone == c.Zone })
	waitNear := near >= 0 && s.queueTries < maxQueueTries && s.busy[near].wait <= c.allowedWait(s)
	if len(s.busy) < maxSlotTries {
		cost := s.CrossZoneCost
		if len(s.busy) > 0 {
			cost = min(cost, maxEstimateCost)
		}
		to, full, ok := c.PickWithZoneCost(s.Service, s.tried, cost)
		if len(s.busy) == 0 && cost > maxEstimateCost {
			// The refusal tells the wait.
			full = false
		}
		if ok && to.Zone != c.Zone && waitNear {
			return s.queueAt(near), true, true
		}
		if ok && (!full || s.queueTries < maxQueueTries) {
			if full {
				s.queueTries++
			}
			s.crossed = s.crossed || to.Zone != c.Zone
			s.tried = append(s.tried, to.ID)
			return to, full, true
		}
	}
	if !waitNear && !s.crossed {
		s.crossed = true
		if to, ok := c.pickOutsideZone(s); ok {
			s.tried = append(s.tried, to.ID)
			return to, false, true
		}
	}
	if len(s.busy) == 0 || s.queueTries >= maxQueueTries {
		return to, false, false
	}
	crossZoneWait := time.Duration(s.CrossZoneCost * float64(c.latencyOf(s.Service)))
	all := func(*Target) bool { return true }
	return s.queueAt(s.shortestWait(c.Zone, crossZoneWait, all)), true, true
}

// allowedWait returns the wait up to which a queue in the own zone is preferred to another
// zone.
func (c *Chooser) allowedWait(s *Search) time.Duration {
	typical := c.latencyOf(s.Service)
	wait := time.Duration(s.CrossZoneCost * float64(typical))
	if s.Objective.IsZero() {
		return wait
	}
	left := s.Objective.Sub(c.Now()) - typical
	return min(wait+typical, max(0, time.Duration(maxObjectiveShare*float64(left))))
}

// latencyOf returns the typical latency of a service, or an assumed one.
func (c *Chooser) latencyOf(service string) time.Duration {
	return cmp.Or(c.TypicalLatency(service), defaultLatency)
}

// pickOutsideZone returns a host of another zone that seems to have a free slot.
func (c *Chooser) pickOutsideZone(s *Search) (Target, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	far := c.outsideZone(c.eligible(s.Service, s.tried, now))
	if len(far) == 0 || c.onlyFailing(far, s.tried, now) {
		return Target{}, false
	}
	best, load := c.choose(far, now)
	return best.Target, load < 1
}

// CanQueueAgain reports whether one more host can be asked for a place in its queue.
func (c *Chooser) CanQueueAgain(s *Search) bool {
	return s.queueTries < maxQueueTries && (len(s.busy) > 0 || c.CanContinue(s))
}

// CanContinue reports whether there is a host that the call was not sent to.
func (c *Chooser) CanContinue(s *Search) bool {
	_, _, ok := c.PickWithZoneCost(s.Service, s.tried, s.CrossZoneCost)
	return ok
}

// shortestWait returns the index of the busy host with the shortest wait among those that
// fit, or a negative number if there is none. crossZoneWait is added to the waits in other
// zones.
func (s *Search) shortestWait(zone string, crossZoneWait time.Duration, fits func(*Target) bool) int {
	found, shortest := -1, time.Duration(0)
	for i := range s.busy {
		b := &s.busy[i]
		wait := b.wait
		if b.target.Zone != zone {
			wait += crossZoneWait
		}
		if fits(&b.target) && (found < 0 || wait < shortest) {
			found, shortest = i, wait
		}
	}
	return found
}

// queueAt removes a busy host from the list to ask it for a place in its queue.
func (s *Search) queueAt(index int) Target {
	s.queueTries++
	to := s.busy[index].target
	s.busy = slices.Delete(s.busy, index, index+1)
	return to
}

package balance

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// ExplainedPicks is the number of choices from which Explain estimates how often each
// host is picked first. With 200 the standard error of a share is at most 0.036. For 91
// hosts Explain takes 3 ms of a core, outside of the lock but for the copy.
const ExplainedPicks = 200

// An Explanation says how PickWithZoneCost would choose a host of a service.
type Explanation struct {
	// Typical is the typical latency that latencies are compared with; zero if no host
	// has answered.
	Typical time.Duration
	// ZoneLoads holds the estimated load of the hosts of each zone that are considered,
	// in calls per permit.
	ZoneLoads map[string]float64
	// Hosts lists the considered hosts in the order in which they would be tried if each
	// choice compared all of them and learned nothing from the tries before, then the
	// others by ID. PickWithZoneCost compares random samples.
	Hosts []HostExplanation
}

// A HostExplanation says what a choice uses about one host.
type HostExplanation struct {
	HostStatus
	// Considered is set if the host can be chosen.
	Considered bool
	// FirstShare estimates how often the host is picked first, from simulated choices.
	FirstShare float64
	// EjectedUntil and NotAcceptingUntil are zero if they have passed.
	EjectedUntil, NotAcceptingUntil time.Time
	// RampShare is the probability that a host on its ramp takes part in a choice; 1 for
	// other hosts.
	RampShare float64
	// EstimatedLoad is the load that the choice counts with, in calls per permit. It
	// replaces HostStatus.Load, which does not take the other hosts into account.
	EstimatedLoad float64
	// Pace is the pace that the choice counts with, ReportedPace the one that the host
	// reported last, 0 if unknown. LatencyRatio is how much longer than typical a call
	// takes, beyond what hosts differ by.
	Pace, ReportedPace, LatencyRatio float64
	// Cost is the total estimated cost, in units of the typical latency. It includes
	// CrossZoneCost, which is 0 for hosts that are not charged for their zone, and the gain
	// of a slot that counts as free if FreeSlot is set.
	Cost, CrossZoneCost float64
	FreeSlot            bool
	// Full is set if, as far as is known, the host has no free permit.
	Full bool
}

// Explain explains the choice of a host of the service. It changes nothing: the choices
// are made on a copy of the state with a random source of its own.
func (c *Chooser) Explain(service string, crossZoneCost float64) Explanation {
	s := c.copyOf(service)
	now, all := s.Now(), s.byService[service]
	considered := explainedCandidates(all, now)
	w := newLoadSummary(considered, now)
	e := Explanation{Typical: w.typical, ZoneLoads: w.zoneLoads, Hosts: make([]HostExplanation, 0, len(all))}
	shares := s.firstShares(service, crossZoneCost)
	evenly := s.choosesEvenly(service)
	for _, h := range s.tryOrder(considered, w, crossZoneCost, evenly) {
		x := s.explainHost(h, w, crossZoneCost, evenly)
		x.Considered, x.FirstShare = true, shares[h.ID]
		e.Hosts = append(e.Hosts, x)
	}
	var others []HostExplanation
	for _, h := range all {
		if !slices.Contains(considered, h) {
			x := s.explainHost(h, w, crossZoneCost, evenly)
			x.FirstShare = shares[h.ID]
			others = append(others, x)
		}
	}
	slices.SortFunc(others, func(a, b HostExplanation) int { return cmp.Compare(a.ID, b.ID) })
	e.Hosts = append(e.Hosts, others...)
	return e
}

// copyOf returns a Chooser with a copy of the hosts of a service, whose clock stands
// still. Its random source is seeded, so that the same state is explained in the same way.
func (c *Chooser) copyOf(service string) *Chooser {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	s := &Chooser{
		Now: func() time.Time { return now }, Rand: rand.New(rand.NewPCG(1, 1)), Zone: c.Zone, MaxZoneLoad: c.MaxZoneLoad,
		EjectAfterFailures: c.EjectAfterFailures, EjectFor: c.EjectFor, MaxEjectFor: c.MaxEjectFor, MaxEjectedShare: c.MaxEjectedShare,
		RampDuration: c.RampDuration, hosts: map[string]*hostState{}, byService: map[string][]*hostState{}, hasTargets: c.hasTargets,
		EvenWithPaceOnly: c.EvenWithPaceOnly, evenLoad: c.evenLoad, statesPace: maps.Clone(c.statesPace),
	}
	for _, h := range c.byService[service] {
		// A hostState has no pointers, so the copy shares nothing.
		copied := *h
		s.hosts[h.ID] = &copied
		s.byService[service] = append(s.byService[service], &copied)
	}
	return s
}

// explainedCandidates returns the hosts that Chooser.eligible returns if every host on its
// ramp takes part.
func explainedCandidates(all []*hostState, now time.Time) []*hostState {
	var available, failing []*hostState
	for _, h := range all {
		switch {
		case h.OutOfService || h.Leaving:
		case h.isFailing(now):
			failing = append(failing, h)
		default:
			available = append(available, h)
		}
	}
	if len(available) == 0 {
		return failing
	}
	return available
}

// firstShares returns how often each host is picked first. It is called on a copy.
func (c *Chooser) firstShares(service string, crossZoneCost float64) map[string]float64 {
	shares := map[string]float64{}
	for range ExplainedPicks {
		if t, _, ok := c.PickWithZoneCost(service, nil, crossZoneCost); ok {
			shares[t.ID] += 1.0 / ExplainedPicks
		}
	}
	return shares
}

// tryOrder orders hosts by the rules of chooseAcrossZones, with all hosts in place of a
// sample, or by those of chooseSampled unless the service is chosen evenly.
func (c *Chooser) tryOrder(all []*hostState, w *loadSummary, crossZoneCost float64, evenly bool) []*hostState {
	left, order := slices.Clone(all), make([]*hostState, 0, len(all))
	for len(left) > 0 {
		best, _ := c.cheapest(left, w, crossZoneCost)
		if !evenly {
			best, _ = c.cheapestSampled(left, w.typical, crossZoneCost, w.now)
		}
		if evenly && best.Zone != c.Zone && !best.untried() {
			if local, load := c.cheapest(c.inZone(left), w, 0); local != nil && load < 1 && local.latencyRatio(w.typical, w.now) <= 1 {
				best = local
			}
		}
		order = append(order, best)
		left = slices.DeleteFunc(left, func(h *hostState) bool { return h == best })
	}
	return order
}

func (c *Chooser) explainHost(h *hostState, w *loadSummary, crossZoneCost float64, evenly bool) HostExplanation {
	load := h.loadIn(w)
	cost := h.cost(load, w.typical, w.now)
	if !evenly {
		load = h.estimatedCalls(w.now) / h.permits()
		cost = h.sampledCost(load, w.typical, w.now)
	}
	x := HostExplanation{
		HostStatus: HostStatus{Target: h.Target, InFlight: h.inFlight, Load: h.estimatedCalls(w.now) / h.permits(), Latency: h.latency, ObservedAt: h.observedAt},
		RampShare:  c.rampShare(h, w.now), EstimatedLoad: load, Full: load >= 1,
		Pace: h.paceIn(w), ReportedPace: h.reported.Pace, LatencyRatio: h.latencyRatio(w.typical, w.now),
		Cost: cost, FreeSlot: evenly && h.prefersFreeSlot(w),
	}
	if x.FreeSlot {
		x.Cost -= freeSlotGain
	}
	if h.Zone != c.Zone && !h.untried() {
		x.CrossZoneCost = crossZoneCost
		x.Cost += crossZoneCost
	}
	if w.now.Before(h.ejectedUntil) {
		x.EjectedUntil = h.ejectedUntil
	}
	if w.now.Before(h.notAcceptingUntil) {
		x.NotAcceptingUntil = h.notAcceptingUntil
	}
	return x
}

// rampShare returns the probability with which passesRamp lets the host take part.
func (c *Chooser) rampShare(h *hostState, now time.Time) float64 {
	if h.rampStart.IsZero() {
		return 1
	}
	share := float64(now.Sub(h.rampStart)) / float64(c.RampDuration)
	return min(1, max(share, minRampShare))
}

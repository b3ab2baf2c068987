package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// defaultPermits is assumed for a host that has not reported its limit: the
	// number of concurrent calls that a cold backend server can take.
	defaultPermits = 2
	// notAcceptingFor is how long a host is avoided after it refused new work.
	// By then the host list or the configuration says the same.
	notAcceptingFor = 3 * time.Second
	// loadHalfLife is the age at which a reported load of other nodes counts
	// half. Without this decay a host that was once reported full would never
	// be chosen again.
	loadHalfLife = time.Second
	// minRampShare is the probability with which a host is eligible at the
	// start of its ramp.
	minRampShare = 0.1
)

// A Chooser picks the host for each call. Its exported fields must be set
// before the first call. It is safe for concurrent use.
type Chooser struct {
	Now  func() time.Time
	Rand *rand.Rand
	// Zone is the availability zone of this node.
	Zone string
	// MaxZoneLoad is the load of the own zone, in calls per permit, from which
	// Pick considers the hosts of all zones.
	MaxZoneLoad float64
	// EjectAfterFailures consecutive failures eject a host for EjectFor,
	// doubled with each further ejection up to MaxEjectFor.
	EjectAfterFailures int
	EjectFor           time.Duration
	MaxEjectFor        time.Duration
	// MaxEjectedShare bounds the share of a service's hosts that are ejected at
	// the same time: if all hosts fail, the cause is elsewhere.
	MaxEjectedShare float64
	// RampDuration is the time in which the share of calls of a new or
	// returning host rises to the full share.
	RampDuration time.Duration

	mu sync.Mutex
	// hosts is keyed by host ID, byService by service name.
	hosts     map[string]*hostState
	byService map[string][]*hostState
	// hasTargets is set by the first SetTargets.
	hasTargets bool
}

// New returns a Chooser for a node in the zone.
func New(zone string) *Chooser {
	return &Chooser{
		Now: time.Now, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Zone: zone,
		MaxZoneLoad: 0.8, EjectAfterFailures: 5, EjectFor: 5 * time.Second, MaxEjectFor: time.Minute, MaxEjectedShare: 0.5,
		RampDuration: 10 * time.Second,
		hosts:        map[string]*hostState{}, byService: map[string][]*hostState{},
	}
}

// SetTargets replaces the list of all targets. Hosts that are new, or no longer
// out of service or leaving, start their ramp. The hosts of the first list do
// not: they are new only to this node.
func (c *Chooser) SetTargets(targets []Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	hosts := make(map[string]*hostState, len(targets))
	byService := map[string][]*hostState{}
	for _, t := range targets {
		h := c.hosts[t.ID]
		switch {
		case h == nil:
			h = &hostState{}
			if c.hasTargets {
				h.rampStart, h.joinedLater = now, true
			}
		case (h.OutOfService || h.Leaving) && !t.OutOfService && !t.Leaving:
			h.rampStart = now
			h.reported, h.notAcceptingUntil = Load{}, time.Time{}
		}
		h.Target = t
		hosts[t.ID] = h
		byService[t.Service] = append(byService[t.Service], h)
	}
	c.hosts, c.byService, c.hasTargets = hosts, byService, true
}

// Pick returns the host for a call of the service, other than the host IDs in
// exclude. It reports false if no host is left. CallStarted must follow if the
// host is used.
func (c *Chooser) Pick(service string, exclude []string) (Target, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	all := c.eligible(service, exclude, now)
	if len(all) == 0 {
		return Target{}, false
	}
	if inZone := c.inZone(all); len(inZone) > 0 && c.zoneLoad(inZone, now) < c.MaxZoneLoad {
		all = inZone
	}
	return c.chooseBySample(all, now).Target, true
}

// PickWithZoneCost is Pick for calls that are more expensive in another zone.
// crossZoneCost is the additional cost in units of the typical latency: a host of
// another zone is picked if its estimated cost is lower by more than that. full
// means that, as far as is known, the host has no free permit. Hosts that are ejected or
// not accepting work are not picked after others, which the exclude list names: a call
// that those had no room for is better refused or queued.
func (c *Chooser) PickWithZoneCost(service string, exclude []string, crossZoneCost float64) (t Target, full, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	all := c.eligible(service, exclude, now)
	if len(all) == 0 || c.onlyFailing(all, exclude, now) {
		return Target{}, false, false
	}
	inZone := c.inZone(all)
	candidates := append(c.sample(inZone), c.sample(c.outsideZone(all))...)
	best, load := c.cheapest(candidates, medianLatency(all), crossZoneCost, now)
	if load >= 1 && len(candidates) < len(all) {
		best, load = c.cheapest(all, medianLatency(all), crossZoneCost, now)
	}
	return best.Target, load >= 1, true
}

func (c *Chooser) outsideZone(all []*hostState) []*hostState {
	var out []*hostState
	for _, h := range all {
		if h.Zone != c.Zone {
			out = append(out, h)
		}
	}
	return out
}

// eligible returns the hosts that may get the call. Hosts that are ejected, not
// accepting work or held back by their ramp are returned only if there is no
// other.
func (c *Chooser) eligible(service string, exclude []string, now time.Time) []*hostState {
	all := c.byService[service]
	available := make([]*hostState, 0, len(all))
	var reserve []*hostState
	for _, h := range all {
		if h.OutOfService || h.Leaving || contains(exclude, h.ID) {
			continue
		}
		if h.isFailing(now) || !c.passesRamp(h, now) {
			reserve = append(reserve, h)
			continue
		}
		available = append(available, h)
	}
	if len(available) == 0 {
		return reserve
	}
	return available
}

// onlyFailing reports whether all hosts of the list are ejected or not accepting work
// while one of the excluded hosts is not.
func (c *Chooser) onlyFailing(hosts []*hostState, exclude []string, now time.Time) bool {
	for _, h := range hosts {
		if !h.isFailing(now) {
			return false
		}
	}
	for _, id := range exclude {
		if h := c.hosts[id]; h != nil && !h.OutOfService && !h.Leaving && !h.isFailing(now) {
			return true
		}
	}
	return false
}

// isFailing reports whether the host is ejected or does not accept work.
func (h *hostState) isFailing(now time.Time) bool {
	return now.Before(h.ejectedUntil) || now.Before(h.notAcceptingUntil)
}

func contains(ids []string, id string) bool {
	for _, e := range ids {
		if e == id {
			return true
		}
	}
	return false
}

// passesRamp reports whether the host takes part in this choice. A host on its
// ramp does so with rising probability: unlike a limit per calling node, this
// works the same for any number of calling nodes.
func (c *Chooser) passesRamp(h *hostState, now time.Time) bool {
	if h.rampStart.IsZero() {
		return true
	}
	share := float64(now.Sub(h.rampStart)) / float64(c.RampDuration)
	if share >= 1 {
		h.rampStart = time.Time{}
		return true
	}
	return c.Rand.Float64() < max(share, minRampShare)
}

func (c *Chooser) inZone(all []*hostState) []*hostState {
	var out []*hostState
	for _, h := range all {
		if h.Zone == c.Zone {
			out = append(out, h)
		}
	}
	return out
}

// estimatedCalls returns the estimated number of calls at the host: those of
// this node, and those of other nodes at the last report, decayed by its age.
func (h *hostState) estimatedCalls(now time.Time) float64 {
	others := float64(max(0, h.reported.Running+h.reported.Queued-h.inFlightAtReport))
	age := now.Sub(h.reportedAt)
	if age > 0 {
		others *= float64(loadHalfLife) / float64(loadHalfLife+age)
	}
	return float64(h.inFlight) + others
}

// zoneLoad returns the calls per permit over the given hosts.
func (c *Chooser) zoneLoad(hosts []*hostState, now time.Time) float64 {
	estimatedCalls, permits := 0.0, 0.0
	for _, h := range hosts {
		estimatedCalls += h.estimatedCalls(now)
		permits += h.permits()
	}
	return estimatedCalls / permits
}

// sampleSize is the number of random hosts that one choice compares.
const sampleSize = 4

// chooseBySample returns the cheapest host of a random sample, or of all hosts
// if the sample is full.
func (c *Chooser) chooseBySample(all []*hostState, now time.Time) *hostState {
	typical := medianLatency(all)
	best, load := c.cheapest(c.sample(all), typical, 0, now)
	if load >= 1 {
		best, _ = c.cheapest(all, typical, 0, now)
	}
	return best
}

// sample returns sampleSize random hosts, or all if there are no more.
func (c *Chooser) sample(all []*hostState) []*hostState {
	if len(all) <= sampleSize {
		return all
	}
	chosen := make([]*hostState, 0, sampleSize)
	for _, i := range c.Rand.Perm(len(all))[:sampleSize] {
		chosen = append(chosen, all[i])
	}
	return chosen
}

// cheapest returns the host with the lowest cost and its load in calls per
// permit. Ties are broken at random. crossZoneCost is added for hosts of other
// zones.
func (c *Chooser) cheapest(all []*hostState, typical time.Duration, crossZoneCost float64, now time.Time) (*hostState, float64) {
	var best *hostState
	var cost, load float64
	for _, i := range c.Rand.Perm(len(all)) {
		h := all[i]
		hostLoad := h.estimatedCalls(now) / h.permits()
		hostCost := h.cost(hostLoad, typical, now)
		if h.Zone != c.Zone && !h.untried() {
			hostCost += crossZoneCost
		}
		if best == nil || hostCost < cost {
			best, cost, load = h, hostCost, hostLoad
		}
	}
	return best, load
}

const (
	// queuedLoadCost is the cost per unit of load beyond queueingLoad, where
	// calls start to wait for running ones. Costs are in units of the typical
	// latency.
	queuedLoadCost = 3
	queueingLoad   = 0.9
	// fullHostCost is added for a host without a free permit, however quick it
	// is: its admission control refuses the call or queues it.
	fullHostCost = 2
	// minLatencyRatio and maxLatencyRatio bound the ratio of a host's latency
	// to the typical one. The lower bound keeps a few quick answers from
	// attracting all calls.
	minLatencyRatio = 0.5
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

// CallStarted records that a call was sent to the host.
func (c *Chooser) CallStarted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.hosts[id]; h != nil {
		now := c.Now()
		if h.inFlight == 0 {
			h.meanStart = now
		}
		h.inFlight++
		h.meanStart = h.meanStart.Add(now.Sub(h.meanStart) / time.Duration(h.inFlight))
	}
}

// CallFinished records the end of a call at the host and the load that the host
// reported with it; the zero Load means no report.
func (c *Chooser) CallFinished(id string, r Result, l Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[id]
	if h == nil {
		return
	}
	now := c.Now()
	h.inFlight = max(0, h.inFlight-1)
	if h.inFlight > 0 {
		// Start times of single calls are not kept. The call that ended is
		// assumed to have been twice as old as the mean, which moves the
		// mean start of the others forward.
		h.meanStart = h.meanStart.Add(min(now.Sub(h.meanStart)/time.Duration(h.inFlight), now.Sub(h.meanStart)))
	}
	if l.Permits > 0 {
		h.reported, h.inFlightAtReport, h.reportedAt = l, h.inFlight, now
	}
	switch r {
	case Answered, Overloaded:
		h.failures = 0
		if r == Answered {
			h.ejections = 0
		}
	case NotAccepting:
		h.notAcceptingUntil = now.Add(notAcceptingFor)
	case Failed:
		h.failures++
		c.ejectIfFailing(h, now)
	}
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

// A HostStatus is what a Chooser knows about one host.
type HostStatus struct {
	Target
	// InFlight is the number of calls of this node at the host.
	InFlight int
	// Load is the estimated number of calls at the host per permit.
	Load float64
	// Latency is the moving average of the latencies of successful answers, last
	// updated at ObservedAt; zero if there was none.
	Latency    time.Duration
	ObservedAt time.Time
}

// HostStatuses returns the status of all hosts, in no particular order.
func (c *Chooser) HostStatuses() []HostStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	all := make([]HostStatus, 0, len(c.hosts))
	for _, h := range c.hosts {
		all = append(all, HostStatus{h.Target, h.inFlight, h.estimatedCalls(now) / h.permits(), h.latency, h.observedAt})
	}
	return all
}

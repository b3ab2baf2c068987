package balance

import (
	"math/rand/v2"
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
	// EvenWithPaceOnly restricts the choice for even load to services of which a host has
	// reported its pace, unless SetEvenLoad asks for it for all.
	EvenWithPaceOnly bool

	mu sync.Mutex
	// evenLoad is set by SetEvenLoad.
	evenLoad bool
	// statesPace holds the services of which a host has reported its pace.
	statesPace map[string]bool
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
	best, _ := c.choose(all, now)
	return best.Target, true
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
	choose := c.chooseAcrossZones
	if !c.choosesEvenly(service) {
		choose = c.chooseSampled
	}
	best, load := choose(all, crossZoneCost, now)
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
	return float64(h.inFlight) + h.reportTrust(now)*h.callsOfOthers()
}

// callsOfOthers returns the number of calls of other nodes at the last report.
func (h *hostState) callsOfOthers() float64 {
	return float64(max(0, h.reported.Running+h.reported.Queued-h.inFlightAtReport))
}

// reportTrust returns the weight of the last report by its age.
func (h *hostState) reportTrust(now time.Time) float64 {
	age := max(0, now.Sub(h.reportedAt))
	return float64(loadHalfLife) / float64(loadHalfLife+age)
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
		h.freeSlots = max(0, h.freeSlots-1)
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
	c.recordPace(h.Service, l)
	if l.Permits > 0 {
		h.reported, h.inFlightAtReport, h.reportedAt = l, h.inFlight, now
	}
	switch r {
	case Answered, Overloaded:
		h.failures = 0
		if r == Answered {
			h.ejections = 0
		}
		h.recordSlots(r, now)
	case NotAccepting:
		h.notAcceptingUntil = now.Add(notAcceptingFor)
	case Failed:
		h.failures++
		c.ejectIfFailing(h, now)
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

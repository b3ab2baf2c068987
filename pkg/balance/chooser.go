package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// unknownPermits is assumed of a host that has not reported yet: the
	// number of calls a cold backend server bears.
	unknownPermits = 2
	// closedFor is how long a host is avoided that refused new work. A later
	// view of hosts and configuration says the same by then.
	closedFor = 3 * time.Second
	// loadHalfLife is the age at which half of the load that others caused at
	// a host is forgotten. Without it a host that was once reported full
	// would never be asked again.
	loadHalfLife = time.Second
	// minRamp is the share of calls that a returning host gets at first.
	minRamp = 0.1
)

// A Chooser picks the host for each call. Its exported fields are set before
// the first call. It is safe for concurrent use.
type Chooser struct {
	Now  func() time.Time
	Rand *rand.Rand
	// Zone is the availability zone of this node.
	Zone string
	// Spill is the load of the own zone above which calls go to all zones.
	MaxZoneLoad float64
	// EjectAfter consecutive failures eject a host for EjectFor, doubled with
	// each further ejection up to EjectMax.
	EjectAfterFailures int
	EjectFor           time.Duration
	MaxEjectFor        time.Duration
	// EjectShare is the largest share of a service's hosts that are ejected
	// at once: when all fail, the cause is elsewhere.
	MaxEjectedShare float64
	// Ramp is the time over which a returning host gets its full share.
	RampDuration time.Duration

	mu       sync.Mutex
	peers    map[string]*peer
	services map[string][]*peer
	updated  bool
}

// New returns a Chooser for a node in the zone.
func New(zone string) *Chooser {
	return &Chooser{
		Now: time.Now, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Zone: zone,
		MaxZoneLoad: 0.8, EjectAfterFailures: 5, EjectFor: 5 * time.Second, MaxEjectFor: time.Minute, MaxEjectedShare: 0.5,
		RampDuration: 10 * time.Second,
		peers:        map[string]*peer{}, services: map[string][]*peer{},
	}
}

// Update replaces the view of all targets. Hosts that are new, or no longer
// out or leaving, start their ramp; those of the first view don't, since
// this node only did not know them.
func (c *Chooser) SetTargets(targets []Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	peers := make(map[string]*peer, len(targets))
	services := map[string][]*peer{}
	for _, t := range targets {
		p := c.peers[t.ID]
		switch {
		case p == nil:
			p = &peer{}
			if c.updated {
				p.rampFrom, p.joined = now, true
			}
		case (p.OutOfService || p.Leaving) && !t.OutOfService && !t.Leaving:
			p.rampFrom = now
			p.load, p.closedUntil = Load{}, time.Time{}
		}
		p.Target = t
		peers[t.ID] = p
		services[t.Service] = append(services[t.Service], p)
	}
	c.peers, c.services, c.updated = peers, services, true
}

// Pick returns the host for a call of the service, none of exclude. It
// reports false if no host is left. Started must follow if the host is used.
func (c *Chooser) Pick(service string, exclude []string) (Target, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	all := c.eligible(service, exclude, now)
	if len(all) == 0 {
		return Target{}, false
	}
	if local := c.local(all); len(local) > 0 && c.zoneLoad(local, now) < c.MaxZoneLoad {
		all = local
	}
	return c.choose(all, now).Target, true
}

// PickNear is Pick for calls whose crossing to another zone has a cost of its
// own, in usual running times. A host elsewhere is taken where the own zone's
// are busier by more than that. full states that the host has no room for the
// call as far as is known.
func (c *Chooser) PickWithZoneCost(service string, exclude []string, crossZoneCost float64) (t Target, full, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	all := c.eligible(service, exclude, now)
	if len(all) == 0 {
		return Target{}, false, false
	}
	local := c.local(all)
	some := append(c.sample(local), c.sample(c.remote(all))...)
	best, load := c.least(some, usualLatency(all), crossZoneCost, now)
	if load >= 1 && len(some) < len(all) {
		best, load = c.least(all, usualLatency(all), crossZoneCost, now)
	}
	return best.Target, load >= 1, true
}

func (c *Chooser) remote(all []*peer) []*peer {
	var out []*peer
	for _, p := range all {
		if p.Zone != c.Zone {
			out = append(out, p)
		}
	}
	return out
}

// eligible returns the hosts that may get the call. Hosts that are ejected,
// closed or on their ramp come back in when no other is left.
func (c *Chooser) eligible(service string, exclude []string, now time.Time) []*peer {
	all := c.services[service]
	open := make([]*peer, 0, len(all))
	var reserve []*peer
	for _, p := range all {
		if p.OutOfService || p.Leaving || contains(exclude, p.ID) {
			continue
		}
		if now.Before(p.ejectedUntil) || now.Before(p.closedUntil) || !c.ramped(p, now) {
			reserve = append(reserve, p)
			continue
		}
		open = append(open, p)
	}
	if len(open) == 0 {
		return reserve
	}
	return open
}

func contains(ids []string, id string) bool {
	for _, e := range ids {
		if e == id {
			return true
		}
	}
	return false
}

// ramped lets a returning host take part in a rising share of the choices.
// Chance per call, not a limit per node, makes the ramp hold for any number
// of calling nodes.
func (c *Chooser) ramped(p *peer, now time.Time) bool {
	if p.rampFrom.IsZero() {
		return true
	}
	part := float64(now.Sub(p.rampFrom)) / float64(c.RampDuration)
	if part >= 1 {
		p.rampFrom = time.Time{}
		return true
	}
	return c.Rand.Float64() < max(part, minRamp)
}

func (c *Chooser) local(all []*peer) []*peer {
	var out []*peer
	for _, p := range all {
		if p.Zone == c.Zone {
			out = append(out, p)
		}
	}
	return out
}

// busy returns the calls at the host: those of this node, and what others
// had there at the last report, fading with its age.
func (p *peer) busy(now time.Time) float64 {
	others := float64(max(0, p.load.Running+p.load.Queued-p.own))
	age := now.Sub(p.loadAt)
	if age > 0 {
		others *= float64(loadHalfLife) / float64(loadHalfLife+age)
	}
	return float64(p.inFlight) + others
}

func (c *Chooser) zoneLoad(local []*peer, now time.Time) float64 {
	busy, permits := 0.0, 0.0
	for _, p := range local {
		busy += p.busy(now)
		permits += p.permits()
	}
	return busy / permits
}

// sampled is the number of random hosts that one choice compares.
const sampled = 4

// choose takes the host with the least cost of a few random ones, or of all
// when these are full.
func (c *Chooser) choose(all []*peer, now time.Time) *peer {
	usual := usualLatency(all)
	best, load := c.least(c.sample(all), usual, 0, now)
	if load >= 1 {
		best, _ = c.least(all, usual, 0, now)
	}
	return best
}

// sample returns some random hosts, all if there are few.
func (c *Chooser) sample(all []*peer) []*peer {
	if len(all) <= sampled {
		return all
	}
	some := make([]*peer, 0, sampled)
	for _, i := range c.Rand.Perm(len(all))[:sampled] {
		some = append(some, all[i])
	}
	return some
}

// least returns the host with the least cost and its load. Equal ones are
// taken by chance. crossing is the cost of a host in another zone.
func (c *Chooser) least(all []*peer, usual time.Duration, crossing float64, now time.Time) (*peer, float64) {
	var best *peer
	var cost, load float64
	for _, i := range c.Rand.Perm(len(all)) {
		p := all[i]
		l := p.busy(now) / p.permits()
		x := p.cost(l, usual, now)
		if p.Zone != c.Zone && !p.untried() {
			x += crossing
		}
		if best == nil || x < cost {
			best, cost, load = p, x, l
		}
	}
	return best, load
}

const (
	// queueCost is the cost of each further load beyond fullLoad, in running
	// times: what does not run at once waits for what runs.
	queueCost = 3
	fullLoad  = 0.9
	// fullCost is the cost of a host without room, however quick it is: its
	// door refuses the call or has it wait.
	fullCost = 2
	// leastRatio and mostRatio bound how much a host's latency counts beside
	// the usual one, so that a few quick answers do not draw all calls.
	leastRatio = 0.5
	mostRatio  = 16
	// slowHalfLife is the time in which half of what a host is slower than
	// usual is forgotten, so that one that is avoided is tried again.
	slowHalfLife = 1500 * time.Millisecond
	// leastAged calls must run at a host for their age to count, and ageFactor
	// makes the mean age of calls that run as long as each other their length.
	leastAged = 2
	ageFactor = 2
)

// cost estimates how long a call takes at a load, in usual running times.
func (p *peer) cost(load float64, usual time.Duration, now time.Time) float64 {
	ratio := 1.0
	if p.untried() {
		ratio = leastRatio
	}
	if p.latency > 0 && usual > 0 {
		l := max(p.recent(usual, now), p.age(now))
		ratio = min(max(float64(l)/float64(usual), leastRatio), mostRatio)
	}
	x := ratio * (1 + load*load/2 + queueCost*max(0, load-fullLoad))
	if load >= 1 {
		x += fullCost
	}
	return x
}

// untried reports whether the host joined while this node was at work and has
// not answered it yet. Such a host is tried wherever it is.
func (p *peer) untried() bool { return p.joined && p.latency == 0 }

// recent returns the host's latency, nearer to the usual one the longer it has
// not been observed.
func (p *peer) recent(usual time.Duration, now time.Time) time.Duration {
	if p.latency <= usual {
		return p.latency
	}
	left := math.Exp2(-float64(now.Sub(p.observedAt)) / float64(slowHalfLife))
	return usual + time.Duration(left*float64(p.latency-usual))
}

// age returns how long the calls that run at the host have run, as the latency
// that would let one see such ages: a host that stopped answering shows by them
// before any of its calls ends.
func (p *peer) age(now time.Time) time.Duration {
	if p.inFlight < leastAged || p.begun.IsZero() {
		return 0
	}
	return ageFactor * now.Sub(p.begun)
}

// Usual returns the usual latency of a service's hosts, zero if none has
// answered.
func (c *Chooser) TypicalLatency(service string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return usualLatency(c.services[service])
}

// usualLatency returns the lower median latency of the hosts that have answered.
// A mean would take the slow ones for usual where many are slow.
func usualLatency(all []*peer) time.Duration {
	known := make([]time.Duration, 0, len(all))
	for _, p := range all {
		if p.latency > 0 {
			known = append(known, p.latency)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// Started records that a call was sent to the host.
func (c *Chooser) CallStarted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[id]; p != nil {
		now := c.Now()
		if p.inFlight == 0 {
			p.begun = now
		}
		p.inFlight++
		p.begun = p.begun.Add(now.Sub(p.begun) / time.Duration(p.inFlight))
	}
}

// Finished records the end of a call at the host and the load that the host
// reported with it; the zero Load means no report.
func (c *Chooser) CallFinished(id string, r Result, l Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[id]
	if p == nil {
		return
	}
	now := c.Now()
	p.inFlight = max(0, p.inFlight-1)
	if p.inFlight > 0 {
		// The call that ends is taken for one as old as the mean twice over.
		p.begun = p.begun.Add(min(now.Sub(p.begun)/time.Duration(p.inFlight), now.Sub(p.begun)))
	}
	if l.Permits > 0 {
		p.load, p.own, p.loadAt = l, p.inFlight, now
	}
	switch r {
	case Answered, Overloaded:
		p.failures = 0
		if r == Answered {
			p.ejections = 0
		}
	case NotAccepting:
		p.closedUntil = now.Add(closedFor)
	case Failed:
		p.failures++
		c.eject(p, now)
	}
}

// latencyWeight is the weight of a new latency in a host's moving average.
const latencyWeight = 1.0 / 10

// Observed records how long a good answer of the host took.
func (c *Chooser) ObserveLatency(id string, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[id]
	if p == nil {
		return
	}
	p.observedAt = c.Now()
	switch {
	case p.latency == 0:
		p.latency = latency
	default:
		p.latency += time.Duration(latencyWeight * float64(latency-p.latency))
	}
}

// A Belief is what a Chooser knows of one host.
type HostStatus struct {
	Target
	// InFlight is the number of this node's calls there, Load the estimated
	// calls there per permitted one.
	InFlight int
	Load     float64
	// Latency is the moving average of good answers, last observed at
	// ObservedAt; zero if there was none.
	Latency    time.Duration
	ObservedAt time.Time
}

// Beliefs returns what is known of all hosts, in no order.
func (c *Chooser) HostStatuses() []HostStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	all := make([]HostStatus, 0, len(c.peers))
	for _, p := range c.peers {
		all = append(all, HostStatus{p.Target, p.inFlight, p.busy(now) / p.permits(), p.latency, p.observedAt})
	}
	return all
}

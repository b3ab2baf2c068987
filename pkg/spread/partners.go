package spread

import (
	"time"

	"quetzaldock.example/quetzaldock/pkg/hosts"
)

const (
	// exchangePeriod is the mean time between exchanges with the own leader.
	exchangePeriod = time.Second
	// otherPeriod is the mean time between exchanges with another leader of
	// the zone, and with a host of another zone.
	otherPeriod = 2 * time.Second
	// unconfirmedPeriod replaces otherPeriod for other zones while the source
	// is unconfirmed: every zone has to be reached within FreshFor.
	unconfirmedPeriod = 500 * time.Millisecond
	// startPeriod is the time between the questions of a start.
	startPeriod = 500 * time.Millisecond
	// startAsked is the number of peers asked at a time by a start.
	startAsked = 5
	// avoidFor is how long a host that did not answer is passed over.
	avoidFor = 5 * time.Second
)

// partners holds the times of the next exchanges.
type partners struct {
	leaderAt, otherAt, crossAt, startAt time.Time
	avoid                               map[string]time.Time
	zone                                int // rotates over the zones at start
}

func (p *partners) start(now time.Time) {
	p.avoid = map[string]time.Time{}
	p.replan(now)
}

func (p *partners) replan(now time.Time) {
	p.leaderAt, p.otherAt, p.crossAt, p.startAt = now, now, now, now
}

func (p *partners) answered(id string) { delete(p.avoid, id) }

// Failed takes note that a host did not answer an exchange.
func (r *Replica) Failed(h hosts.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	for id, t := range r.partners.avoid {
		if now.After(t) {
			delete(r.partners.avoid, id)
		}
	}
	r.partners.avoid[h.ID] = now.Add(avoidFor)
}

// Exchanges returns the hosts to exchange summaries with now, and the time of
// the next call.
func (r *Replica) Exchanges(now time.Time) ([]hosts.Host, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.partners
	var out []hosts.Host
	if r.list.Load() == nil {
		if !now.Before(p.startAt) {
			p.startAt = now.Add(r.jitter(startPeriod))
			out = r.seeds()
		}
		return out, p.startAt
	}
	if !r.ready {
		if !now.Before(p.startAt) {
			p.startAt = now.Add(r.jitter(startPeriod))
			out = r.startPeers(now)
		}
		return out, p.startAt
	}
	leaders := r.placement.Leaders[r.Self.Zone]
	if !now.Before(p.leaderAt) {
		p.leaderAt = now.Add(r.jitter(exchangePeriod))
		out = r.add(out, r.leader(leaders, now))
	}
	if !now.Before(p.otherAt) {
		p.otherAt = now.Add(r.jitter(otherPeriod))
		out = r.add(out, r.pick(leaders, now, out))
	}
	if !now.Before(p.crossAt) {
		period := otherPeriod
		if now.Sub(r.confirmedAt) > reachAfter {
			period = unconfirmedPeriod
		}
		p.crossAt = now.Add(r.jitter(period))
		out = r.add(out, r.crossZone(now, out))
	}
	next := p.leaderAt
	for _, t := range []time.Time{p.otherAt, p.crossAt} {
		if t.Before(next) {
			next = t
		}
	}
	return out, next
}

// jitter returns a time between 3/4 and 5/4 of d, so that nodes that started
// together do not ask together.
func (r *Replica) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(r.Rand.Int64N(int64(d/2)))
}

func (r *Replica) add(out []hosts.Host, h hosts.Host) []hosts.Host {
	if h.ControlAddress == "" {
		return out
	}
	return append(out, h)
}

func (r *Replica) avoided(id string, now time.Time) bool { return now.Before(r.partners.avoid[id]) }

// leader returns the own leader, or the next one that is not avoided. A leader
// uses another leader of its zone.
func (r *Replica) leader(leaders []hosts.Host, now time.Time) hosts.Host {
	parent := r.placement.Parents[r.Self.ID]
	if parent.ID != "" && parent.ID != r.Self.ID && !r.avoided(parent.ID, now) {
		return parent
	}
	return r.pick(leaders, now, nil)
}

// pick draws one of the hosts that is not this node, not avoided and not in
// taken.
func (r *Replica) pick(from []hosts.Host, now time.Time, taken []hosts.Host) hosts.Host {
	var c []hosts.Host
	for _, h := range from {
		if h.ID != r.Self.ID && !r.avoided(h.ID, now) && !contains(taken, h.ID) {
			c = append(c, h)
		}
	}
	if len(c) == 0 {
		return hosts.Host{}
	}
	return c[r.Rand.IntN(len(c))]
}

func contains(l []hosts.Host, id string) bool {
	for _, h := range l {
		if h.ID == id {
			return true
		}
	}
	return false
}

// crossZone draws a host of another zone: of the zone that was reached longest
// ago while the source is unconfirmed, else of any zone.
func (r *Replica) crossZone(now time.Time, taken []hosts.Host) hosts.Host {
	zone := ""
	if now.Sub(r.confirmedAt) > reachAfter {
		zone = r.oldestZone()
	}
	var c []hosts.Host
	for _, h := range r.list.Load().Hosts {
		if h.State != hosts.Live || h.Zone == r.Self.Zone && zone == "" || zone != "" && h.Zone != zone {
			continue
		}
		c = append(c, h)
	}
	if h := r.pick(c, now, taken); h.ID != "" {
		return h
	}
	// All candidates are avoided; one of them may be back.
	return r.pick(c, now.Add(avoidFor), taken)
}

func (r *Replica) oldestZone() string {
	zone, oldest := "", time.Time{}
	for z, n := range r.liveZones {
		t := r.reach[z]
		if n > 0 && (zone == "" || t.Before(oldest) || t.Equal(oldest) && z < zone) {
			zone, oldest = z, t
		}
	}
	return zone
}

// seeds returns the configured seeds as hosts without an ID.
func (r *Replica) seeds() []hosts.Host {
	var out []hosts.Host
	for _, i := range r.Rand.Perm(len(r.Seeds)) {
		if r.Seeds[i] != r.Self.ControlAddress && len(out) < startAsked {
			out = append(out, hosts.Host{ControlAddress: r.Seeds[i], State: hosts.Live})
		}
	}
	return out
}

// startPeers returns up to startAsked hosts in as many zones as there are.
func (r *Replica) startPeers(now time.Time) []hosts.Host {
	byZone := map[string][]hosts.Host{}
	var zones []string
	l := r.list.Load().Hosts
	for _, i := range r.Rand.Perm(len(l)) {
		h := l[i]
		if h.State != hosts.Live || h.ID == r.Self.ID || r.avoided(h.ID, now) {
			continue
		}
		if byZone[h.Zone] == nil {
			zones = append(zones, h.Zone)
		}
		byZone[h.Zone] = append(byZone[h.Zone], h)
	}
	var out []hosts.Host
	for len(out) < startAsked && len(zones) > 0 {
		var left []string
		for _, z := range zones {
			if len(out) == startAsked {
				break
			}
			out = append(out, byZone[z][0])
			if byZone[z] = byZone[z][1:]; len(byZone[z]) > 0 {
				left = append(left, z)
			}
		}
		zones = left
	}
	return out
}

// pushTo draws the hosts that are told of a new version at once.
func (r *Replica) pushTo() []hosts.Host {
	if r.list.Load() == nil {
		return nil
	}
	var out []hosts.Host
	l := r.list.Load().Hosts
	for _, i := range r.Rand.Perm(len(l)) {
		if len(out) == pushFanout {
			break
		}
		if l[i].ID != r.Self.ID && l[i].ControlAddress != "" {
			out = append(out, l[i])
		}
	}
	return out
}

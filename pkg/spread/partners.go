package spread

import (
	"slices"
	"time"

	"quetzaldock.example/quetzaldock/pkg/hosts"
)

const (
	// exchangePeriod is the mean time between exchanges with a leader of the
	// own zone. Every second one is with another than the own leader, which
	// evens the load of the leaders and covers one that answers and is cut off.
	exchangePeriod = time.Second
	// ringPeriod is the mean time between exchanges with a neighbour in the
	// rings.
	ringPeriod = 2 * time.Second
	// maxAskBack bounds the peers that are waiting to be asked back.
	maxAskBack = 4
	// acrossPeriod is the mean time between a leader's rounds through other
	// zones while the source is unconfirmed: information takes two rounds from
	// any zone and one exchange to the member, all within FreshFor.
	acrossPeriod = time.Second
	// startPeriod is the time between the questions of a start.
	startPeriod = 500 * time.Millisecond
	// startAsked is the number of peers asked at a time by a start.
	startAsked = 5
	// avoidFor is how long a host that did not answer is passed over.
	avoidFor = 2 * time.Second
)

// partners holds the times of the next exchanges.
type partners struct {
	leaderAt, ringAt, acrossAt, startAt time.Time
	avoid                               map[string]time.Time
	asked                               []hosts.Host // peers that the start asked last
	other                               bool         // whether the last exchange was with another than the own leader
	back                                []hosts.Host // peers that showed a newer version in a request
}

func (p *partners) start(now time.Time) {
	p.avoid = map[string]time.Time{}
	p.replan(now)
}

func (p *partners) replan(now time.Time) {
	p.leaderAt, p.ringAt, p.acrossAt, p.startAt = now, now, now, now
}

func (p *partners) askBack(h hosts.Host) {
	if len(p.back) < maxAskBack && !contains(p.back, h.ID) && h.ControlAddress != "" {
		p.back = append(p.back, h)
	}
}

func (p *partners) answered(id string) { delete(p.avoid, id) }

// Failed takes note that a host did not answer an exchange.
func (r *Replica) ExchangeFailed(h hosts.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	for id, t := range r.partners.avoid {
		if now.After(t) {
			delete(r.partners.avoid, id)
		}
	}
	r.partners.avoid[h.ID] = now.Add(avoidFor)
	// The confirmation grows old, so another leader is asked at once.
	r.partners.leaderAt = now
}

// Exchanges returns the hosts to exchange summaries with now, and the time of
// the next call.
func (r *Replica) NextExchanges(now time.Time) ([]hosts.Host, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.partners
	out := p.back
	p.back = nil
	if r.list.Load() == nil {
		if !now.Before(p.startAt) {
			p.startAt = now.Add(r.jitter(startPeriod))
			out = append(out, r.seeds()...)
		}
		return out, p.startAt
	}
	if !r.ready {
		if !now.Before(p.startAt) {
			p.startAt = now.Add(r.jitter(startPeriod))
			out = append(out, r.startPeers(now)...)
		}
		return out, p.startAt
	}
	leaders := r.topology.placement.Leaders[r.Self.Zone]
	if !now.Before(p.leaderAt) {
		p.leaderAt = now.Add(r.jitter(exchangePeriod))
		out = r.add(out, r.leader(leaders, now))
	}
	if !now.Before(p.ringAt) {
		p.ringAt = now.Add(r.jitter(ringPeriod))
		out = r.add(out, r.pick(r.topology.neighbours, now, out))
	}
	next := earliest(p.leaderAt, p.ringAt)
	if len(r.topology.across) > 0 {
		if now.Sub(r.confirmedAt) > reachAfter && !now.Before(p.acrossAt) {
			p.acrossAt = now.Add(r.jitter(acrossPeriod))
			out = r.acrossZones(out, now)
		}
		next = earliest(next, now.Add(acrossPeriod))
	}
	return out, next
}

// acrossZones adds one leader of each zone that this leader asks.
func (r *Replica) acrossZones(out []hosts.Host, now time.Time) []hosts.Host {
	for _, leaders := range r.topology.across {
		h := leaders[0]
		for _, l := range leaders {
			if !r.avoided(l.ID, now) {
				h = l
				break
			}
		}
		if !contains(out, h.ID) {
			out = r.add(out, h)
		}
	}
	return out
}

func earliest(t ...time.Time) time.Time {
	e := t[0]
	for _, x := range t[1:] {
		if x.Before(e) {
			e = x
		}
	}
	return e
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

// leader returns the own leader and another one in turn. A leader uses the
// other leaders of its zone.
func (r *Replica) leader(leaders []hosts.Host, now time.Time) hosts.Host {
	p := &r.partners
	p.other = !p.other
	parent := r.topology.placement.Parents[r.Self.ID]
	if parent.ID == "" || parent.ID == r.Self.ID {
		return r.pick(leaders, now, nil)
	}
	if !p.other && !r.avoided(parent.ID, now) || len(leaders) == 1 {
		return parent
	}
	return r.pick(leaders, now, []hosts.Host{parent})
}

// pick draws one of the hosts that is not this node and not in taken, if
// possible one that is not avoided.
func (r *Replica) pick(from []hosts.Host, now time.Time, taken []hosts.Host) hosts.Host {
	var c, avoided []hosts.Host
	for _, h := range from {
		switch {
		case h.ID == r.Self.ID || contains(taken, h.ID):
		case r.avoided(h.ID, now):
			avoided = append(avoided, h)
		default:
			c = append(c, h)
		}
	}
	if len(c) == 0 {
		c = avoided
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

// startPeers returns up to startAsked hosts in as many zones as there are. It
// stays with those that answer, to save connections.
func (r *Replica) startPeers(now time.Time) []hosts.Host {
	out := slices.DeleteFunc(slices.Clone(r.partners.asked), func(h hosts.Host) bool { return r.avoided(h.ID, now) })
	zones := map[string]bool{r.Self.Zone: true}
	for _, h := range out {
		zones[h.Zone] = true
	}
	l := r.list.Load().Hosts
	order := r.Rand.Perm(len(l))
	for _, newZones := range []bool{true, false} {
		for _, i := range order {
			h := l[i]
			if len(out) == startAsked {
				break
			}
			if h.State != hosts.Live || h.ID == r.Self.ID || r.avoided(h.ID, now) || contains(out, h.ID) || newZones && zones[h.Zone] {
				continue
			}
			zones[h.Zone] = true
			out = append(out, h)
		}
	}
	r.partners.asked = out
	return out
}

// pushTo returns the hosts that are told of a new version at once.
func (r *Replica) pushTo() []hosts.Host { return r.topology.neighbours }

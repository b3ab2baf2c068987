package replication

import (
	"slices"
	"time"

	"quetzaldock.example/quetzaldock/pkg/hosts"
)

const (
	// leaderExchangePeriod is the mean time between exchanges with a leader of
	// the node's zone. Every second exchange is with a leader other than the
	// node's own, which evens out the load of the leaders and helps when the
	// own leader answers but is cut off from the source and other zones.
	leaderExchangePeriod = time.Second
	// ringExchangePeriod is the mean time between exchanges with a neighbour
	// in the rings, see topology.
	ringExchangePeriod = 2 * time.Second
	// maxAskBackPeers bounds the peers that wait to be asked for the digest of
	// a newer version.
	maxAskBackPeers = 4
	// crossZonePeriod is the mean time between a leader's rounds of exchanges
	// with leaders of other zones while the source does not confirm the version.
	// Information takes up to two rounds from any zone to a leader and one
	// exchange to the members of its zone, together less than FreshnessWindow.
	crossZonePeriod = time.Second
	// startExchangePeriod is the mean time between the rounds of exchanges
	// during a start.
	startExchangePeriod = 500 * time.Millisecond
	// startPeerCount is the number of peers in each of these rounds.
	startPeerCount = 5
	// avoidDuration is how long a host that did not answer is passed over.
	avoidDuration = 2 * time.Second
)

// An exchangeSchedule holds the times of the next exchanges and the state for
// choosing the hosts.
type exchangeSchedule struct {
	nextLeaderAt, nextRingAt, nextCrossZoneAt, nextStartAt time.Time
	avoidUntil                                             map[string]time.Time
	lastStartPeers                                         []hosts.Host // peers of the last round of the start
	lastWasAlternate                                       bool         // whether the last leader exchange was with a leader other than the node's own
	askBackPeers                                           []hosts.Host // peers whose request named a newer version; they are asked for its digest
}

func (p *exchangeSchedule) start(now time.Time) {
	p.avoidUntil = map[string]time.Time{}
	p.reschedule(now)
}

func (p *exchangeSchedule) reschedule(now time.Time) {
	p.nextLeaderAt, p.nextRingAt, p.nextCrossZoneAt, p.nextStartAt = now, now, now, now
}

// askBack makes the next exchanges include the peer h, whose request named a
// newer version. Requests leave the digest out, but the reply to one has it.
func (p *exchangeSchedule) askBack(h hosts.Host) {
	if len(p.askBackPeers) < maxAskBackPeers && !containsID(p.askBackPeers, h.ID) && h.ControlAddress != "" {
		p.askBackPeers = append(p.askBackPeers, h)
	}
}

func (p *exchangeSchedule) markAnswered(id string) { delete(p.avoidUntil, id) }

// ExchangeFailed reports that a host did not answer an exchange.
func (r *Replica) ExchangeFailed(h hosts.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	for id, t := range r.exchangeSchedule.avoidUntil {
		if now.After(t) {
			delete(r.exchangeSchedule.avoidUntil, id)
		}
	}
	r.exchangeSchedule.avoidUntil[h.ID] = now.Add(avoidDuration)
	// The confirmation gets older meanwhile, so another leader is asked at once.
	r.exchangeSchedule.nextLeaderAt = now
}

// NextExchanges returns the hosts to exchange summaries with now, and the time
// at which to call it again.
func (r *Replica) NextExchanges(now time.Time) ([]hosts.Host, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.exchangeSchedule
	out := p.askBackPeers
	p.askBackPeers = nil
	if r.hostList.Load() == nil {
		if !now.Before(p.nextStartAt) {
			p.nextStartAt = now.Add(r.jitter(startExchangePeriod))
			out = append(out, r.seedHosts()...)
		}
		return out, p.nextStartAt
	}
	if !r.ready {
		if !now.Before(p.nextStartAt) {
			p.nextStartAt = now.Add(r.jitter(startExchangePeriod))
			out = append(out, r.startPeers(now)...)
		}
		return out, p.nextStartAt
	}
	leaders := r.topology.placement.Leaders[r.Self.Zone]
	if !now.Before(p.nextLeaderAt) {
		p.nextLeaderAt = now.Add(r.jitter(leaderExchangePeriod))
		out = r.appendReachable(out, r.nextLeader(leaders, now))
	}
	if !now.Before(p.nextRingAt) {
		p.nextRingAt = now.Add(r.jitter(ringExchangePeriod))
		out = r.appendReachable(out, r.pickRandom(r.topology.neighbours, now, out))
	}
	next := earliest(p.nextLeaderAt, p.nextRingAt)
	if len(r.topology.crossZoneLeaders) > 0 {
		if now.Sub(r.confirmedAt) > zoneAgesAfter && !now.Before(p.nextCrossZoneAt) {
			p.nextCrossZoneAt = now.Add(r.jitter(crossZonePeriod))
			out = r.addCrossZoneLeaders(out, now)
		}
		next = earliest(next, now.Add(crossZonePeriod))
	}
	return out, next
}

// addCrossZoneLeaders appends one leader of each zone that this leader
// exchanges with.
func (r *Replica) addCrossZoneLeaders(out []hosts.Host, now time.Time) []hosts.Host {
	for _, leaders := range r.topology.crossZoneLeaders {
		h := leaders[0]
		for _, l := range leaders {
			if !r.avoided(l.ID, now) {
				h = l
				break
			}
		}
		if !containsID(out, h.ID) {
			out = r.appendReachable(out, h)
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

// jitter returns a random duration between 3/4 and 5/4 of d, so that nodes that
// started at the same time do not stay in step.
func (r *Replica) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(r.Rand.Int64N(int64(d/2)))
}

// appendReachable appends h to out unless its control address is unknown.
func (r *Replica) appendReachable(out []hosts.Host, h hosts.Host) []hosts.Host {
	if h.ControlAddress == "" {
		return out
	}
	return append(out, h)
}

func (r *Replica) avoided(id string, now time.Time) bool {
	return now.Before(r.exchangeSchedule.avoidUntil[id])
}

// nextLeader returns the node's own leader and another leader of the zone in
// turn. For a leader, and a node that is not listed, it returns a random leader
// of the zone other than the node itself.
func (r *Replica) nextLeader(leaders []hosts.Host, now time.Time) hosts.Host {
	p := &r.exchangeSchedule
	p.lastWasAlternate = !p.lastWasAlternate
	parent := r.topology.placement.Parents[r.Self.ID]
	if parent.ID == "" || parent.ID == r.Self.ID {
		return r.pickRandom(leaders, now, nil)
	}
	if !p.lastWasAlternate && !r.avoided(parent.ID, now) || len(leaders) == 1 {
		return parent
	}
	return r.pickRandom(leaders, now, []hosts.Host{parent})
}

// pickRandom returns a random host that is neither this node nor in taken, if
// possible one that is not avoided. It returns a zero Host if there is none.
func (r *Replica) pickRandom(choices []hosts.Host, now time.Time, taken []hosts.Host) hosts.Host {
	var candidates, avoided []hosts.Host
	for _, h := range choices {
		switch {
		case h.ID == r.Self.ID || containsID(taken, h.ID):
		case r.avoided(h.ID, now):
			avoided = append(avoided, h)
		default:
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		candidates = avoided
	}
	if len(candidates) == 0 {
		return hosts.Host{}
	}
	return candidates[r.Rand.IntN(len(candidates))]
}

func containsID(l []hosts.Host, id string) bool {
	for _, h := range l {
		if h.ID == id {
			return true
		}
	}
	return false
}

// seedHosts returns up to startPeerCount random seeds, as hosts without an ID.
func (r *Replica) seedHosts() []hosts.Host {
	var out []hosts.Host
	for _, i := range r.Rand.Perm(len(r.Seeds)) {
		if r.Seeds[i] != r.Self.ControlAddress && len(out) < startPeerCount {
			out = append(out, hosts.Host{ControlAddress: r.Seeds[i], State: hosts.Live})
		}
	}
	return out
}

// startPeers returns up to startPeerCount live hosts in as many different zones
// as possible. Hosts of the last round that answered are kept, to save
// connections.
func (r *Replica) startPeers(now time.Time) []hosts.Host {
	out := slices.DeleteFunc(slices.Clone(r.exchangeSchedule.lastStartPeers), func(h hosts.Host) bool { return r.avoided(h.ID, now) })
	zones := map[string]bool{r.Self.Zone: true}
	for _, h := range out {
		zones[h.Zone] = true
	}
	l := r.hostList.Load().Hosts
	order := r.Rand.Perm(len(l))
	for _, newZones := range []bool{true, false} {
		for _, i := range order {
			h := l[i]
			if len(out) == startPeerCount {
				break
			}
			if h.State != hosts.Live || h.ID == r.Self.ID || r.avoided(h.ID, now) || containsID(out, h.ID) || newZones && zones[h.Zone] {
				continue
			}
			zones[h.Zone] = true
			out = append(out, h)
		}
	}
	r.exchangeSchedule.lastStartPeers = out
	return out
}

// pushTargets returns the hosts that get a push about a new version or host
// list.
func (r *Replica) pushTargets() []hosts.Host { return r.topology.neighbours }

package hosts

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// membersPerLeader bounds the exchanges that one leader serves: each member
// calls it about once a second, and a node may spend 10 KB/s on control.
const membersPerLeader = 15

// minLeaders keeps a zone served while one of its leaders is down.
const minLeaders = 2

// A Placement assigns the roles of leader and root to listed hosts.
type Placement struct {
	// Leaders holds each zone's leaders, highest rank first.
	Leaders map[string][]Host
	// Parents maps a host's ID to the leader it exchanges with. A leader is
	// its own parent.
	Parents map[string]Host
	// Root is the leader that the other leaders exchange quota with.
	Root Host
}

// Rank orders ids by rendezvous hashing with key, highest score first.
// Equal scores are ordered by ID.
func Rank(key string, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	s := make([]scored, 0, len(ids))
	for _, id := range ids {
		s = append(s, scored{id, score(key, id)})
	}
	sort.Slice(s, func(i, j int) bool {
		if s[i].score != s[j].score {
			return s[i].score > s[j].score
		}
		return s[i].id < s[j].id
	})
	out := make([]string, 0, len(s))
	for _, e := range s {
		out = append(out, e.id)
	}
	return out
}

// First returns the highest ranked of ids, or "" when there are none.
func HighestRanked(key string, ids []string) string {
	best, bestScore := "", uint64(0)
	for _, id := range ids {
		c := score(key, id)
		if best == "" || c > bestScore || (c == bestScore && id < best) {
			best, bestScore = id, c
		}
	}
	return best
}

func score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	// xxhash alone correlates for similar short inputs; the finalizer of
	// splitmix64 spreads the result.
	x := d.Sum64()
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// NewPlacement derives leaders, parents and root from a host list. Leaving
// hosts get a parent but no role.
func NewPlacement(l *List) *Placement {
	p := &Placement{Leaders: map[string][]Host{}, Parents: map[string]Host{}}
	zones := map[string][]Host{}
	for _, h := range l.Hosts {
		zones[h.Zone] = append(zones[h.Zone], h)
	}
	byID := map[string]Host{}
	var leaders []string
	for z, members := range zones {
		p.Leaders[z] = leadersOf(z, members)
		for _, h := range p.Leaders[z] {
			byID[h.ID] = h
			leaders = append(leaders, h.ID)
		}
	}
	p.Root = byID[HighestRanked("root", leaders)]
	for z, members := range zones {
		p.assign(members, p.Leaders[z], byID)
	}
	return p
}

func leadersOf(zone string, members []Host) []Host {
	byID := map[string]Host{}
	var ids []string
	for _, h := range members {
		if h.State == Live {
			byID[h.ID] = h
			ids = append(ids, h.ID)
		}
	}
	n := max(minLeaders, (len(ids)+membersPerLeader-1)/membersPerLeader)
	ranked := Rank("leader/"+zone, ids)
	if len(ranked) > n {
		ranked = ranked[:n]
	}
	out := make([]Host, 0, len(ranked))
	for _, id := range ranked {
		out = append(out, byID[id])
	}
	return out
}

// assign gives each member the leader it ranks first, so that one leader's
// end moves only that leader's members.
func (p *Placement) assign(members, leaders []Host, byID map[string]Host) {
	ids := make([]string, 0, len(leaders))
	for _, h := range leaders {
		ids = append(ids, h.ID)
	}
	for _, h := range members {
		if p.IsLeader(h.ID, h.Zone) {
			p.Parents[h.ID] = h
			continue
		}
		if id := HighestRanked(h.ID, ids); id != "" {
			p.Parents[h.ID] = byID[id]
		}
	}
}

// IsLeader reports whether the host is a leader of the zone.
func (p *Placement) IsLeader(id, zone string) bool {
	for _, h := range p.Leaders[zone] {
		if h.ID == id {
			return true
		}
	}
	return false
}

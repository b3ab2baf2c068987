package hosts

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// maxMembersPerLeader bounds the exchanges that one leader serves: each host that
// has it as parent calls it about once per second, and a node may use 10 KB/s for
// control messages. A zone gets one leader for each started maxMembersPerLeader
// live hosts, so the bound holds on average only.
const maxMembersPerLeader = 15

// minLeaders is the minimum number of leaders of a zone, so that one is left if
// another fails.
const minLeaders = 2

// A Placement assigns the roles of leader and root to listed hosts. Each host
// exchanges control messages with one leader of its zone, its parent, and the
// leaders of all zones with the root.
type Placement struct {
	// Leaders holds each zone's leaders, highest rank first.
	Leaders map[string][]Host
	// Parents maps a host's ID to the leader it exchanges with. A leader is
	// its own parent.
	Parents map[string]Host
	// Root is the leader that the other leaders exchange quota with; zero if no
	// host is live.
	Root Host
}

// Rank orders ids by rendezvous hashing with key, highest score first. Equal
// scores are ordered by ID. If one ID is removed, the order of the others stays
// the same.
func Rank(key string, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	ranked := make([]scored, 0, len(ids))
	for _, id := range ids {
		ranked = append(ranked, scored{id, score(key, id)})
	}
	sort.Slice(ranked, func(i, j int) bool {
		if ranked[i].score != ranked[j].score {
			return ranked[i].score > ranked[j].score
		}
		return ranked[i].id < ranked[j].id
	})
	ordered := make([]string, 0, len(ranked))
	for _, e := range ranked {
		ordered = append(ordered, e.id)
	}
	return ordered
}

// HighestRanked returns the first ID in the order of Rank, or "" if ids is empty.
func HighestRanked(key string, ids []string) string {
	best, bestScore := "", uint64(0)
	for _, id := range ids {
		idScore := score(key, id)
		if best == "" || idScore > bestScore || (idScore == bestScore && id < best) {
			best, bestScore = id, idScore
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

// NewPlacement derives the placement from a host list. Leaving hosts get a parent
// but no role.
func NewPlacement(l *List) *Placement {
	p := &Placement{Leaders: map[string][]Host{}, Parents: map[string]Host{}}
	zones := map[string][]Host{}
	for _, h := range l.Hosts {
		zones[h.Zone] = append(zones[h.Zone], h)
	}
	leadersByID := map[string]Host{}
	var leaderIDs []string
	for z, members := range zones {
		p.Leaders[z] = leadersOf(z, members)
		for _, h := range p.Leaders[z] {
			leadersByID[h.ID] = h
			leaderIDs = append(leaderIDs, h.ID)
		}
	}
	p.Root = leadersByID[HighestRanked("root", leaderIDs)]
	for z, members := range zones {
		p.assignParents(members, p.Leaders[z], leadersByID)
	}
	return p
}

// leadersOf returns the leaders of a zone with the given hosts.
func leadersOf(zone string, members []Host) []Host {
	byID := map[string]Host{}
	var ids []string
	for _, h := range members {
		if h.State == Live {
			byID[h.ID] = h
			ids = append(ids, h.ID)
		}
	}
	n := max(minLeaders, (len(ids)+maxMembersPerLeader-1)/maxMembersPerLeader)
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

// assignParents gives each host of a zone the leader that it ranks first, so that
// the loss of a leader changes the parents of that leader's hosts only.
func (p *Placement) assignParents(members, leaders []Host, leadersByID map[string]Host) {
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
			p.Parents[h.ID] = leadersByID[id]
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

package replication

import (
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// ringCount is the number of rings, each a different order of all hosts in
// which every host has two neighbours. Three rings connect 1,100 hosts within
// about six steps. A host keeps the same neighbours and so the same
// connections: a new connection costs 4 KB, as much as 16 exchanges.
const ringCount = 3

// A topology holds what a node derives from one host list to choose its peers.
type topology struct {
	placement  *hosts.Placement
	byID       map[string]hosts.Host
	zones      []string // names, sorted
	zonesHash  uint64
	liveByZone map[string]int // live hosts by zone, without this node
	// neighbours are the hosts next to this node in the rings, which have this
	// node as a neighbour too.
	neighbours []hosts.Host
	// crossZoneLeaders holds, if this node is a leader, a list for each other
	// zone that it exchanges with while the source does not confirm the version:
	// the zone's leaders in order of preference.
	crossZoneLeaders [][]hosts.Host
}

func newTopology(l *hosts.List, self string) topology {
	t := topology{placement: hosts.NewPlacement(l), byID: map[string]hosts.Host{}, liveByZone: map[string]int{}}
	for _, h := range l.Hosts {
		t.byID[h.ID] = h
		if !slices.Contains(t.zones, h.Zone) {
			t.zones = append(t.zones, h.Zone)
		}
		if h.State == hosts.Live && h.ID != self {
			t.liveByZone[h.Zone]++
		}
	}
	sort.Strings(t.zones)
	t.zonesHash = xxhash.Sum64String(strings.Join(t.zones, "\x00"))
	for i := range ringCount {
		t.addNeighbours(hosts.Rank("ring/"+strconv.Itoa(i), l.IDs()), self)
	}
	t.addCrossZoneLeaders(self)
	return t
}

func (t *topology) addNeighbours(ring []string, self string) {
	i := slices.Index(ring, self)
	if i < 0 {
		// A node that is not listed yet uses the neighbours of the host that
		// ranks first for its ID.
		i = slices.Index(ring, hosts.HighestRanked(self, ring))
	}
	for _, j := range []int{i + 1, i - 1 + len(ring)} {
		if len(ring) == 0 {
			return
		}
		h := t.byID[ring[j%len(ring)]]
		if h.ID != self && !containsID(t.neighbours, h.ID) {
			t.neighbours = append(t.neighbours, h)
		}
	}
}

// addCrossZoneLeaders chooses the zones at distances 1, 2, ... s-1 and s, 2s,
// ... in the circular order of names, where s is the square root of their
// number, rounded up. Information from every zone arrives in at most two steps,
// with about 2s exchanges per period.
func (t *topology) addCrossZoneLeaders(self string) {
	zone := t.byID[self].Zone
	rank := slices.IndexFunc(t.placement.Leaders[zone], func(h hosts.Host) bool { return h.ID == self })
	if rank < 0 {
		return
	}
	n := len(t.zones)
	s := int(math.Ceil(math.Sqrt(float64(n))))
	own := slices.Index(t.zones, zone)
	for d := 1; d < n; d++ {
		if d >= s && d%s != 0 {
			continue
		}
		leaders := t.placement.Leaders[t.zones[(own+d)%n]]
		if len(leaders) == 0 {
			continue
		}
		k := rank % len(leaders)
		t.crossZoneLeaders = append(t.crossZoneLeaders, slices.Concat(leaders[k:], leaders[:k]))
	}
}

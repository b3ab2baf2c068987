package spread

import (
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// rings is the number of orders in which every host has two neighbours. Three
// rings join 1,100 hosts within about six steps, and a host keeps the same few
// connections: a new one costs 4 KB, as much as 16 exchanges.
const ringCount = 3

// A topology is what a node derives from one host list.
type topology struct {
	placement  *hosts.Placement
	byID       map[string]hosts.Host
	zones      []string // sorted
	zonesHash  uint64
	liveByZone map[string]int // live hosts by zone, without this node
	// neighbours are the hosts next to this node in the rings. Being a
	// neighbour is mutual.
	neighbours []hosts.Host
	// across are, for a leader, the leaders of other zones whose summaries it
	// asks for while the source is unconfirmed, in the order of preference.
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
		// A node that is not listed yet tells those at its hashed place.
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

// addAcross chooses zones at distances 1, 2, ... s-1 and s, 2s, ... in the
// order of names, where s is about the root of their number: every zone is
// reached in at most two steps, with about 2s questions per period.
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

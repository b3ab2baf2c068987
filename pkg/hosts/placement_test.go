package hosts_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/hosts"
)

func newList(n, zones int) *hosts.List {
	l := &hosts.List{Revision: 1}
	for i := range n {
		l.Hosts = append(l.Hosts, hosts.Host{ID: fmt.Sprintf("h-%04d", i), Zone: fmt.Sprintf("z-%02d", i%zones), State: hosts.Live})
	}
	return l
}

// Guards against leaders that serve more hosts than their budget for control
// messages allows.
func TestPlacementBoundsMembersPerLeader(t *testing.T) {
	l := newList(1100, 19)
	p := hosts.NewPlacement(l)
	hostsPerLeader := map[string]int{}
	for _, h := range p.Parents {
		hostsPerLeader[h.ID]++
	}
	for id, n := range hostsPerLeader {
		assert.Assert(t, n <= 35, "leader %s serves %d hosts", id, n)
	}
	leaders := 0
	for _, z := range p.Leaders {
		leaders += len(z)
	}
	assert.Equal(t, leaders, 76)
}

// Guards against new parents of hosts that a lost leader did not serve.
func TestPlacementMovesOnlyMembersOfALostLeader(t *testing.T) {
	l := newList(110, 2)
	before := hosts.NewPlacement(l)
	lostLeader := before.Leaders["z-00"][0].ID
	smaller := &hosts.List{Revision: 2}
	for _, h := range l.Hosts {
		if h.ID != lostLeader {
			smaller.Hosts = append(smaller.Hosts, h)
		}
	}
	after := hosts.NewPlacement(smaller)
	moved := 0
	for id, p := range after.Parents {
		if before.Parents[id].ID != p.ID && before.Parents[id].ID != lostLeader {
			moved++
		}
	}
	// The new leader gets about a quarter of the zone's 55 hosts.
	assert.Assert(t, moved <= 28, "%d hosts moved", moved)
}

// Guards against a leaving host being given a role.
func TestPlacementGivesLeavingHostsNoRole(t *testing.T) {
	l := newList(4, 1)
	for i := range l.Hosts {
		l.Hosts[i].State = hosts.Leaving
	}
	l.Hosts[2].State = hosts.Live
	p := hosts.NewPlacement(l)
	assert.Equal(t, p.Root.ID, "h-0002")
	assert.Equal(t, p.Parents["h-0001"].ID, "h-0002")
}

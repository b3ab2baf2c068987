package sidecar

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/fleet"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
)

// Guards against requests for an instance that drains because the store does an earlier
// write of it late: at nodes that watch the store, that read another node, and that list
// all entries anew.
func TestLateEntryBehindADrainBringsNoRequests(t *testing.T) {
	m := newMesh(t, 3)
	ready := m.backends[1].instanceChange("surco")
	ready.Instance.Sequence = 4
	m.store.publish(nil, draining(ready, 9))
	for _, n := range m.nodes {
		waitFor(t, "drain at "+n.Settings.Host, func() bool { return n.directory.View().Instances["i-1"].State == fleet.Draining })
	}
	m.store.publish(nil, ready)
	late := m.store.lastRevision()
	for _, n := range m.nodes {
		waitFor(t, "late entry at "+n.Settings.Host, func() bool { return n.storeStatus().Revision == late && n.directory.Kept().Outdated == 1 })
	}
	u, err := m.nodes[0].Source.List(t.Context())
	assert.NilError(t, err)
	u.Full = true
	m.nodes[0].applyUpdate(u)
	ran := m.backends[1].count()
	for i := range 12 {
		assert.Equal(t, m.send(t, i%3, http.MethodPost, "/entry/a").status, http.StatusOK)
	}
	assert.Equal(t, m.backends[1].count(), ran)
	assert.Equal(t, m.nodes[1].plannedClosedReason(m.nodes[1].directory.View()), priorityadmission.Draining)
}

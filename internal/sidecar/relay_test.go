package sidecar

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/fleet"
	"quetzaldock.example/quetzaldock/pkg/relay"
)

// Guards against a node that learns of the end of a store outage from another
// node and computes an outage that is too short. The request waits at the other
// node meanwhile, so its age must count from the reply.
func TestConfirmationThroughAnotherNodeHasTheTimeOfTheReply(t *testing.T) {
	source, reader := testNode(t, "127.0.0.1:9"), testNode(t, "127.0.0.1:10")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = (&peer.Server{Updates: source.serveUpdates, Log: source.Log}).Serve(t.Context(), l) }()
	source.applyUpdate(&Update{Full: true, Revision: 1, ConfirmedAt: time.Now(), Published: coldDocument()})
	const outage = 300 * time.Millisecond
	time.AfterFunc(outage, func() {
		source.applyUpdate(&Update{Revision: 2, ConfirmedAt: time.Now(), Changes: []fleet.Change{{Kind: fleet.ZoneOut, Zone: "north"}}})
	})
	asked := time.Now()
	u, err := reader.nodeSource(l.Addr().String()).Watch(t.Context(), relay.Position{Revision: 1}, maxRelayWait)
	assert.NilError(t, err)
	assert.Equal(t, len(u.Changes), 1)
	late := u.ConfirmedAt.Sub(asked)
	assert.Assert(t, late > outage-50*time.Millisecond && !u.ConfirmedAt.After(time.Now()), "confirmed %s after the question", late)
}

// Guards against a node that encodes and keeps updates although no node reads
// them, and against a new reader that misses earlier updates.
func TestUpdatesAreKeptForReadersOnly(t *testing.T) {
	n := testNode(t, "127.0.0.1:9")
	n.applyUpdate(&Update{Full: true, Revision: 1, ConfirmedAt: time.Now(), Published: coldDocument()})
	publishZoneOut := func(zone string, revision uint64) {
		n.applyUpdate(&Update{Revision: revision, ConfirmedAt: time.Now(), Changes: []fleet.Change{{Kind: fleet.ZoneOut, Zone: zone}}})
	}
	publishZoneOut("north", 2)
	entries, _, ok := n.updateLog.Since(relay.Position{Revision: 1})
	assert.Assert(t, !ok && len(entries) == 0, "an update that nobody reads")
	r, err := n.serveUpdates(t.Context(), peer.UpdatesRequest{AfterRevision: 1})
	assert.NilError(t, err)
	assert.Assert(t, r.Whole)
	u, err := mergeReply(r, time.Now(), nil)
	assert.NilError(t, err)
	assert.Equal(t, u.Changes[len(u.Changes)-1].Zone, "north")
	assert.Equal(t, u.Published.Version, uint64(1))
	publishZoneOut("south", 3)
	r, err = n.serveUpdates(t.Context(), peer.UpdatesRequest{AfterRevision: 2})
	assert.NilError(t, err)
	assert.Assert(t, !r.Whole && len(r.EncodedUpdates) == 1, "%+v", r)
}

// Guards against an entry that expired in an outage and stays at a node which
// read the full state from one that still keeps it.
func TestExpiredInstancesAreNotForwarded(t *testing.T) {
	n := testNode(t, "127.0.0.1:9")
	n.directory.MinOutage = 100 * time.Millisecond
	now := time.Now()
	n.applyUpdate(&Update{Full: true, Revision: 1, ConfirmedAt: now, Published: coldDocument(), Changes: []fleet.Change{
		instanceStarted("i-1", "127.0.0.1:9", 1000, 0), instanceStarted("i-2", "127.0.0.1:10", 1000, 0),
	}})
	n.applyUpdate(&Update{Revision: 2, ConfirmedAt: now.Add(time.Second), Changes: []fleet.Change{{Kind: fleet.InstanceRemoved, ID: "i-2"}}})
	assert.Assert(t, n.directory.View().Instances["i-2"] != nil, "kept after an outage")
	r, err := n.serveUpdates(t.Context(), peer.UpdatesRequest{Whole: true})
	assert.NilError(t, err)
	u, err := mergeReply(r, time.Now(), nil)
	assert.NilError(t, err)
	assert.Equal(t, len(u.Changes), 1)
	assert.Equal(t, u.Changes[0].Instance.ID, "i-1")
}

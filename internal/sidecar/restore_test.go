package sidecar

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/fleet"
	"quetzaldock.example/quetzaldock/pkg/relay"
)

// routesDocument returns a configuration with the first n test routes.
func routesDocument(version uint64, n int) *PublishedConfig {
	d := testDocument()
	d.Routes = d.Routes[:n]
	return &PublishedConfig{Version: version, Document: d}
}

func draining(c fleet.Change, sequence uint64) fleet.Change {
	c.Instance.State, c.Instance.Sequence = fleet.Draining, sequence
	return c
}

// Guards against a full listing from after a restore of the store that is refused
// as stale because its revision is lower, so that later changes are not in force.
func TestChangesAfterARestoreAreInForce(t *testing.T) {
	m := newMesh(t, 3)
	copied := m.store.lastRevision()
	for range 10 {
		m.store.publish(nil, fleet.Change{Kind: fleet.ZoneIn, Zone: "ate"})
	}
	m.store.publish(routesDocument(3, 3))
	for _, n := range m.nodes {
		waitFor(t, "version 3", func() bool { return n.snapshot.Load().Version == 3 })
	}
	m.store.restore(copied)
	m.store.publish(routesDocument(5, 2), draining(m.backends[1].instanceChange("surco"), 9))
	restored := time.Now()
	for _, n := range m.nodes {
		waitFor(t, "version 5 at "+n.Settings.Host, func() bool { return n.snapshot.Load().Version == 5 })
		waitFor(t, "drain at "+n.Settings.Host, func() bool { return n.directory.View().Instances["i-1"].State == fleet.Draining })
	}
	assert.Assert(t, time.Since(restored) < 2*time.Second, "%s", time.Since(restored))
}

// Guards against a watch that goes on from a revision which the restored store has
// given out again, and so misses what was written before it.
func TestRevisionGivenOutAgainIsNotAPosition(t *testing.T) {
	m := newMesh(t, 2)
	copied := m.store.lastRevision()
	m.store.publish(nil, fleet.Change{Kind: fleet.ZoneIn, Zone: "ate"})
	seen := m.store.lastRevision()
	for _, n := range m.nodes {
		waitFor(t, "last revision", func() bool { return n.storeStatus().Revision == seen })
	}
	m.store.setFailure(errStoreRejects)
	m.store.restore(copied)
	m.store.publish(routesDocument(5, 2))
	m.store.publish(nil, fleet.Change{Kind: fleet.ZoneIn, Zone: "ate"})
	m.store.setFailure(nil)
	for _, n := range m.nodes {
		waitFor(t, "version 5 at "+n.Settings.Host, func() bool { return n.snapshot.Load().Version == 5 })
	}
}

// Guards against an update that is applied although it is of another era than what
// it is to follow, and against a full state that is refused because its revision
// is lower.
func TestUpdatesFollowOnWithinOneEra(t *testing.T) {
	applied := relay.Position{Era: 2, Revision: 50}
	for _, c := range []struct {
		update Update
		err    *errorx.Type
	}{
		{Update{Era: 2, Revision: 51}, nil},
		{Update{Era: 2, Revision: 50}, nil},
		{Update{Era: 2, Revision: 50, Full: true}, nil},
		{Update{Era: 2, Revision: 49, Full: true}, ErrStale},
		{Update{Era: 3, Revision: 10, Full: true}, nil},
		{Update{Era: 3, Revision: 60}, ErrEraChanged},
		{Update{Era: 1, Revision: 60, Full: true}, ErrStale},
		{Update{Era: 1, Revision: 60}, ErrStale},
		{Update{Revision: 60, Full: true}, ErrStale},
	} {
		err := checkOrder(&c.update, applied)
		if c.err == nil {
			assert.NilError(t, err)
			continue
		}
		assert.Assert(t, errorx.IsOfType(err, c.err), "%+v: %v", c.update, err)
	}
}

// restoredNode returns a node at era 2, revision 10, whose instance i-1 other nodes
// have read.
func restoredNode(t *testing.T) *Node {
	t.Helper()
	n := testNode(t, "127.0.0.1:9")
	n.applyUpdate(&Update{Era: 2, Full: true, Revision: 10, ConfirmedAt: time.Now(), Published: coldDocument(), Changes: []fleet.Change{
		instanceStarted("i-1", "127.0.0.1:10", 1000, 0),
	}})
	return n
}

func requestAfter(era, revision uint64, wait time.Duration) peer.UpdatesRequest {
	return peer.UpdatesRequest{AfterEra: &era, AfterRevision: revision, WaitMs: wait.Milliseconds()}
}

// Guards against a node that hands on nothing, or the changes after an equal
// revision, to a node that is an era behind or ahead.
func TestReplyToNodeOfAnotherEra(t *testing.T) {
	n := restoredNode(t)
	begun := time.Now()
	for _, revision := range []uint64{5, 10, 90} {
		r, err := n.serveUpdates(t.Context(), requestAfter(1, revision, maxRelayWait))
		assert.NilError(t, err)
		u, err := mergeReply(r, time.Now(), nil)
		assert.NilError(t, err)
		assert.Assert(t, u.Full && u.position() == relay.Position{Era: 2, Revision: 10}, "%+v", u)
		assert.Equal(t, len(u.Changes), 1)
		r, err = n.serveUpdates(t.Context(), requestAfter(3, revision, maxRelayWait))
		assert.NilError(t, err)
		u, err = mergeReply(r, time.Now(), nil)
		assert.NilError(t, err)
		err = checkOrder(u, relay.Position{Era: 3, Revision: revision})
		assert.Assert(t, errorx.IsOfType(err, ErrStale), "%v", err)
	}
	assert.Assert(t, time.Since(begun) < maxRelayWait, "nothing to wait for")
}

// Guards against nodes of the build before eras that get the full state again and
// again, or that are taken for current ones.
func TestReplyToNodeWithoutEras(t *testing.T) {
	n := restoredNode(t)
	r, err := n.serveUpdates(t.Context(), peer.UpdatesRequest{AfterRevision: 10, WaitMs: 1})
	assert.NilError(t, err)
	assert.Assert(t, !r.Whole && len(r.EncodedUpdates) == 0 && r.Revision == 10, "%+v", r)
	r, err = n.serveUpdates(t.Context(), peer.UpdatesRequest{AfterRevision: 9})
	assert.NilError(t, err)
	assert.Assert(t, r.Whole)
	r.Era = 0
	u, err := mergeReply(r, time.Now(), nil)
	assert.NilError(t, err)
	assert.NilError(t, checkOrder(u, relay.Position{}), "without the store, such a node is better than none")
	err = checkOrder(u, relay.Position{Era: 2, Revision: 1})
	assert.Assert(t, errorx.IsOfType(err, ErrStale), "%v", err)
}

// Guards against a waiting node that learns of a restore only at the end of its
// wait.
func TestWaitingNodesLearnOfARestoreAtOnce(t *testing.T) {
	n := restoredNode(t)
	const after = 100 * time.Millisecond
	time.AfterFunc(after, func() {
		n.applyUpdate(&Update{Era: 3, Full: true, Revision: 4, ConfirmedAt: time.Now(), Published: coldDocument()})
	})
	begun := time.Now()
	r, err := n.serveUpdates(t.Context(), requestAfter(2, 10, maxRelayWait))
	assert.NilError(t, err)
	assert.Assert(t, r.Whole && r.Era == 3 && r.Revision == 4, "%+v", r)
	assert.Assert(t, time.Since(begun) < maxRelayWait-after, "%s", time.Since(begun))
}

// Guards against an instance that has left and gets requests again after a restore,
// and against one that the copy lacks and that gets none until it has written again.
func TestInstancesAfterARestore(t *testing.T) {
	m := newMesh(t, 3)
	late := fleet.Change{Kind: fleet.InstanceSet, Instance: fleet.Instance{ID: "late", Service: "records", Zone: "ate", Address: "127.0.0.1:9", Slots: 4, Born: 7, Sequence: 1}}
	gone := late
	gone.Instance.ID = "gone"
	m.store.publish(nil, gone)
	for _, n := range m.nodes {
		waitFor(t, "instance that will leave", func() bool { return n.directory.View().Instances["gone"] != nil })
	}
	copied := m.store.lastRevision()
	m.store.publish(nil, late, draining(m.backends[1].instanceChange("surco"), 9), fleet.Change{Kind: fleet.InstanceRemoved, ID: "gone"})
	m.store.publish(nil, fleet.Change{Kind: fleet.ZoneOut, Zone: "callao"})
	expected := func(n *Node) bool {
		v := n.directory.View()
		return v.Instances["late"] != nil && v.Instances["gone"] == nil && v.Instances["i-1"].State == fleet.Draining && v.ZonesOut["callao"]
	}
	for _, n := range m.nodes {
		waitFor(t, "changes before the restore", func() bool { return expected(n) })
	}
	m.store.restore(copied)
	for _, n := range m.nodes {
		waitFor(t, "restore at "+n.Settings.Host, func() bool { return n.storeStatus().Era == 1 })
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); sleep(t.Context(), 5*time.Millisecond) {
		for _, n := range m.nodes {
			assert.Assert(t, expected(n), "%s: %+v", n.Settings.Host, n.directory.View())
		}
	}
	m.store.publish(nil, late)
	for _, n := range m.nodes {
		waitFor(t, "end of what is kept", func() bool {
			v := n.directory.View()
			return v.Instances["late"] != nil && !v.ZonesOut["callao"] && v.Instances["gone"] != nil
		})
	}
}

// Guards against a second restore that is taken for the first one, also where the
// revision is the same.
func TestTwoRestores(t *testing.T) {
	m := newMesh(t, 2)
	copied := m.store.lastRevision()
	for i := range uint64(3) {
		m.store.restore(copied)
		m.store.publish(routesDocument(10+i, 2))
		for _, n := range m.nodes {
			waitFor(t, "version at "+n.Settings.Host, func() bool { return n.snapshot.Load().Version == 10+i })
			waitFor(t, "era at "+n.Settings.Host, func() bool { return n.storeStatus().Era == i+1 })
		}
	}
}

// Guards against a host that takes the gap of a copy for the confirmed end of its
// own instance, and against an answer of another era that confirms it.
func TestCopyDoesNotConfirmTheEndOfTheLocalInstance(t *testing.T) {
	n := testNode(t, "127.0.0.1:9")
	n.applyUpdate(&Update{Era: 1, Full: true, Revision: 20, ConfirmedAt: time.Now(), Published: coldDocument(), Changes: []fleet.Change{
		instanceStarted("i-1", "127.0.0.1:9", 1000, 0),
	}})
	var listings atomic.Int64
	var listed atomic.Pointer[Update]
	listed.Store(&Update{Era: 2, Revision: 5})
	n.Source = Source{List: func(context.Context) (*Update, error) {
		listings.Add(1)
		return listed.Load(), nil
	}}
	ctx, cancel := context.WithCancel(t.Context())
	defer n.background.Wait()
	defer cancel()
	known := func() bool { return n.directory.View().Instances["i-1"] != nil }
	u := &Update{Era: 1, Revision: 21, Changes: []fleet.Change{{Kind: fleet.InstanceRemoved, ID: "i-1"}}}
	n.holdLocalRemoval(ctx, u)
	n.applyUpdate(u)
	waitFor(t, "listing of a later era", func() bool { return listings.Load() >= 1 })
	assert.Assert(t, known() && n.verifyingRemoval.Load())
	u = &Update{Era: 2, Full: true, Revision: 5, ConfirmedAt: time.Now()}
	n.holdLocalRemoval(ctx, u)
	n.applyUpdate(u)
	asked := listings.Load()
	waitFor(t, "listing after the restore", func() bool { return listings.Load() > asked+1 })
	assert.Assert(t, known() && n.verifyingRemoval.Load())
	waitFor(t, "end of the instance that does not write again", func() bool { return !known() })
}

// Guards against a node that starts after a restore and serves the copy's
// configuration although the others have a newer one in force.
func TestStartAfterARestoreTakesTheNewestConfiguration(t *testing.T) {
	m := newMesh(t, 3)
	copied := m.store.lastRevision()
	m.store.publish(routesDocument(7, 2))
	for _, n := range m.nodes {
		waitFor(t, "version 7", func() bool { return n.snapshot.Load().Version == 7 })
	}
	m.store.restore(copied)
	for _, n := range m.nodes {
		waitFor(t, "restore at "+n.Settings.Host, func() bool { return n.storeStatus().Era == 1 })
	}
	host := nextLoopbackHost()
	m.start(t, host, newBackendAt(t, "i-3", host))
	started := m.nodes[3]
	waitFor(t, "version 7 at the node that started", func() bool { v := started.snapshot.Load(); return v != nil && v.Version == 7 })
	for _, n := range m.nodes {
		assert.Equal(t, n.snapshot.Load().Version, uint64(7))
	}
}

// Guards against a warm instance that is limited as cold because a copy has its entry
// from just after its start.
func TestEarlierEntryOfACopyDoesNotExtendTheColdTime(t *testing.T) {
	const address = "127.0.0.1:9"
	n := testNode(t, address)
	entry := instanceStarted("i-1", address, 1000, 0)
	entry.Instance.Sequence = 9
	n.applyUpdate(&Update{Era: 1, Full: true, Revision: 20, ConfirmedAt: time.Now(), Published: coldDocument(), Changes: []fleet.Change{entry}})
	until := n.admission.ColdUntil()
	earlier := instanceStarted("i-1", address, 1000, time.Minute)
	earlier.Instance.Sequence = 1
	n.applyUpdate(&Update{Era: 2, Full: true, Revision: 5, ConfirmedAt: time.Now(), Changes: []fleet.Change{earlier}})
	assert.Equal(t, n.admission.ColdUntil(), until)
}

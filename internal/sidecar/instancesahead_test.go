package sidecar

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/fleet"
	"quetzaldock.example/quetzaldock/pkg/relay"
)

// slowConfigs lets the answers of the store that hold version 9 arrive until
// release is closed, as on a slow link.
func slowConfigs(n *Node, release <-chan struct{}) {
	whole := n.Source.Watch
	n.Source.Watch = func(ctx context.Context, after relay.Position, wait time.Duration) (*Update, error) {
		u, err := whole(ctx, after, wait)
		if err != nil || u.Published == nil || u.Published.Version < 9 {
			return u, err
		}
		for {
			select {
			case <-release:
				return u, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(20 * time.Millisecond):
				n.storeProgress.lastRead.set(time.Now())
			}
		}
	}
	n.Source.WatchInstances = func(ctx context.Context, after relay.Position, wait time.Duration) (*Update, error) {
		u, err := whole(ctx, after, min(wait, 50*time.Millisecond))
		if err == nil {
			u.Published = nil
		}
		return u, err
	}
}

// Guards against requests for an instance that drains or has left while a large
// configuration arrives, at the node that reads the store and at those that read it.
func TestInstancesThatLeaveDoNotWaitForAConfiguration(t *testing.T) {
	release := make(chan struct{})
	m := newMeshWith(t, 4, func(n *Node) {
		n.Bounds.MinOutage = DefaultBounds().MinOutage
		slowConfigs(n, release)
	})
	m.store.publish(routesDocument(9, 2))
	time.Sleep(50 * time.Millisecond)
	m.store.publish(nil, draining(m.backends[1].instanceChange("surco"), 9))
	m.store.publish(nil, fleet.Change{Kind: fleet.InstanceRemoved, ID: "i-2", Revision: m.store.lastRevision() + 1})
	published := time.Now()
	for _, n := range m.nodes {
		waitFor(t, "drain and removal at "+n.Settings.Host, func() bool {
			v := n.directory.View()
			return v.Instances["i-1"].State == fleet.Draining && v.Instances["i-2"] == nil
		})
		assert.Assert(t, n.snapshot.Load().Version < 9, "the configuration has arrived")
	}
	assert.Assert(t, time.Since(published) < 1500*time.Millisecond, "%s", time.Since(published))
	close(release)
	for _, n := range m.nodes {
		waitFor(t, "version 9", func() bool { return n.snapshot.Load().Version == 9 })
		v := n.directory.View()
		assert.Assert(t, v.Instances["i-1"].State == fleet.Draining && v.Instances["i-2"] == nil)
	}
}

// Guards against a full state from before the changes that were read ahead, which would
// undo them, and against changes that are kept after their time.
func TestFullStateFromBeforeInstancesReadAheadIsRefused(t *testing.T) {
	var a instancesAhead
	var r peer.UpdatesReply
	assert.Assert(t, !a.addTo(&r, 2, 0))
	a.add(relay.Position{Era: 2, Revision: 12}, []fleet.Change{{Kind: fleet.InstanceRemoved, ID: "a", Revision: 12}}, time.Now())
	assert.Assert(t, errorx.IsOfType(a.checkFull(&Update{Era: 2, Revision: 11, Full: true}), ErrStale))
	assert.NilError(t, a.checkFull(&Update{Era: 2, Revision: 11}))
	assert.NilError(t, a.checkFull(&Update{Era: 2, Revision: 12, Full: true}))
	assert.NilError(t, a.checkFull(&Update{Era: 3, Revision: 1, Full: true}))
	assert.Assert(t, !a.addTo(&r, 2, 12) && !a.addTo(&r, 1, 0) && a.addTo(&r, 2, 11))
	assert.Equal(t, r.InstancesRevision, uint64(12))
	a.trim(relay.Position{Era: 2, Revision: 11})
	assert.Equal(t, a.latest(), uint64(12))
	a.trim(relay.Position{Era: 2, Revision: 12})
	assert.Equal(t, a.latest(), uint64(0))
}

// Guards against requests of other nodes for a local instance whose removal only has to
// be confirmed by the store, and against a confirmation that reads a large configuration.
func TestRemovedLocalInstanceTakesNoRequestsOfOtherNodes(t *testing.T) {
	m := newMesh(t, 2)
	beside := m.nodes[1]
	var asked atomic.Int64
	confirm := make(chan struct{})
	beside.Source.ListInstances = func(ctx context.Context) (*Update, error) {
		asked.Add(1)
		select {
		case <-confirm:
			return &Update{}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	u := &Update{Changes: []fleet.Change{{Kind: fleet.InstanceRemoved, ID: "i-1"}}}
	beside.holdLocalRemoval(t.Context(), u)
	waitFor(t, "question to the store", func() bool { return asked.Load() == 1 })
	for range 10 {
		assert.Equal(t, m.send(t, 0, http.MethodPost, "/entry/a").status, http.StatusOK)
	}
	assert.Equal(t, m.backends[1].count(), 0, "requests of another node")
	ran := 0
	for range 20 {
		assert.Equal(t, m.send(t, 1, http.MethodPost, "/entry/a").status, http.StatusOK)
		ran = m.backends[1].count()
	}
	assert.Assert(t, ran > 0, "requests of this node")
	close(confirm)
	waitFor(t, "end of the instance", func() bool { return beside.directory.View().Instances["i-1"] == nil })
}

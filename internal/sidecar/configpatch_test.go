package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/relay"
)

// manyRoutes returns a version of the test configuration with further routes.
func manyRoutes(version uint64, routes int) *PublishedConfig {
	d := testDocument()
	for i := range routes {
		d.Routes = append(d.Routes, config.Route{VirtualHost: "mesh", Prefix: fmt.Sprintf("/more%d/", i), Service: "desk", Kind: config.RouteSafe, TimeoutMs: 1000})
	}
	return &PublishedConfig{Version: version, Document: d}
}

// Guards against versions of a large configuration that are sent to every node in full
// although little changed: with many nodes they fill the link of the one that is read.
func TestVersionsAreSentAsPatches(t *testing.T) {
	source, reader := testNode(t, "127.0.0.1:9"), testNode(t, "127.0.0.1:10")
	source.applyUpdate(&Update{Full: true, Revision: 1, ConfirmedAt: time.Now(), Published: manyRoutes(1, 300)})
	whole, err := source.serveUpdates(t.Context(), peer.UpdatesRequest{Whole: true})
	assert.NilError(t, err)
	u, err := mergeReply(whole, time.Now(), reader.newestConfig())
	assert.NilError(t, err)
	reader.applyUpdate(u)
	for version := uint64(2); version <= 10; version++ {
		next := manyRoutes(version, 300)
		next.Document.Routes[int(version)].TimeoutMs = 100 + int(version)
		source.applyUpdate(&Update{Revision: version, ConfirmedAt: time.Now(), Published: next})
	}
	// A node of an earlier build, which does not know patches, gets everything.
	r, err := source.serveUpdates(t.Context(), peer.UpdatesRequest{AfterRevision: 1})
	assert.NilError(t, err)
	assert.Assert(t, r.Whole)
	r, err = source.serveUpdates(t.Context(), peer.UpdatesRequest{AfterRevision: 1, Reader: "127.0.0.1:10"})
	assert.NilError(t, err)
	assert.Equal(t, len(r.EncodedUpdates), 9)
	size := 0
	for _, b := range r.EncodedUpdates {
		size += len(b)
	}
	assert.Assert(t, size < 9*400, "%d bytes for 9 versions", size)
	u, err = mergeReply(r, time.Now(), reader.newestConfig())
	assert.NilError(t, err)
	reader.applyUpdate(u)
	assert.Equal(t, reader.snapshot.Load().Version, uint64(10))
	assert.Equal(t, reader.newestConfig().Document.Checksum(), source.newestConfig().Document.Checksum())
	// A node that already has a later version of the reply passes it on all the same.
	u, err = mergeReply(r, time.Now(), reader.newestConfig())
	assert.NilError(t, err)
	assert.Equal(t, u.Published.Version, uint64(10))
}

// Guards against a patch that is applied to another version, and against a node that
// never gets the configuration because it cannot use the patches.
func TestNodeWithoutTheBaseOfAPatchReadsTheFullState(t *testing.T) {
	m := newMesh(t, 3)
	d := testDocument()
	d.Routes[0].TimeoutMs = 1400
	m.store.publish(&PublishedConfig{Version: 2, Document: d})
	for _, n := range m.nodes {
		waitFor(t, "version 2", func() bool { return n.snapshot.Load().Version == 2 })
	}
	// One node has another configuration than the others think.
	other := testDocument()
	other.Routes[1].TimeoutMs = 1
	last := m.nodes[2]
	last.updateMu.Lock()
	last.publishedConfig = &PublishedConfig{Version: 2, Document: other}
	last.updateMu.Unlock()
	d.Routes = append(d.Routes[:0:0], d.Routes...)
	d.Routes[0].TimeoutMs = 1300
	m.store.publish(&PublishedConfig{Version: 3, Document: d})
	for _, n := range m.nodes {
		waitFor(t, "version 3", func() bool { return n.snapshot.Load().Version == 3 })
		assert.Equal(t, n.newestConfig().Document.Checksum(), d.Checksum())
	}
	_, err := (&ConfigPatch{From: 5, To: 6}).apply(&PublishedConfig{Version: 4})
	assert.Assert(t, errorx.IsOfType(err, errMissingBase))
	_, err = (&ConfigPatch{From: 5, To: 6}).apply(nil)
	assert.Assert(t, errorx.IsOfType(err, errMissingBase))
}

// Guards against a node that has to read the full state and waits for seconds at another
// node that stands still, while versions go out of force elsewhere.
func TestFullStateOfASilentNodeIsNotWaitedForLong(t *testing.T) {
	host := nextLoopbackHost()
	listenSilently(t, host+":"+testControlPort)
	n := testNode(t, "127.0.0.1:9")
	began := time.Now()
	_, err := n.readSource(t.Context(), host+":"+testControlPort, relay.Position{}, false, maxRelayWait, nodeGrace)
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < 1500*time.Millisecond, "%s", time.Since(began))
}

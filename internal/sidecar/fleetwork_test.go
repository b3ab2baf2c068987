package sidecar

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/fleet"
)

// manyInstances returns the entries of a large fleet.
func manyInstances(n int) []fleet.Change {
	all := make([]fleet.Change, 0, n)
	for i := range n {
		all = append(all, instanceStarted(fmt.Sprintf("i-%d", i), fmt.Sprintf("127.1.%d.%d:9", i/250, 1+i%250), 1000, 0))
	}
	return all
}

// Guards against work for the whole fleet that is done again although nothing has
// changed: with hundreds of instances it takes most of a node's processor time.
func TestUnchangedFleetCostsNoWork(t *testing.T) {
	n := testNode(t, "127.0.0.1:9")
	n.applyUpdate(&Update{Full: true, Revision: 1, ConfirmedAt: time.Now(), Published: coldDocument(), Changes: manyInstances(300)})
	n.applyInstances()
	changed := testing.AllocsPerRun(5, func() {
		n.directory.Apply(manyInstances(1))
		n.applyInstances()
	})
	unchanged := testing.AllocsPerRun(50, n.applyInstances)
	assert.Assert(t, unchanged <= 20, "%.0f allocations, after a change %.0f", unchanged, changed)
}

// Guards against a full state that is encoded for each of many nodes that ask for it
// together, and against one that is sent although it has changed.
func TestFullStateIsEncodedOnce(t *testing.T) {
	n := testNode(t, "127.0.0.1:9")
	n.applyUpdate(&Update{Full: true, Revision: 1, ConfirmedAt: time.Now(), Published: coldDocument(), Changes: manyInstances(300)})
	ask := func() []byte {
		r, err := n.serveUpdates(t.Context(), peer.UpdatesRequest{Whole: true})
		assert.NilError(t, err)
		assert.Assert(t, r.Whole)
		return r.EncodedUpdates[0]
	}
	first, second := ask(), ask()
	assert.Assert(t, &first[0] == &second[0], "encoded again")
	n.applyUpdate(&Update{Revision: 2, ConfirmedAt: time.Now(), Changes: []fleet.Change{{Kind: fleet.ZoneOut, Zone: "north"}}})
	third := ask()
	u, err := decodeUpdate(third)
	assert.NilError(t, err)
	assert.Equal(t, len(u.Changes), 301)
}

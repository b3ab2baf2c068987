package sidecar

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/fleet"
)

// Guards against a local instance that is used for good after its end because the
// node reads nodes of the build before eras, whose era is 0.
func TestEndOfTheLocalInstanceIsConfirmedBesideNodesWithoutEras(t *testing.T) {
	n := testNode(t, "127.0.0.1:9")
	n.applyUpdate(&Update{Full: true, Revision: 20, ConfirmedAt: time.Now(), Published: coldDocument(), Changes: []fleet.Change{
		instanceStarted("i-1", "127.0.0.1:9", 1000, 0),
	}})
	n.Source = Source{List: func(context.Context) (*Update, error) { return &Update{Era: 1, Revision: 21}, nil }}
	ctx, cancel := context.WithCancel(t.Context())
	defer n.background.Wait()
	defer cancel()
	u := &Update{Revision: 21, ConfirmedAt: time.Now(), Changes: []fleet.Change{{Kind: fleet.InstanceRemoved, ID: "i-1"}}}
	n.holdLocalRemoval(ctx, u)
	n.applyUpdate(u)
	for end := time.Now().Add(4 * time.Second); n.directory.View().Instances["i-1"] != nil; sleep(t.Context(), 10*time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the store has confirmed the removal")
	}
}

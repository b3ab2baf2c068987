package sidecar

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/relay"
)

// Guards against a full state of a later era that another node gets under the
// position of the earlier one, and then applies without the grace of a restore.
func TestFullReplyHasThePositionOfItsState(t *testing.T) {
	n := restoredNode(t)
	n.updateMu.Lock()
	replies := make(chan peer.UpdatesReply, 1)
	go func() {
		r, err := n.serveUpdates(t.Context(), peer.UpdatesRequest{Whole: true})
		assert.Check(t, err)
		replies <- r
	}()
	waitFor(t, "reader that waits for the state", func() bool {
		b := make([]byte, 1<<20)
		s := string(b[:runtime.Stack(b, true)])
		return strings.Contains(s, "sidecar.(*Node).fullReply")
	})
	// What applyUpdate does for the first full state of era 3, under its lock.
	n.directory.Restore(nil)
	n.updateLog.Reset(relay.Position{Era: 3, Revision: 4}, time.Now())
	n.updateMu.Unlock()
	r := <-replies
	u, err := mergeReply(r, time.Now(), nil)
	assert.NilError(t, err)
	assert.Equal(t, len(u.Changes), 0, "the state is that of era 3")
	assert.Equal(t, u.position(), relay.Position{Era: 3, Revision: 4})
}

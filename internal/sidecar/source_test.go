package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/fleet"
)

// Guards against one read of the store for nearly every change in a quick
// succession, and against a delay of the last change.
func TestChangesInQuickSuccessionAreReadTogether(t *testing.T) {
	m := newMesh(t, 1)
	const duration, pause = 2 * time.Second, 20 * time.Millisecond
	before := m.store.watchCounts()["i-0"]
	for end := time.Now().Add(duration); time.Now().Before(end); {
		m.store.publish(nil, fleet.Change{Kind: fleet.ZoneOut, Zone: "ate"})
		sleep(t.Context(), pause)
	}
	m.store.publish(nil, fleet.Change{Kind: fleet.ZoneOut, Zone: "callao"})
	published := time.Now()
	waitFor(t, "the last change", func() bool { return m.nodes[0].directory.View().ZonesOut["callao"] })
	assert.Assert(t, time.Since(published) < 2*maxBatchPause, "%s", time.Since(published))
	watches := m.store.watchCounts()["i-0"] - before
	maxWatches := int(duration/maxBatchPause) + 5
	assert.Assert(t, watches <= maxWatches, "%d reads, at most %d", watches, maxWatches)
}

// Guards against a node that looks cut off from the store to its readers because
// it pauses between two reads: all of them would then read the store.
func TestPauseBetweenReadsDoesNotLookLikeAnOutage(t *testing.T) {
	m := newMesh(t, 2)
	sleep(t.Context(), 2*watchWait)
	before := m.store.watchCounts()
	for range 30 {
		m.store.publish(nil, fleet.Change{Kind: fleet.ZoneOut, Zone: "ate"})
		sleep(t.Context(), 50*time.Millisecond)
	}
	sleep(t.Context(), 2*watchWait)
	after := m.store.watchCounts()
	readers := 0
	for node := range after {
		if after[node] > before[node] {
			readers++
		}
	}
	assert.Equal(t, readers, 1, "%v, then %v", before, after)
}

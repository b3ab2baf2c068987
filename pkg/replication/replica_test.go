package replication_test

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/replication"
)

// startedFleet returns a fleet that has version 1 in force everywhere.
func startedFleet(t *testing.T, seed uint64, n, zones int, lossRate float64) *fleet {
	t.Helper()
	f := newFleet(t, seed, n, zones)
	f.lossRate = lossRate
	f.publish(1, zones)
	f.startAll()
	f.run(10 * time.Second)
	_, ok := f.convergenceTime(1, f.now)
	assert.Assert(t, ok, "seed %d: not started within 10 s", seed)
	return f
}

// Guards against nodes that miss a new version because messages to them were
// lost: the periodic exchanges have to make up for lost pushes.
func TestConvergesDespiteLoss(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 10; seed++ {
		f := startedFleet(t, seed, 50, 4, 0.1)
		since := f.now
		f.publish(2, 4)
		f.run(4 * time.Second)
		_, ok := f.convergenceTime(2, since)
		assert.Assert(t, ok, "seed %d: not everywhere within 4 s", seed)
		f.assertNoViolations()
	}
}

// Guards against versions that spread by the periodic exchanges only, which
// takes longer than the aim of one second.
func TestPushesConvergeWithinASecond(t *testing.T) {
	t.Parallel()
	f := startedFleet(t, 1, 200, 19, 0)
	since := f.now
	f.publish(2, 19)
	f.run(time.Second)
	_, ok := f.convergenceTime(2, since)
	assert.Assert(t, ok)
	f.assertNoViolations()
}

// Guards against a node that goes back to an older version, or combines two
// versions, under any mixture of faults: lost and duplicate messages, pauses,
// restarts, partitions, an unreachable or stale source, and a manifest published
// before its parts or with other parts.
func TestNeverGoesBack(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 30; seed++ {
		f := startedFleet(t, seed, 13, 4, 0.05)
		f.duplicateRate = 0.1
		rng := rand.New(rand.NewPCG(seed, 7))
		v := uint64(1)
		for range 25 {
			f.injectFault(rng, &v)
			f.run(time.Duration(1000+rng.IntN(8000)) * time.Millisecond)
		}
		f.partitioned, f.sourceReachable = nil, nil
		v++
		f.publish(v, 4)
		f.run(20 * time.Second)
		f.assertNoViolations()
		_, ok := f.convergenceTime(v, f.now)
		assert.Assert(t, ok, "seed %d: fleet did not recover", seed)
	}
}

// injectFault causes or ends one fault at random, or publishes a version. It
// leaves out two cases in which a node may go back, as documented: a stale
// source while a restarted node cannot reach its peers, and a version that only
// one node had when it stopped and that the source lost.
func (f *fleet) injectFault(rng *rand.Rand, v *uint64) {
	n := f.orderedNodes[rng.IntN(len(f.orderedNodes))]
	switch rng.IntN(8) {
	case 0, 1:
		*v++
		f.publish(*v, 4)
	case 2:
		if f.partitioned == nil {
			f.start(n)
		}
	case 3:
		n.pausedUntil = f.now.Add(time.Duration(rng.IntN(20)) * time.Second)
	case 4:
		if f.partitioned = nil; rng.IntN(2) == 0 {
			cutOffZone := rng.IntN(4)
			f.partitioned = func(a, b *node) bool { return (a.zoneIndex() == cutOffZone) != (b.zoneIndex() == cutOffZone) }
		}
	case 5:
		if f.sourceReachable = nil; rng.IntN(2) == 0 {
			f.sourceReachable = func(*node) bool { return false }
		}
	case 6:
		// The source goes back to an older version with all its parts.
		f.run(5 * time.Second)
		f.publish(1+rng.Uint64N(*v), 4)
	case 7:
		*v++
		m, files := newVersion(f.t, *v, 4, rng.IntN(2) == 0)
		f.sourceValues["manifest"] = m // published before its parts
		for d := range files {
			f.sourceValues["parts/"+d] = []byte("other bytes")
		}
		f.run(time.Second)
		for d, b := range files {
			f.sourceValues["parts/"+d] = b
		}
	}
}

func (n *node) zoneIndex() int { return int(n.host.Zone[3] - '0') }

// Guards against a node that restarts right after it alone has put a version
// in force, and comes back with the older version of its peers, which the
// source confirmed to them less than FreshnessWindow ago.
func TestRestartedNodeGetsItsVersionFromTheSource(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 20; seed++ {
		f := startedFleet(t, seed, 13, 4, 0)
		n := f.orderedNodes[seed%13]
		f.partitioned = func(a, b *node) bool { return a == n || b == n }
		f.sourceReachable = func(x *node) bool { return x == n }
		f.publish(2, 4)
		for n.maxVersionInForce < 2 && f.now.Before(time.Unix(1_000_020, 0)) {
			f.readSource(n, "manifest")
			f.run(100 * time.Millisecond)
		}
		assert.Equal(t, n.maxVersionInForce, uint64(2))
		f.partitioned, f.sourceReachable = nil, func(*node) bool { return false }
		f.start(n)
		f.run(1500 * time.Millisecond)
		f.sourceReachable = nil
		f.run(5 * time.Second)
		f.assertNoViolations()
		assert.Equal(t, n.replica.Current().Version, uint64(2))
	}
}

// Guards against a restarted node that puts the version of a stale source in
// force while its peers have a newer one in force.
func TestRestartWithStaleSource(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 10; seed++ {
		f := startedFleet(t, seed, 13, 4, 0.1)
		f.publish(2, 4)
		f.run(5 * time.Second)
		f.publish(1, 4)
		for _, n := range f.orderedNodes[:6] {
			f.start(n)
			f.run(4 * time.Second)
			assert.Equal(t, n.maxVersionInForce, uint64(2))
		}
		f.assertNoViolations()
	}
}

// Guards against a node that still accepts a withdrawn key because it is cut
// off from the source and its peers, or was paused.
func TestCutOffNodeRefusesKeyedCalls(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 10; seed++ {
		f := startedFleet(t, seed, 13, 4, 0)
		lost, paused := f.orderedNodes[3], f.orderedNodes[6]
		f.partitioned = func(a, b *node) bool { return a == lost || b == lost }
		f.sourceReachable = func(n *node) bool { return n != lost }
		f.publish(2, 4)
		f.keyWithdrawnIn, f.withdrawalDeadline = 2, f.now.Add(replication.FreshnessWindow+time.Second)
		paused.pausedUntil = f.now.Add(20 * time.Second)
		f.run(30 * time.Second)
		f.assertNoViolations()
		assert.Equal(t, lost.replica.Current().Version, uint64(1), "open routes go on")
		assert.Assert(t, !lost.replica.KeyedAllowed(f.now))
		assert.Equal(t, paused.maxVersionInForce, uint64(2))
		f.partitioned, f.sourceReachable = nil, nil
		f.run(5 * time.Second)
		assert.Equal(t, lost.maxVersionInForce, uint64(2))
		assert.Assert(t, lost.replica.KeyedAllowed(f.now))
	}
}

// Guards against nodes that accept withdrawn keys because a partition separates
// them from the source, and against nodes on the side of the source that refuse
// keyed calls.
func TestPartitionWithSourceOnOneSide(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 10; seed++ {
		f := startedFleet(t, seed, 50, 4, 0)
		near := func(n *node) bool { return n.zoneIndex() < 1 }
		f.partitioned = func(a, b *node) bool { return near(a) != near(b) }
		f.sourceReachable = near
		f.publish(2, 4)
		f.keyWithdrawnIn, f.withdrawalDeadline = 2, f.now.Add(2*replication.FreshnessWindow)
		f.run(30 * time.Second)
		f.assertNoViolations()
		for _, n := range f.orderedNodes {
			assert.Equal(t, n.replica.KeyedAllowed(f.now), near(n), n.host.ID)
		}
	}
}

// Guards against an outage of the source that makes nodes refuse keyed calls
// although all nodes can reach each other.
func TestSourceOutageKeepsServing(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		n, zones int
		seeds    uint64
	}{{1, 1, 3}, {2, 1, 3}, {13, 4, 5}, {100, 4, 1}, {200, 19, 1}} {
		for seed := uint64(1); seed <= c.seeds; seed++ {
			f := startedFleet(t, seed, c.n, c.zones, 0)
			f.sourceReachable = func(*node) bool { return false }
			f.resetCounts()
			f.run(30 * time.Second)
			assert.Assert(t, f.keyedRefusedShare() < 0.01, "%d hosts, seed %d: %.4f", c.n, seed, f.keyedRefusedShare())
			// Restarted nodes get the version from their peers.
			f.start(f.orderedNodes[0])
			f.run(5 * time.Second)
			assert.Equal(t, f.orderedNodes[0].replica.Ready(), c.n > 1)
			f.assertNoViolations()
		}
	}
}

func (f *fleet) resetCounts() {
	for _, n := range f.orderedNodes {
		n.bytes, n.calls, n.dials, n.samples, n.keyedRefusedSamples = 0, 0, 0, 0, 0
	}
	f.sourceReadTimes = nil
}

// keyedRefusedShare returns the share of samples, from 0 to 1, at which a node
// refused keyed calls.
func (f *fleet) keyedRefusedShare() float64 {
	keyedRefusedSamples, samples := 0, 0
	for _, n := range f.orderedNodes {
		keyedRefusedSamples += n.keyedRefusedSamples
		samples += n.samples
	}
	return float64(keyedRefusedSamples) / float64(max(1, samples))
}

// Guards against nodes that overload the source when all restart at once.
func TestHerdRestart(t *testing.T) {
	t.Parallel()
	f := startedFleet(t, 1, 200, 19, 0)
	f.resetCounts()
	since := f.now
	// Nodes that all start at once are slow to answer, so most of them get the
	// host list from peers later than they could read it at the source.
	f.latency = func(_, _ *node) time.Duration { return time.Duration(100+f.rng.IntN(100)) * time.Millisecond }
	f.startAll()
	f.run(10 * time.Second)
	for _, n := range f.orderedNodes {
		assert.Assert(t, n.replica.Ready(), n.host.ID)
	}
	assert.Assert(t, f.peakReadsPerSecond() < 200, "%d reads in a second after %v", f.peakReadsPerSecond(), f.now.Sub(since))
	f.assertNoViolations()
}

// Guards against an invalid version that is put in force in part or makes nodes
// refuse keyed calls, and against one whose parts at the source have other bytes.
func TestInvalidVersionsAndMismatchedParts(t *testing.T) {
	t.Parallel()
	f := startedFleet(t, 1, 13, 4, 0)
	m, files := newVersion(t, 2, 4, true)
	for d, b := range files {
		f.sourceValues["parts/"+d] = b
	}
	f.sourceValues["manifest"] = m
	f.run(10 * time.Second)
	f.resetCounts()
	f.run(10 * time.Second)
	assert.Equal(t, f.keyedRefusedShare(), 0.0)
	m, files = newVersion(t, 3, 4, false)
	f.sourceValues["manifest"] = m
	f.run(5 * time.Second)
	for d := range files {
		f.sourceValues["parts/"+d] = []byte("bytes of another part")
	}
	f.run(5 * time.Second)
	for _, n := range f.orderedNodes {
		assert.Equal(t, n.maxVersionInForce, uint64(1))
	}
	for d, b := range files {
		f.sourceValues["parts/"+d] = b
	}
	f.run(10 * time.Second)
	_, ok := f.convergenceTime(3, f.now)
	assert.Assert(t, ok)
	f.assertNoViolations()
}

// Guards against a second configuration with the number of the version in force:
// the one accepted first stays in force and the other is reported.
func TestSameVersionWithAnotherDigest(t *testing.T) {
	t.Parallel()
	f := startedFleet(t, 1, 1, 1, 0)
	replica := f.orderedNodes[0].replica
	m, _ := newVersion(t, 1, 2, false)
	assert.Assert(t, !bytes.Equal(m, f.sourceValues["manifest"]))
	a := replica.ObserveSourceManifest(m, f.now)
	assert.Equal(t, len(a.Events), 1)
	assert.Equal(t, a.Events[0].Kind, replication.DigestConflict)
	assert.Equal(t, replica.Current().Digest, config.DigestOf(f.sourceValues["manifest"]))
	f.now = f.now.Add(replication.FreshnessWindow + time.Second)
	replica.ObserveSourceManifest(m, f.now)
	assert.Assert(t, !replica.KeyedAllowed(f.now), "the other configuration may have withdrawn keys")
}

// Guards against calls that wait without limit for a version that no node has.
func TestFloorWaitEnds(t *testing.T) {
	t.Parallel()
	f := startedFleet(t, 1, 2, 1, 0)
	replica := f.orderedNodes[0].replica
	assert.Assert(t, !replica.Behind(f.now))
	replica.RaiseFloor(9)
	replica.RaiseFloor(5)
	assert.Equal(t, replica.Floor(), uint64(9))
	assert.Assert(t, replica.Behind(f.now.Add(replication.MaxFloorWait-1)))
	assert.Assert(t, !replica.Behind(f.now.Add(replication.MaxFloorWait)))
}

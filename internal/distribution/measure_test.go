package distribution_test

import (
	"flag"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

var measure = flag.Bool("measure", false, "measure the traffic and processor time of 13 nodes over loopback TCP")

// Prints the traffic over real connections, for comparison with the counts of
// the simulation in pkg/replication:
//
//	go test ./internal/distribution -run TestMeasure -measure -v
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	const n, zones, seconds = 13, 4, 30
	s := &fakeSource{}
	s.publish(t, 1, newDocument(zones, n))
	c := startCluster(t, s, n, zones)
	waitUntil(t, "version 1 everywhere", allHaveVersion(c.nodes, 1))
	time.Sleep(5 * time.Second)
	bytes := func() (sum int64) {
		for _, d := range c.nodes {
			sum += d.Peers.Meter.ReceivedBytes.Load() + d.Peers.Meter.SentBytes.Load()
		}
		return sum
	}
	cpu := func() time.Duration {
		var u unix.Rusage
		assert.NilError(t, unix.Getrusage(unix.RUSAGE_SELF, &u))
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	b, p := bytes(), cpu()
	time.Sleep(seconds * time.Second)
	// Each byte passes two nodes but is counted only at the caller's side, so
	// the sum is doubled.
	t.Logf("%d nodes: %.0f B/s per node, %.3f %% of a core for each node with its share of the source",
		n, float64(2*(bytes()-b))/seconds/n, 100*(cpu()-p).Seconds()/seconds/n)
}

package replication_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"quetzaldock.example/quetzaldock/pkg/replication"
)

var measure = flag.Bool("measure", false, "print the table of traffic and convergence against fleet sizes")

// Prints the figures of docs/decisions/distribution.md:
//
//	go test ./pkg/replication -run TestMeasure -measure -v
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	t.Log("hosts zones loss | up: B/s max calls/s reads/s peak refused | conv ms p50 p99 max | down: B/s max reads/s refused | herd: reads peak, ready p50 max")
	for _, c := range []struct{ n, zones int }{{13, 4}, {50, 4}, {100, 4}, {200, 19}, {400, 19}, {1100, 19}} {
		for _, loss := range []float64{0, 0.1} {
			t.Log(measureRow(t, c.n, c.zones, loss))
		}
	}
}

func measureRow(t *testing.T, n, zones int, lossRate float64) string {
	f := newFleet(t, 1, n, zones)
	f.lossRate = lossRate
	f.publish(1, zones)
	f.startAll()
	f.run(60 * time.Second)
	f.resetCounts()
	f.run(30 * time.Second)
	out := fmt.Sprintf("%4d %2d %.1f | %s", n, zones, lossRate, f.trafficRates(30, true))
	var took []time.Duration
	for v := uint64(2); v < 7; v++ {
		since := f.now
		f.publish(v, zones)
		f.run(6 * time.Second)
		for _, n := range f.orderedNodes {
			if n.maxVersionInForce < v {
				t.Errorf("%d hosts, loss %.1f: %s lacks version %d", len(f.orderedNodes), lossRate, n.host.ID, v)
				continue
			}
			took = append(took, n.inForceSince[v].Sub(since))
		}
	}
	slices.Sort(took)
	percentileMs := func(l []time.Duration, quantile float64) int64 {
		return l[int(quantile*float64(len(l)-1))].Milliseconds()
	}
	out += fmt.Sprintf(" | %d %d %d", percentileMs(took, 0.5), percentileMs(took, 0.99), percentileMs(took, 1))
	f.sourceReachable = func(*node) bool { return false }
	f.resetCounts()
	f.run(30 * time.Second)
	out += " | " + f.trafficRates(30, false)
	f.sourceReachable = nil
	f.run(10 * time.Second)
	f.resetCounts()
	since := f.now
	f.startAll()
	ready := map[string]time.Duration{}
	for range 300 {
		f.run(50 * time.Millisecond)
		for _, n := range f.orderedNodes {
			if _, ok := ready[n.host.ID]; !ok && n.replica.Ready() {
				ready[n.host.ID] = f.now.Sub(since)
			}
		}
	}
	took = took[:0]
	for _, d := range ready {
		took = append(took, d)
	}
	slices.Sort(took)
	out += fmt.Sprintf(" | %d, %d/%d ready, %d %d", f.peakReadsPerSecond(), len(took), n, percentileMs(took, 0.5), percentileMs(took, 1))
	f.assertNoViolations()
	return out
}

// trafficRates formats the counts of a period as rates.
func (f *fleet) trafficRates(seconds float64, sourceUp bool) string {
	total, busiest, calls := 0, 0, 0
	for _, n := range f.orderedNodes {
		total += n.bytes
		busiest = max(busiest, n.bytes)
		calls += n.calls
	}
	all := float64(len(f.orderedNodes)) * seconds
	out := fmt.Sprintf("%.0f %.0f", float64(total)/all, float64(busiest)/seconds)
	if sourceUp {
		out += fmt.Sprintf(" %.2f", float64(calls)/all)
	}
	out += fmt.Sprintf(" %.1f", float64(len(f.sourceReadTimes))/seconds)
	if sourceUp {
		out += fmt.Sprintf(" %d", f.peakReadsPerSecond())
	}
	return out + fmt.Sprintf(" %.5f", f.keyedRefusedShare())
}

// Prints figures of the simple alternative, in which every node watches the
// source with a wait of one second and reads the two parts of a new version
// there. The source serves 2,000 reads per second in order of arrival.
func TestMeasureEveryNodeWatches(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	const capacity, parts = 2000.0, 2
	for _, n := range []int{13, 50, 100, 200, 400, 1100, 2200, 4400} {
		steady := float64(n) // one watch per node and second, before any change
		burst := float64(n * (parts + 1))
		conv := "no convergence: the watches alone exceed the capacity"
		if steady < capacity {
			conv = fmt.Sprintf("last node not before %.0f ms", 1000*float64(n*parts)/capacity)
		}
		t.Logf("%4d hosts: %.0f reads/s, %.0f reads in the second after a publication, %s; restart of all: %.0f reads at once",
			n, steady, steady+burst, conv, float64(n*(parts+2)))
	}
}

// Prints the reads at the source and the time until all nodes are ready when
// all start at once, without and with FleetHint and seeds.
func TestMeasureHerd(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	for _, n := range []int{200, 1100} {
		for _, c := range []struct {
			name  string
			hint  int
			seeds int
		}{{"neither", 0, 0}, {"FleetHint", n, 0}, {"5 seeds", 0, 5}, {"FleetHint and 5 seeds", n, 5}} {
			f := newFleet(t, 1, n, 19)
			f.configureReplica = func(r *replication.Replica) {
				r.FleetHint = c.hint
				for i := range c.seeds {
					r.Seeds = append(r.Seeds, f.orderedNodes[i*n/7].host.ControlAddress)
				}
			}
			f.publish(1, 19)
			f.startAll()
			since, took := f.now, time.Duration(0)
			for range 600 {
				f.run(50 * time.Millisecond)
				if _, ok := f.convergenceTime(1, since); ok {
					took = f.now.Sub(since)
					break
				}
			}
			t.Logf("%4d hosts, %s: peak of %d reads in a second, %d reads, all ready after %v", n, c.name, f.peakReadsPerSecond(), len(f.sourceReadTimes), took)
		}
	}
}

// Measures the decisions of one exchange: both messages, on both sides.
func BenchmarkExchangeDecisions(b *testing.B) {
	f := newFleet(b, 1, 13, 4)
	f.publish(1, 4)
	f.startAll()
	f.run(10 * time.Second)
	x, y := f.orderedNodes[0], f.orderedNodes[1]
	for b.Loop() {
		m := x.replica.ExchangeRequest()
		y.replica.ObserveSummary(m.Host(), m.Summary, time.Time{})
		a := y.replica.ExchangeReply()
		x.replica.ObserveSummary(a.Host(), a.Summary, f.now)
	}
}

// Measures how a node handles a new revision of a host list of 1,100 hosts.
func BenchmarkHostList(b *testing.B) {
	f := newFleet(b, 1, 1100, 19)
	n := f.orderedNodes[0]
	for b.Loop() {
		f.start(n)
		if _, err := n.replica.OfferHostList(f.sourceValues["hosts"]); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(f.sourceValues["hosts"])), "bytes")
}

// Prints the size of the host list on the wire.
func TestMeasureHostListSize(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	b := newFleet(t, 1, 1100, 19).sourceValues["hosts"]
	t.Logf("1100 hosts: %d bytes, %d compressed", len(b), compressedReplySize(&replication.PullReply{HostList: b})-8)
}

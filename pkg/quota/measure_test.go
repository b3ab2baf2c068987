package quota

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// addTraffic adds a stream of requests at rate per second, as Poisson arrivals
// or evenly spaced, each to the node that pick chooses.
func (s *simulation) addTraffic(name string, rate float64, from, until time.Duration, evenlySpaced bool, pick func() *node) {
	var next func()
	t := from
	next = func() {
		pick().call(name)
		gap := 1 / rate
		if !evenlySpaced {
			gap *= s.rng.ExpFloat64()
		}
		t += time.Duration(gap * float64(time.Second))
		if t < until {
			s.runAt(t, next)
		}
	}
	s.runAt(t, next)
}

// nodeHopper returns a function that chooses the same node for the duration
// stay and then a random other one.
func (s *simulation) nodeHopper(stay time.Duration) func() *node {
	n, since := s.nodes[0], time.Duration(0)
	return func() *node {
		if s.now-since > stay {
			n, since = s.nodes[s.rng.IntN(len(s.nodes))], s.now
		}
		return n
	}
}

// TestMeasure prints the tables of docs/decisions/fleet-wide-limits.md.
// The environment variable QUOTA_MEASURE sets the number of hosts: 13 or 1100.
func TestMeasure(t *testing.T) {
	size := os.Getenv("QUOTA_MEASURE")
	if size == "" {
		t.Skip("set QUOTA_MEASURE to 13 or 1100")
	}
	hostCount, zones := 13, 4
	if size == "1100" {
		hostCount, zones = 1100, 19
	}
	t.Run("eight", func(t *testing.T) { t.Parallel(); measureEightAccounts(t, hostCount, zones) })
	for _, delay := range []time.Duration{time.Millisecond, 3 * time.Millisecond} {
		for _, l := range []accountLimit{{5, 5}, {20, 20}, {200, 100}, {2000, 1000}} {
			for _, pattern := range []string{"one", "all", "hop1s", "hop5s", "bursty"} {
				t.Run(fmt.Sprintf("%v/%g/%s", delay, l.rate, pattern), func(t *testing.T) {
					t.Parallel()
					measurePattern(t, hostCount, zones, delay, l, pattern)
				})
			}
		}
	}
}

// measureEightAccounts logs the control traffic for eight accounts without any
// requests, and with requests at 90% of their rates on all hosts.
func measureEightAccounts(t *testing.T, hostCount, zones int) {
	for _, load := range []float64{0, 0.9} {
		s := newSimulation(5, hostIDs(hostCount), zones, eightAccounts())
		s.run(20 * time.Second)
		end := s.now + 20*time.Second
		for _, name := range slices.Sorted(accountNames(s.limits)) {
			s.counts[name] = &requestCounts{}
			if load > 0 {
				s.addTraffic(name, s.limits[name].rate*load, s.now, end, true, func() *node { return s.nodes[s.rng.IntN(len(s.nodes))] })
			}
		}
		s.countTraffic = true
		s.run(end)
		t.Logf("requests at %g of the rates", load)
		logTraffic(t, s, 20)
	}
}

// measurePattern prints one row for a pattern of traffic. The row starts with
// the requests per 100,000 that were refused although an exact central bucket
// would have admitted them.
func measurePattern(t *testing.T, hostCount, zones int, delay time.Duration, l accountLimit, pattern string) {
	row := fmt.Sprintf("%4d hosts %v rate %4g burst %4g %-6s", hostCount, delay, l.rate, l.burst, pattern)
	for _, evenlySpaced := range []bool{true, false} {
		s := newSimulation(11, hostIDs(hostCount), zones, map[string]accountLimit{"a": l})
		s.delay = func(_, _ *node) time.Duration { return delay }
		s.run(20 * time.Second)
		s.counts["a"] = &requestCounts{}
		s.addFixedSplits()
		begin := s.now
		seconds := max(60, min(600, 40000/l.rate))
		end := s.now + time.Duration(seconds*float64(time.Second))
		pick := func() *node { return s.nodes[s.rng.IntN(len(s.nodes))] }
		switch pattern {
		case "one":
			pick = func() *node { return s.nodes[3] }
		case "hop1s":
			pick = s.nodeHopper(time.Second)
		case "hop5s":
			pick = s.nodeHopper(5 * time.Second)
		}
		s.countTraffic = true
		if pattern == "bursty" {
			s.addBursts("a", l, s.now, end)
		} else {
			s.addTraffic("a", l.rate*0.9, s.now, end, evenlySpaced, pick)
		}
		s.run(end + time.Second)
		x := s.counts["a"]
		var totalBytes, maxBytes, totalMessages int
		for id, b := range s.bytesByHost {
			totalBytes += b
			totalMessages += s.messagesByHost[id]
			maxBytes = max(maxBytes, b)
		}
		d := (s.now - begin).Seconds()
		row += fmt.Sprintf(" | %7.1f wrongful (net %7.1f, exact bucket %5.0f, split %6.0f) of %6d, %5.0f B/s (max %5.0f) %5.1f msg/s", 1e5*float64(x.wrongful)/float64(x.offered), 1e5*float64(x.refused-x.refusedByCentral)/float64(x.offered), 1e5*float64(x.refusedByCentral)/float64(x.offered), 1e5*float64(x.wrongfulByFixedSplit)/float64(x.offered),
			x.offered, float64(totalBytes)/d/float64(hostCount), float64(maxBytes)/d, float64(totalMessages)/d/float64(hostCount))
		if len(s.violations) > 0 {
			t.Errorf("%d violations of the limits, first: %s", len(s.violations), s.violations[0])
		}
		if pattern == "bursty" {
			break
		}
	}
	fmt.Println(row)
}

// addBursts adds requests that come in groups of half the account's burst, each
// to a random node, at 90% of the rate on average.
func (s *simulation) addBursts(name string, l accountLimit, from, until time.Duration) {
	n := max(1, int(l.burst/2))
	gap := time.Duration(float64(n) / (0.9 * l.rate) * float64(time.Second))
	for t := from; t < until; t += gap {
		s.runAt(t, func() {
			for range n {
				s.nodes[s.rng.IntN(len(s.nodes))].call(name)
			}
		})
	}
}

// addFixedSplits gives every node a FixedSplit for comparison.
func (s *simulation) addFixedSplits() {
	for _, n := range s.nodes {
		n.fixed = &FixedSplit{Now: func() time.Time { return n.clock(s.now) }}
		for name, l := range s.limits {
			n.fixed.Configure(name, l.rate, l.burst, len(s.nodes))
		}
	}
}

// eightAccounts returns six small and two large accounts.
func eightAccounts() map[string]accountLimit {
	accounts := map[string]accountLimit{}
	for i := range 6 {
		accounts[fmt.Sprintf("small-%d", i)] = accountLimit{20, 20}
	}
	accounts["large-0"], accounts["large-1"] = accountLimit{400, 200}, accountLimit{200, 100}
	return accounts
}

// Guards against an account at five times its rate that causes wrongful
// refusals of other accounts: each of the others must have at most 1 in 1,000
// requests.
func TestAccountOverItsRateLeavesOthersTheirs(t *testing.T) {
	s := newSimulation(5, hostIDs(13), 4, eightAccounts())
	s.delay = func(_, _ *node) time.Duration { return time.Millisecond }
	s.run(20 * time.Second)
	end := s.now + 60*time.Second
	pick := func() *node { return s.nodes[s.rng.IntN(len(s.nodes))] }
	for _, name := range slices.Sorted(accountNames(s.limits)) {
		s.counts[name] = &requestCounts{}
		load := 0.9
		if name == "large-1" {
			load = 5
		}
		s.addTraffic(name, s.limits[name].rate*load, s.now, end, true, pick)
	}
	s.countTraffic = true
	s.run(end + time.Second)
	assert.Equal(t, len(s.violations), 0, "%v", s.violations)
	for name, x := range s.counts {
		if name == "large-1" {
			maxAdmitted := s.limits[name].rate * 61
			assert.Assert(t, float64(x.admitted) > 0.95*maxAdmitted*60/61, "admitted %d of %g", x.admitted, maxAdmitted)
			continue
		}
		assert.Assert(t, 1000*x.wrongful <= x.offered, "%s: %+v", name, *x)
	}
	logTraffic(t, s, 61)
}

// logTraffic logs the control traffic per node and the requests of accounts.
func logTraffic(t *testing.T, s *simulation, seconds float64) {
	var totalBytes, maxBytes, totalMessages, maxMessages int
	for id, b := range s.bytesByHost {
		totalBytes += b
		maxBytes = max(maxBytes, b)
		totalMessages += s.messagesByHost[id]
		maxMessages = max(maxMessages, s.messagesByHost[id])
	}
	n := float64(len(s.nodes)) * seconds
	t.Logf("per node and second: %.0f bytes and %.1f messages, at most %.0f and %.1f", float64(totalBytes)/n, float64(totalMessages)/n, float64(maxBytes)/seconds, float64(maxMessages)/seconds)
	for name, x := range s.counts {
		t.Logf("%s %+v", name, *x)
	}
}

// Guards against quota that stays lost after the root's process restarts. The
// loans end after at most MaxLoanTerm. From the eighth second on, no request
// may be refused wrongfully.
func TestQuotaReturnsAfterRootRestarts(t *testing.T) {
	s := newSimulation(5, hostIDs(13), 4, map[string]accountLimit{"a": {200, 100}})
	s.run(20 * time.Second)
	root := s.byID[s.nodes[0].placement.Root.ID]
	from := s.nodes[3]
	assert.Assert(t, from != root)
	s.addTraffic("a", 180, s.now, s.now+40*time.Second, true, func() *node { return from })
	s.run(s.now + 10*time.Second)
	root.stop()
	s.run(s.now + 200*time.Millisecond)
	root.start()
	for second := range 20 {
		s.counts["a"] = &requestCounts{}
		s.run(s.now + time.Second)
		t.Logf("second %d: %+v", second, *s.counts["a"])
		if second >= 8 {
			assert.Equal(t, s.counts["a"].wrongful, 0, "second %d", second)
		}
	}
	assert.Equal(t, len(s.violations), 0, "%v", s.violations)
}

// BenchmarkTake measures Take with tokens available, on all cores at once.
func BenchmarkTake(b *testing.B) {
	l := &Limiter{Now: time.Now}
	s := snapshot(1, hostIDs(1), map[string]accountLimit{"a": {1e7, 1e7}})
	l.Start()
	l.Configure(s, "h-0000")
	for _, a := range l.allAccounts() {
		a.bucket.setOwned(portion{MaxAmount, MaxAmount}, l.instant())
	}
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			l.Take("a")
		}
	})
}

// BenchmarkBrokerHandle measures one report with eight accounts at a broker
// with 76 members, as many as the root has with 1,100 hosts.
func BenchmarkBrokerHandle(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	br := &Broker{Now: func() time.Time { return now }}
	var limiters []*Limiter
	s := snapshot(1, hostIDs(76), eightAccounts())
	for i := range 76 {
		l := &Limiter{Now: func() time.Time { return now }, Boot: uint64(i + 1)}
		l.Start()
		l.Configure(s, hostIDs(76)[i])
		limiters = append(limiters, l)
	}
	now = now.Add(20 * time.Second)
	for i := 0; b.Loop(); i++ {
		l := limiters[i%76]
		now = now.Add(10 * time.Millisecond)
		r, _ := l.NextReport("p")
		reply, _ := br.HandleReport(hostIDs(76)[i%76], r)
		l.HandleReply("p", reply)
	}
}

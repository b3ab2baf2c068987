package quota

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// traffic starts a stream of requests: Poisson arrivals at rate, or evenly
// spaced ones, each to the node that pick chooses.
func (s *sim) traffic(name string, rate float64, from, until time.Duration, paced bool, pick func() *node) {
	var next func()
	t := from
	next = func() {
		pick().call(name)
		gap := 1 / rate
		if !paced {
			gap *= s.rng.ExpFloat64()
		}
		t += time.Duration(gap * float64(time.Second))
		if t < until {
			s.at(t, next)
		}
	}
	s.at(t, next)
}

// hopper moves to another node every d.
func (s *sim) hopper(d time.Duration) func() *node {
	n, at := s.nodes[0], time.Duration(0)
	return func() *node {
		if s.now-at > d {
			n, at = s.nodes[s.rng.IntN(len(s.nodes))], s.now
		}
		return n
	}
}

// TestMeasure prints the tables of docs/decisions/fleet-wide-limits.md.
// QUOTA_MEASURE=13 or 1100 chooses the number of hosts.
func TestMeasure(t *testing.T) {
	size := os.Getenv("QUOTA_MEASURE")
	if size == "" {
		t.Skip("set QUOTA_MEASURE to 13 or 1100")
	}
	hostCount, zones := 13, 4
	if size == "1100" {
		hostCount, zones = 1100, 19
	}
	t.Run("eight", func(t *testing.T) { t.Parallel(); measureEight(t, hostCount, zones) })
	for _, delay := range []time.Duration{time.Millisecond, 3 * time.Millisecond} {
		for _, l := range []limit{{5, 5}, {20, 20}, {200, 100}, {2000, 1000}} {
			for _, pattern := range []string{"one", "all", "hop1s", "hop5s", "bursty"} {
				t.Run(fmt.Sprintf("%v/%g/%s", delay, l.rate, pattern), func(t *testing.T) {
					t.Parallel()
					measure(t, hostCount, zones, delay, l, pattern)
				})
			}
		}
	}
}

// measureEight logs the control traffic of eight accounts at 90% of their
// rates that come in at all hosts, and without any requests.
func measureEight(t *testing.T, hostCount, zones int) {
	for _, load := range []float64{0, 0.9} {
		s := newSim(5, hostIDs(hostCount), zones, eight())
		s.run(20 * time.Second)
		end := s.now + 20*time.Second
		for _, name := range slices.Sorted(mapsKeys(s.limits)) {
			s.stats[name] = &tally{}
			if load > 0 {
				s.traffic(name, s.limits[name].rate*load, s.now, end, true, func() *node { return s.nodes[s.rng.IntN(len(s.nodes))] })
			}
		}
		s.measure = true
		s.run(end)
		t.Logf("load %g", load)
		logTraffic(t, s, 20)
	}
}

// measure prints one row: requests per 100,000 that were refused although an
// exact central bucket would have admitted them.
func measure(t *testing.T, hostCount, zones int, delay time.Duration, l limit, pattern string) {
	row := fmt.Sprintf("%4d hosts %v rate %4g burst %4g %-6s", hostCount, delay, l.rate, l.burst, pattern)
	for _, paced := range []bool{true, false} {
		s := newSim(11, hostIDs(hostCount), zones, map[string]limit{"a": l})
		s.delay = func(_, _ *node) time.Duration { return delay }
		s.run(20 * time.Second)
		s.stats["a"] = &tally{}
		s.split()
		begin := s.now
		seconds := max(60, min(600, 40000/l.rate))
		end := s.now + time.Duration(seconds*float64(time.Second))
		pick := func() *node { return s.nodes[s.rng.IntN(len(s.nodes))] }
		switch pattern {
		case "one":
			pick = func() *node { return s.nodes[3] }
		case "hop1s":
			pick = s.hopper(time.Second)
		case "hop5s":
			pick = s.hopper(5 * time.Second)
		}
		s.measure = true
		if pattern == "bursty" {
			s.bursts("a", l, s.now, end)
		} else {
			s.traffic("a", l.rate*0.9, s.now, end, paced, pick)
		}
		s.run(end + time.Second)
		x := s.stats["a"]
		var sum, most, msgs int
		for id, b := range s.bytes {
			sum += b
			msgs += s.messages[id]
			most = max(most, b)
		}
		d := (s.now - begin).Seconds()
		row += fmt.Sprintf(" | %7.1f wrongful (net %7.1f, exact bucket %5.0f, split %6.0f) of %6d, %5.0f B/s (max %5.0f) %5.1f msg/s", 1e5*float64(x.wrongful)/float64(x.offered), 1e5*float64(x.refused-x.ideal)/float64(x.offered), 1e5*float64(x.ideal)/float64(x.offered), 1e5*float64(x.fixed)/float64(x.offered),
			x.offered, float64(sum)/d/float64(hostCount), float64(most)/d, float64(msgs)/d/float64(hostCount))
		if len(s.faults) > 0 {
			t.Errorf("%d faults, first: %s", len(s.faults), s.faults[0])
		}
		if pattern == "bursty" {
			break
		}
	}
	fmt.Println(row)
}

// bursts sends half of the burst at once to random nodes, as often as 90% of
// the rate allows.
func (s *sim) bursts(name string, l limit, from, until time.Duration) {
	n := max(1, int(l.burst/2))
	gap := time.Duration(float64(n) / (0.9 * l.rate) * float64(time.Second))
	for t := from; t < until; t += gap {
		s.at(t, func() {
			for range n {
				s.nodes[s.rng.IntN(len(s.nodes))].call(name)
			}
		})
	}
}

// split gives every node a fixed split to compare with.
func (s *sim) split() {
	for _, n := range s.nodes {
		n.fixed = &FixedSplit{Now: func() time.Time { return n.clock(s.now) }}
		for name, l := range s.limits {
			n.fixed.Configure(name, l.rate, l.burst, len(s.nodes))
		}
	}
}

// eight are eight accounts, two of them large.
func eight() map[string]limit {
	accounts := map[string]limit{}
	for i := range 6 {
		accounts[fmt.Sprintf("small-%d", i)] = limit{20, 20}
	}
	accounts["large-0"], accounts["large-1"] = limit{400, 200}, limit{200, 100}
	return accounts
}

// Guards against an account at five times its rate that costs others their
// requests: each of the others stays under 1 wrongful refusal in 1,000.
func TestAccountOverItsRateLeavesOthersTheirs(t *testing.T) {
	s := newSim(5, hostIDs(13), 4, eight())
	s.delay = func(_, _ *node) time.Duration { return time.Millisecond }
	s.run(20 * time.Second)
	end := s.now + 60*time.Second
	pick := func() *node { return s.nodes[s.rng.IntN(len(s.nodes))] }
	for _, name := range slices.Sorted(mapsKeys(s.limits)) {
		s.stats[name] = &tally{}
		load := 0.9
		if name == "large-1" {
			load = 5
		}
		s.traffic(name, s.limits[name].rate*load, s.now, end, true, pick)
	}
	s.measure = true
	s.run(end + time.Second)
	assert.Equal(t, len(s.faults), 0, "%v", s.faults)
	for name, x := range s.stats {
		if name == "large-1" {
			most := s.limits[name].rate * 61
			assert.Assert(t, float64(x.admitted) > 0.95*most*60/61, "admitted %d of %g", x.admitted, most)
			continue
		}
		assert.Assert(t, 1000*x.wrongful <= x.offered, "%s: %+v", name, *x)
	}
	logTraffic(t, s, 61)
}

// logTraffic logs control traffic per node.
func logTraffic(t *testing.T, s *sim, seconds float64) {
	var sum, most, msgs, mostMsgs int
	for id, b := range s.bytes {
		sum += b
		most = max(most, b)
		msgs += s.messages[id]
		mostMsgs = max(mostMsgs, s.messages[id])
	}
	n := float64(len(s.nodes)) * seconds
	t.Logf("per node and second: %.0f bytes and %.1f messages, at most %.0f and %.1f", float64(sum)/n, float64(msgs)/n, float64(most)/seconds, float64(mostMsgs)/seconds)
	for name, x := range s.stats {
		t.Logf("%s %+v", name, *x)
	}
}

// Guards against quota that stays lost after the root's process restarts: its
// loans end after Term, and from then on nothing is refused wrongfully.
func TestQuotaReturnsAfterRootRestarts(t *testing.T) {
	s := newSim(5, hostIDs(13), 4, map[string]limit{"a": {200, 100}})
	s.run(20 * time.Second)
	root := s.byID[s.nodes[0].placement.Root.ID]
	from := s.nodes[3]
	assert.Assert(t, from != root)
	s.traffic("a", 180, s.now, s.now+40*time.Second, true, func() *node { return from })
	s.run(s.now + 10*time.Second)
	root.stop()
	s.run(s.now + 200*time.Millisecond)
	root.start()
	for second := range 20 {
		s.stats["a"] = &tally{}
		s.run(s.now + time.Second)
		t.Logf("second %d: %+v", second, *s.stats["a"])
		if second >= 8 {
			assert.Equal(t, s.stats["a"].wrongful, 0, "second %d", second)
		}
	}
	assert.Equal(t, len(s.faults), 0, "%v", s.faults)
}

// BenchmarkTake measures a Take that finds a token, from all cores at once.
func BenchmarkTake(b *testing.B) {
	l := &Limiter{Now: time.Now}
	s := snapshot(1, hostIDs(1), map[string]limit{"a": {1e7, 1e7}})
	l.Start()
	l.Configure(s, "h-0000")
	for _, a := range l.all() {
		a.book.setOwn(volume{MaxAmount, MaxAmount}, l.instant())
	}
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			l.Take("a")
		}
	})
}

// BenchmarkBrokerHandle measures one report of eight accounts at a broker
// with 76 members, as the root has at 1,100 hosts.
func BenchmarkBrokerHandle(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	br := &Broker{Now: func() time.Time { return now }}
	var ledgers []*Limiter
	s := snapshot(1, hostIDs(76), eight())
	for i := range 76 {
		l := &Limiter{Now: func() time.Time { return now }, Boot: uint64(i + 1)}
		l.Start()
		l.Configure(s, hostIDs(76)[i])
		ledgers = append(ledgers, l)
	}
	now = now.Add(20 * time.Second)
	for i := 0; b.Loop(); i++ {
		l := ledgers[i%76]
		now = now.Add(10 * time.Millisecond)
		r, _ := l.NextReport("p")
		reply, _ := br.HandleReport(hostIDs(76)[i%76], r)
		l.HandleReply("p", reply)
	}
}

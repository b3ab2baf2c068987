package quota

import (
	"fmt"
	"os"
	"testing"
	"time"
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

// measure prints one row: requests per 100,000 that were refused although an
// exact central bucket would have admitted them.
func measure(t *testing.T, hostCount, zones int, delay time.Duration, l limit, pattern string) {
	row := fmt.Sprintf("%4d hosts %v rate %4g burst %4g %-6s", hostCount, delay, l.rate, l.burst, pattern)
	for _, paced := range []bool{true, false} {
		s := newSim(11, hostIDs(hostCount), zones, map[string]limit{"a": l})
		s.delay = func(_, _ *node) time.Duration { return delay }
		s.run(20 * time.Second)
		s.stats["a"] = &tally{}
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
		row += fmt.Sprintf(" | %7.1f wrongful (net %7.1f) of %6d, %5.0f B/s (max %5.0f) %5.1f msg/s", 1e5*float64(x.wrongful)/float64(x.offered), 1e5*float64(x.refused-x.ideal)/float64(x.offered),
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

package split_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/split"
)

const window = 5 * time.Second

var tolerance = split.Tolerance{Overage: 0.25, Slack: 20}

// A fleet is a number of nodes that share one clock.
type fleet struct {
	now   time.Time
	nodes []*split.Split
	// admitted holds the times of all admissions.
	admitted []time.Time
}

func newFleet(n int, l split.Limit) *fleet {
	f := &fleet{now: time.Unix(1000, 0)}
	for range n {
		f.nodes = append(f.nodes, f.start(n, l))
	}
	return f
}

func (f *fleet) start(n int, l split.Limit) *split.Split {
	s := split.New(tolerance)
	s.Now = func() time.Time { return f.now }
	s.SetNodes(n)
	s.Configure(map[string]split.Limit{"club": l})
	return s
}

// run offers requests at a rate per second to random nodes and returns the
// number that was refused.
func (f *fleet) run(rate float64, length time.Duration, r *rand.Rand) (asked, refused int) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		for x := rate / 1000; r.Float64() < x; x-- {
			asked++
			if ok, _ := f.nodes[r.IntN(len(f.nodes))].Take("club"); ok {
				f.admitted = append(f.admitted, f.now)
			} else {
				refused++
			}
		}
	}
	return asked, refused
}

// most returns the largest number of admissions in any window.
func (f *fleet) most() int {
	most, first := 0, 0
	for i, t := range f.admitted {
		for t.Sub(f.admitted[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func bound(l split.Limit) float64 {
	return (l.Rate*window.Seconds()+l.Burst)*(1+tolerance.Overage) + tolerance.Slack
}

// Guards against an account far over its rate that gets more than the fleet
// tolerates, also where all nodes restart at once in the middle.
func TestAccountFarOverItsRateStaysWithinTheTolerance(t *testing.T) {
	l := split.Limit{Rate: 170, Burst: 170}
	f := newFleet(13, l)
	r := rand.New(rand.NewPCG(1, 2))
	f.run(50, 10*time.Second, r)
	f.run(1200, 7*time.Second, r)
	for i := range f.nodes {
		f.nodes[i] = f.start(len(f.nodes), l)
	}
	f.run(1200, 7*time.Second, r)
	assert.Assert(t, float64(f.most()) <= bound(l), "%d over %g", f.most(), bound(l))
}

// Guards against nodes that were cut off, count all others on, and spend
// together with the others more than is tolerated.
func TestCutOffNodesStayWithinTheTolerance(t *testing.T) {
	l := split.Limit{Rate: 170, Burst: 170}
	f := newFleet(13, l)
	r := rand.New(rand.NewPCG(5, 6))
	f.run(1200, 2*time.Second, r)
	for range 6 {
		for _, s := range f.nodes[:8] {
			s.SetNodes(8)
		}
		f.run(1200, time.Second, r)
	}
	assert.Assert(t, float64(f.most()) <= bound(l), "%d over %g", f.most(), bound(l))
}

// Guards against refusals of accounts that are well below their limits.
func TestUsualDemandIsNotRefused(t *testing.T) {
	for _, c := range []struct {
		rate  float64
		share float64
	}{{170, 0.001}, {30, 0.02}} {
		f := newFleet(13, split.Limit{Rate: c.rate, Burst: c.rate})
		r := rand.New(rand.NewPCG(7, 8))
		f.run(c.rate/1.6, 10*time.Second, r)
		asked, refused := f.run(c.rate/1.6, 60*time.Second, r)
		assert.Assert(t, float64(refused) <= c.share*float64(asked), "rate %g: %d of %d", c.rate, refused, asked)
	}
}

// Guards against a lowered limit that an old bucket outlives, and against a
// limit that is taken away and still refuses.
func TestChangedLimits(t *testing.T) {
	f := newFleet(1, split.Limit{Rate: 100, Burst: 100})
	f.now = f.now.Add(10 * time.Second)
	s := f.nodes[0]
	s.Configure(map[string]split.Limit{"club": {Rate: 1, Burst: 1}})
	n := 0
	for range 200 {
		if ok, after := s.Take("club"); ok {
			n++
		} else {
			assert.Assert(t, after > 0 && after <= 2*time.Second, "%v", after)
		}
	}
	assert.Assert(t, n <= 17, "%d admitted", n)
	s.Configure(nil)
	ok, _ := s.Take("club")
	assert.Assert(t, ok)
}

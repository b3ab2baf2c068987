package ratelimit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/ratelimit"
)

const window = 5 * time.Second

var tolerance = ratelimit.Tolerance{OverageRatio: 0.25, SlackRequests: 20}

// A fleet is a number of nodes that share one clock.
type fleet struct {
	now   time.Time
	nodes []*ratelimit.Limiter
	// alone is set while no node reaches the deciding one, the first.
	alone bool
	// admitted holds the times of all admissions.
	admitted []time.Time
}

func newFleet(n int, l ratelimit.Limit) *fleet {
	f := &fleet{now: time.Unix(1000, 0)}
	for range n {
		f.nodes = append(f.nodes, f.start(n, l))
	}
	return f
}

func (f *fleet) start(n int, l ratelimit.Limit) *ratelimit.Limiter {
	s := ratelimit.New(tolerance)
	s.Now = func() time.Time { return f.now }
	s.SetNodeCount(n)
	s.Configure(map[string]ratelimit.Limit{"club": l})
	return s
}

// run offers requests at a rate per second to random nodes and returns the
// number that was refused.
func (f *fleet) run(rate float64, length time.Duration, r *rand.Rand) (asked, refused int) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		for x := rate / 1000; r.Float64() < x; x-- {
			asked++
			if f.take(r.IntN(len(f.nodes))) {
				f.admitted = append(f.admitted, f.now)
			} else {
				refused++
			}
		}
	}
	return asked, refused
}

// take asks one node for a token, and that one the deciding node unless it is
// cut off.
func (f *fleet) take(node int) bool {
	s := f.nodes[node]
	ok, _ := s.Take("club")
	if ok || f.alone || !s.ShouldBorrow("club") {
		return ok
	}
	tokens, after := f.nodes[0].Lend("club")
	return s.AcceptLoan("club", tokens, after, f.now)
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

func bound(l ratelimit.Limit) float64 {
	return (l.Rate*window.Seconds()+l.Burst)*(1+tolerance.OverageRatio) + tolerance.SlackRequests
}

// Guards against an account far over its rate that gets more than the fleet
// tolerates, also where all nodes restart at once in the middle.
func TestAccountFarOverItsRateStaysWithinTheTolerance(t *testing.T) {
	for _, rate := range []float64{3, 10, 30, 60, 170} {
		l := ratelimit.Limit{Rate: rate, Burst: rate}
		f := newFleet(13, l)
		r := rand.New(rand.NewPCG(1, 2))
		f.run(rate/3, 10*time.Second, r)
		f.run(7*rate, 7*time.Second, r)
		for i := range f.nodes {
			f.nodes[i] = f.start(len(f.nodes), l)
		}
		f.run(7*rate, 7*time.Second, r)
		assert.Assert(t, float64(f.most()) <= bound(l), "rate %g: %d over %g", rate, f.most(), bound(l))
	}
}

// Guards against a change of the deciding node that gives a small account a
// second pool beyond what is tolerated.
func TestTwoDecidingNodesStayWithinTheTolerance(t *testing.T) {
	for _, rate := range []float64{5, 20, 40} {
		l := ratelimit.Limit{Rate: rate, Burst: rate}
		f := newFleet(13, l)
		r := rand.New(rand.NewPCG(11, 12))
		f.run(7*rate, 7*time.Second, r)
		// A restarted node decides from here on.
		f.nodes[0] = f.start(len(f.nodes), l)
		f.run(7*rate, 7*time.Second, r)
		assert.Assert(t, float64(f.most()) <= bound(l), "rate %g: %d over %g", rate, f.most(), bound(l))
	}
}

// Guards against a node that stood still, or was suspended, and spends an old
// loan.
func TestOldLoansAreNotSpent(t *testing.T) {
	f := newFleet(13, ratelimit.Limit{Rate: 10, Burst: 10})
	f.now = f.now.Add(10 * time.Second)
	s := f.nodes[1]
	for {
		if ok, _ := s.Take("club"); !ok {
			break
		}
	}
	assert.Assert(t, s.ShouldBorrow("club"))
	assert.Assert(t, s.AcceptLoan("club", 2, 0, f.now))
	f.now = f.now.Add(1100 * time.Millisecond)
	n := 0
	for {
		if ok, _ := s.Take("club"); !ok {
			break
		}
		n++
	}
	assert.Assert(t, n <= 1, "%d from the node's own part in 1.1 s", n)
	assert.Assert(t, !s.AcceptLoan("club", 0, 300*time.Millisecond, f.now))
	assert.Assert(t, !s.ShouldBorrow("club"))
	f.now = f.now.Add(300 * time.Millisecond)
	assert.Assert(t, s.ShouldBorrow("club"))
}

// Guards against an account that gets nothing while its deciding node cannot be
// reached.
func TestOwnPartHoldsWithoutTheDecidingNode(t *testing.T) {
	f := newFleet(13, ratelimit.Limit{Rate: 40, Burst: 40})
	f.alone = true
	r := rand.New(rand.NewPCG(13, 14))
	asked, refused := f.run(20, 20*time.Second, r)
	assert.Assert(t, refused < asked*3/4, "%d of %d", refused, asked)
}

// Guards against nodes that were cut off, count all others on, and spend
// together with the others more than is tolerated.
func TestCutOffNodesStayWithinTheTolerance(t *testing.T) {
	l := ratelimit.Limit{Rate: 170, Burst: 170}
	f := newFleet(13, l)
	r := rand.New(rand.NewPCG(5, 6))
	f.run(1200, 2*time.Second, r)
	for range 6 {
		for _, s := range f.nodes[:8] {
			s.SetNodeCount(8)
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
	}{{170, 0.001}, {30, 0.001}, {10, 0.005}, {4, 0.01}} {
		f := newFleet(13, ratelimit.Limit{Rate: c.rate, Burst: c.rate})
		r := rand.New(rand.NewPCG(7, 8))
		f.run(c.rate/1.6, 10*time.Second, r)
		asked, refused := f.run(c.rate/1.6, 60*time.Second, r)
		assert.Assert(t, float64(refused) <= c.share*float64(asked), "rate %g: %d of %d", c.rate, refused, asked)
	}
}

// Guards against a lowered limit that an old bucket outlives, and against a
// limit that is taken away and still refuses.
func TestChangedLimits(t *testing.T) {
	f := newFleet(1, ratelimit.Limit{Rate: 100, Burst: 100})
	f.now = f.now.Add(10 * time.Second)
	s := f.nodes[0]
	s.Configure(map[string]ratelimit.Limit{"club": {Rate: 1, Burst: 1}})
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

// Guards against an account far over its rate whose requests go before those of
// others on the strength of the tolerance, and against accounts within their
// rate that are put behind others.
func TestBeyondMarksOnlyWhatTheToleranceAdmits(t *testing.T) {
	const nodes, rate = 10, 200.0
	for _, c := range []struct {
		name        string
		asked       float64
		least, most float64
	}{{"within", 0.6 * rate, 0, 0.02}, {"far over", 5 * rate, 0.1, 0.2}} {
		now := time.Unix(1000, 0)
		s := ratelimit.New(ratelimit.Tolerance{OverageRatio: 0.25, SlackRequests: 20})
		s.Now = func() time.Time { return now }
		s.SetNodeCount(nodes)
		s.Configure(map[string]ratelimit.Limit{"club": {Rate: rate, Burst: 40}})
		r := rand.New(rand.NewPCG(7, 8))
		admitted, beyond := 0, 0
		for range 20000 {
			now = now.Add(time.Millisecond)
			if r.Float64() >= c.asked/nodes/1000 {
				continue
			}
			if ok, _ := s.Take("club"); ok {
				admitted++
				if s.ChargeShare("club") {
					beyond++
				}
			}
		}
		part := float64(beyond) / float64(admitted)
		assert.Assert(t, part >= c.least && part <= c.most, "%s: %d of %d", c.name, beyond, admitted)
	}
}

// Guards against an account within its rate that goes behind others because many
// of its requests were refused for other reasons and came again.
func TestRefusedRequestsDoNotCountAsBeyond(t *testing.T) {
	now := time.Unix(1000, 0)
	s := ratelimit.New(ratelimit.Tolerance{OverageRatio: 0.25, SlackRequests: 20})
	s.Now = func() time.Time { return now }
	s.Configure(map[string]ratelimit.Limit{"club": {Rate: 100, Burst: 10}})
	for range 500 {
		ok, _ := s.Take("club")
		assert.Assert(t, ok)
		beyond := s.ChargeShare("club")
		assert.Assert(t, !beyond)
		s.Refund("club", beyond)
	}
}

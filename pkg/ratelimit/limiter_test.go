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

// A fleet is a number of nodes that share one clock. The first node is the
// lending node.
type fleet struct {
	// suspended is how long the hosts have been suspended.
	suspended time.Duration
	now       time.Time
	nodes     []*ratelimit.Limiter
	// cutOff is set while no node can reach the lending node.
	cutOff bool
	// admitted holds the times of all admissions.
	admitted []time.Time
}

func newFleet(n int, l ratelimit.Limit) *fleet {
	f := &fleet{now: time.Unix(1000, 0)}
	for range n {
		f.nodes = append(f.nodes, f.newLimiter(n, l))
	}
	return f
}

func (f *fleet) newLimiter(n int, l ratelimit.Limit) *ratelimit.Limiter {
	limiter := ratelimit.New(tolerance)
	limiter.Now = func() time.Time { return f.now }
	limiter.SinceBoot = func() time.Duration { return f.now.Sub(time.Unix(0, 0)) + f.suspended }
	limiter.SetNodeCount(n)
	limiter.Configure(map[string]ratelimit.Limit{"club": l})
	return limiter
}

// offerLoad offers requests at a rate per second to random nodes and returns the
// numbers of offered and refused requests.
func (f *fleet) offerLoad(rate float64, length time.Duration, r *rand.Rand) (offered, refused int) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		for x := rate / 1000; r.Float64() < x; x-- {
			offered++
			if f.take(r.IntN(len(f.nodes))) {
				f.admitted = append(f.admitted, f.now)
			} else {
				refused++
			}
		}
	}
	return offered, refused
}

// take takes a token at one node, which borrows from the lending node if needed
// and possible.
func (f *fleet) take(index int) bool {
	borrower := f.nodes[index]
	ok, _ := borrower.Take("club")
	if ok || f.cutOff || !borrower.ShouldBorrow("club") {
		return ok
	}
	tokens, retryAfter := f.nodes[0].Lend("club")
	return borrower.AcceptLoan("club", tokens, retryAfter, borrower.Moment())
}

// maxAdmitted returns the largest number of admissions within any window.
func (f *fleet) maxAdmitted() int {
	maxAdmitted, first := 0, 0
	for i, t := range f.admitted {
		for t.Sub(f.admitted[first]) >= window {
			first++
		}
		maxAdmitted = max(maxAdmitted, i-first+1)
	}
	return maxAdmitted
}

func maxTolerated(l ratelimit.Limit) float64 {
	return (l.Rate*window.Seconds()+l.Burst)*(1+tolerance.OverageRatio) + tolerance.SlackRequests
}

// Guards against an account far over its rate that gets more than is tolerated,
// also when all nodes restart at the same time.
func TestAccountFarOverItsRateStaysWithinTheTolerance(t *testing.T) {
	for _, rate := range []float64{3, 10, 30, 60, 170} {
		l := ratelimit.Limit{Rate: rate, Burst: rate}
		f := newFleet(13, l)
		r := rand.New(rand.NewPCG(1, 2))
		f.offerLoad(rate/3, 10*time.Second, r)
		f.offerLoad(7*rate, 7*time.Second, r)
		for i := range f.nodes {
			f.nodes[i] = f.newLimiter(len(f.nodes), l)
		}
		f.offerLoad(7*rate, 7*time.Second, r)
		assert.Assert(t, float64(f.maxAdmitted()) <= maxTolerated(l), "rate %g: %d over %g", rate, f.maxAdmitted(), maxTolerated(l))
	}
}

// Guards against a change of the lending node that gives a small account a
// second full pool, more than is tolerated.
func TestTwoLendingNodesStayWithinTheTolerance(t *testing.T) {
	for _, rate := range []float64{5, 20, 40} {
		l := ratelimit.Limit{Rate: rate, Burst: rate}
		f := newFleet(13, l)
		r := rand.New(rand.NewPCG(11, 12))
		f.offerLoad(7*rate, 7*time.Second, r)
		// From here on a restarted node, with a new pool, is the lending node.
		f.nodes[0] = f.newLimiter(len(f.nodes), l)
		f.offerLoad(7*rate, 7*time.Second, r)
		assert.Assert(t, float64(f.maxAdmitted()) <= maxTolerated(l), "rate %g: %d over %g", rate, f.maxAdmitted(), maxTolerated(l))
	}
}

// Guards against a loan that is spent after a suspension of the host, in which the steady
// clock stands still, and against new loans that cannot be spent afterwards.
func TestLoanDoesNotOutliveASuspension(t *testing.T) {
	f := newFleet(13, ratelimit.Limit{Rate: 10, Burst: 10})
	limiter := f.nodes[1]
	for ok := true; ok; {
		ok, _ = limiter.Take("club")
	}
	assert.Assert(t, limiter.AcceptLoan("club", 3, 0, limiter.Moment()))
	f.suspended = 5 * time.Second
	ok, _ := limiter.Take("club")
	assert.Assert(t, !ok, "a token of an old loan")
	assert.Assert(t, limiter.AcceptLoan("club", 2, 0, limiter.Moment()))
	ok, _ = limiter.Take("club")
	assert.Assert(t, ok, "a token of a new loan")
}

// Guards against a node that was stopped or suspended and then spends an old
// loan.
func TestOldLoansAreNotSpent(t *testing.T) {
	f := newFleet(13, ratelimit.Limit{Rate: 10, Burst: 10})
	f.now = f.now.Add(10 * time.Second)
	limiter := f.nodes[1]
	for {
		if ok, _ := limiter.Take("club"); !ok {
			break
		}
	}
	assert.Assert(t, limiter.ShouldBorrow("club"))
	assert.Assert(t, limiter.AcceptLoan("club", 2, 0, limiter.Moment()))
	f.now = f.now.Add(1100 * time.Millisecond)
	admitted := 0
	for {
		if ok, _ := limiter.Take("club"); !ok {
			break
		}
		admitted++
	}
	assert.Assert(t, admitted <= 1, "%d tokens from the node's own share in 1.1 s", admitted)
	assert.Assert(t, !limiter.AcceptLoan("club", 0, 300*time.Millisecond, limiter.Moment()))
	assert.Assert(t, !limiter.ShouldBorrow("club"))
	f.now = f.now.Add(300 * time.Millisecond)
	assert.Assert(t, limiter.ShouldBorrow("club"))
}

// Guards against an account that gets nothing while its lending node is
// unreachable.
func TestOwnShareIsAdmittedWithoutTheLendingNode(t *testing.T) {
	f := newFleet(13, ratelimit.Limit{Rate: 40, Burst: 40})
	f.cutOff = true
	r := rand.New(rand.NewPCG(13, 14))
	offered, refused := f.offerLoad(20, 20*time.Second, r)
	assert.Assert(t, refused < offered*3/4, "%d of %d", refused, offered)
}

// Guards against nodes that are cut off, divide the limit by a smaller node
// count, and together with the others admit more than is tolerated.
func TestCutOffNodesStayWithinTheTolerance(t *testing.T) {
	l := ratelimit.Limit{Rate: 170, Burst: 170}
	f := newFleet(13, l)
	r := rand.New(rand.NewPCG(5, 6))
	f.offerLoad(1200, 2*time.Second, r)
	for range 6 {
		for _, limiter := range f.nodes[:8] {
			limiter.SetNodeCount(8)
		}
		f.offerLoad(1200, time.Second, r)
	}
	assert.Assert(t, float64(f.maxAdmitted()) <= maxTolerated(l), "%d over %g", f.maxAdmitted(), maxTolerated(l))
}

// Guards against refusals of accounts that are well below their limits.
func TestUsualDemandIsNotRefused(t *testing.T) {
	for _, c := range []struct {
		rate            float64
		maxRefusedRatio float64
	}{{170, 0.001}, {30, 0.001}, {10, 0.005}, {4, 0.01}} {
		f := newFleet(13, ratelimit.Limit{Rate: c.rate, Burst: c.rate})
		r := rand.New(rand.NewPCG(7, 8))
		f.offerLoad(c.rate/1.6, 10*time.Second, r)
		offered, refused := f.offerLoad(c.rate/1.6, 60*time.Second, r)
		assert.Assert(t, float64(refused) <= c.maxRefusedRatio*float64(offered), "rate %g: %d of %d", c.rate, refused, offered)
	}
}

// Guards against a bucket that keeps its tokens after its limit was lowered, and
// against refusals after a limit was removed.
func TestChangedLimits(t *testing.T) {
	f := newFleet(1, ratelimit.Limit{Rate: 100, Burst: 100})
	f.now = f.now.Add(10 * time.Second)
	limiter := f.nodes[0]
	limiter.Configure(map[string]ratelimit.Limit{"club": {Rate: 1, Burst: 1}})
	admitted := 0
	for range 200 {
		if ok, retryAfter := limiter.Take("club"); ok {
			admitted++
		} else {
			assert.Assert(t, retryAfter > 0 && retryAfter <= 2*time.Second, "%v", retryAfter)
		}
	}
	assert.Assert(t, admitted <= 17, "%d admitted", admitted)
	limiter.Configure(nil)
	ok, _ := limiter.Take("club")
	assert.Assert(t, ok)
}

// Guards against an account far over its rate whose requests that only the
// tolerance admits are not marked, and against marked requests of an account
// within its rate.
func TestChargeShareMarksOnlyWhatTheToleranceAdmits(t *testing.T) {
	const nodes, rate = 10, 200.0
	for _, c := range []struct {
		name               string
		offered            float64
		minRatio, maxRatio float64
	}{{"within", 0.6 * rate, 0, 0.02}, {"far over", 5 * rate, 0.1, 0.2}} {
		now := time.Unix(1000, 0)
		limiter := ratelimit.New(ratelimit.Tolerance{OverageRatio: 0.25, SlackRequests: 20})
		limiter.Now = func() time.Time { return now }
		limiter.SetNodeCount(nodes)
		limiter.Configure(map[string]ratelimit.Limit{"club": {Rate: rate, Burst: 40}})
		r := rand.New(rand.NewPCG(7, 8))
		admitted, exceeding := 0, 0
		for range 20000 {
			now = now.Add(time.Millisecond)
			if r.Float64() >= c.offered/nodes/1000 {
				continue
			}
			if ok, _ := limiter.Take("club"); ok {
				admitted++
				if limiter.ChargeShare("club") {
					exceeding++
				}
			}
		}
		ratio := float64(exceeding) / float64(admitted)
		assert.Assert(t, ratio >= c.minRatio && ratio <= c.maxRatio, "%s: %d of %d", c.name, exceeding, admitted)
	}
}

// Guards against an account within its rate that is marked as exceeding its
// share because many of its requests were refused for other reasons and sent
// again.
func TestRefundedRequestsDoNotExceedTheShare(t *testing.T) {
	now := time.Unix(1000, 0)
	limiter := ratelimit.New(ratelimit.Tolerance{OverageRatio: 0.25, SlackRequests: 20})
	limiter.Now = func() time.Time { return now }
	limiter.Configure(map[string]ratelimit.Limit{"club": {Rate: 100, Burst: 10}})
	for range 500 {
		ok, _ := limiter.Take("club")
		assert.Assert(t, ok)
		exceeded := limiter.ChargeShare("club")
		assert.Assert(t, !exceeded)
		limiter.Refund("club", exceeded)
	}
}

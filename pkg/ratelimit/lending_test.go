package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/ratelimit"
)

// viewDelay is how much later than others a node may learn of a new lending node.
const viewDelay = 500 * time.Millisecond

// A lendingFleet is a fleet whose nodes each have a view of who lends. Views are the
// indexes of nodes.
type lendingFleet struct {
	*fleet
	limit ratelimit.Limit
	views []int
	// changes holds what views change, and when.
	changes []viewChange
}

type viewChange struct {
	at           time.Time
	node, lender int
}

func newLendingFleet(n int, l ratelimit.Limit) *lendingFleet {
	f := &lendingFleet{fleet: &fleet{now: time.Unix(1000, 0)}, limit: l, views: make([]int, n)}
	for i := range n {
		f.nodes = append(f.nodes, nil)
		f.restart(i)
	}
	return f
}

func (f *lendingFleet) restart(i int) {
	limiter := ratelimit.New(tolerance)
	limiter.Now = func() time.Time { return f.now }
	limiter.SinceBoot = func() time.Duration { return f.now.Sub(time.Unix(0, 0)) }
	limiter.IsLender = func(string) bool { return f.views[i] == i }
	limiter.SetNodeCount(len(f.views))
	limiter.Configure(map[string]ratelimit.Limit{"club": f.limit})
	f.nodes[i] = limiter
}

// moveTo makes another node the lending node. Odd nodes learn of it late.
func (f *lendingFleet) moveTo(lender int) {
	for i := range f.nodes {
		f.changes = append(f.changes, viewChange{f.now.Add(time.Duration(i%2) * viewDelay), i, lender})
	}
}

// cutOffLender lets the lending node give up its pools, and later return to them.
func (f *lendingFleet) cutOffLender() {
	lender := f.views[2]
	f.changes = append(f.changes, viewChange{f.now, lender, -1}, viewChange{f.now.Add(2 * viewDelay), lender, lender})
}

func (f *lendingFleet) applyChanges() {
	var left []viewChange
	for _, c := range f.changes {
		if f.now.Before(c.at) {
			left = append(left, c)
			continue
		}
		f.views[c.node] = c.lender
		f.nodes[c.node].UpdateLending()
	}
	f.changes = left
}

// offer offers requests at a rate per second to random nodes.
func (f *lendingFleet) offer(rate float64, length time.Duration, r *rand.Rand) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		f.applyChanges()
		for x := rate / 1000; r.Float64() < x; x-- {
			borrower := r.IntN(len(f.nodes))
			ok, _ := f.nodes[borrower].Take("club")
			if lender := f.views[borrower]; !ok && lender >= 0 && f.nodes[borrower].ShouldBorrow("club") {
				tokens, retryAfter := f.nodes[lender].Lend("club")
				ok = f.nodes[borrower].AcceptLoan("club", tokens, retryAfter, f.nodes[borrower].Moment())
			}
			if ok {
				f.admitted = append(f.admitted, f.now)
			}
		}
	}
}

// Guards against any order of changes of the lending node, within one window and while
// views differ, in which an account gets the pool of one node after that of another.
func TestChangesOfTheLendingNodeStayWithinTheTolerance(t *testing.T) {
	events := []struct {
		name string
		do   func(f *lendingFleet)
	}{
		{"leaves", func(f *lendingFleet) { f.moveTo(f.views[2] + 4) }},
		{"returns", func(f *lendingFleet) { f.moveTo(0) }},
		{"restarts", func(f *lendingFleet) { f.restart(f.views[2]) }},
		{"cut off", (*lendingFleet).cutOffLender},
	}
	var eachOrder func(order, rest []int)
	eachOrder = func(order, rest []int) {
		for _, rate := range []float64{2, 6, 20, 40, 60} {
			l := ratelimit.Limit{Rate: rate, Burst: rate}
			f := newLendingFleet(13, l)
			r := rand.New(rand.NewPCG(3, 4))
			f.offer(rate/3, 8*time.Second, r)
			f.offer(7*rate, time.Second, r)
			names := ""
			for _, e := range order {
				names += fmt.Sprint(" ", events[e].name)
				events[e].do(f)
				f.offer(7*rate, time.Second, r)
			}
			f.offer(7*rate, 3*time.Second, r)
			assert.Check(t, float64(f.maxAdmitted()) <= maxTolerated(l), "rate %g:%s: %d over %g", rate, names, f.maxAdmitted(), maxTolerated(l))
		}
		for i := range rest {
			others := append(append([]int(nil), rest[:i]...), rest[i+1:]...)
			eachOrder(append(order[:len(order):len(order)], rest[i]), others)
		}
	}
	eachOrder(nil, []int{0, 1, 2, 3})
}

// Guards against accounts within their limit that get nothing from a node which has just
// become their lending node.
func TestNewLendingNodeServesUsualDemand(t *testing.T) {
	const rate = 20
	f := newLendingFleet(13, ratelimit.Limit{Rate: rate, Burst: rate})
	r := rand.New(rand.NewPCG(5, 6))
	f.offer(rate/1.6, 10*time.Second, r)
	f.admitted = nil
	f.moveTo(4)
	f.offer(rate/1.6, 5*time.Second, r)
	assert.Assert(t, len(f.admitted) > 5*rate/1.6*0.8, "%d", len(f.admitted))
}

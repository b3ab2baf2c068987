package fairadmission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rates are eight accounts, a few of them large, in shares of the load.
var rates = []float64{1, 1, 1, 1, 1, 3, 3, 4}

// crowd runs the accounts at 80 % of what 12 slots serve, with account greedy
// at five times its rate.
func crowd(seed uint64, greedy int, fair bool, burst float64) *trial {
	g, c := newGate(12, 12)
	g.queues.burst = burst
	s := newTrial(g, c, seed)
	s.service = 20 * time.Millisecond
	weights := map[string]float64{}
	for i, r := range rates {
		rate := r / 15 * 0.8 * 12 / s.service.Seconds()
		name := fmt.Sprintf("a%d", i)
		weights[name] = rate
		if i == greedy {
			rate *= 5
		}
		queue := name
		if !fair {
			queue = "all"
		}
		s.offer(name, queue, rate, time.Second)
	}
	l := g.limits
	l.Weights = weights
	if !fair {
		l.QueuePerAccount *= len(rates)
	}
	g.Configure(l)
	s.ticks()
	s.run(time.Minute)
	return s
}

// Guards against an account that sends five times its rate at the expense of
// the others. The same runs with a first-come queue, and with fair queueing
// that grants no burst, show the fault.
func TestGreedyAccountHarmsNoOther(t *testing.T) {
	for _, greedy := range []int{0, 7} {
		name := fmt.Sprintf("a%d", greedy)
		for seed := uint64(1); seed <= 2; seed++ {
			share, tail, text := crowd(seed, greedy, true, burstCalls).worst(name)
			t.Logf("greedy %s seed %d: %s", name, seed, text)
			assert.Check(t, share >= 0.9 && tail <= 1.1, "share %.3f p99 %.3f of the median", share, tail)
		}
		_, tail, text := crowd(1, greedy, true, 0).worst(name)
		t.Logf("greedy %s seed 1, no burst: %s", name, text)
		assert.Check(t, tail > 1.1, "the run without a burst does not show the fault")
		_, _, text = crowd(1, greedy, false, 0).worst(name)
		t.Logf("greedy %s seed 1, first come: %s", name, text)
	}
}

// Guards against an overload in which the server works only on calls that
// nobody waits for any more.
func TestOverloadKeepsTheServerUseful(t *testing.T) {
	for _, timeout := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
		g, c := newGate(12, 12)
		s := newTrial(g, c, 1)
		s.service = 20 * time.Millisecond
		capacity := 12 / s.service.Seconds()
		s.offer("a", "a", 2*capacity, timeout)
		s.ticks()
		s.run(20 * time.Second)
		part := float64(s.clients["a"].good) / 20 / capacity
		t.Logf("timeout %v: %.3f of the capacity answered in time", timeout, part)
		assert.Check(t, part > 0.7)
	}
}

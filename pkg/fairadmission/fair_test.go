package fairadmission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// accountRates are the relative request rates of eight accounts, a few of them
// large.
var accountRates = []float64{1, 1, 1, 1, 1, 3, 3, 4}

// runGreedyAccount runs the accounts at 80 % of the capacity of 12 slots for one
// minute, with the account of index greedy at five times its rate. Without
// fairQueueing all accounts share one queue.
func runGreedyAccount(seed uint64, greedy int, fairQueueing bool, burst float64) *simulation {
	ctl, c := newController(12, 12)
	ctl.fairQueue.burst = burst
	s := newSimulation(ctl, c, seed)
	s.meanService = 20 * time.Millisecond
	weights := map[string]float64{}
	for i, r := range accountRates {
		rate := r / 15 * 0.8 * 12 / s.meanService.Seconds()
		name := fmt.Sprintf("a%d", i)
		weights[name] = rate
		if i == greedy {
			rate *= 5
		}
		queue := name
		if !fairQueueing {
			queue = "all"
		}
		s.sendAtRate(name, queue, rate, time.Second)
	}
	l := ctl.limits
	l.Weights = weights
	if !fairQueueing {
		l.QueuePerAccount *= len(accountRates)
	}
	ctl.Configure(l)
	s.scheduleTicks()
	s.run(time.Minute)
	return s
}

// Guards against an account that sends five times its rate at the expense of the
// others. The same runs without a burst, or with one queue for all accounts, show
// the fault.
func TestGreedyAccountHarmsNoOther(t *testing.T) {
	for _, greedy := range []int{0, 7} {
		name := fmt.Sprintf("a%d", greedy)
		for seed := uint64(1); seed <= 2; seed++ {
			ratio, p99, text := runGreedyAccount(seed, greedy, true, burstRequests).worstAccount(name)
			t.Logf("greedy %s seed %d: %s", name, seed, text)
			assert.Check(t, ratio >= 0.9 && p99 <= 1.1, "share %.3f p99 %.3f of the median", ratio, p99)
		}
		_, p99, text := runGreedyAccount(1, greedy, true, 0).worstAccount(name)
		t.Logf("greedy %s seed 1, no burst: %s", name, text)
		assert.Check(t, p99 > 1.1, "the run without a burst does not show the fault")
		_, _, text = runGreedyAccount(1, greedy, false, 0).worstAccount(name)
		t.Logf("greedy %s seed 1, first come: %s", name, text)
	}
}

// Guards against an overload in which the server works only on requests whose
// callers no longer wait.
func TestOverloadKeepsTheServerUseful(t *testing.T) {
	for _, timeout := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
		ctl, c := newController(12, 12)
		s := newSimulation(ctl, c, 1)
		s.meanService = 20 * time.Millisecond
		capacity := 12 / s.meanService.Seconds()
		s.sendAtRate("a", "a", 2*capacity, timeout)
		s.scheduleTicks()
		s.run(20 * time.Second)
		servedRatio := float64(s.results["a"].succeeded) / 20 / capacity
		t.Logf("timeout %v: %.3f of the capacity answered in time", timeout, servedRatio)
		assert.Check(t, servedRatio > 0.7)
	}
}

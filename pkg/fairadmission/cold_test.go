package fairadmission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runRestarts restarts the server three times, 20 s apart, while requests arrive
// at the rate that the warm server can serve.
func runRestarts(seed uint64, slots, cold int, warmUp time.Duration) *simulation {
	ctl, c := newController(slots, cold)
	ctl.WarmUp = max(ctl.WarmUp, warmUp)
	s := newSimulation(ctl, c, seed)
	s.meanService = 20 * time.Millisecond
	s.restart(slots, 2, warmUp)
	s.sendAtRate("a", "a", float64(slots)/s.meanService.Seconds(), 300*time.Millisecond)
	s.scheduleTicks()
	for range 3 {
		s.run(20 * time.Second)
		s.restart(slots, 2, warmUp)
	}
	s.run(20 * time.Second)
	return s
}

// Guards against more load on a freshly started server than it can take. The same
// run without a cold limit shows the fault.
func TestRestartedServerIsNotOverloaded(t *testing.T) {
	for _, c := range []struct {
		slots  int
		warmUp time.Duration
		seed   uint64
	}{
		{12, 5 * time.Second, 1},
		{12, 5 * time.Second, 2},
		{18, 5 * time.Second, 1},
		{18, 10 * time.Second, 2},
	} {
		s := runRestarts(c.seed, c.slots, 2, c.warmUp)
		result := s.results["a"]
		t.Logf("slots %d warm-up %v seed %d: excess %d, served %.3f of the requests that were not reset", c.slots, c.warmUp, c.seed, s.excess, float64(result.succeeded)/float64(result.ended))
		assert.Check(t, s.excess <= 0, "%d requests more than the server can take", s.excess)
		assert.Check(t, s.controller.Load().Permits == c.slots, "permits %d of %d after 20 s", s.controller.Load().Permits, c.slots)
	}
	withoutLimit := runRestarts(1, 12, 12, 5*time.Second)
	t.Logf("slots 12 seed 1 without a cold limit: excess %d", withoutLimit.excess)
	assert.Check(t, withoutLimit.excess > 6, "the run without a cold limit does not show the fault")
}

// Guards against a restart of the server that goes undetected, and against single
// closed connections that are mistaken for a restart.
func TestRestartMakesTheServerCountAsCold(t *testing.T) {
	end := func(o Outcome) func(*Controller, *clock) {
		return func(ctl *Controller, _ *clock) {
			slot, _, _ := ctl.Offer(Request{})
			slot.Release(o)
		}
	}
	closes := func(n int) func(*Controller, *clock) {
		return func(ctl *Controller, _ *clock) {
			for range n {
				ctl.IdleConnectionClosed()
			}
		}
	}
	for _, c := range []struct {
		name string
		peak int
		do   func(*Controller, *clock)
		cold bool
	}{
		{"connection refused", 8, end(ConnectionRefused), true},
		{"connection reset", 8, end(ConnectionReset), true},
		{"good answer", 8, end(Succeeded), false},
		{"failure", 8, end(Failed), false},
		{"three idle connections closed", 8, closes(3), true},
		{"two idle connections closed", 8, closes(2), false},
		{"the only idle connection closed", 1, closes(1), true},
		{"no call for long", 8, func(_ *Controller, c *clock) { c.advance(11 * time.Second) }, true},
		{"process paused", 8, func(ctl *Controller, c *clock) { ctl.Tick(c.t); ctl.Tick(c.advance(time.Second)) }, true},
	} {
		ctl, clk := newController(8, 2)
		ctl.limiter.permits = 8
		var slots []*Slot
		for range c.peak {
			slot, _, _ := ctl.Offer(Request{})
			slots = append(slots, slot)
		}
		clk.advance(5 * time.Millisecond)
		for _, slot := range slots {
			slot.Release(Succeeded)
		}
		c.do(ctl, clk)
		ctl.Tick(clk.t)
		assert.Equal(t, ctl.Load().Permits == 2, c.cold, c.name)
		_, _, err := ctl.Offer(Request{ArrivedAt: clk.advance(2 * pauseGrace)})
		assert.NilError(t, err, c.name)
	}
}

// Guards against a limit that stays high while the server sheds load, and against
// one that falls below one request.
func TestSheddingLowersTheLimit(t *testing.T) {
	ctl, c := newController(8, 2)
	ctl.limiter.permits = 8
	want := []int{6, 4, 3, 2, 1, 1}
	for _, n := range want {
		slot, _, err := ctl.Offer(Request{})
		assert.NilError(t, err)
		slot.Release(Shed)
		assert.Equal(t, ctl.Load().Permits, n)
		c.advance(time.Second)
	}
}

// Guards against more new connections in one second than the limit and the burst
// allow.
func TestDialsAreRationed(t *testing.T) {
	ctl, c := newController(8, 2)
	opened := map[int64]int{}
	for range 1000 {
		wait, ok := ctl.ReserveDial(c.t.Add(5 * time.Second))
		if ok {
			opened[c.t.Add(wait).Unix()]++
		}
		c.advance(time.Millisecond)
	}
	total := 0
	for _, n := range opened {
		total += n
		assert.Assert(t, n <= 106, "%d connections in one second", n)
	}
	assert.Assert(t, total >= 550, "%d connections over 6 s", total)
}

// Guards against a limit that stays low for long after the requests themselves
// have become slower, such as large files after small lookups.
func TestSlowerCallsGetTheirSlotsBack(t *testing.T) {
	ctl, c := newController(12, 2)
	ctl.limiter.permits = 12
	s := newSimulation(ctl, c, 1)
	s.meanService = 10 * time.Millisecond
	s.sendAtRate("a", "a", 0.8*12/0.05, time.Second)
	s.scheduleTicks()
	s.run(10 * time.Second)
	s.meanService *= 5
	minPermits := 12
	for range 150 {
		s.run(100 * time.Millisecond)
		minPermits = min(minPermits, ctl.Load().Permits)
	}
	result := s.results["a"]
	t.Logf("minimum of permits %d, at the end %d; %d of %d requests refused", minPermits, ctl.Load().Permits, result.ended-result.succeeded, result.ended)
	assert.Equal(t, ctl.Load().Permits, 12)
}

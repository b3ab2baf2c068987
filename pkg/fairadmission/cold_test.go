package fairadmission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fullLoad restarts the server three times, 20 s apart, while calls come at
// the rate that the warm server serves.
func fullLoad(seed uint64, slots, cold int, warmUp time.Duration) *trial {
	g, c := newGate(slots, cold)
	g.WarmUp = max(g.WarmUp, warmUp)
	s := newTrial(g, c, seed)
	s.service = 20 * time.Millisecond
	s.restart(slots, 2, warmUp)
	s.offer("a", "a", float64(slots)/s.service.Seconds(), 300*time.Millisecond)
	s.ticks()
	for range 3 {
		s.run(20 * time.Second)
		s.restart(slots, 2, warmUp)
	}
	s.run(20 * time.Second)
	return s
}

// Guards against a freshly started server that gets more than it bears. The
// same run without a cold limit shows the fault.
func TestRestartedServerGetsNoMoreThanItBears(t *testing.T) {
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
		s := fullLoad(c.seed, c.slots, 2, c.warmUp)
		a := s.clients["a"]
		t.Logf("slots %d warm-up %v seed %d: excess %d, served %.3f of the calls that were not reset", c.slots, c.warmUp, c.seed, s.excess, float64(a.good)/float64(a.ended))
		assert.Check(t, s.excess <= 0, "%d calls more than the server bears", s.excess)
		assert.Check(t, s.gate.Load().Permits == c.slots, "permits %d of %d after 20 s", s.gate.Load().Permits, c.slots)
	}
	o := fullLoad(1, 12, 12, 5*time.Second)
	t.Logf("slots 12 seed 1 without a cold limit: excess %d", o.excess)
	assert.Check(t, o.excess > 6, "the run without a cold limit does not show the fault")
}

// Guards against evidence of a restart that the gate misses, and against
// single closed connections that are taken for one.
func TestEvidenceOfRestartMakesTheGateCold(t *testing.T) {
	end := func(o Outcome) func(*Controller, *clock) {
		return func(g *Controller, _ *clock) {
			t, _, _ := g.Offer(Request{})
			t.Release(o)
		}
	}
	closes := func(n int) func(*Controller, *clock) {
		return func(g *Controller, _ *clock) {
			for range n {
				g.IdleConnectionClosed()
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
		{"no call for long", 8, func(_ *Controller, c *clock) { c.add(11 * time.Second) }, true},
		{"process paused", 8, func(g *Controller, c *clock) { g.Tick(c.t); g.Tick(c.add(time.Second)) }, true},
	} {
		g, clk := newGate(8, 2)
		g.limit.permits = 8
		var tickets []*Slot
		for range c.peak {
			t, _, _ := g.Offer(Request{})
			tickets = append(tickets, t)
		}
		clk.add(5 * time.Millisecond)
		for _, t := range tickets {
			t.Release(Succeeded)
		}
		c.do(g, clk)
		g.Tick(clk.t)
		assert.Equal(t, g.Load().Permits == 2, c.cold, c.name)
		_, _, err := g.Offer(Request{ArrivedAt: clk.add(2 * pauseGrace)})
		assert.NilError(t, err, c.name)
	}
}

// Guards against a limit that stays high while the server sheds load, and
// one that falls below a single call.
func TestSheddingLowersTheLimit(t *testing.T) {
	g, c := newGate(8, 2)
	g.limit.permits = 8
	want := []int{6, 4, 3, 2, 1, 1}
	for _, n := range want {
		ticket, _, err := g.Offer(Request{})
		assert.NilError(t, err)
		ticket.Release(Shed)
		assert.Equal(t, g.Load().Permits, n)
		c.add(time.Second)
	}
}

// Guards against connection storms: in no second are more connections opened
// than allowed, give or take the burst.
func TestDialsAreRationed(t *testing.T) {
	g, c := newGate(8, 2)
	opened := map[int64]int{}
	for range 1000 {
		wait, ok := g.ReserveDial(c.t.Add(5 * time.Second))
		if ok {
			opened[c.t.Add(wait).Unix()]++
		}
		c.add(time.Millisecond)
	}
	total := 0
	for _, n := range opened {
		total += n
		assert.Assert(t, n <= 106, "%d connections in one second", n)
	}
	assert.Assert(t, total >= 550, "%d connections over 6 s", total)
}

// Guards against slots that are lost for long when calls become slower by
// themselves, such as large files after small lookups.
func TestSlowerCallsGetTheirSlotsBack(t *testing.T) {
	g, c := newGate(12, 2)
	g.limit.permits = 12
	s := newTrial(g, c, 1)
	s.service = 10 * time.Millisecond
	s.offer("a", "a", 0.8*12/0.05, time.Second)
	s.ticks()
	s.run(10 * time.Second)
	s.service *= 5
	least := 12
	for range 150 {
		s.run(100 * time.Millisecond)
		least = min(least, g.Load().Permits)
	}
	a := s.clients["a"]
	t.Logf("least permits %d, at the end %d; %d of %d calls refused", least, g.Load().Permits, a.ended-a.good, a.ended)
	assert.Equal(t, g.Load().Permits, 12)
}

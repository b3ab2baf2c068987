package balance

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	os.Exit(m.Run())
}

// newChooser returns a chooser for zone z0 on a fake clock.
func newChooser(seed uint64, now *time.Time) *Chooser {
	c := New("z0")
	c.Rand = rand.New(rand.NewPCG(seed, 4))
	c.Now = func() time.Time { return *now }
	return c
}

func targets(n, zones int) []Target {
	var out []Target
	for i := range n {
		out = append(out, Target{ID: fmt.Sprint("h", i), Service: "s", Zone: fmt.Sprint("z", i%zones)})
	}
	return out
}

// Guards against a pick of a host that accepts no new work or is excluded, and
// against no pick while a host is left, in any order of events.
func TestPickInvariantsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		now := time.Unix(0, 0)
		c := newChooser(rapid.Uint64().Draw(r, "seed"), &now)
		all := targets(6, 3)
		c.SetTargets(all)
		id := func() int { return rapid.IntRange(0, 5).Draw(r, "host") }
		r.Repeat(map[string]func(*rapid.T){
			"update": func(r *rapid.T) {
				all = targets(6, 3)
				for i := range all {
					all[i].OutOfService = rapid.Bool().Draw(r, "out")
					all[i].Leaving = rapid.Bool().Draw(r, "leaving")
				}
				c.SetTargets(all)
			},
			"finished": func(r *rapid.T) {
				h := all[id()].ID
				c.CallStarted(h)
				res := Result(rapid.IntRange(0, int(Canceled)).Draw(r, "result"))
				c.CallFinished(h, res, Load{Running: rapid.IntRange(0, 20).Draw(r, "running"), Permits: rapid.IntRange(0, 12).Draw(r, "permits")})
			},
			"wait": func(r *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(r, "ms")) * time.Millisecond)
			},
			"": func(r *rapid.T) {
				exclude := []string{all[id()].ID, all[id()].ID}
				left := 0
				for _, h := range all {
					if !h.OutOfService && !h.Leaving && h.ID != exclude[0] && h.ID != exclude[1] {
						left++
					}
				}
				h, ok := c.Pick("s", exclude)
				assert.Equal(r, ok, left > 0)
				assert.Assert(r, !h.OutOfService && !h.Leaving && h.ID != exclude[0] && h.ID != exclude[1])
				assert.Assert(r, len(c.Ejected("s")) <= 3)
			},
		})
	})
}

// pickShares picks hosts for calls that end at once and returns each host's
// share of the calls. Calls to the hosts in broken fail.
func pickShares(c *Chooser, now *time.Time, calls int, broken map[string]bool) map[string]float64 {
	share := map[string]float64{}
	for range calls {
		*now = now.Add(time.Millisecond)
		h, _ := c.Pick("s", nil)
		share[h.ID] += 1 / float64(calls)
		c.CallStarted(h.ID)
		if broken[h.ID] {
			c.CallFinished(h.ID, Failed, Load{})
		} else {
			c.CallFinished(h.ID, Answered, Load{Permits: 12})
		}
	}
	return share
}

// Guards against the ejection of nearly all hosts, which would overload the
// others, when the cause is elsewhere, such as in this node's network.
func TestEjectionLeavesHalfOfTheHosts(t *testing.T) {
	for _, limit := range []float64{0.5, 1} {
		now := time.Unix(0, 0)
		c := newChooser(1, &now)
		c.MaxEjectedShare = limit
		c.SetTargets(targets(9, 1))
		all := map[string]bool{}
		for i := range 9 {
			all[fmt.Sprint("h", i)] = true
		}
		pickShares(c, &now, 2000, all)
		t.Logf("all of 9 hosts fail, share kept %v: %d ejected", 1-limit, len(c.Ejected("s")))
		assert.Equal(t, len(c.Ejected("s")) <= 4, limit == 0.5)
	}
}

// Guards against ejected hosts that never get calls again after they recover,
// and against failing hosts that keep getting calls.
func TestHostsThatLookedDeadReturn(t *testing.T) {
	now := time.Unix(0, 0)
	c := newChooser(1, &now)
	c.SetTargets(targets(9, 1))
	broken := map[string]bool{"h0": true, "h1": true, "h2": true}
	pickShares(c, &now, 1000, broken)
	during := pickShares(c, &now, 60_000, broken)
	c.EjectAfterFailures = 1 << 30
	c.hosts["h0"].ejections, c.hosts["h0"].ejectedUntil, c.hosts["h0"].rampStart = 0, now, time.Time{}
	without := pickShares(c, &now, 1000, broken)
	c.EjectAfterFailures = 5
	pickShares(c, &now, 80_000, nil)
	after := pickShares(c, &now, 9000, nil)
	t.Logf("share of calls of a failing host: %.4f, without ejection %.4f; after its return %.4f, fair share %.4f", during["h0"], without["h0"], after["h0"], 1.0/9)
	for id := range broken {
		assert.Check(t, during[id] < 0.01, "%s gets %.4f of the calls while it fails", id, during[id])
		assert.Check(t, after[id] > 0.08, "%s gets %.4f of the calls after its return", id, after[id])
	}
	assert.Check(t, without["h0"] > 0.05)
}

// Guards against a returning host that gets its full share at once.
func TestReturningHostIsRamped(t *testing.T) {
	now := time.Unix(0, 0)
	c := newChooser(1, &now)
	all := targets(4, 1)
	all[0].OutOfService = true
	c.SetTargets(all)
	c.SetTargets(targets(4, 1))
	first := pickShares(c, &now, 1000, nil)["h0"]
	pickShares(c, &now, 9000, nil)
	last := pickShares(c, &now, 1000, nil)["h0"]
	t.Logf("share in the first second %.3f, after the ramp %.3f", first, last)
	assert.Assert(t, first < 0.08 && last > 0.2)
}

func BenchmarkPick(b *testing.B) {
	c := New("z0")
	c.SetTargets(targets(12, 3))
	b.ReportAllocs()
	for b.Loop() {
		h, _ := c.Pick("s", nil)
		c.CallStarted(h.ID)
		c.CallFinished(h.ID, Answered, Load{Running: 3, Permits: 12})
	}
}

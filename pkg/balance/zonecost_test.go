package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newDeskChooser returns a chooser for zone surco with the given hosts of service
// desk, each with ten permits.
func newDeskChooser(now *time.Time, hosts ...Target) *Chooser {
	c := New("surco")
	c.Now = func() time.Time { return *now }
	c.Rand = rand.New(rand.NewPCG(1, 2))
	for i := range hosts {
		hosts[i].Service, hosts[i].Permits = "desk", 10
	}
	c.SetTargets(hosts)
	return c
}

// countPicks returns how often each host is picked in 1000 picks without a call.
func countPicks(c *Chooser, crossZoneCost float64) map[string]int {
	n := map[string]int{}
	for range 1000 {
		t, _, _ := c.PickWithZoneCost("desk", nil, crossZoneCost)
		n[t.ID]++
	}
	return n
}

// Guards against calls that cross zones while the own zone has free permits, and
// against calls that stay in a full zone while other zones are idle.
func TestPickWithZoneCostWeighsCostAgainstLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newDeskChooser(&now, Target{ID: "near", Zone: "surco"}, Target{ID: "far", Zone: "ate"})
	for _, id := range []string{"near", "far"} {
		c.ObserveLatency(id, 100*time.Millisecond)
	}
	assert.Equal(t, countPicks(c, 1)["far"], 0)
	for range 10 {
		c.CallStarted("near")
	}
	assert.Equal(t, countPicks(c, 1)["near"], 0)
	assert.Equal(t, countPicks(c, 20)["far"], 0)
	_, full, ok := c.PickWithZoneCost("desk", nil, 20)
	assert.Assert(t, ok && full)
}

// Guards against a slow host that keeps its share of the calls, and against a
// slow host that is never tried again.
func TestSlowHostsAreAvoidedAndTriedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newDeskChooser(&now, Target{ID: "a", Zone: "surco"}, Target{ID: "b", Zone: "surco"}, Target{ID: "slow", Zone: "surco"})
	for range 50 {
		c.ObserveLatency("a", 100*time.Millisecond)
		c.ObserveLatency("b", 110*time.Millisecond)
		c.ObserveLatency("slow", 1200*time.Millisecond)
	}
	assert.Equal(t, countPicks(c, 0)["slow"], 0)
	now = now.Add(20 * time.Second)
	c.ObserveLatency("a", 100*time.Millisecond)
	c.ObserveLatency("b", 100*time.Millisecond)
	n := map[string]int{}
	for range 24 {
		to, _, _ := c.PickWithZoneCost("desk", nil, 0)
		c.CallStarted(to.ID)
		n[to.ID]++
	}
	assert.Assert(t, n["slow"] > 2, "%v", n)
}

// Guards against a host that stopped answering and is detected only when its
// calls end.
func TestAgeOfCallsInFlightShowsASilentHost(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newDeskChooser(&now, Target{ID: "a", Zone: "surco"}, Target{ID: "silent", Zone: "surco"})
	for range 20 {
		c.ObserveLatency("a", 100*time.Millisecond)
		c.ObserveLatency("silent", 90*time.Millisecond)
	}
	c.CallStarted("silent")
	c.CallStarted("silent")
	now = now.Add(600 * time.Millisecond)
	assert.Equal(t, countPicks(c, 0)["silent"], 0)
}

// Guards against a host that joins in another zone and never gets a call.
func TestHostThatJoinsIsTried(t *testing.T) {
	now := time.Unix(1000, 0)
	near := Target{ID: "near", Zone: "surco", Service: "desk", Permits: 10}
	c := newDeskChooser(&now, near)
	c.ObserveLatency("near", 100*time.Millisecond)
	c.SetTargets([]Target{near, {ID: "far", Zone: "ate", Service: "desk", Permits: 10}})
	now = now.Add(2 * time.Second)
	assert.Assert(t, countPicks(c, 5)["far"] > 0)
	c.ObserveLatency("far", 100*time.Millisecond)
	now = now.Add(20 * time.Second)
	assert.Equal(t, countPicks(c, 5)["far"], 0)
}

// Guards against calls that full hosts refused and that then wait at a host which is
// known to answer nothing, and against a call that no host gets although one is left.
func TestFailingHostIsNoResortForCallsWithoutRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newDeskChooser(&now, Target{ID: "full", Zone: "surco"}, Target{ID: "silent", Zone: "surco"})
	c.CallStarted("silent")
	c.CallFinished("silent", NotAccepting, Load{})
	c.CallStarted("full")
	c.CallFinished("full", Overloaded, Load{})
	_, _, ok := c.PickWithZoneCost("desk", []string{"full"}, 0)
	assert.Assert(t, !ok)
	c.CallStarted("full")
	c.CallFinished("full", NotAccepting, Load{})
	to, _, ok := c.PickWithZoneCost("desk", []string{"full"}, 0)
	assert.Assert(t, ok && to.ID == "silent")
	now = now.Add(4 * time.Second)
	to, _, ok = c.PickWithZoneCost("desk", []string{"full"}, 0)
	assert.Assert(t, ok && to.ID == "silent", "a host that returns")
}

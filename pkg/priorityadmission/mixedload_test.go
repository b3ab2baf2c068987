package priorityadmission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A kindOfRequest is one kind of request in a mixed load.
type kindOfRequest struct {
	class    string
	rate     float64
	work     time.Duration
	priority int
	nested   bool
	// objective and deadline count from the arrival.
	objective, deadline time.Duration
}

// A kindResult counts the outcomes of the requests of one kind.
type kindResult struct{ offered, served, withinObjective int }

func (r kindResult) share() float64 { return float64(r.served) / float64(max(1, r.offered)) }

// offerKinds offers a mixed load for the given time. Refused requests are not retried.
func (sim *simulation) offerKinds(kinds []kindOfRequest, length time.Duration, r *rand.Rand) map[string]kindResult {
	results := map[string]kindResult{}
	count := func(class string, change func(*kindResult)) {
		result := results[class]
		change(&result)
		results[class] = result
	}
	run := func(k kindOfRequest, slot *Slot, due time.Time) {
		work := time.Duration((0.7 + 0.6*r.Float64()) * float64(k.work))
		sim.controller.AfterFunc(work, func() {
			slot.Release(true)
			count(k.class, func(c *kindResult) {
				c.served++
				if !sim.now.After(due) {
					c.withinObjective++
				}
			})
		})
	}
	offer := func(k kindOfRequest) {
		count(k.class, func(c *kindResult) { c.offered++ })
		req := sim.request(k.objective, k.deadline)
		req.Class, req.Priority, req.Nested = k.class, k.priority, k.nested
		w, slot, err := sim.controller.admitOrQueue(req)
		if err != nil {
			return
		}
		if slot != nil {
			run(k, slot, req.Objective)
			return
		}
		var poll func()
		poll = func() {
			switch {
			case w.granted != nil:
				run(k, w.granted, req.Objective)
			case w.refusal == nil && !sim.now.Before(w.startBy):
				sim.controller.cancel(w, Late)
			case w.refusal == nil:
				sim.controller.AfterFunc(time.Millisecond, poll)
			}
		}
		poll()
	}
	for end := sim.now.Add(length); sim.now.Before(end); sim.advance(time.Millisecond) {
		for _, k := range kinds {
			if r.Float64() < k.rate/1000 {
				offer(k)
			}
		}
	}
	return results
}

// readsAndCalls is the load of the one server that is left of a service whose long
// reads, bundles and calls of running requests usually share three.
var readsAndCalls = []kindOfRequest{
	{class: "read", rate: 14, work: 640 * time.Millisecond, priority: 2, objective: 2 * time.Second, deadline: 8 * time.Second},
	{class: "bundle", rate: 11, work: 130 * time.Millisecond, priority: 2, objective: 400 * time.Millisecond, deadline: 1500 * time.Millisecond},
	{class: "call", rate: 23, work: 40 * time.Millisecond, priority: 1, nested: true, objective: 150 * time.Millisecond, deadline: 500 * time.Millisecond},
}

// Guards against short calls of running requests that are refused because the mean
// duration is that of the long reads, and against reads that starve beside them.
func TestShortCallsBesideLongReads(t *testing.T) {
	sim := newSimulation()
	sim.controller.SetSlots(9)
	r := rand.New(rand.NewPCG(7, 8))
	sim.offerKinds(readsAndCalls, 5*time.Second, r)
	got := sim.offerKinds(readsAndCalls, 60*time.Second, r)
	assert.Assert(t, got["call"].share() >= 0.98, "%+v", got)
	assert.Assert(t, got["bundle"].share() >= 0.85, "%+v", got)
	assert.Assert(t, got["read"].share() >= 0.6, "%+v", got)
}

// Guards against a call of a running request that is refused because its objective
// cannot be met although there is time until its deadline.
func TestNestedRequestWaitsUntilItsDeadline(t *testing.T) {
	sim := newSimulation()
	sim.controller.SetSlots(1)
	_, slot, err := sim.controller.admitOrQueue(sim.request(time.Second, time.Second))
	assert.NilError(t, err)
	nested := sim.request(50*time.Millisecond, 500*time.Millisecond)
	nested.Nested = true
	w, _, err := sim.controller.admitOrQueue(nested)
	assert.NilError(t, err)
	assert.Assert(t, !w.overdue)
	sim.advance(300 * time.Millisecond)
	assert.Assert(t, w.startBy.After(sim.now))
	slot.Release(true)
	assert.Assert(t, w.granted != nil)
}

// Guards against classes that are kept for ever, and against one whose first
// measurement counts no more than a later one.
func TestDurationsByClass(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDurations()
	assert.Equal(t, d.of("read").mean, initialMeanDuration)
	d.record("read", 640*time.Millisecond, now)
	d.record("call", 40*time.Millisecond, now.Add(time.Second))
	assert.Equal(t, d.of("read").mean, 640*time.Millisecond)
	assert.Equal(t, d.of("call").mean, 40*time.Millisecond)
	d.record("call", 60*time.Millisecond, now.Add(2*time.Second))
	assert.Equal(t, d.of("call").mean, 50*time.Millisecond)
	for i := range maxClasses - 1 {
		d.record(string(rune('a'+i)), time.Millisecond, now.Add(3*time.Second))
	}
	assert.Equal(t, len(d.byClass), maxClasses)
	assert.Equal(t, d.of("read"), d.all)
	assert.Equal(t, d.of("call").mean, 50*time.Millisecond)
}

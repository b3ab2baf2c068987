package balance_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/balance"
	"quetzaldock.example/quetzaldock/pkg/fairadmission"
)

type event struct {
	at time.Time
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].n < e[j].n)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

const (
	slots   = 12
	latency = time.Millisecond
	timeout = time.Second
)

// A host has a gate, and a node whose chooser sends calls to all hosts.
type host struct {
	balance.Target
	gate    *fairadmission.Controller
	chooser *balance.Chooser
	budget  *balance.RetryBudget
	waiting []func() bool // each reports whether its call left the queue
	running int
	peak    int
	served  int // since the last reset
}

// A fleet is the hosts of one service on a fake clock.
type fleet struct {
	now     time.Time
	rand    *rand.Rand
	events  events
	n       int
	hosts   []*host
	entries int // calls enter through the first hosts only
	service time.Duration
	ended   int
	good    int
	refused int
}

// newFleet returns warm hosts of the given zones, one entry for each host.
func newFleet(seed uint64, zones []int, service time.Duration) *fleet {
	f := &fleet{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 5)), service: service}
	now := func() time.Time { return f.now }
	for i, z := range zones {
		h := &host{gate: fairadmission.New(), chooser: balance.New(fmt.Sprint("z", z)), budget: balance.NewRetryBudget()}
		h.Target = balance.Target{ID: fmt.Sprint("h", i), Service: "s", Zone: fmt.Sprint("z", z)}
		h.gate.Now, h.chooser.Now = now, now
		h.chooser.Rand = rand.New(rand.NewPCG(seed, uint64(i)+100))
		h.gate.Configure(fairadmission.Limits{Slots: slots, ColdSlots: slots, QueuePerAccount: 64})
		h.gate.ServerRestarted("start")
		h.gate.Configure(fairadmission.Limits{Slots: slots, ColdSlots: 2, QueuePerAccount: 64})
		h.budget.Configure("s", 20)
		f.hosts = append(f.hosts, h)
		f.entries++
	}
	for _, h := range f.hosts {
		f.update(h, "")
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	f.n++
	heap.Push(&f.events, event{f.now.Add(d), f.n, do})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// update tells one host which zone is out.
func (f *fleet) update(h *host, out string) {
	var view []balance.Target
	for _, o := range f.hosts {
		t := o.Target
		t.OutOfService = t.Zone == out
		view = append(view, t)
	}
	h.chooser.SetTargets(view)
	if h.Zone == out {
		h.gate.SetState(fairadmission.StateZoneOut)
	} else {
		h.gate.SetState(fairadmission.StateOpen)
	}
	h.settle()
}

// publish takes a zone out, or none; every host learns it within 2 s.
func (f *fleet) publish(out string) {
	for _, h := range f.hosts {
		f.after(time.Duration(f.rand.IntN(2000))*time.Millisecond, func() { f.update(h, out) })
	}
}

// offer sends calls at random times through random hosts.
func (f *fleet) offer(rate float64) {
	f.after(time.Duration(f.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		f.attempt(f.hosts[f.rand.IntN(f.entries)], f.now.Add(timeout), 1, nil)
		f.offer(rate)
	})
}

func (f *fleet) attempt(from *host, deadline time.Time, n int, tried []string) {
	if n == 1 {
		from.budget.RecordCall("s")
	}
	t, ok := from.chooser.Pick("s", tried)
	if !ok {
		f.ended++
		f.refused++
		return
	}
	var at *host
	for _, h := range f.hosts {
		if h.ID == t.ID {
			at = h
		}
	}
	from.chooser.CallStarted(t.ID)
	reply := func(r balance.Result, then func()) {
		l := at.gate.Load()
		f.after(latency, func() {
			from.chooser.CallFinished(t.ID, r, balance.Load(l))
			then()
		})
	}
	started := func(ticket *fairadmission.Slot) {
		f.serve(at, ticket, func() {
			reply(balance.Answered, func() {
				f.ended++
				if !f.now.After(deadline) {
					f.good++
				}
			})
		})
	}
	refused := func(err error) {
		r := balance.Overloaded
		if err.(*fairadmission.Refusal).Reason == fairadmission.ZoneOut {
			r = balance.NotAccepting
		}
		reply(r, func() {
			a := balance.Attempt{Service: "s", Number: n, NotRun: true, Now: f.now, Deadline: deadline, Allow: from.budget.Allow}
			if balance.DecideRetry(a) == balance.Retry {
				f.attempt(from, deadline, n+1, append(tried, t.ID))
				return
			}
			f.ended++
			f.refused++
		})
	}
	f.after(latency, func() { at.enter(deadline, started, refused) })
}

func (h *host) enter(deadline time.Time, started func(*fairadmission.Slot), refused func(error)) {
	t, p, err := h.gate.Offer(fairadmission.Request{Account: "a", Deadline: deadline})
	switch {
	case t != nil:
		started(t)
	case err != nil:
		refused(err)
	default:
		h.waiting = append(h.waiting, func() bool {
			select {
			case <-p.Ready():
			default:
				return false
			}
			if t, err := p.Result(); err != nil {
				refused(err)
			} else {
				started(t)
			}
			return true
		})
	}
}

// settle starts, or reports as refused, the calls that left the queue.
func (h *host) settle() {
	if h.gate.Load().Queued == len(h.waiting) {
		return
	}
	waiting := h.waiting
	h.waiting = nil
	for _, left := range waiting {
		if !left() {
			h.waiting = append(h.waiting, left)
		}
	}
}

func (f *fleet) serve(h *host, t *fairadmission.Slot, done func()) {
	h.running++
	h.peak = max(h.peak, h.running)
	d := float64(f.service) * math.Exp(0.5*f.rand.NormFloat64()-0.125)
	f.after(time.Duration(d), func() {
		h.running--
		h.served++
		t.Release(fairadmission.Succeeded)
		done()
		h.settle()
	})
}

// busiest returns the largest number of calls served by one host over the
// mean of all hosts outside the zone, and starts counting anew.
func (f *fleet) busiest(out string) float64 {
	most, sum, n := 0, 0, 0
	for _, h := range f.hosts {
		if h.Zone != out {
			most, sum, n = max(most, h.served), sum+h.served, n+1
		}
		h.served = 0
	}
	return float64(most) * float64(n) / float64(sum)
}

// Guards against refused calls, overloaded hosts, and work for a zone that is
// out, while a zone leaves and returns at two thirds load.
func TestZoneLeavesAndReturns(t *testing.T) {
	many := make([]int, 38)
	for i := range many {
		many[i] = i % 19
	}
	for _, c := range []struct {
		name    string
		zones   []int
		out     string
		service time.Duration
	}{
		{"9 hosts in 4 zones, 2 out", []int{0, 0, 0, 1, 1, 2, 2, 3, 3}, "z1", 20 * time.Millisecond},
		{"9 hosts in 4 zones, 3 out", []int{0, 0, 0, 1, 1, 2, 2, 3, 3}, "z0", 20 * time.Millisecond},
		{"38 hosts in 19 zones, 2 out", many, "z1", 50 * time.Millisecond},
	} {
		for seed := uint64(1); seed <= 2; seed++ {
			t.Run(fmt.Sprint(c.name, ", seed ", seed), func(t *testing.T) {
				t.Parallel()
				f := newFleet(seed, c.zones, c.service)
				f.offer(2.0 / 3 * float64(len(c.zones)) * slots / c.service.Seconds())
				f.run(5 * time.Second)
				before := f.busiest("")
				f.publish(c.out)
				f.run(3 * time.Second)
				f.busiest("")
				f.run(12 * time.Second)
				lateWork := 0
				for _, h := range f.hosts {
					if h.Zone == c.out {
						lateWork += h.served
					}
				}
				during := f.busiest(c.out)
				f.publish("")
				f.run(15 * time.Second)
				peak := 0
				for _, h := range f.hosts {
					peak = max(peak, h.peak)
				}
				share := float64(f.good) / float64(f.ended)
				t.Logf("%d calls, served %.5f, refused %d; busiest host over mean %.3f before, %.3f during; most running %d; work 3 s after the zone went out: %d",
					f.ended, share, f.refused, before, during, peak, lateWork)
				assert.Check(t, share >= 0.999)
				assert.Check(t, peak <= slots)
				assert.Check(t, lateWork == 0)
			})
		}
	}
}

// Guards against a zone that drowns in its own clients' calls while the
// hosts of other zones have room, and against calls that leave their zone
// without need.
func TestCallsSpillToOtherZones(t *testing.T) {
	run := func(spill, load float64) (share, home float64) {
		f := newFleet(1, []int{0, 0, 0, 1, 1, 2, 2, 3, 3}, 20*time.Millisecond)
		f.entries = 3 // all clients are in z0
		for _, h := range f.hosts {
			h.chooser.MaxZoneLoad = spill
		}
		f.offer(load * 9 * slots / f.service.Seconds())
		f.run(20 * time.Second)
		local := 0
		for _, h := range f.hosts[:3] {
			local += h.served
		}
		return float64(f.good) / float64(f.ended), float64(local) / float64(f.good)
	}
	for _, load := range []float64{0.2, 2.0 / 3} {
		share, home := run(0.8, load)
		without, _ := run(math.Inf(1), load)
		t.Logf("all clients in one zone of 3 hosts, load %.2f of 9: served %.4f, %.3f of them at home; without spill served %.4f", load, share, home, without)
		assert.Check(t, share >= 0.999)
		if load < 0.25 {
			assert.Check(t, home > 0.9, "%.3f served at home", home)
		} else {
			assert.Check(t, without < 0.9, "the run without spill does not show the fault")
		}
	}
}

package quota

import (
	"flag"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// init fixes the seed and the number of courses; -rapid.seed and
// -rapid.checks override them.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "25", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// A course is one seeded run under faults.
type course struct {
	seed     uint64
	hosts    int
	zones    int
	seconds  int
	loss     float64
	twice    float64
	late     float64
	drift    float64 // clocks run up to this much faster or slower
	faults   float64 // mean number of host faults per second
	publish  float64 // mean number of publications per second
	accounts map[string]limit
	load     float64 // of each account's rate
}

// fault is one random event: a pause, a restart, a partition, a loss of the
// source or another view of the placement.
func (s *sim) fault() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	length := time.Duration(s.rng.Int64N(int64(10 * time.Second)))
	switch s.rng.IntN(6) {
	case 0:
		n.paused = max(n.paused, s.now+length)
	case 1:
		n.stop()
		s.at(s.now+length/4, func() {
			if n.run == 0 {
				n.start()
			}
		})
	case 2:
		zone, old := n.host.Zone, s.cut
		s.cut = func(a, b *node) bool {
			return old(a, b) || (a.host.Zone == zone) != (b.host.Zone == zone)
		}
		s.at(s.now+length, func() { s.cut = func(_, _ *node) bool { return false } })
	case 3, 4:
		n.isolated = true
		s.at(s.now+length, func() { n.isolated = false })
	case 5:
		// The node sees a host list without some of the others.
		list := &hosts.List{}
		for _, o := range s.nodes {
			if o == n || s.rng.IntN(3) > 0 {
				list.Hosts = append(list.Hosts, o.host)
			}
		}
		n.placement = hosts.NewPlacement(list)
	}
}

// change publishes a random change of hosts or limits.
func (s *sim) change() {
	var ids []string
	for id := range s.current.Hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	accounts := map[string]limit{}
	for _, name := range slices.Sorted(mapsKeys(s.limits)) {
		e := s.current.EffectiveValues("", "", name)
		l := limit{e.Rate, e.Burst}
		if s.rng.IntN(3) == 0 {
			l.rate = max(1, l.rate*(0.3+1.4*s.rng.Float64()))
			l.burst = max(1, l.burst*(0.3+1.4*s.rng.Float64()))
		}
		accounts[name] = l
	}
	id := s.nodes[s.rng.IntN(len(s.nodes))].host.ID
	if i := slices.Index(ids, id); i >= 0 && len(ids) > 1 {
		ids = slices.Delete(ids, i, i+1)
	} else if i < 0 {
		ids = append(ids, id)
	}
	s.publish(ids, accounts)
}

func mapsKeys(m map[string]limit) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func (c course) run() *sim {
	s := newSim(c.seed, hostIDs(c.hosts), c.zones, c.accounts)
	for _, n := range s.nodes {
		n.drift = 1 + c.drift*(2*s.rng.Float64()-1)
		n.placement = s.nodes[0].placement
	}
	for _, r := range s.refs {
		r.fast = c.drift
	}
	s.loss, s.twice, s.late = c.loss, c.twice, c.late
	s.delay = func(_, _ *node) time.Duration { return time.Millisecond + rand1(s, 4*time.Millisecond) }
	end := time.Duration(c.seconds) * time.Second
	random := func(perSecond float64, from time.Duration, fn func()) {
		if perSecond <= 0 {
			return
		}
		var next func()
		next = func() {
			fn()
			if t := s.now + time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)); t < end {
				s.at(t, next)
			}
		}
		s.at(from+time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	random(c.faults, 12*time.Second, s.fault)
	random(c.publish, 12*time.Second, s.change)
	for _, name := range slices.Sorted(mapsKeys(c.accounts)) {
		// Idle times let buckets fill, so that bursts follow.
		active, pick := true, s.hopper(700*time.Millisecond)
		random(0.5, 0, func() { active = !active })
		random(c.accounts[name].rate*c.load, 0, func() {
			if active {
				pick().call(name)
			}
		})
		random(0.3, 0, func() {
			for range int(c.accounts[name].burst) + 2 {
				s.nodes[s.rng.IntN(len(s.nodes))].call(name)
			}
		})
	}
	for t := time.Duration(0); t < end; t += 50 * time.Millisecond {
		s.at(t, s.checkSums)
	}
	s.run(end)
	return s
}

func (s *sim) admitted() int {
	n := 0
	for _, t := range s.stats {
		n += t.admitted
	}
	return n
}

// Guards against admissions over rate and burst, and against volumes that are
// created, under any mix of faults.
func TestNeverOverLimitUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := course{
			seed:    rapid.Uint64().Draw(t, "seed"),
			hosts:   rapid.IntRange(2, 9).Draw(t, "hosts"),
			zones:   rapid.IntRange(1, 3).Draw(t, "zones"),
			seconds: 45,
			loss:    float64(rapid.IntRange(0, 30).Draw(t, "loss")) / 100,
			twice:   float64(rapid.IntRange(0, 30).Draw(t, "twice")) / 100,
			late:    float64(rapid.IntRange(0, 20).Draw(t, "late")) / 100,
			drift:   0.01,
			faults:  float64(rapid.IntRange(0, 100).Draw(t, "faults")) / 100,
			publish: float64(rapid.IntRange(0, 30).Draw(t, "publish")) / 100,
			accounts: map[string]limit{
				"small": {float64(rapid.IntRange(10, 100).Draw(t, "rate")) / 10, float64(rapid.IntRange(10, 100).Draw(t, "burst")) / 10},
				"large": {60, 40},
			},
			load: float64(rapid.IntRange(5, 40).Draw(t, "load")) / 10,
		}
		s := c.run()
		if len(s.faults) > 0 {
			t.Fatalf("%d faults, first: %s", len(s.faults), s.faults[0])
		}
	})
}

// Guards against a test that admits nothing and so proves nothing.
func TestCoursesAdmitUnderFaults(t *testing.T) {
	admitted := 0
	for seed := range uint64(8) {
		c := course{
			seed: seed + 1, hosts: 6, zones: 2, seconds: 60, loss: 0.05, twice: 0.05, late: 0.02, drift: 0.01, faults: 0.2, publish: 0.05,
			accounts: map[string]limit{"small": {5, 5}, "large": {60, 40}}, load: 1.5,
		}
		s := c.run()
		assert.Equal(t, len(s.faults), 0, "%v", s.faults)
		admitted += s.admitted()
	}
	assert.Assert(t, admitted > 5000, "admitted %d", admitted)
}

// Guards against a share that is used while a host that was removed still
// spends its own: a node that was cut off may have missed the version that
// gave the share away, so neither the old nor the new version allows it the
// share at once.
func TestShareWaitsAfterMissedVersions(t *testing.T) {
	s := newSim(1, hostIDs(2), 1, map[string]limit{"a": {20, 20}})
	a, b := s.nodes[0], s.nodes[1]
	s.current = snapshot(1, hostIDs(2)[:1], s.limits)
	for t := time.Duration(0); t < 60*time.Second; t += 20 * time.Millisecond {
		s.at(t, s.checkSums)
	}
	s.run(20 * time.Second)
	a.isolated = true
	s.run(21 * time.Second)
	s.publish(hostIDs(2), s.limits)
	s.run(39900 * time.Millisecond)
	b.isolated = true
	s.publish(hostIDs(2)[:1], s.limits)
	a.isolated = false
	s.run(60 * time.Second)
	assert.Equal(t, len(s.faults), 0, "%v", s.faults)
	assert.Equal(t, a.ledger.share.divisor(a.ledger.instant()), 1)
}

// Guards against a share that is used before the loans of the host's earlier
// process ended, and against one that stays unused afterwards.
func TestRestartedNodeWaits(t *testing.T) {
	s := newSim(1, hostIDs(3), 1, map[string]limit{"a": {20, 20}})
	s.run(20 * time.Second)
	n := s.nodes[1]
	n.stop()
	n.start()
	from := s.now
	owns := func() bool {
		x := n.ledger.all()["a"]
		return x != nil && !x.book.own.isZero()
	}
	s.run(from + MaxLoanTerm + OwnerMargin - time.Millisecond)
	assert.Assert(t, !owns())
	// The other nodes' version age tells that the version is in force.
	s.run(from + MaxLoanTerm + OwnerMargin + time.Second)
	assert.Assert(t, owns())
}

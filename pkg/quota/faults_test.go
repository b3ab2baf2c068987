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

// init sets the seed and the number of scenarios of rapid; the flags -rapid.seed
// and -rapid.checks override them.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "25", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// A scenario is one seeded simulation with faults.
type scenario struct {
	seed                  uint64
	hosts                 int
	zones                 int
	seconds               int
	lossRatio             float64
	duplicateRatio        float64
	lateRatio             float64
	maxDrift              float64 // maximum relative deviation of a clock's rate
	faultsPerSecond       float64 // mean
	publicationsPerSecond float64 // mean
	accounts              map[string]accountLimit
	loadRatio             float64 // requests relative to each account's rate
}

// injectFault makes one random fault: a pause, a restart, a partition of a
// zone, a loss of the configuration source or a different view of the
// placement.
func (s *simulation) injectFault() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	length := time.Duration(s.rng.Int64N(int64(10 * time.Second)))
	switch s.rng.IntN(6) {
	case 0:
		n.pausedUntil = max(n.pausedUntil, s.now+length)
	case 1:
		n.stop()
		s.runAt(s.now+length/4, func() {
			if n.run == 0 {
				n.start()
			}
		})
	case 2:
		zone, old := n.host.Zone, s.isCut
		s.isCut = func(a, b *node) bool {
			return old(a, b) || (a.host.Zone == zone) != (b.host.Zone == zone)
		}
		s.runAt(s.now+length, func() { s.isCut = func(_, _ *node) bool { return false } })
	case 3, 4:
		n.isolated = true
		s.runAt(s.now+length, func() { n.isolated = false })
	case 5:
		// The node's host list lacks some of the other hosts.
		list := &hosts.List{}
		for _, o := range s.nodes {
			if o == n || s.rng.IntN(3) > 0 {
				list.Hosts = append(list.Hosts, o.host)
			}
		}
		n.placement = hosts.NewPlacement(list)
	}
}

// publishRandomChange publishes a random change of hosts and limits.
func (s *simulation) publishRandomChange() {
	var ids []string
	for id := range s.current.Hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	accounts := map[string]accountLimit{}
	for _, name := range slices.Sorted(accountNames(s.limits)) {
		e := s.current.EffectiveValues("", "", name)
		l := accountLimit{e.Rate, e.Burst}
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

// accountNames iterates over the names of accounts.
func accountNames(m map[string]accountLimit) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func (c scenario) run() *simulation {
	s := newSimulation(c.seed, hostIDs(c.hosts), c.zones, c.accounts)
	for _, n := range s.nodes {
		n.clockRate = 1 + c.maxDrift*(2*s.rng.Float64()-1)
		n.placement = s.nodes[0].placement
	}
	for _, r := range s.bounds {
		r.maxDrift = c.maxDrift
	}
	s.lossRatio, s.duplicateRatio, s.lateRatio = c.lossRatio, c.duplicateRatio, c.lateRatio
	s.delay = func(_, _ *node) time.Duration { return time.Millisecond + randomDuration(s, 4*time.Millisecond) }
	end := time.Duration(c.seconds) * time.Second
	random := func(perSecond float64, from time.Duration, fn func()) {
		if perSecond <= 0 {
			return
		}
		var next func()
		next = func() {
			fn()
			if t := s.now + time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)); t < end {
				s.runAt(t, next)
			}
		}
		s.runAt(from+time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	random(c.faultsPerSecond, 12*time.Second, s.injectFault)
	random(c.publicationsPerSecond, 12*time.Second, s.publishRandomChange)
	for _, name := range slices.Sorted(accountNames(c.accounts)) {
		// Buckets fill in idle times, so that bursts can follow.
		active, pick := true, s.nodeHopper(700*time.Millisecond)
		random(0.5, 0, func() { active = !active })
		random(c.accounts[name].rate*c.loadRatio, 0, func() {
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
		s.runAt(t, s.checkTotals)
	}
	s.run(end)
	return s
}

// totalAdmitted returns the number of admitted requests of all accounts.
func (s *simulation) totalAdmitted() int {
	n := 0
	for _, t := range s.counts {
		n += t.admitted
	}
	return n
}

// Guards against admissions over rate and burst, and against quota that is
// created rather than moved, under any mix of faults.
func TestNeverOverLimitUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := scenario{
			seed:                  rapid.Uint64().Draw(t, "seed"),
			hosts:                 rapid.IntRange(2, 9).Draw(t, "hosts"),
			zones:                 rapid.IntRange(1, 3).Draw(t, "zones"),
			seconds:               45,
			lossRatio:             float64(rapid.IntRange(0, 30).Draw(t, "loss")) / 100,
			duplicateRatio:        float64(rapid.IntRange(0, 30).Draw(t, "twice")) / 100,
			lateRatio:             float64(rapid.IntRange(0, 20).Draw(t, "late")) / 100,
			maxDrift:              0.01,
			faultsPerSecond:       float64(rapid.IntRange(0, 100).Draw(t, "faults")) / 100,
			publicationsPerSecond: float64(rapid.IntRange(0, 30).Draw(t, "publish")) / 100,
			accounts: map[string]accountLimit{
				"small": {float64(rapid.IntRange(10, 100).Draw(t, "rate")) / 10, float64(rapid.IntRange(10, 100).Draw(t, "burst")) / 10},
				"large": {60, 40},
			},
			loadRatio: float64(rapid.IntRange(5, 40).Draw(t, "load")) / 10,
		}
		s := c.run()
		if len(s.violations) > 0 {
			t.Fatalf("%d violations of the limits, first: %s", len(s.violations), s.violations[0])
		}
	})
}

// Guards against simulations that admit almost nothing, in which no limit could
// be exceeded.
func TestScenariosAdmitUnderFaults(t *testing.T) {
	admitted := 0
	for seed := range uint64(8) {
		c := scenario{
			seed: seed + 1, hosts: 6, zones: 2, seconds: 60, lossRatio: 0.05, duplicateRatio: 0.05, lateRatio: 0.02, maxDrift: 0.01, faultsPerSecond: 0.2, publicationsPerSecond: 0.05,
			accounts: map[string]accountLimit{"small": {5, 5}, "large": {60, 40}}, loadRatio: 1.5,
		}
		s := c.run()
		assert.Equal(t, len(s.violations), 0, "%v", s.violations)
		admitted += s.totalAdmitted()
	}
	assert.Assert(t, admitted > 5000, "admitted %d", admitted)
}

// Guards against a share that is used while another host still uses the same
// quota. A node that was cut off may have missed the version that gave its
// share to other hosts. It must therefore wait, whether the version that it
// finds next is the old one or a new one.
func TestShareWaitsAfterMissedVersions(t *testing.T) {
	s := newSimulation(1, hostIDs(2), 1, map[string]accountLimit{"a": {20, 20}})
	a, b := s.nodes[0], s.nodes[1]
	s.current = snapshot(1, hostIDs(2)[:1], s.limits)
	for t := time.Duration(0); t < 60*time.Second; t += 20 * time.Millisecond {
		s.runAt(t, s.checkTotals)
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
	assert.Equal(t, len(s.violations), 0, "%v", s.violations)
	assert.Equal(t, a.limiter.share.usableDivisor(a.limiter.instant()), 1)
}

// Guards against a share that is used before the loans of the host's earlier
// process ended, and against a share that stays unused after that.
func TestRestartedNodeWaits(t *testing.T) {
	s := newSimulation(1, hostIDs(3), 1, map[string]accountLimit{"a": {20, 20}})
	s.run(20 * time.Second)
	n := s.nodes[1]
	n.stop()
	n.start()
	from := s.now
	owns := func() bool {
		x := n.limiter.allAccounts()["a"]
		return x != nil && !x.bucket.owned.isZero()
	}
	s.run(from + MaxLoanTerm + OwnerMargin - time.Millisecond)
	assert.Assert(t, !owns())
	// By the VersionAgeMs of the other nodes, the version has been in force for
	// long, so ActivationDelay is over.
	s.run(from + MaxLoanTerm + OwnerMargin + time.Second)
	assert.Assert(t, owns())
}

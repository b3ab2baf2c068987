package idempotency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/idempotency"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// snapshot returns a configuration with the hosts of one service.
func snapshot(ids ...string) *config.Snapshot {
	s := &config.Snapshot{Hosts: map[string]*config.Host{}}
	for i, id := range ids {
		s.Hosts[id] = &config.Host{ID: id, Service: "desk", Zone: fmt.Sprintf("z%d", i%3)}
	}
	return s
}

// keyAt returns a UUIDv7 key created at t.
func keyAt(t time.Time, n byte) idempotency.Key {
	var u uuid.UUID
	ms := t.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	u[6], u[8], u[15] = 0x70, 0x80, n
	return idempotency.Key{Service: "desk", Account: "club", Value: u.String()}
}

// activeWitness returns a witness that was configured an hour ago.
func activeWitness(id string, selector *idempotency.WitnessSelector) *idempotency.Witness {
	w := idempotency.NewWitness(id)
	w.Configure(selector, start.Add(-time.Hour))
	return w
}

// Guards against witnesses of a key that fail together with one zone, and
// against witnesses that change when a zone is taken out.
func TestWitnessesAreInDifferentZones(t *testing.T) {
	s := snapshot("a", "b", "c", "d", "e", "f", "g", "h", "i")
	s.Zones = map[string]*config.AvailabilityZone{"z0": {Name: "z0"}}
	selector := idempotency.NewWitnessSelector(s)
	for n := range byte(50) {
		k := keyAt(start, n)
		witnesses := selector.Witnesses(k)
		assert.Equal(t, len(witnesses), 3)
		zones := map[string]bool{}
		for _, id := range witnesses {
			zones[s.Hosts[id].Zone] = true
		}
		assert.Equal(t, len(zones), 3)
		s.Zones["z0"].Out = true
		assert.DeepEqual(t, idempotency.NewWitnessSelector(s).Witnesses(k), witnesses)
	}
	assert.Equal(t, len(idempotency.NewWitnessSelector(snapshot("a")).Witnesses(keyAt(start, 1))), 1)
}

// Guards against a witness that grants keys from before it could remember them.
func TestWitnessAbstains(t *testing.T) {
	selector := idempotency.NewWitnessSelector(snapshot("a", "b", "c"))
	for _, c := range []struct {
		name string
		key  idempotency.Key
		at   time.Time
		want idempotency.Verdict
	}{
		{"key from before the process", keyAt(start.Add(-time.Second), 1), start.Add(time.Minute), idempotency.VerdictAbstained},
		{"key from the activation delay", keyAt(start.Add(9*time.Second), 2), start.Add(time.Minute), idempotency.VerdictAbstained},
		{"fresh key", keyAt(start.Add(30*time.Second), 3), start.Add(31 * time.Second), idempotency.VerdictGranted},
		{"key of a clock that is ahead", keyAt(start.Add(40*time.Second), 4), start.Add(30 * time.Second), idempotency.VerdictAbstained},
		{"key older than KeyRetention", keyAt(start.Add(time.Minute), 5), start.Add(12 * time.Minute), idempotency.VerdictAbstained},
		{"key without a time, early", idempotency.Key{Service: "desk", Value: "x"}, start.Add(5 * time.Minute), idempotency.VerdictAbstained},
		{"key without a time, late", idempotency.Key{Service: "desk", Value: "y"}, start.Add(11 * time.Minute), idempotency.VerdictGranted},
		{"other service", idempotency.Key{Service: "other", Value: "y"}, start.Add(11 * time.Minute), idempotency.VerdictAbstained},
	} {
		w := idempotency.NewWitness("a")
		w.Configure(selector, start)
		assert.Equal(t, w.Claim(c.key, "h", c.at).Verdict, c.want, c.name)
	}
}

// Guards against unbounded memory, and against a key that is removed while a
// repeat would still be granted.
func TestWitnessMemoryIsBoundedAndForgetsInTime(t *testing.T) {
	w := activeWitness("a", idempotency.NewWitnessSelector(snapshot("a", "b", "c")))
	w.MaxKeys = 2
	k := keyAt(start, 1)
	assert.Equal(t, w.Claim(k, "h1", start).Verdict, idempotency.VerdictGranted)
	w.Finish(k, "h1", idempotency.OutcomeAnswered, 201)
	assert.Equal(t, w.Claim(keyAt(start, 2), "h2", start).Verdict, idempotency.VerdictGranted)
	assert.Equal(t, w.Claim(keyAt(start, 3), "h3", start).Verdict, idempotency.VerdictMemoryFull)
	assert.Equal(t, w.Claim(k, "h4", start.Add(time.Minute)), idempotency.Answer{Verdict: idempotency.VerdictAnswered, Status: 201})
	later := start.Add(idempotency.KeyRetention + 3*time.Second)
	assert.Equal(t, w.Claim(k, "h5", later).Verdict, idempotency.VerdictAbstained)
	assert.Equal(t, w.Len(), 0)
}

// Guards against two majorities without a common witness while nodes have
// different configurations.
func TestNewWitnessAbstainsDuringActivationDelay(t *testing.T) {
	former, next := idempotency.NewWitnessSelector(snapshot("a", "b", "c")), idempotency.NewWitnessSelector(snapshot("a", "b", "d"))
	witnesses := map[string]*idempotency.Witness{}
	for _, id := range []string{"a", "b", "c", "d"} {
		witnesses[id] = activeWitness(id, former)
		witnesses[id].Configure(next, start)
	}
	at := start.Add(time.Second)
	k := keyAt(at, 1)
	first, second := idempotency.NewTally(former.Witnesses(k)), idempotency.NewTally(next.Witnesses(k))
	first.Add("b", witnesses["b"].Claim(k, "x", at))
	// The former witness does not have the new configuration yet.
	first.Add("c", activeWitness("c", former).Claim(k, "x", at))
	assert.Equal(t, first.Decide(false), idempotency.DecisionRun)
	for _, id := range []string{"a", "b", "d"} {
		second.Add(id, witnesses[id].Claim(k, "y", at))
	}
	assert.Equal(t, second.Decide(true), idempotency.DecisionInProgress)
}

// TestAtMostOnce guards against a key that is granted to two holders. Several
// holders claim the same keys from witnesses that restart, lose messages and
// answer late, while the published hosts change.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newClaimFleet(r)
		for range rapid.IntRange(5, 120).Draw(r, "steps") {
			f.step()
		}
	})
}

// A claimFleet is the witnesses on a few hosts and the claims that are not
// decided.
type claimFleet struct {
	r              *rapid.T
	now            time.Time
	ids            []string
	selector       *idempotency.WitnessSelector
	formerSelector *idempotency.WitnessSelector
	changedAt      time.Time
	witnesses      map[string]*idempotency.Witness
	keys           []idempotency.Key
	openClaims     []*claim                   // not decided yet
	ranFor         map[idempotency.Key]string // the holder that may run each key
	holders        int
}

// A claim is one holder's claim of a key. It asks witnesses until it is decided.
type claim struct {
	key    idempotency.Key
	holder string
	tally  *idempotency.Tally
}

func newClaimFleet(r *rapid.T) *claimFleet {
	f := &claimFleet{r: r, now: start, ids: []string{"a", "b", "c", "d"}, witnesses: map[string]*idempotency.Witness{}, ranFor: map[idempotency.Key]string{}}
	f.selector = idempotency.NewWitnessSelector(snapshot(f.ids...))
	for _, id := range f.ids {
		f.witnesses[id] = activeWitness(id, f.selector)
	}
	return f
}

func (f *claimFleet) step() {
	f.now = f.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 200, 1000, 11000}).Draw(f.r, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 11).Draw(f.r, "what") {
	case 0:
		f.restart()
	case 1:
		f.changeHosts()
	case 2, 3:
		f.keys = append(f.keys, keyAt(f.now, byte(len(f.keys))))
	case 4, 5:
		f.beginClaim()
	default:
		f.askWitness()
	}
}

func (f *claimFleet) restart() {
	id := rapid.SampledFrom(f.ids).Draw(f.r, "restarted")
	w := idempotency.NewWitness(id)
	w.Configure(f.selector, f.now)
	f.witnesses[id] = w
}

// changeHosts publishes another set of hosts. For up to 4 s, in which a
// configuration comes into force everywhere, claims may use the former selector.
// The next change follows once the former selector is out of use.
func (f *claimFleet) changeHosts() {
	if f.now.Sub(f.changedAt) < idempotency.ActivationDelay {
		return
	}
	hostCount := rapid.IntRange(2, len(f.ids)).Draw(f.r, "hosts")
	f.formerSelector, f.changedAt = f.selector, f.now
	f.selector = idempotency.NewWitnessSelector(snapshot(f.ids[len(f.ids)-hostCount:]...))
	for _, w := range f.witnesses {
		w.Configure(f.selector, f.now)
	}
}

func (f *claimFleet) beginClaim() {
	if len(f.keys) == 0 {
		return
	}
	k := rapid.SampledFrom(f.keys).Draw(f.r, "key")
	selector := f.selector
	if f.formerSelector != nil && f.now.Sub(f.changedAt) < 4*time.Second && rapid.Bool().Draw(f.r, "behind") {
		selector = f.formerSelector
	}
	f.holders++
	f.openClaims = append(f.openClaims, &claim{k, fmt.Sprint(f.holders), idempotency.NewTally(selector.Witnesses(k))})
}

// askWitness sends one claim to one witness. The answer may be lost.
func (f *claimFleet) askWitness() {
	if len(f.openClaims) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.openClaims)-1).Draw(f.r, "claim")
	c := f.openClaims[i]
	id := rapid.SampledFrom(c.tally.Witnesses).Draw(f.r, "witness")
	a := f.witnesses[id].Claim(c.key, c.holder, f.now)
	if rapid.IntRange(0, 4).Draw(f.r, "lost") == 0 {
		return
	}
	c.tally.Add(id, a)
	switch c.tally.Decide(false) {
	case idempotency.DecisionPending:
		return
	case idempotency.DecisionRun:
		if other := f.ranFor[c.key]; other != "" {
			f.r.Fatalf("key %s was granted to holder %s and to holder %s", c.key.Value, other, c.holder)
		}
		f.ranFor[c.key] = c.holder
	}
	f.openClaims = append(f.openClaims[:i], f.openClaims[i+1:]...)
}

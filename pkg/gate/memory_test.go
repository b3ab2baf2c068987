package gate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

// keyAt returns a UUIDv7 made at the time by a caller's clock.
func keyAt(t time.Time, r *rand.Rand) string {
	var u uuid.UUID
	ms := t.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	for i := 6; i < 16; i++ {
		u[i] = byte(r.Uint32())
	}
	u[6], u[8] = u[6]&0x0f|0x70, u[8]&0x3f|0x80
	return u.String()
}

// A runner is one host's process in the trial of repeated requests.
type runner struct {
	id       string
	view     int // the number of the configuration in force here
	awakeAt  time.Time
	freshAt  time.Time // keyed calls are refused before
	owners   *Ownership
	memory   *Memory
	finishes []func()
}

func (h *runner) start(ids []string, wait time.Duration, now time.Time) {
	h.owners = NewOwnership(h.id)
	h.owners.Wait = wait
	h.owners.Change("s", ids, now)
	h.memory = NewMemory(h.owners.Since)
	h.finishes = nil
}

// repeats sends requests with keys and repeats them through several hosts,
// while hosts restart, pause, leave and come back. It returns how many
// requests ran, and how many ran twice.
func repeats(seed uint64, wait time.Duration) (ran, doubled, unknown int) {
	r := rand.New(rand.NewPCG(seed, 2))
	c := newClock()
	var all []*runner
	views := [][]string{{"h0", "h1", "h2", "h3", "h4"}}
	for i := range 5 {
		h := &runner{id: fmt.Sprintf("h%d", i)}
		h.start(views[0], wait, c.t.Add(-time.Hour))
		all = append(all, h)
	}
	changedAt := c.t
	runs := map[Key]int{}
	var keys []Key
	for step := range 18_000 { // half an hour in steps of 100 ms
		now := c.add(100 * time.Millisecond)
		if r.IntN(600) == 0 && now.Sub(changedAt) > 5*time.Second {
			out := r.IntN(6) // h5 does not exist: all hosts are in
			var ids []string
			for i := range 5 {
				if i != out {
					ids = append(ids, fmt.Sprintf("h%d", i))
				}
			}
			views, changedAt = append(views, ids), now
		}
		for _, h := range all {
			if now.Before(h.awakeAt) {
				continue
			}
			// A change is in force everywhere within 4 s, or the host is not
			// fresh and refuses keyed calls.
			if h.view < len(views)-1 && (now.Sub(changedAt) >= 4*time.Second || r.IntN(20) == 0) {
				h.view = len(views) - 1
				h.owners.Change("s", views[h.view], now)
			}
			h.finishes = slices.DeleteFunc(h.finishes, func(finish func()) bool {
				if r.IntN(3) > 0 {
					return false
				}
				finish()
				return true
			})
			switch r.IntN(3000) {
			case 0: // restart; what runs at the server goes on
				h.start(views[h.view], wait, now)
				h.freshAt = now.Add(time.Second)
			case 1: // pause
				h.awakeAt = now.Add(time.Duration(r.IntN(20_000)) * time.Millisecond)
				h.freshAt = h.awakeAt.Add(time.Second)
			}
		}
		if step%2 == 0 {
			made := now.Add(time.Duration(r.IntN(2*int(KeySkew))) - KeySkew)
			keys = append(keys, Key{"s", "a", keyAt(made, r)})
		}
		for range 3 {
			k := keys[len(keys)-1-min(len(keys)-1, int(r.ExpFloat64()*200))]
			entry := all[r.IntN(5)]
			owner := Owner(k, views[entry.view])
			for _, h := range all {
				if h.id != owner || now.Before(h.freshAt) {
					continue
				}
				switch h.memory.Begin(k, now).Verdict {
				case Run:
					if r.IntN(10) == 0 {
						h.memory.Finish(k, NotStarted, 0, now)
						break
					}
					runs[k]++
					m := h.memory
					h.finishes = append(h.finishes, func() { m.Finish(k, Result(2*r.IntN(2)), 200, c.t) })
				case Unknown:
					unknown++
				}
			}
		}
	}
	for _, n := range runs {
		ran++
		if n > 1 {
			doubled++
		}
	}
	return ran, doubled, unknown
}

// Guards against a non-idempotent request that runs twice. The same runs
// without the wait for the previous owner show the fault.
func TestRepeatedRequestsRunAtMostOnce(t *testing.T) {
	faults := 0
	for seed := uint64(1); seed <= 3; seed++ {
		ran, doubled, unknown := repeats(seed, OwnershipWait)
		_, without, _ := repeats(seed, 0)
		t.Logf("seed %d: %d requests ran, %d doubled, %d attempts answered as unknown; without the wait %d doubled",
			seed, ran, doubled, unknown, without)
		assert.Check(t, doubled == 0)
		faults += without
	}
	assert.Check(t, faults > 0, "the run without the wait does not show the fault")
}

// Guards against forgetting a key while a repeat of it would run.
func TestMemoryRefusesWhatItCannotRemember(t *testing.T) {
	c := newClock()
	r := rand.New(rand.NewPCG(1, 3))
	since := c.t
	owned := true
	m := NewMemory(func(Key) (time.Time, bool) { return since, owned })
	m.Limit = 2
	begin := func(value string) Verdict { return m.Begin(Key{"s", "a", value}, c.t).Verdict }
	finish := func(value string, res Result) { m.Finish(Key{"s", "a", value}, res, 201, c.t) }

	c.add(time.Minute)
	old, first := keyAt(since.Add(-time.Second), r), keyAt(c.t, r)
	assert.Equal(t, begin(old), Unknown)
	assert.Equal(t, begin("not-a-uuid"), Unknown)
	assert.Equal(t, begin(keyAt(c.t.Add(KeySkew+time.Second), r)), Unknown)
	assert.Equal(t, begin(first), Run)
	assert.Equal(t, begin(first), Running)
	finish(first, NotStarted)
	assert.Equal(t, begin(first), Run)
	finish(first, Answered)
	finish(first, NotStarted) // a late report changes nothing
	assert.DeepEqual(t, m.Begin(Key{"s", "a", first}, c.t), Answer{Done, 201})
	second := keyAt(c.t, r)
	assert.Equal(t, begin(second), Run)
	assert.Equal(t, begin(keyAt(c.t, r)), Full)
	finish(second, Lost)
	assert.Equal(t, begin(second), Unknown)

	owned = false
	assert.Equal(t, begin(first), Done)
	assert.Equal(t, begin(keyAt(c.t, r)), Elsewhere)
	owned = true
	c.add(MemoryWindow + KeySkew + time.Second)
	assert.Equal(t, begin(first), Unknown) // forgotten, and too old
	assert.Equal(t, begin("not-a-uuid"), Run)
	assert.Equal(t, m.Len(), 1)
}

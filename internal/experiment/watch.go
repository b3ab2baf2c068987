package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// watchInterval is the resolution of convergence times.
const watchInterval = 5 * time.Millisecond

// A Convergence is how long one version took to be in force at every node.
type Convergence struct {
	Version uint64
	What    string
	AtMs    int64
	// Ms counts from the publication; -1 when the version did not get
	// everywhere in the run.
	Ms int64
	// Judged is false when a fault was going on, so that the promise of
	// seconds did not apply from the publication on.
	Judged bool
}

// A watcher samples the version in force at every node.
type watcher struct {
	fleet *Fleet
	since func() time.Duration

	mu        sync.Mutex
	last      map[string]uint64 // highest version seen by host
	reverted  Check
	waiting   []*pending
	disturbed bool
	done      []Convergence
}

type pending struct {
	c    Convergence
	from time.Duration
	then func()
}

func newWatcher(f *Fleet, since func() time.Duration) *watcher {
	return &watcher{
		fleet: f, since: since, last: map[string]uint64{},
		reverted: Check{Promise: "P1", What: "nodes that went back to an older version"},
	}
}

// expect begins to measure a version that was published at a time. then is
// called once it is in force everywhere.
func (w *watcher) expect(version uint64, what string, at time.Duration, then func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = append(w.waiting, &pending{
		c: Convergence{Version: version, What: what, AtMs: at.Milliseconds(), Ms: -1, Judged: !w.disturbed}, from: at, then: then,
	})
}

// disturb records that a fault begins or ends that may keep versions from
// nodes; versions under way are not judged then.
func (w *watcher) disturb(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbed = on
	for _, p := range w.waiting {
		p.c.Judged = false
	}
}

func (w *watcher) run(ctx context.Context) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			for _, then := range w.sample() {
				then()
			}
		}
	}
}

// sample looks at every node once and returns what to call for the versions
// that are in force everywhere. Nodes without a version do not count: they
// serve nothing.
func (w *watcher) sample() []func() {
	lowest := uint64(0)
	versions := map[string]uint64{}
	for _, h := range w.fleet.Hosts {
		v, _ := w.fleet.Version(h.ID)
		versions[h.ID] = v
		if v != 0 && (lowest == 0 || v < lowest) {
			lowest = v
		}
	}
	now := w.since()
	w.mu.Lock()
	defer w.mu.Unlock()
	for h, v := range versions {
		if v != 0 && v < w.last[h] {
			w.reverted.violate("%s from %d to %d", h, w.last[h], v)
		}
		w.last[h] = max(w.last[h], v)
	}
	var then []func()
	rest := w.waiting[:0]
	for _, p := range w.waiting {
		if lowest < p.c.Version {
			rest = append(rest, p)
			continue
		}
		p.c.Ms = (now - p.from).Milliseconds()
		w.done = append(w.done, p.c)
		if p.then != nil {
			then = append(then, p.then)
		}
	}
	w.waiting = rest
	return then
}

// result returns all convergences and the checks of P1 and P15.
func (w *watcher) result() ([]Convergence, []Check) {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := w.done
	late := Check{Promise: "P15", What: "accepted versions that were not in force everywhere within 4 s"}
	now := w.since()
	for _, p := range w.waiting {
		// A version published at the very end had no time to get everywhere.
		p.c.Judged = p.c.Judged && now-p.from > promiseGrace
		all = append(all, p.c)
	}
	for _, c := range all {
		if c.Judged && (c.Ms < 0 || c.Ms > promiseGrace.Milliseconds()) {
			late.violate("version %d (%s) after %d ms", c.Version, c.What, c.Ms)
		}
	}
	if len(all) > 0 && late.Violations == 0 {
		late.Details = append(late.Details, fmt.Sprintf("%d versions watched", len(all)))
	}
	return all, []Check{w.reverted, late}
}

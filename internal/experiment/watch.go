package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// sampleInterval is the time between two samples of the versions, and the
// resolution of convergence times.
const sampleInterval = 5 * time.Millisecond

// A Convergence is the time that one version took to be in force at every node.
type Convergence struct {
	Version uint64
	// What is the event that published the version.
	What string
	// AtMs is the time of the publication after the start of the warm-up.
	AtMs int64
	// Ms counts from the publication; it is -1 if the version was not in force
	// everywhere at the end of the run.
	Ms int64
	// Judged is false if a fault was active, or began or ended, before the
	// version was in force everywhere: changeDeadline does not apply then.
	Judged bool
}

// A versionWatcher samples the version in force at every node. It measures
// convergence and detects nodes that go back to an older version.
type versionWatcher struct {
	fleet   *Fleet
	elapsed func() time.Duration

	mu          sync.Mutex
	highestSeen map[string]uint64 // by host
	revertCheck Check
	pending     []*pendingVersion
	faultActive bool
	applied     []Convergence
}

// A pendingVersion is a published version that is not yet in force everywhere.
type pendingVersion struct {
	convergence Convergence
	publishedAt time.Duration
	onApplied   func()
}

func newVersionWatcher(f *Fleet, elapsed func() time.Duration) *versionWatcher {
	return &versionWatcher{
		fleet: f, elapsed: elapsed, highestSeen: map[string]uint64{},
		revertCheck: Check{Promise: "P1", What: "nodes that went back to an older version"},
	}
}

// watch starts to measure a version that was published at the given time.
// onApplied is called once the version is in force everywhere; it may be nil.
func (w *versionWatcher) watch(version uint64, what string, at time.Duration, onApplied func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, &pendingVersion{
		convergence: Convergence{Version: version, What: what, AtMs: at.Milliseconds(), Ms: -1, Judged: !w.faultActive}, publishedAt: at, onApplied: onApplied,
	})
}

// setFaultActive records the beginning or the end of a fault that may prevent
// nodes from getting versions. Versions not yet in force everywhere are not
// judged then.
func (w *versionWatcher) setFaultActive(active bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faultActive = active
	for _, p := range w.pending {
		p.convergence.Judged = false
	}
}

func (w *versionWatcher) run(ctx context.Context) {
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			for _, onApplied := range w.sample() {
				onApplied()
			}
		}
	}
}

// sample reads the version of every node and returns the onApplied functions of
// the versions that are now in force everywhere. Nodes without a version are
// left out, because they serve no calls.
func (w *versionWatcher) sample() []func() {
	minVersion := uint64(0)
	versions := map[string]uint64{}
	for _, h := range w.fleet.Hosts {
		v, _ := w.fleet.Version(h.ID)
		versions[h.ID] = v
		if v != 0 && (minVersion == 0 || v < minVersion) {
			minVersion = v
		}
	}
	now := w.elapsed()
	w.mu.Lock()
	defer w.mu.Unlock()
	for h, v := range versions {
		if v != 0 && v < w.highestSeen[h] {
			w.revertCheck.violate("%s from %d to %d", h, w.highestSeen[h], v)
		}
		w.highestSeen[h] = max(w.highestSeen[h], v)
	}
	var onApplied []func()
	stillPending := w.pending[:0]
	for _, p := range w.pending {
		if minVersion < p.convergence.Version {
			stillPending = append(stillPending, p)
			continue
		}
		p.convergence.Ms = (now - p.publishedAt).Milliseconds()
		w.applied = append(w.applied, p.convergence)
		if p.onApplied != nil {
			onApplied = append(onApplied, p.onApplied)
		}
	}
	w.pending = stillPending
	return onApplied
}

// result returns all convergences and the checks of P1 (no node goes back to an
// older version) and P15 (changes are in force within changeDeadline).
func (w *versionWatcher) result() ([]Convergence, []Check) {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := w.applied
	late := Check{Promise: "P15", What: "accepted versions that were not in force everywhere within 4 s"}
	now := w.elapsed()
	for _, p := range w.pending {
		// A version published less than changeDeadline before the end is not
		// judged, because it may still have been in time.
		p.convergence.Judged = p.convergence.Judged && now-p.publishedAt > changeDeadline
		all = append(all, p.convergence)
	}
	for _, convergence := range all {
		if convergence.Judged && (convergence.Ms < 0 || convergence.Ms > changeDeadline.Milliseconds()) {
			late.violate("version %d (%s) after %d ms", convergence.Version, convergence.What, convergence.Ms)
		}
	}
	if len(all) > 0 && late.Violations == 0 {
		late.Details = append(late.Details, fmt.Sprintf("%d versions watched", len(all)))
	}
	return all, []Check{w.revertCheck, late}
}

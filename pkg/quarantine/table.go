package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// A Table holds the crash reports that a node knows. Now and Order are set before the
// first call. A Table is safe for concurrent use.
type Table struct {
	Now func() time.Time
	// Order is the place of the node in the order in which nodes admit a request again,
	// from 0 for the last to 1 for the first one. New chooses it at random, so that
	// few nodes are among the first.
	Order float64

	// size is the number of reports. It is read without the lock, so that lookups in
	// an empty table cost next to nothing.
	size atomic.Int64

	mu      sync.RWMutex
	entries map[uint64]*entry
	// suspects holds, for each request, the entries in which it is not answered, in
	// order of zone and time.
	suspects map[Fingerprint][]*entry
	// prefixes counts, for each prefix, the requests that are not answered.
	prefixes map[Fingerprint]int
	// version counts the changes that other nodes have to learn.
	version uint64
	hash    uint64
}

// An entry is a report in a table.
type entry struct {
	Report
	// added is the table's version when the report was added, version the one at its
	// last change.
	added, version uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{
		Now: time.Now, Order: min(rand.Float64(), rand.Float64()),
		entries: map[uint64]*entry{}, suspects: map[Fingerprint][]*entry{}, prefixes: map[Fingerprint]int{},
	}
}

// RecordCrash adds the report of a crash that happened now. It returns a copy of
// it, or nil if none of the running requests can be identified. Of more than
// MaxRequests those that crashed most instances before are reported.
func (t *Table) RecordCrash(instance, zone string, running []Running) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	t.expire(now)
	e := &entry{Report: Report{ID: rand.Uint64(), Zone: cutName(zone), Instance: cutName(instance), At: now}}
	tried, isTrial := t.onTrial(running)
	all := t.mostSuspected(running)
	if i := slices.IndexFunc(all, func(r Running) bool { return r.Fingerprint == tried }); isTrial && i >= 0 {
		e.FailedTrials = min(t.suspicion(tried).failedTrials+1, MaxTrials)
		all[0], all[i] = all[i], all[0]
	}
	for _, r := range all {
		e.Requests, e.Prefixes = append(e.Requests, r.Fingerprint), append(e.Prefixes, r.Prefix)
	}
	if len(e.Requests) == 0 {
		return nil
	}
	t.version++
	t.add(e, t.version)
	t.dropExcess()
	r := e.Report
	return &r
}

// onTrial returns the only one of the requests that was sent after its quarantine. Of
// several none is known to have failed.
func (t *Table) onTrial(running []Running) (tried Fingerprint, ok bool) {
	for _, r := range running {
		if r.Fingerprint.IsZero() || r.Fingerprint == tried {
			continue
		}
		if s := t.suspicion(r.Fingerprint); !s.isQuarantined() || r.BeganAt.Before(t.admitsAt(s)) {
			continue
		}
		if ok {
			return Fingerprint{}, false
		}
		tried, ok = r.Fingerprint, true
	}
	return tried, ok
}

// cutName shortens a name to what other nodes accept.
func cutName(s string) string { return s[:min(len(s), maxNameBytes)] }

// mostSuspected returns the requests for a report, each once.
func (t *Table) mostSuspected(running []Running) []Running {
	known := map[Running]bool{{}: true}
	var all []Running
	for _, r := range running {
		key := Running{Fingerprint: r.Fingerprint, Prefix: r.Prefix}
		if !r.Fingerprint.IsZero() {
			key.Prefix = Fingerprint{}
		}
		if !known[key] {
			known[key], all = true, append(all, r)
		}
	}
	if len(all) <= MaxRequests {
		return all
	}
	slices.SortStableFunc(all, func(a, b Running) int {
		return cmp.Compare(t.suspicion(b.Fingerprint).crashes, t.suspicion(a.Fingerprint).crashes)
	})
	return all[:MaxRequests]
}

// RecordServed records that an instance has answered a request in full, and reports
// whether that clears it in a report. Other nodes then have to learn it.
func (t *Table) RecordServed(f Fingerprint) bool { return t.RecordServedAt(f, t.Now()) }

// RecordServedAt is RecordServed for an answer of some time ago, which does not clear
// the request in reports of later crashes.
func (t *Table) RecordServedAt(f Fingerprint, at time.Time) bool {
	if t.Empty() || t.Crashes(f) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := slices.DeleteFunc(slices.Clone(t.suspects[f]), func(e *entry) bool { return e.At.After(at) })
	if len(entries) > 0 {
		t.version++
	}
	for _, e := range entries {
		t.mark(e, 1<<slices.Index(e.Requests, f), t.version)
	}
	return len(entries) > 0
}

// Quarantined reports whether this node refuses a request, and when all nodes admit it
// again.
func (t *Table) Quarantined(f Fingerprint) (until time.Time, ok bool) {
	if t.Empty() {
		return time.Time{}, false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := t.suspicion(f)
	if !s.isQuarantined() {
		return time.Time{}, false
	}
	return s.until, t.Now().Before(t.admitsAt(s))
}

// Crashes returns the number of distinct crashes in which a request was running and
// since which it has not been answered. A failed trial counts for the crashes before it,
// which may be forgotten.
func (t *Table) Crashes(f Fingerprint) int {
	if t.Empty() {
		return 0
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.suspicion(f).crashes
}

// A suspicion is what the reports say about a request.
type suspicion struct {
	// crashes is the result of Table.Crashes.
	crashes      int
	failedTrials uint8
	// until is when all nodes admit the request again, and refusal the length of the
	// quarantine that ends then. Both are set after fewer crashes too.
	until   time.Time
	refusal time.Duration
}

func (s suspicion) isQuarantined() bool { return s.crashes >= CrashesToQuarantine }

// suspicion returns what the reports say about a request.
func (t *Table) suspicion(f Fingerprint) (s suspicion) {
	var first *entry
	for _, e := range t.suspects[f] {
		if first == nil || e.Zone != first.Zone || e.At.Sub(first.At) > CommonCauseWindow {
			first = e
			s.crashes++
		}
		failed := e.failedTrials(f)
		s.failedTrials = max(s.failedTrials, failed)
		if until := e.At.Add(refusal(failed)); until.After(s.until) {
			s.until, s.refusal = until, refusal(failed)
		}
	}
	if s.failedTrials > 0 {
		s.crashes = max(s.crashes, CrashesToQuarantine+int(s.failedTrials))
	}
	return s
}

// admitsAt returns when this node admits a request again.
func (t *Table) admitsAt(s suspicion) time.Time {
	return s.until.Add(-time.Duration(t.Order * OrderedPart * float64(s.refusal)))
}

// SuspectsPrefix reports whether a request with this prefix, and with a body, was
// running in a crash and has not been answered since.
func (t *Table) SuspectsPrefix(p Fingerprint) bool {
	if t.Empty() {
		return false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.prefixes[p] > 0
}

// Quarantines lists the quarantined requests, in order of their fingerprints.
func (t *Table) Quarantines() []Quarantine {
	if t.Empty() {
		return nil
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.Now()
	var all []Quarantine
	for f, entries := range t.suspects {
		s := t.suspicion(f)
		if !s.isQuarantined() || !now.Before(t.admitsAt(s)) {
			continue
		}
		q := Quarantine{Fingerprint: f, Crashes: s.crashes, Until: s.until}
		for _, e := range entries {
			q.Instances = append(q.Instances, e.Instance)
		}
		slices.Sort(q.Instances)
		q.Instances = slices.Compact(q.Instances)
		all = append(all, q)
	}
	slices.SortFunc(all, func(a, b Quarantine) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return all
}

// Empty reports whether there are no reports. It takes no lock.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Len returns the number of reports.
func (t *Table) Len() int { return int(t.size.Load()) }

// Expire removes the reports whose life has ended. The other methods count a report
// until then, so it is to be called regularly while the table is not empty.
func (t *Table) Expire() {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(t.Now())
}

func (t *Table) expire(now time.Time) {
	changed := false
	for _, e := range t.entries {
		switch age := now.Sub(e.At); {
		case age >= e.life():
			t.remove(e)
		case age >= ReportLife:
			// Only the request that was on trial is still suspected.
			changed = t.mark(e, answerable(len(e.Requests))&^1, t.version+1) || changed
		}
	}
	if changed {
		t.version++
	}
}

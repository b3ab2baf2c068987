package quarantine

import (
	"cmp"
	"slices"
)

// add adds an entry with a new ID.
func (t *Table) add(e *entry, version uint64) {
	e.added, e.version = version, version
	t.entries[e.ID] = e
	t.size.Store(int64(len(t.entries)))
	t.hash ^= e.digest().hash()
	for i, f := range e.Requests {
		if !e.open(i) {
			continue
		}
		if !f.IsZero() {
			i, _ := slices.BinarySearchFunc(t.suspects[f], e, compareEntries)
			t.suspects[f] = slices.Insert(t.suspects[f], i, e)
		}
		if p := e.Prefixes[i]; !p.IsZero() {
			t.prefixes[p]++
		}
	}
}

// remove removes an entry.
func (t *Table) remove(e *entry) {
	for i := range e.Requests {
		if e.open(i) {
			t.forget(e, i)
		}
	}
	t.hash ^= e.digest().hash()
	delete(t.entries, e.ID)
	t.size.Store(int64(len(t.entries)))
}

// mark marks requests of an entry as answered and reports whether one was not.
func (t *Table) mark(e *entry, answered uint64, version uint64) bool {
	answered &^= e.Answered
	if answered == 0 {
		return false
	}
	for i := range e.Requests {
		if answered&(1<<i) != 0 {
			t.forget(e, i)
		}
	}
	t.hash ^= e.digest().hash()
	e.Answered |= answered
	e.version = version
	t.hash ^= e.digest().hash()
	return true
}

// forget removes an open request of an entry from suspects and prefixes.
func (t *Table) forget(e *entry, i int) {
	f, p := e.Requests[i], e.Prefixes[i]
	if rest := slices.DeleteFunc(t.suspects[f], func(x *entry) bool { return x == e }); len(rest) > 0 {
		t.suspects[f] = rest
	} else {
		delete(t.suspects, f)
	}
	if p.IsZero() {
		return
	}
	if t.prefixes[p]--; t.prefixes[p] == 0 {
		delete(t.prefixes, p)
	}
}

// compareEntries orders entries by zone and time.
func compareEntries(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
}

// The order in which reports are dropped from a full table.
const (
	dropAnswered = iota // no request is suspected because of the report
	dropOpen
	dropNeeded // a request that is quarantined ran in the crash
	dropFailedTrial
)

// maxNeeded is the number of reports that are dropped after those with the rank
// dropOpen. The others leave room for the first crashes of further requests.
const maxNeeded = MaxReports * 3 / 4

// A rankedEntry is an entry with its place in the order.
type rankedEntry struct {
	rank int
	*entry
}

// dropExcess removes the reports beyond MaxReports, of each rank the oldest first.
func (t *Table) dropExcess() {
	excess := len(t.entries) - MaxReports
	if excess <= 0 {
		return
	}
	now := t.Now()
	needed := map[Fingerprint]bool{}
	for f := range t.suspects {
		s := t.suspicion(f)
		needed[f] = s.isQuarantined() && now.Before(s.until)
	}
	all := make([]rankedEntry, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, rankedEntry{dropRank(e, needed), e})
	}
	sortByRank(all)
	first, _ := slices.BinarySearchFunc(all, dropNeeded, func(r rankedEntry, rank int) int { return cmp.Compare(r.rank, rank) })
	for i := first; i < len(all)-maxNeeded; i++ {
		all[i].rank = dropOpen
	}
	sortByRank(all)
	for _, r := range all[:excess] {
		t.remove(r.entry)
	}
}

func sortByRank(all []rankedEntry) {
	slices.SortFunc(all, func(a, b rankedEntry) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
	})
}

// dropRank returns the rank of an entry. needed holds the quarantined requests.
func dropRank(e *entry, needed map[Fingerprint]bool) int {
	if e.allAnswered() {
		return dropAnswered
	}
	if e.FailedTrials > 0 && e.open(0) {
		return dropFailedTrial
	}
	for i, f := range e.Requests {
		if e.open(i) && needed[f] {
			return dropNeeded
		}
	}
	return dropOpen
}

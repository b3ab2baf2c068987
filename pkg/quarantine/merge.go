package quarantine

import (
	"slices"
	"time"
)

// Merge adds reports and marks of another node and reports whether one was new. The
// error is of type BadReport; nothing is added then. The same reports give the same
// table, in whatever order and however often they are merged, as long as there are
// at most MaxReports of them.
func (t *Table) Merge(reports []WireReport) (changed bool, err error) {
	if len(reports) == 0 {
		return false, nil
	}
	if len(reports) > MaxReports {
		return false, TooLarge.New("%d reports, the limit is %d", len(reports), MaxReports)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	all, err := t.check(reports, now)
	if err != nil {
		return false, err
	}
	t.expire(now)
	version := t.version + 1
	for _, r := range all {
		t.mergeReport(r, now, version)
	}
	t.dropExcess()
	for _, e := range t.entries {
		if e.version == version {
			t.version = version
			return true, nil
		}
	}
	return false, nil
}

// check returns the reports if all are valid and contradict no known report.
func (t *Table) check(reports []WireReport, now time.Time) ([]*Report, error) {
	all, ids := make([]*Report, 0, len(reports)), map[uint64]bool{}
	for i := range reports {
		r, err := reports[i].report(now)
		if err != nil {
			return nil, err
		}
		if ids[r.ID] {
			return nil, BadReport.New("report %x is there twice", r.ID)
		}
		if err := t.entries[r.ID].check(r); err != nil {
			return nil, err
		}
		ids[r.ID] = true
		all = append(all, r)
	}
	return all, nil
}

// check returns an error if a report or its marks contradict the entry. Nothing
// contradicts a nil entry.
func (e *entry) check(r *Report) error {
	switch {
	case e == nil:
		return nil
	case len(r.Requests) == 0 && r.Answered&^answerable(len(e.Requests)) != 0:
		return BadReport.New("report %x has marks for more than its %d requests", r.ID, len(e.Requests))
	case len(r.Requests) > 0 && !slices.Equal(e.Requests, r.Requests):
		return BadReport.New("report %x has other requests than the known one", r.ID)
	}
	return nil
}

// mergeReport adds a report or its marks. Of two times of the same crash the earlier
// one is nearer the truth, because ages do not count the time on the way. A report that
// came without its failed trials goes on to other nodes once it comes with them.
func (t *Table) mergeReport(r *Report, now time.Time, version uint64) {
	e := t.entries[r.ID]
	if e == nil {
		if len(r.Requests) > 0 && !nearExpiry(r, now) {
			t.add(&entry{Report: *r}, version)
		}
		return
	}
	t.mark(e, r.Answered, version)
	if r.FailedTrials > e.FailedTrials {
		e.FailedTrials, e.added, e.version = r.FailedTrials, version, version
	}
	if len(r.Requests) == 0 || !r.At.Before(e.At) {
		return
	}
	e.At = r.At
	for i, f := range e.Requests {
		if e.open(i) {
			slices.SortFunc(t.suspects[f], compareEntries)
		}
	}
}

func nearExpiry(r *Report, now time.Time) bool { return now.Sub(r.At) >= r.life()-expiryMargin }

// Version returns the version for ExportSince. It rises with each change that other
// nodes have to learn.
func (t *Table) Version() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.version
}

// Hash returns a hash of all reports and marks. Equal tables have equal hashes.
func (t *Table) Hash() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.hash
}

// The parts of an entry that are exported.
type exportedPart int

const (
	exportNothing exportedPart = iota
	exportMarks
	exportReport
)

// Export returns all reports.
func (t *Table) Export() []WireReport {
	return t.export(func(*entry) exportedPart { return exportReport })
}

// ExportSince returns the reports that were added and the marks that were set after a
// version, and the present version.
func (t *Table) ExportSince(version uint64) ([]WireReport, uint64) {
	// A change after the call of Version is returned again by the next ExportSince.
	present := t.Version()
	return t.export(func(e *entry) exportedPart {
		switch {
		case e.added > version:
			return exportReport
		case e.version > version:
			return exportMarks
		}
		return exportNothing
	}), present
}

// Missing returns the reports and marks that a table with these digests lacks.
func (t *Table) Missing(known []Digest) []WireReport {
	answered := make(map[uint64]uint64, len(known))
	for _, d := range known {
		answered[d.ID] = d.Answered
	}
	return t.export(func(e *entry) exportedPart {
		a, ok := answered[e.ID]
		switch {
		case !ok:
			return exportReport
		case e.Answered&^a != 0:
			return exportMarks
		}
		return exportNothing
	})
}

func (t *Table) export(part func(e *entry) exportedPart) []WireReport {
	if t.Empty() {
		return nil
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.Now()
	var all []WireReport
	for _, e := range t.entries {
		switch p := part(e); {
		case nearExpiry(&e.Report, now):
		case p == exportReport:
			all = append(all, e.wire(now))
		case p == exportMarks:
			all = append(all, e.marks())
		}
	}
	return all
}

// Digests returns the digests of all reports.
func (t *Table) Digests() []Digest {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]Digest, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, e.digest())
	}
	return all
}

// Lacks reports whether digests name a report or mark that this table lacks.
func (t *Table) Lacks(known []Digest) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.ContainsFunc(known, func(d Digest) bool {
		e := t.entries[d.ID]
		return e == nil || d.Answered&^e.Answered != 0
	})
}

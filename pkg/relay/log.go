// Package relay reduces the reads of a store: few nodes read the store, and the
// others read those nodes.
//
// A node keeps the updates that it received in a Log and answers other nodes from
// it in the same form: the full state, or the updates after a position. Positions
// are the store's own on every node, so a node can switch between the store and
// any other node without losing or repeating an update. A SourceSelector decides
// which of them a node reads. The package opens no socket and starts no
// goroutine.
package relay

import (
	"sync"
	"time"
)

// maxLogEntries is the number of updates that a Log keeps. A node that is further
// behind reads the full state.
const maxLogEntries = 256

// maxLogBytes limits the size of the encoded updates that a Log keeps.
// Configurations are published in full, so of several in quick succession only
// the latest is useful.
const maxLogBytes = 256 << 10

// An Entry is one update in the form in which it is forwarded. It is of the era of
// its log.
type Entry struct {
	// Revision is the store's revision after the update.
	Revision uint64
	// Body is the encoded update.
	Body []byte
	// IsPatch states that the update can be used only with the one before it.
	IsPatch bool
}

// A Log holds recent updates of one era. Its exported fields are set before the first call.
// It is safe for concurrent use.
type Log struct {
	Now func() time.Time

	mu sync.Mutex
	// baseRevision is the revision before the first entry. Readers at an earlier
	// revision have missed updates.
	baseRevision uint64
	entries      []Entry
	// bodyBytes is the total size of the bodies.
	bodyBytes int
	// latest is the latest confirmed position. The store confirmed it at
	// confirmedAt.
	latest      Position
	confirmedAt time.Time
	changed     chan struct{}
}

// NewLog returns an empty log. Nothing can be read from it before Reset.
func NewLog() *Log { return &Log{Now: time.Now, changed: make(chan struct{})} }

// Reset drops all updates after the node has read the full state as of the
// position, which the store confirmed at the given time. It is the only way to
// another era.
func (l *Log) Reset(p Position, confirmedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.baseRevision, l.latest, l.confirmedAt, l.entries, l.bodyBytes = p.Revision, p, confirmedAt, nil, 0
	l.notifyReaders()
}

// Append adds an update of the log's era that the store confirmed at the given time.
func (l *Log) Append(e Entry, confirmedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
	l.bodyBytes += len(e.Body)
	for len(l.entries) > 1 && (len(l.entries) > maxLogEntries || l.bodyBytes > maxLogBytes) {
		l.baseRevision = l.entries[0].Revision
		l.bodyBytes -= len(l.entries[0].Body)
		l.entries[0].Body = nil
		l.entries = l.entries[1:]
	}
	l.confirm(e.Revision, confirmedAt)
	l.notifyReaders()
}

// Confirm records that the store had no newer revision of the log's era at the
// given time. Readers learn of it at once: their own readers must not take them for
// nodes that have lost the store.
func (l *Log) Confirm(revision uint64, confirmedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.confirm(revision, confirmedAt) {
		l.notifyReaders()
	}
}

// confirm reports whether the log is more recent than before.
func (l *Log) confirm(revision uint64, confirmedAt time.Time) bool {
	l.latest.Revision = max(l.latest.Revision, revision)
	if !confirmedAt.After(l.confirmedAt) {
		return false
	}
	l.confirmedAt = confirmedAt
	return true
}

// Wake closes Status.Changed although the log has not changed.
func (l *Log) Wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifyReaders()
}

func (l *Log) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// A Status is the latest position of a log and its age.
type Status struct {
	Position
	// Age is the time since the store confirmed the position.
	Age time.Duration
	// Changed is closed with the next update or confirmation.
	Changed <-chan struct{}
}

// Since returns the updates after a position. It reports false if the log does not
// hold all of them, as for a position of another era.
func (l *Log) Since(after Position) ([]Entry, Status, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.status()
	if l.confirmedAt.IsZero() || after.Era != l.latest.Era || after.Revision < l.baseRevision {
		return nil, s, false
	}
	first := len(l.entries)
	for first > 0 && l.entries[first-1].Revision > after.Revision {
		first--
	}
	return append([]Entry(nil), l.entries[first:]...), s, true
}

// Status returns the latest position and its age.
func (l *Log) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status()
}

func (l *Log) status() Status {
	return Status{Position: l.latest, Age: l.Now().Sub(l.confirmedAt), Changed: l.changed}
}

// Package relay reduces the reads of a store: few nodes read the store, and the
// others read those nodes.
//
// A node keeps the updates that it received in a Log and answers other nodes from
// it in the same form: the full state, or the updates after a revision. Revisions
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

// An Entry is one update in the form in which it is forwarded.
type Entry struct {
	// Revision is the store's revision after the update.
	Revision uint64
	// Body is the encoded update.
	Body []byte
}

// A Log holds recent updates. Its exported fields are set before the first call.
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
	// revision is the latest confirmed revision. The store confirmed it at
	// confirmedAt.
	revision    uint64
	confirmedAt time.Time
	changed     chan struct{}
}

// NewLog returns an empty log. Nothing can be read from it before Reset.
func NewLog() *Log { return &Log{Now: time.Now, changed: make(chan struct{})} }

// Reset drops all updates after the node has read the full state as of the
// revision, which the store confirmed at the given time.
func (l *Log) Reset(revision uint64, confirmedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.baseRevision, l.revision, l.confirmedAt, l.entries, l.bodyBytes = revision, revision, confirmedAt, nil, 0
	l.notifyReaders()
}

// Append adds an update that the store confirmed at the given time.
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

// Confirm records that the store had no newer revision at the given time.
func (l *Log) Confirm(revision uint64, confirmedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirm(revision, confirmedAt)
}

func (l *Log) confirm(revision uint64, confirmedAt time.Time) {
	l.revision = max(l.revision, revision)
	if confirmedAt.After(l.confirmedAt) {
		l.confirmedAt = confirmedAt
	}
}

func (l *Log) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// A Position is the latest revision of a log and its age.
type Position struct {
	Revision uint64
	// Age is the time since the store confirmed the revision.
	Age time.Duration
	// Changed is closed with the next update.
	Changed <-chan struct{}
}

// Since returns the updates after a revision. It reports false if the log does
// not hold all of them.
func (l *Log) Since(revision uint64) ([]Entry, Position, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := Position{Revision: l.revision, Age: l.Now().Sub(l.confirmedAt), Changed: l.changed}
	if l.confirmedAt.IsZero() || revision < l.baseRevision {
		return nil, p, false
	}
	first := len(l.entries)
	for first > 0 && l.entries[first-1].Revision > revision {
		first--
	}
	return append([]Entry(nil), l.entries[first:]...), p, true
}

// Package relay lets few nodes read a store and the others read those nodes.
//
// A node keeps the updates that it received in a Log and answers other nodes
// from it in the same form: everything, or what came after a revision of the
// store. Since revisions are the store's own, a node may change between the
// store and any other node without losing or repeating an update. A Choice
// says whom to read. The package opens no socket and starts no goroutine.
package relay

import (
	"sync"
	"time"
)

// logLength is the number of updates that a Log keeps. A node that is further
// behind reads everything anew.
const maxLogEntries = 256

// logBytes bounds the encoded updates that a Log keeps. Configurations that come
// in quick succession are published whole, and only the latest is of use.
const maxLogBytes = 256 << 10

// An Entry is one update as it is sent on.
type Entry struct {
	// Revision is the store's after the update.
	Revision uint64
	// Body is the encoded update.
	Body []byte
}

// A Log holds the latest updates. Its exported fields are set before the first
// call. It is safe for concurrent use.
type Log struct {
	Now func() time.Time

	mu sync.Mutex
	// start is the revision before the first entry; readers at an earlier one
	// have missed something.
	baseRevision uint64
	entries      []Entry
	// bytes is the size of all bodies.
	bodyBytes int
	// revision is the latest that was confirmed, at the time confirmed.
	revision    uint64
	confirmedAt time.Time
	changed     chan struct{}
}

// New returns an empty log. Nothing can be read from it before Restart.
func NewLog() *Log { return &Log{Now: time.Now, changed: make(chan struct{})} }

// Restart forgets all updates: the node has read everything anew, as of the
// revision, that the store confirmed at the time.
func (l *Log) Reset(revision uint64, confirmedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.baseRevision, l.revision, l.confirmedAt, l.entries, l.bodyBytes = revision, revision, confirmedAt, nil, 0
	l.notifyReaders()
}

// Append adds an update, confirmed at the time.
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

// Confirm records that the store had nothing new at the time.
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

// A Position is where a log stands.
type Position struct {
	Revision uint64
	// Age is how long ago the store confirmed the revision.
	Age time.Duration
	// Changed is closed with the next update.
	Changed <-chan struct{}
}

// Since returns the updates after a revision. It reports false if some of them
// are no longer held, or were never.
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

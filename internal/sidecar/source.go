package sidecar

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fleet"
	"quetzaldock.example/quetzaldock/pkg/relay"
)

// A Source reads the store that publishes configuration and instances.
type Source struct {
	// List returns everything that is published. What was published while the
	// listing ran may be missing; a watch from its Revision tells it.
	List func(ctx context.Context) (*Update, error)
	// Watch returns what was published after a revision, at the latest after
	// wait. The error is ErrCompacted if that history is no longer kept.
	Watch func(ctx context.Context, after uint64, wait time.Duration) (*Update, error)
}

// ErrCompacted means that the store no longer holds the history asked for.
var ErrCompacted = namespace.NewType("compacted")

// An Update is what one read returned.
type Update struct {
	// Revision is the store's; a watch goes on from it.
	Revision uint64 `cbor:"-"`
	// Whole states that Changes are all entries, not what has changed.
	Full bool `cbor:"-"`
	// Confirmed is when the store had this revision, at the latest.
	ConfirmedAt time.Time `cbor:"-"`
	Changes     []fleet.Change
	// Published is the newest configuration among the changes, or nil.
	Published *PublishedConfig

	// held are the changes that this node applies in place of Changes, nil for
	// all of them, see holdOwn. Other nodes are told Changes.
	localChanges []fleet.Change
}

// A Published is one configuration as operators published it.
type PublishedConfig struct {
	Version  uint64
	Document config.Document
	// Fault is set if the bytes could not be read; Document is then empty.
	DecodeErr error `cbor:"-"`
}

const (
	// watchWait is how long a watch waits for a change. The nodes that read
	// this one take its knowledge for stale a little later, and must then still
	// have time to ask the store themselves.
	watchWait = 600 * time.Millisecond
	// watchSlack is how long after watchWait an answer may come. A later one
	// tells that the connection went silent.
	watchGrace = 400 * time.Millisecond
	// listTimeout bounds a listing of all entries, several pages long.
	listTimeout = 3 * time.Second
	// unreadWarning is how long no source may answer before a line says so.
	unreadWarningDelay = time.Second
	// retryMost bounds the pause where no source answers.
	maxRetryPause = 500 * time.Millisecond
	// gatherFirst is the pause between a change and the next watch. What is
	// published meanwhile comes with one read. While each read brings changes it
	// doubles up to gatherMost, a fifth of the time in which a configuration must
	// be in force and a leaving instance gets nothing new.
	minGatherPause = 100 * time.Millisecond
	maxGatherPause = 400 * time.Millisecond
)

// follow keeps the node up to date until ctx ends, from whatever source its
// choice names.
func (n *Node) followSources(ctx context.Context) {
	var revision uint64
	known := false
	// Where the whole fleet starts, instances register one after the other.
	gather, gathered := maxGatherPause, time.Duration(0)
	for ctx.Err() == nil {
		from, wait := n.nextSource()
		if wait > 0 && !sleep(ctx, min(wait, maxRetryPause)) {
			return
		}
		// With the pause before it a watch must not exceed watchWait: others take
		// what this node knows for stale after that.
		u, err := n.readSource(ctx, from, revision, known, watchWait-gathered)
		gathered = 0
		if err == nil && u.Full && u.Revision < revision {
			err = ErrStale.New("everything as of revision %d after %d", u.Revision, revision)
		}
		switch {
		case err == nil:
			n.recordSourceSuccess(from)
			if from != relay.StoreSource {
				n.holdLocalRemoval(ctx, u)
			}
			n.applyUpdate(u)
			revision, known = max(revision, u.Revision), true
			if from != relay.StoreSource || (len(u.Changes) == 0 && u.Published == nil) {
				gather = minGatherPause
				continue
			}
			sleep(ctx, gather)
			gather, gathered = min(2*gather, maxGatherPause), gather
		case errorx.IsOfType(err, ErrCompacted):
			n.Log.Info("history is gone", "source", from, "after", revision)
			known = false
		default:
			n.recordSourceFailure(ctx, from, err)
		}
	}
}

// read asks a source for everything, or for what came after a revision, at the
// latest after wait.
func (n *Node) readSource(ctx context.Context, from string, after uint64, known bool, wait time.Duration) (*Update, error) {
	s := n.Source
	if from != relay.StoreSource {
		s = n.nodeSource(from)
	}
	asked := time.Now()
	var u *Update
	var err error
	if known {
		c, cancel := context.WithTimeout(ctx, wait+watchGrace)
		defer cancel()
		u, err = s.Watch(c, after, wait)
	} else {
		c, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		u, err = s.List(c)
	}
	if err != nil {
		return nil, err
	}
	if from == relay.StoreSource {
		u.Full = !known
		// A watch that ended without a change was answered at its end.
		u.ConfirmedAt = asked
		if known {
			u.ConfirmedAt = time.Now()
		}
	}
	return u, nil
}

// nextSource names the source to read, and how long to wait before.
func (n *Node) nextSource() (string, time.Duration) {
	n.sourcesMu.Lock()
	defer n.sourcesMu.Unlock()
	return n.sources.Next(time.Now())
}

// sourceWorked records that a source answered.
func (n *Node) recordSourceSuccess(from string) {
	n.sourcesMu.Lock()
	n.sources.RecordSuccess(from)
	n.sourcesMu.Unlock()
	n.lastReadMs.Store(time.Now().UnixMilli())
	if n.sourcesDown.Swap(false) {
		n.Log.Info("published state is read again", "source", sourceName(from))
	}
}

// sourceFailed records that a source did not answer. An error after the end of
// ctx says nothing of it.
func (n *Node) recordSourceFailure(ctx context.Context, from string, err error) {
	if ctx.Err() != nil {
		return
	}
	n.sourcesMu.Lock()
	n.sources.RecordFailure(from, time.Now())
	n.sourcesMu.Unlock()
	n.Log.Debug("source of published state does not answer", "source", sourceName(from), "error", err)
	last := time.Since(time.UnixMilli(n.lastReadMs.Load()))
	if last > unreadWarningDelay && !n.sourcesDown.Swap(true) {
		n.Log.Warn("no source of published state answers", "source", sourceName(from), "error", err)
	}
}

func sourceName(from string) string {
	if from == relay.StoreSource {
		return "store"
	}
	return from
}

package sidecar

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fleet"
	"quetzaldock.example/quetzaldock/pkg/relay"
)

// A Source reads the published configuration and instances, from the store or
// from another node.
type Source struct {
	// List returns the full state. Changes made while the listing runs may be
	// missing; a watch from the update's Revision returns them.
	List func(ctx context.Context) (*Update, error)
	// Watch returns the changes after a position. It waits at most wait for one.
	// The error is ErrCompacted if the store no longer keeps that history. If the
	// update's Era is another one than the position's, its changes do not follow
	// on from the position.
	Watch func(ctx context.Context, after relay.Position, wait time.Duration) (*Update, error)
	// ListInstances and WatchInstances do the same for the entries of instances alone.
	// If they are nil, these are not read by themselves.
	ListInstances  func(ctx context.Context) (*Update, error)
	WatchInstances func(ctx context.Context, after relay.Position, wait time.Duration) (*Update, error)
}

var (
	// ErrCompacted means that the store no longer keeps the requested history.
	ErrCompacted = namespace.NewType("compacted")
	// ErrEraChanged means that the store has come back from an earlier copy since
	// the position of a watch, or while a listing ran.
	ErrEraChanged = namespace.NewType("era_changed")
)

// An Update is the result of one read.
type Update struct {
	// Era counts how often the store has come back from an earlier copy. Each
	// time, revisions go back and are given out again.
	Era uint64 `cbor:"-"`
	// Revision is the store's revision. The next watch starts from it.
	Revision uint64 `cbor:"-"`
	// Full states that Changes is the full state, not a difference.
	Full bool `cbor:"-"`
	// ConfirmedAt is the latest time at which the store is known to have had this
	// revision.
	ConfirmedAt time.Time `cbor:"-"`
	Changes     []fleet.Change
	// Published is the newest configuration among the changes, or nil.
	Published *PublishedConfig
	// Patch, if not nil, leads to the newest configuration. Nodes send it to each other
	// in place of Published.
	Patch *ConfigPatch
	// Origin is the control address of the node that read the update from the store.
	Origin string `cbor:"-"`
	// Receiving states that the node that was read, or the one that it reads, is
	// receiving an answer of the store.
	Receiving bool `cbor:"-"`

	// localChanges, if not nil, is what this node applies instead of Changes, see
	// holdLocalRemoval. Other nodes get Changes.
	localChanges []fleet.Change
	// source is where the update was read, from askedAt to readAt.
	source          string
	askedAt, readAt time.Time
}

// forThisNode returns the changes that this node applies.
func (u *Update) forThisNode() []fleet.Change {
	if u.localChanges != nil {
		return u.localChanges
	}
	return u.Changes
}

func (u *Update) position() relay.Position { return relay.Position{Era: u.Era, Revision: u.Revision} }

// A PublishedConfig is one configuration as operators published it.
type PublishedConfig struct {
	Version  uint64
	Document config.Document
	// DecodeErr is set if the bytes could not be decoded. Document is then empty.
	DecodeErr error `cbor:"-"`
}

// A ConfigPatch leads from one published configuration to a newer one.
type ConfigPatch struct {
	// From and To are the versions.
	From, To uint64
	Document config.Patch
}

const (
	// watchWait is how long a watch waits for a change. Nodes that read from this
	// one consider its state stale a little later, and must then still have time
	// to read the store themselves.
	watchWait = 450 * time.Millisecond
	// watchGrace is how long after its wait a watch may still return. A later
	// return means that the connection has gone silent.
	watchGrace = 400 * time.Millisecond
	// nodeGrace is the same for a node, and staleGrace if this node's own state is
	// already stale. Answers wait some tenths of a second at a link that is full of
	// long responses.
	nodeGrace  = 400 * time.Millisecond
	staleGrace = 400 * time.Millisecond
	// listTimeout limits a listing of all entries, which takes several pages.
	listTimeout = 3 * time.Second
	// unreadWarningDelay is how long all sources must fail before a warning is
	// logged.
	unreadWarningDelay = time.Second
	// maxRetryPause limits the pause after all sources have failed.
	maxRetryPause = 500 * time.Millisecond
	// firstStartPause is the mean pause before the first read while the whole deployment
	// starts. After it most instances are published, so that nodes find each other with
	// one read each.
	firstStartPause = 1800 * time.Millisecond
	// minBatchPause is the pause between a change and the next watch, so that one
	// read returns the changes made meanwhile. While each read returns changes,
	// the pause doubles up to maxBatchPause. That is a fifth of the time in which
	// a configuration must be in force and a leaving instance must stop getting
	// requests.
	minBatchPause = 100 * time.Millisecond
	maxBatchPause = 400 * time.Millisecond
)

// followSources applies updates from the selected source until ctx ends.
func (n *Node) followSources(ctx context.Context) {
	var position relay.Position
	known := false
	// When the whole fleet starts, instances are published one after the other, so
	// the first pause is the longest.
	batchPause, paused := maxBatchPause, time.Duration(0)
	if n.settings().FirstStart && !sleep(ctx, n.jitter(firstStartPause)) {
		return
	}
	for ctx.Err() == nil {
		from, pause := n.nextSource()
		if pause > 0 {
			if !sleep(ctx, min(pause, maxRetryPause)) {
				return
			}
			continue
		}
		wait, grace := n.waitForChanges(from, paused)
		u, err := n.readSource(ctx, from, position, known, wait, grace)
		paused = 0
		if err == nil {
			err = checkOrder(u, position)
		}
		if err == nil {
			err = n.instancesAhead.checkFull(u)
		}
		switch {
		case err == nil:
			n.recordSourceSuccess(from)
			if from != relay.StoreSource {
				n.holdLocalRemoval(ctx, u)
			}
			n.applyUpdate(u)
			n.instancesAhead.trim(u.position())
			n.recordPosition(u)
			// The first state of an era may be that of a copy. Without eras the store
			// never comes back from one.
			if from == relay.StoreSource && u.Full && u.Era > position.Era {
				n.background.Go(func() { n.readOtherConfigs(ctx) })
			}
			if u.position().Compare(position) > 0 {
				position = u.position()
			}
			known = true
			if from != relay.StoreSource || (len(u.Changes) == 0 && u.Published == nil) {
				batchPause = minBatchPause
				continue
			}
			sleep(ctx, batchPause)
			batchPause, paused = min(2*batchPause, maxBatchPause), batchPause
		case errorx.IsOfType(err, ErrCompacted):
			n.recordPositionLost(reasonCompacted)
			n.Log.Info("store no longer keeps the history, reading the full state", "source", sourceName(from), "era", position.Era, "after", position.Revision)
			known = false
		case known && errorx.IsOfType(err, errMissingBase):
			n.Log.Info("configuration does not follow on from this node's, reading the full state", "source", sourceName(from), "error", err)
			known = false
		case known && errorx.IsOfType(err, ErrEraChanged):
			n.recordPositionLost(reasonEraChanged)
			n.Log.Info("store answers in another era, reading the full state", "source", sourceName(from), "era", position.Era, "after", position.Revision)
			known = false
		default:
			n.recordSourceFailure(ctx, from, err)
		}
	}
}

// takeoverWait is how long a watch waits while this node's state is stale, since other
// nodes wait for it to be current again, and one of a node whose last read failed: if
// that stands still, this node's state must not become stale meanwhile.
const takeoverWait = time.Millisecond

// waitForChanges returns how long a read of the source waits for a change, after a
// pause of the given length, and how much later it may still return.
func (n *Node) waitForChanges(from string, paused time.Duration) (wait, grace time.Duration) {
	stale := n.updateLog.Status().Age > n.maxAge()
	switch {
	case from != relay.StoreSource && (stale || n.hasFailed(from)):
		return takeoverWait, staleGrace
	case from != relay.StoreSource:
		return maxRelayWait, nodeGrace
	case stale:
		return takeoverWait, watchGrace
	}
	// The pause and the watch together must not exceed watchWait, after which other
	// nodes consider this node's state stale.
	return watchWait - paused, watchGrace
}

// checkOrder checks that an update follows on from the applied position. The error
// is ErrEraChanged if only the full state would, and ErrStale if the update is
// older.
func checkOrder(u *Update, applied relay.Position) error {
	switch {
	case u.Era < applied.Era, u.Full && u.position().Compare(applied) < 0:
		return ErrStale.New("state of era %d, revision %d is older than era %d, revision %d, which is already applied", u.Era, u.Revision, applied.Era, applied.Revision)
	case u.Era > applied.Era && !u.Full:
		return ErrEraChanged.New("changes of era %d do not follow on from era %d", u.Era, applied.Era)
	}
	return nil
}

// readSource reads the full state from a source, or the changes after a position
// if known is set. It waits at most wait for a change, and grace longer for the answer.
func (n *Node) readSource(ctx context.Context, from string, after relay.Position, known bool, wait, grace time.Duration) (*Update, error) {
	s := n.Source
	if from != relay.StoreSource {
		s = n.nodeSource(from)
	}
	asked := time.Now()
	var u *Update
	var err error
	switch {
	case known && from == relay.StoreSource:
		sourceCtx, cancel := n.storeProgress.withProgress(ctx, wait+grace, grace, wait+maxWatchTime)
		defer cancel()
		if s.WatchInstances != nil {
			go n.readInstancesAhead(sourceCtx, after)
		}
		u, err = s.Watch(sourceCtx, after, wait)
	case known:
		sourceCtx, cancel := context.WithTimeout(ctx, wait+grace)
		defer cancel()
		u, err = s.Watch(sourceCtx, after, wait)
	default:
		sourceCtx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		u, err = s.List(sourceCtx)
	}
	n.sourceReceives.Store(err == nil && u.Receiving)
	if err != nil {
		return nil, err
	}
	u.source, u.askedAt, u.readAt = from, asked, time.Now()
	if from == relay.StoreSource {
		u.Full, u.Origin = !known, n.settings().ControlAddress
		// A watch without a change is answered at the end of its wait.
		u.ConfirmedAt = asked
		if known {
			u.ConfirmedAt = time.Now()
		}
	}
	return u, nil
}

// nextSource returns the source to read and how long to wait before.
func (n *Node) nextSource() (string, time.Duration) {
	n.selectorMu.Lock()
	defer n.selectorMu.Unlock()
	return n.sourceSelector.Next(time.Now())
}

// hasFailed reports whether the last read of a source failed.
func (n *Node) hasFailed(from string) bool {
	n.selectorMu.Lock()
	defer n.selectorMu.Unlock()
	return n.sourceSelector.HasFailed(from)
}

// recordSourceSuccess records that a source answered.
func (n *Node) recordSourceSuccess(from string) {
	n.selectorMu.Lock()
	n.sourceSelector.RecordSuccess(from)
	n.selectorMu.Unlock()
	n.lastRead.set(time.Now())
	if n.sourcesDown.Swap(false) {
		n.Log.Info("published state can be read again", "source", sourceName(from))
	}
}

// recordSourceFailure records that a source did not answer. An error after the
// end of ctx says nothing about the source.
func (n *Node) recordSourceFailure(ctx context.Context, from string, err error) {
	if ctx.Err() != nil {
		return
	}
	n.selectorMu.Lock()
	if from != relay.StoreSource && errorx.IsOfType(err, peer.Timeout) {
		n.sourceSelector.RecordSilence(from, time.Now())
	} else {
		n.sourceSelector.RecordFailure(from, time.Now())
	}
	n.selectorMu.Unlock()
	// Other nodes may have been unable to reach this one as well.
	n.crashReports.RequestPull()
	n.Log.Debug("source of published state does not answer", "source", sourceName(from), "error", err)
	last := n.lastRead.age(time.Now())
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

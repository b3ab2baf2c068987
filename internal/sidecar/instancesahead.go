package sidecar

import (
	"context"
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/fleet"
	"quetzaldock.example/quetzaldock/pkg/relay"
)

const (
	// aheadCheckInterval is the time between checks whether an answer of the store is
	// still arriving, in which case changes of instances are read ahead of it.
	aheadCheckInterval = 100 * time.Millisecond
	// maxAheadChanges limits the changes that are kept for other nodes.
	maxAheadChanges = 1024
)

// instancesAhead holds changes of instances that were read ahead of an answer that takes
// long to arrive, such as a large configuration: an instance that leaves must not wait for
// it. They come again with the updates in their order, and the directory ignores those that
// it has applied. The position of the node does not change with them.
type instancesAhead struct {
	mu sync.Mutex
	// position is that of the last change, the zero value if there is none. The store
	// confirmed it at confirmedAt.
	position    relay.Position
	confirmedAt time.Time
	changes     []fleet.Change
}

// add appends changes up to a position.
func (a *instancesAhead) add(p relay.Position, changes []fleet.Change, confirmedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Era != a.position.Era || len(a.changes)+len(changes) > maxAheadChanges {
		a.changes = nil
	}
	a.changes = append(a.changes, changes...)
	if p.Compare(a.position) > 0 {
		a.position = p
	}
	a.confirmedAt = confirmedAt
}

// trim drops the changes if they are part of the state as of a position.
func (a *instancesAhead) trim(p relay.Position) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Compare(a.position) >= 0 {
		a.position, a.changes = relay.Position{}, nil
	}
}

// latest returns the revision of the last change, zero if there is none.
func (a *instancesAhead) latest() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.position.Revision
}

// checkFull refuses a full state that is older than the changes. The error is of type
// ErrStale.
func (a *instancesAhead) checkFull(u *Update) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if u.Full && u.position().Compare(a.position) < 0 {
		return ErrStale.New("state of revision %d is older than the instances of revision %d", u.Revision, a.position.Revision)
	}
	return nil
}

// addTo adds the changes after a revision to a reply. It reports whether there are any.
func (a *instancesAhead) addTo(r *peer.UpdatesReply, era, after uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if era != a.position.Era || a.position.Revision <= after {
		return false
	}
	b, err := encodeUpdate(&Update{Changes: a.changes})
	if err != nil {
		return false
	}
	r.Instances, r.InstancesRevision, r.InstancesAgeMs = b, a.position.Revision, time.Since(a.confirmedAt).Milliseconds()
	return true
}

// readInstancesAhead reads changes of instances after a position while a watch of the store
// is under way whose answer takes long to arrive, until ctx ends.
func (n *Node) readInstancesAhead(ctx context.Context, after relay.Position) {
	for sleep(ctx, aheadCheckInterval) {
		if !n.storeProgress.arriving(time.Now(), watchGrace) {
			continue
		}
		watchCtx, cancel := context.WithTimeout(ctx, watchWait+watchGrace)
		u, err := n.Source.WatchInstances(watchCtx, after, watchWait)
		cancel()
		if err != nil || ctx.Err() != nil || u.Era != after.Era {
			continue
		}
		u.ConfirmedAt = time.Now()
		n.applyInstancesAhead(u)
		after = u.position()
	}
}

// takeInstancesAhead applies the changes of instances that another node has read ahead. The
// error is that of decodeUpdate.
func (n *Node) takeInstancesAhead(ctx context.Context, r *peer.UpdatesReply, asked time.Time) error {
	u, err := decodeUpdate(r.Instances)
	if err != nil {
		return err
	}
	u.Era, u.Revision = r.Era, r.InstancesRevision
	u.ConfirmedAt = asked.Add(time.Duration(r.WaitedMs-r.InstancesAgeMs) * time.Millisecond)
	n.holdLocalRemoval(ctx, u)
	n.applyInstancesAhead(u)
	return nil
}

func (n *Node) applyInstancesAhead(u *Update) {
	n.updateMu.Lock()
	defer n.updateMu.Unlock()
	n.directory.Confirm(u.ConfirmedAt)
	if len(u.Changes) == 0 {
		return
	}
	n.directory.Apply(u.forThisNode())
	n.instancesAhead.add(u.position(), u.Changes, u.ConfirmedAt)
	n.updateLog.Wake()
	n.Log.Info("instances read ahead of other changes", "revision", u.Revision, "changes", len(u.Changes))
}

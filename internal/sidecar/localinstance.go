package sidecar

import (
	"context"
	"time"

	"quetzaldock.example/quetzaldock/pkg/fleet"
)

// ownRetry is the pause between two questions to the store about the local
// instance.
const storeRetryDelay = 500 * time.Millisecond

// holdOwn takes the removal of the local instance out of an update of another
// node while this one cannot ask the store itself. The host may be cut off from
// the store; then the instance could not publish itself, its entry lapsed, and
// it serves as before. Requests of this host may go on to it; other nodes send
// none. A removal that the store confirms is applied at once.
func (n *Node) holdLocalRemoval(ctx context.Context, u *Update) {
	v := n.directory.View()
	local := v.ByAddress[n.settings().BackendAddress]
	if local == nil || local.State != fleet.Ready {
		return
	}
	kept := make([]fleet.Change, 0, len(u.Changes)+1)
	listed, gone := false, false
	for i := range u.Changes {
		c := &u.Changes[i]
		if c.Kind == fleet.InstanceRemoved && c.Reason == "" && c.ID == local.ID {
			gone = true
			continue
		}
		listed = listed || (c.Kind == fleet.InstanceSet && c.Instance.ID == local.ID)
		kept = append(kept, *c)
	}
	if u.Full && !listed {
		gone = true
		kept = append(kept, fleet.Change{Kind: fleet.InstanceSet, Instance: *local})
	}
	if !gone || listed {
		return
	}
	u.localChanges = kept
	if n.verifyingRemoval.CompareAndSwap(false, true) {
		n.Log.Info("local instance is no longer published; asking the store", "instance", local.ID)
		n.background.Go(func() { n.verifyLocalRemoval(ctx, *local) })
	}
}

// askAboutOwn asks the store until it answers, and removes the local instance
// if the store does not have it.
func (n *Node) verifyLocalRemoval(ctx context.Context, local fleet.Instance) {
	defer n.verifyingRemoval.Store(false)
	for {
		listCtx, cancel := context.WithTimeout(ctx, listTimeout)
		u, err := n.Source.List(listCtx)
		cancel()
		if err == nil {
			n.applyVerifiedRemoval(u, &local)
			return
		}
		if !sleep(ctx, storeRetryDelay) {
			return
		}
	}
}

// settleOwn removes the local instance unless a listing has it.
func (n *Node) applyVerifiedRemoval(u *Update, local *fleet.Instance) {
	for i := range u.Changes {
		if c := &u.Changes[i]; c.Kind == fleet.InstanceSet && c.Instance.ID == local.ID {
			return
		}
	}
	n.Log.Info("the store confirms that the local instance is gone", "instance", local.ID)
	n.updateMu.Lock()
	defer n.updateMu.Unlock()
	n.directory.Apply([]fleet.Change{{Kind: fleet.InstanceRemoved, ID: local.ID}})
}

package sidecar

import (
	"context"
	"slices"
	"time"

	"quetzaldock.example/quetzaldock/pkg/fleet"
)

// storeRetryDelay is the time between requests to the store about the local
// instance.
const storeRetryDelay = 500 * time.Millisecond

// holdLocalRemoval keeps the local instance if an update from another node
// removes it, until the store itself answers. The host may be cut off from the
// store: then the instance could not renew its entry, the entry expired, and the
// instance still serves. Requests of this host may use it meanwhile; other nodes
// send none. If the store confirms the removal, it is applied at once.
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

// verifyLocalRemoval asks the store until it answers, and removes the local
// instance if the store does not list it. After a restore an answer does not count
// until the instance has had time to write its entry again, nor does an answer of
// another era than what is applied.
func (n *Node) verifyLocalRemoval(ctx context.Context, local fleet.Instance) {
	defer n.verifyingRemoval.Store(false)
	list := n.Source.ListInstances
	if list == nil {
		list = n.Source.List
	}
	for {
		listCtx, cancel := context.WithTimeout(ctx, listTimeout)
		u, err := list(listCtx)
		cancel()
		if err == nil && n.isAppliedEra(u) && (lists(u, &local) || !n.directory.AwaitsRewrites()) {
			n.applyVerifiedRemoval(u, &local)
			return
		}
		if !sleep(ctx, storeRetryDelay) {
			return
		}
	}
}

// isAppliedEra reports whether an update is of the era that is applied. A state that
// came from a node of the build before eras has the era 0.
func (n *Node) isAppliedEra(u *Update) bool {
	applied := n.updateLog.Status().Era
	return applied == 0 || u.Era == applied
}

// applyVerifiedRemoval removes the local instance unless the listing contains it.
func (n *Node) applyVerifiedRemoval(u *Update, local *fleet.Instance) {
	if lists(u, local) {
		return
	}
	n.Log.Info("store confirmed that the local instance is gone, removing it", "instance", local.ID)
	n.updateMu.Lock()
	defer n.updateMu.Unlock()
	n.directory.Apply([]fleet.Change{{Kind: fleet.InstanceRemoved, ID: local.ID}})
}

// lists reports whether the update has an entry of the instance.
func lists(u *Update, i *fleet.Instance) bool {
	return slices.ContainsFunc(u.Changes, func(c fleet.Change) bool { return c.Kind == fleet.InstanceSet && c.Instance.ID == i.ID })
}

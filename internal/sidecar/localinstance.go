package sidecar

import (
	"context"
	"time"

	"quetzaldock.example/quetzaldock/pkg/fleet"
)

// ownRetry is the pause between two questions to the store about the local
// instance.
const ownRetry = 500 * time.Millisecond

// holdOwn takes the removal of the local instance out of an update of another
// node while this one cannot ask the store itself. The host may be cut off from
// the store; then the instance could not publish itself, its entry lapsed, and
// it serves as before. Requests of this host may go on to it; other nodes send
// none. A removal that the store confirms is applied at once.
func (n *Node) holdOwn(ctx context.Context, u *Update) {
	v := n.directory.View()
	own := v.ByAddress[n.settings().BackendAddress]
	if own == nil || own.State != fleet.Ready {
		return
	}
	kept := make([]fleet.Change, 0, len(u.Changes)+1)
	listed, gone := false, false
	for i := range u.Changes {
		c := &u.Changes[i]
		if c.Kind == fleet.InstanceRemoved && c.Reason == "" && c.ID == own.ID {
			gone = true
			continue
		}
		listed = listed || (c.Kind == fleet.InstanceSet && c.Instance.ID == own.ID)
		kept = append(kept, *c)
	}
	if u.Full && !listed {
		gone = true
		kept = append(kept, fleet.Change{Kind: fleet.InstanceSet, Instance: *own})
	}
	if !gone || listed {
		return
	}
	u.held = kept
	if n.asking.CompareAndSwap(false, true) {
		n.Log.Info("local instance is no longer published; asking the store", "instance", own.ID)
		n.duties.Go(func() { n.askAboutOwn(ctx, *own) })
	}
}

// askAboutOwn asks the store until it answers, and removes the local instance
// if the store does not have it.
func (n *Node) askAboutOwn(ctx context.Context, own fleet.Instance) {
	defer n.asking.Store(false)
	for {
		c, cancel := context.WithTimeout(ctx, listTimeout)
		u, err := n.Source.List(c)
		cancel()
		if err == nil {
			n.settleOwn(u, &own)
			return
		}
		if !sleep(ctx, ownRetry) {
			return
		}
	}
}

// settleOwn removes the local instance unless a listing has it.
func (n *Node) settleOwn(u *Update, own *fleet.Instance) {
	for i := range u.Changes {
		if c := &u.Changes[i]; c.Kind == fleet.InstanceSet && c.Instance.ID == own.ID {
			return
		}
	}
	n.Log.Info("the store confirms that the local instance is gone", "instance", own.ID)
	n.acceptMu.Lock()
	defer n.acceptMu.Unlock()
	n.directory.Apply([]fleet.Change{{Kind: fleet.InstanceRemoved, ID: own.ID}})
}

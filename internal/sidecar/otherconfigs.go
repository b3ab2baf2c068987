package sidecar

import (
	"context"
	"time"

	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// maxConfigReads is the number of other nodes whose configuration a node reads.
const maxConfigReads = 3

// readOtherConfigs puts the newest configuration of some other nodes in force if it
// is newer than the one that the store publishes. A store that has come back from
// an earlier copy publishes an older configuration than the nodes have in force
// until the operator writes the newer one again, and a node that has just started,
// or was cut off from the others, may not know that one.
func (n *Node) readOtherConfigs(ctx context.Context) {
	n.selectorMu.Lock()
	nodes := n.sourceSelector.Nodes()
	n.selectorMu.Unlock()
	// The order differs per node, so that not all read the same ones.
	nodes = hosts.Rank(n.settings().ControlAddress, nodes)
	read := 0
	for _, address := range nodes {
		if read == maxConfigReads || ctx.Err() != nil {
			return
		}
		listCtx, cancel := context.WithTimeout(ctx, listTimeout)
		u, err := n.readNodeState(listCtx, address)
		cancel()
		if err != nil {
			n.Log.Debug("configuration of another node cannot be read", "source", address, "error", err)
			continue
		}
		read++
		if u.Published != nil {
			n.updateMu.Lock()
			n.applyConfig(u.Published)
			n.updateMu.Unlock()
		}
	}
}

// readNodeState returns the full state of another node, however old. Versions of
// configurations only rise, so an old state does no harm.
func (n *Node) readNodeState(ctx context.Context, address string) (*Update, error) {
	r, err := n.controlClient.Updates(ctx, hosts.Host{ID: address, ControlAddress: address}, peer.UpdatesRequest{Whole: true})
	if err != nil {
		return nil, err
	}
	return mergeReply(r, time.Time{}, nil)
}

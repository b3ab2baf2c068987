package sidecar

import "context"

// maxStartConfigReads is the number of other nodes whose configuration a node
// reads after its start.
const maxStartConfigReads = 3

// readStartConfig puts the newest configuration of some other nodes in force if it
// is newer than the one that the store published at the start of this node. A store
// that has come back from an earlier copy publishes an older configuration than
// the nodes have in force until the operator writes the newer one again.
func (n *Node) readStartConfig(ctx context.Context) {
	n.selectorMu.Lock()
	nodes := n.sourceSelector.Nodes()
	n.selectorMu.Unlock()
	for _, address := range nodes[:min(len(nodes), maxStartConfigReads)] {
		listCtx, cancel := context.WithTimeout(ctx, listTimeout)
		u, err := n.nodeSource(address).List(listCtx)
		cancel()
		if err != nil {
			n.Log.Debug("configuration of another node cannot be read", "source", address, "error", err)
			continue
		}
		if u.Published != nil {
			n.updateMu.Lock()
			n.applyConfig(u.Published)
			n.updateMu.Unlock()
		}
	}
}

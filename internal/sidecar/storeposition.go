package sidecar

import "quetzaldock.example/quetzaldock/internal/operator"

// Reasons for which a position in the store is lost, in metrics.
const (
	reasonCompacted  = "Compacted"
	reasonEraChanged = "EraChanged"
)

// observeEra reports an answer of the store that is of another era than the one
// before.
func (n *Node) observeEra(u *Update) {
	n.storeStatusMu.Lock()
	last, known := n.storeStatus.Era, n.storeStatus.Revision > 0
	n.storeStatusMu.Unlock()
	if known && u.Era != last {
		n.recordPositionLost(reasonEraChanged)
		n.Log.Warn("store answers in another era", "era", u.Era, "applied_era", last, "revision", u.Revision, "full", u.Full)
	}
}

// recordPosition reports the position of an update that was applied.
func (n *Node) recordPosition(u *Update) {
	n.storeStatusMu.Lock()
	n.storeStatus.Era, n.storeStatus.Revision = u.Era, u.Revision
	n.storeStatusMu.Unlock()
	n.metrics.Scope().Gauge("store_era").Update(float64(u.Era))
	n.metrics.Scope().Gauge("store_revision").Update(float64(u.Revision))
}

// recordPositionLost counts the reads that ended because the store does not have
// this node's position any more.
func (n *Node) recordPositionLost(reason string) {
	n.storeStatusMu.Lock()
	n.storeStatus.PositionsLost++
	n.storeStatusMu.Unlock()
	n.metrics.Scope().Tagged(map[string]string{"reason": reason}).Counter("store_positions_lost").Inc(1)
}

func (n *Node) currentStoreStatus() *operator.StoreStatus {
	n.storeStatusMu.Lock()
	defer n.storeStatusMu.Unlock()
	s := n.storeStatus
	return &s
}

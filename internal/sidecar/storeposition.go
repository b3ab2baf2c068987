package sidecar

import "quetzaldock.example/quetzaldock/internal/operator"

// Reasons for which a position in the store is lost, in metrics.
const (
	reasonCompacted  = "Compacted"
	reasonEraChanged = "EraChanged"
)

// isRestored reports whether an update is the first full state that this node
// reads of a later era. The caller holds updateMu.
func (n *Node) isRestored(u *Update) bool {
	return u.Full && n.storeRead.Load() && u.Era > n.updateLog.Status().Era
}

// logRestore reports a restore of the store after its first full state has been
// applied.
func (n *Node) logRestore(u *Update) {
	applied, kept := n.updateLog.Status(), n.directory.Kept()
	n.Log.Warn("store has come back from an earlier copy", "era", u.Era, "revision", u.Revision,
		"applied_era", applied.Era, "applied_revision", applied.Revision, "missing", kept.Missing, "outdated", kept.Outdated, "zones", kept.Zones)
}

// recordPosition reports the position of an update that was applied.
func (n *Node) recordPosition(u *Update) {
	n.metrics.Scope().Gauge("store_era").Update(float64(u.Era))
	n.metrics.Scope().Gauge("store_revision").Update(float64(u.Revision))
}

// recordPositionLost counts the reads that ended because the store does not have
// this node's position any more.
func (n *Node) recordPositionLost(reason string) {
	n.positionsLost.Add(1)
	n.metrics.Scope().Tagged(map[string]string{"reason": reason}).Counter("store_positions_lost").Inc(1)
}

func (n *Node) storeStatus() *operator.StoreStatus {
	p, kept := n.updateLog.Status(), n.directory.Kept()
	return &operator.StoreStatus{
		Era: p.Era, Revision: p.Revision, PositionsLost: n.positionsLost.Load(),
		Missing: kept.Missing, Outdated: kept.Outdated,
	}
}

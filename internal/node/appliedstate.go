package node

import (
	"time"

	"quetzaldock.example/quetzaldock/pkg/balance"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fairadmission"
	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/idempotency"
)

// An appliedState is a configuration and a host list that were applied to the
// node's components, with values derived from them. It is not changed after it
// is stored in Node.applied.
type appliedState struct {
	snapshot  *config.Snapshot
	hostList  *hosts.List
	stopping  bool
	hostsByID map[string]hosts.Host
	hostIDs   []string
	witnesses *idempotency.WitnessSelector
	// zoneOutSince is when the node learned that its zone was taken out of
	// service; it is zero while the zone is in service.
	zoneOutSince time.Time
}

// apply applies a new configuration, a new host list or the start of a planned
// stop to the components. It does nothing if none of them changed.
func (n *Node) apply() {
	s, l := n.snapshot(), n.distributor.Replica.Hosts()
	if s == nil {
		return
	}
	if l == nil {
		l = &hosts.List{}
	}
	old, stopping := n.applied.Load(), n.stopping.Load()
	if old != nil && old.snapshot == s && old.hostList.Revision == l.Revision && old.stopping == stopping {
		return
	}
	v := &appliedState{snapshot: s, hostList: l, stopping: stopping, hostsByID: make(map[string]hosts.Host, len(l.Hosts))}
	for _, h := range l.Hosts {
		v.hostsByID[h.ID] = h
		v.hostIDs = append(v.hostIDs, h.ID)
	}
	v.witnesses = idempotency.NewWitnessSelector(s)
	if old != nil && old.snapshot == s {
		v.witnesses = old.witnesses
	}
	n.witness.Configure(v.witnesses, time.Now())
	if isZoneOut(s, n.Settings.Zone) {
		v.zoneOutSince = time.Now()
		if old != nil && !old.zoneOutSince.IsZero() {
			v.zoneOutSince = old.zoneOutSince
		}
	}
	n.applied.Store(v)
	if len(v.hostIDs) > 0 && (old == nil || len(old.hostIDs) == 0) {
		n.crashReports.RecordNodesKnown()
	}
	n.configureAdmission(v)
	n.chooser.SetTargets(v.balanceTargets(n.Settings.Host))
	for name := range s.Services {
		n.retryBudget.Configure(name, s.EffectiveValues(name, n.Settings.Zone, "").RetryPercent)
	}
	if old == nil || old.snapshot != s {
		n.configureFixedSplit(s)
	}
}

// configureAdmission sets the limits, account weights and state of the admission
// control.
func (n *Node) configureAdmission(v *appliedState) {
	e := v.snapshot.EffectiveValues(n.Settings.Service, n.Settings.Zone, "")
	weights := make(map[string]float64, len(v.snapshot.Accounts))
	for a := range v.snapshot.Accounts {
		weights[a] = v.snapshot.EffectiveValues("", "", a).Rate
	}
	n.admission.Configure(fairadmission.Limits{
		Slots: e.Slots, ColdSlots: e.ColdSlots, ConnectionsPerSecond: e.ConnectionsPerSecond,
		QueuePerAccount: e.QueuePerAccount, Weights: weights,
	})
	n.admission.SetState(n.admissionState(v))
}

// admissionState derives the state of the admission control.
func (n *Node) admissionState(v *appliedState) fairadmission.State {
	h := v.snapshot.Hosts[n.Settings.Host]
	switch {
	case v.stopping || v.hostsByID[n.Settings.Host].State == hosts.Leaving:
		return fairadmission.StateLeaving
	case !v.zoneOutSince.IsZero():
		return fairadmission.StateZoneOut
	case h != nil && h.Out:
		return fairadmission.StateHostOut
	default:
		return fairadmission.StateOpen
	}
}

// balanceTargets returns the listed hosts, each with whether it is leaving or
// was taken out of service by the configuration.
func (v *appliedState) balanceTargets(self string) []balance.Target {
	out := make([]balance.Target, 0, len(v.hostList.Hosts))
	for _, h := range v.hostList.Hosts {
		p := v.snapshot.Hosts[h.ID]
		out = append(out, balance.Target{
			ID: h.ID, Service: h.Service, Zone: h.Zone, CallAddress: h.CallAddress,
			OutOfService: isZoneOut(v.snapshot, h.Zone) || (p != nil && p.Out),
			Leaving:      h.State == hosts.Leaving || (h.ID == self && v.stopping),
		})
	}
	return out
}

func isZoneOut(s *config.Snapshot, zone string) bool {
	z := s.Zones[zone]
	return z != nil && z.Out
}

package node

import (
	"time"

	"quetzaldock.example/quetzaldock/pkg/balance"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fairadmission"
	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/idempotency"
)

// A view is the configuration and host list that the node has applied. It is
// never changed after it was stored.
type view struct {
	snapshot *config.Snapshot
	list     *hosts.List
	stopping bool
	byID     map[string]hosts.Host
	panel    *idempotency.WitnessSelector
	// zoneOutSince is when the node learned that its zone was taken out; zero
	// while the zone is in.
	zoneOutSince time.Time
}

// apply hands a new configuration or host list to the gate, the chooser and
// the retry budget.
func (n *Node) apply() {
	s, l := n.snapshot(), n.distributor.Replica.Hosts()
	if s == nil {
		return
	}
	if l == nil {
		l = &hosts.List{}
	}
	old, stopping := n.view.Load(), n.stopping.Load()
	if old != nil && old.snapshot == s && old.list.Revision == l.Revision && old.stopping == stopping {
		return
	}
	v := &view{snapshot: s, list: l, stopping: stopping, byID: make(map[string]hosts.Host, len(l.Hosts))}
	for _, h := range l.Hosts {
		v.byID[h.ID] = h
	}
	v.panel = idempotency.NewWitnessSelector(s)
	if old != nil && old.snapshot == s {
		v.panel = old.panel
	}
	n.witness.Configure(v.panel, time.Now())
	if isZoneOut(s, n.Settings.Zone) {
		v.zoneOutSince = time.Now()
		if old != nil && !old.zoneOutSince.IsZero() {
			v.zoneOutSince = old.zoneOutSince
		}
	}
	n.view.Store(v)
	n.applyGate(v)
	n.chooser.SetTargets(v.targets(n.Settings.Host))
	for name := range s.Services {
		n.budget.Configure(name, s.EffectiveValues(name, n.Settings.Zone, "").RetryPercent)
	}
	if old == nil || old.snapshot != s {
		n.configureQuota(s)
	}
}

func (n *Node) applyGate(v *view) {
	e := v.snapshot.EffectiveValues(n.Settings.Service, n.Settings.Zone, "")
	w := make(map[string]float64, len(v.snapshot.Accounts))
	for a := range v.snapshot.Accounts {
		w[a] = v.snapshot.EffectiveValues("", "", a).Rate
	}
	n.gate.Configure(fairadmission.Limits{
		Slots: e.Slots, ColdSlots: e.ColdSlots, ConnectionsPerSecond: e.ConnectionsPerSecond,
		QueuePerAccount: e.QueuePerAccount, Weights: w,
	})
	n.gate.SetState(n.gateState(v))
}

// gateState derives the gate's state from the configuration and the host list.
func (n *Node) gateState(v *view) fairadmission.State {
	h := v.snapshot.Hosts[n.Settings.Host]
	switch {
	case v.stopping || v.byID[n.Settings.Host].State == hosts.Leaving:
		return fairadmission.StateLeaving
	case !v.zoneOutSince.IsZero():
		return fairadmission.StateZoneOut
	case h != nil && h.Out:
		return fairadmission.StateHostOut
	default:
		return fairadmission.StateOpen
	}
}

// targets joins the host list with what the configuration takes out.
func (v *view) targets(self string) []balance.Target {
	out := make([]balance.Target, 0, len(v.list.Hosts))
	for _, h := range v.list.Hosts {
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

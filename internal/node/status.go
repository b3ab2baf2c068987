package node

import (
	"sort"
	"time"

	"quetzaldock.example/quetzaldock/internal/operator"
	"quetzaldock.example/quetzaldock/pkg/fairadmission"
)

// Status returns what the operator port shows.
func (n *Node) Status() operator.Status {
	s := operator.Status{
		Host: n.Settings.Host, Service: n.Settings.Service, Zone: n.Settings.Zone,
		Stopping: n.stopping.Load(), Latencies: n.metrics.Latencies(),
		Control: operator.ControlStatus{
			BytesIn: n.meter.ReceivedBytes.Load(), BytesOut: n.meter.SentBytes.Load(),
			SourceReads: n.source.Calls(), Seconds: time.Since(n.started).Seconds(),
		},
	}
	r := n.distributor.Replica
	m := r.ExchangeReply().Summary
	s.Floor, s.ConfirmedAgeMs, s.HostsRevision, s.Refusals = r.Floor(), m.ConfirmedAgeMs, m.HostsRevision, m.Refused
	s.KeyedAllowed = r.KeyedAllowed(r.Now())
	for _, f := range r.Refusals() {
		s.Refused = append(s.Refused, operator.RefusedVersion{Version: f.Version, Digest: f.Digest, Reason: f.Reason})
	}
	n.gateStatus(&s)
	v := n.view.Load()
	if v == nil {
		return s
	}
	s.Ready, s.Version, s.Digest = true, v.snapshot.Version, v.snapshot.Digest
	for name, z := range v.snapshot.Zones {
		if z.Out {
			s.ZonesOut = append(s.ZonesOut, name)
		}
	}
	for id, h := range v.snapshot.Hosts {
		if h.Out {
			s.HostsOut = append(s.HostsOut, id)
		}
	}
	sort.Strings(s.ZonesOut)
	sort.Strings(s.HostsOut)
	s.Accounts = n.accountStatus(v)
	return s
}

func (n *Node) gateStatus(s *operator.Status) {
	l := n.gate.Load()
	s.Gate = operator.GateStatus{State: "Open", Running: l.Running, Permits: l.Permits, Queued: l.Queued, Connections: n.backend.Pool.OpenConnections()}
	if v := n.view.Load(); v != nil {
		s.Gate.State = stateNames[n.gateState(v)]
	}
}

var stateNames = map[fairadmission.State]string{
	fairadmission.StateOpen: "Open", fairadmission.StateDraining: "Draining", fairadmission.StateZoneOut: "ZoneOut",
	fairadmission.StateHostOut: "HostOut", fairadmission.StateLeaving: "Leaving",
}

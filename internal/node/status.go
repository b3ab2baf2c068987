package node

import (
	"sort"
	"time"

	"quetzaldock.example/quetzaldock/internal/operator"
	"quetzaldock.example/quetzaldock/pkg/fairadmission"
)

// Status returns the status that the operator listener serves.
func (n *Node) Status() operator.Status {
	s := operator.Status{
		Host: n.Settings.Host, Service: n.Settings.Service, Zone: n.Settings.Zone,
		Stopping: n.stopping.Load(), Latencies: n.metrics.Latencies(),
		Control: operator.ControlStatus{
			BytesIn: n.controlMeter.ReceivedBytes.Load(), BytesOut: n.controlMeter.SentBytes.Load(),
			SourceReads: n.source.Calls(), Seconds: time.Since(n.startedAt).Seconds(),
		},
	}
	r := n.distributor.Replica
	summary := r.ExchangeReply().Summary
	s.Floor, s.ConfirmedAgeMs, s.HostsRevision, s.Refusals = r.Floor(), summary.ConfirmedAgeMs, summary.HostsRevision, summary.Refused
	s.KeyedAllowed = r.KeyedAllowed(r.Now())
	for _, refusal := range r.Refusals() {
		s.Refused = append(s.Refused, operator.RefusedVersion{Version: refusal.Version, Digest: refusal.Digest, Reason: refusal.Reason})
	}
	n.setAdmissionStatus(&s)
	v := n.applied.Load()
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
	s.Accounts, s.Quarantines = n.accountStatuses(v), n.crashes.Status()
	return s
}

// setAdmissionStatus sets the state and load of the admission control.
func (n *Node) setAdmissionStatus(s *operator.Status) {
	l := n.admission.Load()
	s.Gate = operator.GateStatus{State: "Open", Running: l.Running, Permits: l.Permits, Queued: l.Queued, Connections: n.backend.Pool.OpenConnections()}
	if v := n.applied.Load(); v != nil {
		s.Gate.State = admissionStateNames[n.admissionState(v)]
	}
}

// admissionStateNames holds the names of the states in operator.GateStatus.
var admissionStateNames = map[fairadmission.State]string{
	fairadmission.StateOpen: "Open", fairadmission.StateDraining: "Draining", fairadmission.StateZoneOut: "ZoneOut",
	fairadmission.StateHostOut: "HostOut", fairadmission.StateLeaving: "Leaving",
}

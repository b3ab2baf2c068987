package sidecar

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"quetzaldock.example/quetzaldock/internal/operator"
	"quetzaldock.example/quetzaldock/pkg/balance"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
	"quetzaldock.example/quetzaldock/pkg/ratelimit"
)

// Drain starts a planned stop, like the end of Run's context.
func (n *Node) Drain() { n.drainOnce.Do(func() { close(n.drain) }) }

// operatorHandler serves status, metrics, log level, drain and the explanation of requests.
func (n *Node) operatorHandler() http.Handler {
	return (&operator.Server{Status: n.Status, Metrics: n.metrics, Level: n.Level, Drain: n.Drain, Route: n.explainRoute}).Handler()
}

// Status returns the state of the node and the age of what it knows.
func (n *Node) Status() operator.Status {
	current := n.settings()
	s := operator.Status{
		Host: current.Host, Service: current.Service, Zone: current.Zone,
		Stopping: n.stopping.Load(), Latencies: n.metrics.Latencies(), ConfirmedAgeMs: -1,
		Control: operator.ControlStatus{Seconds: time.Since(n.startedAt).Seconds()}, Store: n.storeStatus(),
	}
	from, _ := n.nextSource()
	s.Source = sourceName(from)
	if p := n.updateLog.Status(); p.Revision > 0 {
		s.ConfirmedAgeMs = p.Age.Milliseconds()
	}
	l := n.admission.Load()
	s.Gate = operator.GateStatus{
		State: n.admissionState(), Running: l.Running, Permits: l.Permits, Queued: l.Queued, Connections: n.localBackend.pool.OpenConnections() + n.healthPool.OpenConnections(),
		Pace: n.localBackend.load.status(),
	}
	v := n.snapshot.Load()
	if v == nil {
		return s
	}
	s.Ready, s.KeyedAllowed, s.Version, s.Digest = n.storeRead.Load(), true, v.Version, v.Digest
	for zone := range n.directory.View().ZonesOut {
		s.ZonesOut = append(s.ZonesOut, zone)
	}
	slices.Sort(s.ZonesOut)
	s.Accounts, s.Instances, s.Quarantines = n.accountStatus(), n.instanceStatus(), n.crashes.Status()
	return s
}

// admissionState names the state of admission for operators.
func (n *Node) admissionState() string {
	switch r := n.admission.ClosedReason(); {
	case r != "":
		return string(r)
	case n.admission.Cold():
		return "Cold"
	}
	return "Open"
}

func (n *Node) accountStatus() []operator.AccountStatus {
	all := []operator.AccountStatus{}
	n.rateLimiter.EachAccount(func(name string, l ratelimit.Limit, b ratelimit.Bucket) {
		all = append(all, operator.AccountStatus{
			Account: name, Rate: l.Rate, Burst: l.Burst, Capacity: b.Capacity, Tokens: b.Tokens,
			Admitted: b.Admitted, Refused: b.Refused,
		})
	})
	slices.SortFunc(all, func(a, b operator.AccountStatus) int { return cmp.Compare(a.Account, b.Account) })
	return all
}

func (n *Node) instanceStatus() []operator.InstanceStatus {
	var all []operator.InstanceStatus
	for _, b := range n.chooser.HostStatuses() {
		i := operator.InstanceStatus{
			ID: b.ID, Service: b.Service, Zone: b.Zone, Address: b.CallAddress, State: targetState(&b),
			InFlight: b.InFlight, Load: b.Load, LatencyMs: b.Latency.Milliseconds(), ObservedAgeMs: -1,
		}
		if !b.ObservedAt.IsZero() {
			i.ObservedAgeMs = time.Since(b.ObservedAt).Milliseconds()
		}
		all = append(all, i)
	}
	slices.SortFunc(all, func(a, b operator.InstanceStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return all
}

func targetState(b *balance.HostStatus) string {
	switch {
	case b.OutOfService:
		return string(priorityadmission.ZoneOut)
	case b.Leaving:
		return string(priorityadmission.Draining)
	}
	return "Ready"
}

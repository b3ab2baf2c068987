package node

import (
	"context"
	"time"

	"quetzaldock.example/quetzaldock/internal/crash"
	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/fairadmission"
	"quetzaldock.example/quetzaldock/pkg/quarantine"
)

// buildCrashDetector creates the detector of crashes of the backend server and the
// exchange of crash reports with the nodes of the host list.
func (n *Node) buildCrashDetector() {
	table := quarantine.New()
	n.crashReports = crash.NewReports(table, n.Settings.Host, n.hostIDs, n.exchangeReports)
	n.controlServer.Reports = n.crashReports.Serve
	// The admission control may allow no connection just after one was closed, so the
	// detector opens its own. They are not kept.
	probe := http1.NewPool(n.Settings.BackendAddress)
	probe.MaxIdle = 0
	n.crashes = &crash.Detector{
		Table: table, Log: n.Log, Now: time.Now, Reconnect: probe.Reconnect, Dial: probe.Dial,
		Expected: n.backendEndExpected, Zone: func() string { return n.Settings.Zone }, OnChange: n.crashReports.Spread,
	}
}

// hostIDs returns the IDs of all hosts in the host list.
func (n *Node) hostIDs() []string {
	if v := n.applied.Load(); v != nil {
		return v.hostIDs
	}
	return nil
}

// exchangeReports calls the node of a host.
func (n *Node) exchangeReports(ctx context.Context, to string, in peer.ReportsRequest) (peer.ReportsReply, error) {
	h, ok := n.hostByID(to)
	if !ok {
		return peer.ReportsReply{}, peer.Unreachable.New("host %q is no longer in the host list", to)
	}
	return n.controlClient.Reports(ctx, h, in)
}

// backendEndExpected reports whether the backend server may be ended on purpose.
func (n *Node) backendEndExpected() bool {
	v := n.applied.Load()
	if v == nil || n.stopping.Load() {
		return true
	}
	_, listed := v.hostsByID[n.Settings.Host]
	return !listed || n.admissionState(v) != fairadmission.StateOpen
}

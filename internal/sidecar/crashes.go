package sidecar

import (
	"context"
	"net/http"
	"time"

	"quetzaldock.example/quetzaldock/internal/crash"
	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
	"quetzaldock.example/quetzaldock/pkg/quarantine"
)

// quarantined is the reason for a request that was not sent because it has crashed
// several backend servers.
const quarantined priorityadmission.Reason = crash.Quarantined

func (n *Node) newCrashDetector() *crash.Detector {
	return &crash.Detector{
		Table: n.quarantines, Log: n.Log, Now: time.Now, Reconnect: n.localBackend.pool.Reconnect, Dial: n.localBackend.pool.Dial,
		Expected: n.endExpected, Zone: func() string { return n.settings().Zone }, OnChange: n.crashReports.Spread,
	}
}

// quarantineRefusal returns the refusal of a request if it is quarantined, otherwise
// nil.
func (h *HeaderNames) quarantineRefusal(d *crash.Detector, f quarantine.Fingerprint, r *http.Request) *priorityadmission.Refusal {
	if after, refused := d.Refuse(f, r.Header.Get(h.RequestID), requestTarget(r)); refused {
		return &priorityadmission.Refusal{Reason: quarantined, RetryAfter: after}
	}
	return nil
}

// crashRequest describes a request for crash reports.
func (h *HeaderNames) crashRequest(r *InstanceRequest) crash.Request {
	return crash.Request{
		ID: r.Header.Get(h.RequestID), Instance: r.Instance, Fingerprint: r.Fingerprint, HasBody: r.BodyLength != 0, Deadline: r.Deadline,
		Identity: func() *quarantine.Request { return h.identity(r.Original, r.Header) },
	}
}

// exchangeReports calls the node at a control address.
func (n *Node) exchangeReports(ctx context.Context, to string, in peer.ReportsRequest) (peer.ReportsReply, error) {
	return n.controlClient.Reports(ctx, hosts.Host{ID: to, ControlAddress: to}, in)
}

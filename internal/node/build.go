package node

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"quetzaldock.example/quetzaldock/internal/backend"
	"quetzaldock.example/quetzaldock/internal/caller"
	"quetzaldock.example/quetzaldock/internal/configservice"
	"quetzaldock.example/quetzaldock/internal/distribution"
	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/internal/operator"
	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/internal/peercall"
	"quetzaldock.example/quetzaldock/pkg/balance"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fairadmission"
	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/idempotency"
)

// build makes the parts of the node and joins them.
func (n *Node) build() error {
	if err := n.loadTLS(); err != nil {
		return err
	}
	n.started = time.Now()
	n.metrics = operator.NewMetrics()
	n.buildControl()
	n.buildGate()
	n.buildCaller()
	n.buildQuota()
	return nil
}

func (n *Node) buildControl() {
	n.meter = &peer.Meter{}
	n.control = &peer.Client{TLS: n.TLS, Meter: n.meter}
	n.source = configservice.New(n.Settings.PlatformURL)
	n.distributor = distribution.New(n.HostEntry(), n.Settings.Seeds, n.source, n.control, n.Log)
	n.distributor.Replica.FleetHint = n.Settings.FleetHint
	n.controlIn = &peer.Server{
		TLS: n.TLS, Meter: n.meter, Log: n.Log,
		Exchange: n.distributor.HandleExchange, Push: n.distributor.HandlePush, Pull: n.distributor.HandlePull,
	}
}

func (n *Node) buildGate() {
	n.gate = fairadmission.New()
	p := http1.NewPool(n.Settings.BackendAddress)
	p.OnIdleClosed = func(k int) {
		for range k {
			n.gate.IdleConnectionClosed()
		}
	}
	p.Dial = func(ctx context.Context) (net.Conn, error) {
		if err := n.gate.WaitToDial(ctx); err != nil {
			return nil, err
		}
		var d net.Dialer
		return d.DialContext(ctx, "tcp", n.Settings.BackendAddress)
	}
	n.backend = &backend.Proxy{
		Host: n.Settings.Host, Service: n.Settings.Service, Admission: n.gate,
		Pool: p, RunningCalls: backend.NewRunningCalls(), Snapshot: n.snapshot, WaitForVersion: n.waitVersion, Now: time.Now,
	}
}

func (n *Node) buildCaller() {
	n.chooser = balance.New(n.Settings.Zone)
	n.budget = balance.NewRetryBudget()
	n.buildClaims()
	n.calls = peercall.NewClient()
	n.calls.StartedAt = n.started
	if n.TLS != nil {
		n.calls.TLS = func(host string) *tls.Config { return n.TLS.ClientConfig(host, "http/1.1") }
	}
	n.calls.OnVersion = n.distributor.Replica.RaiseFloor
	n.handler = &caller.Handler{
		Snapshot:         n.snapshot,
		WaitForVersion:   func(ctx context.Context) bool { return n.waitVersion(ctx, 0) },
		KeyedAllowed:     func() bool { return n.distributor.Replica.KeyedAllowed(time.Now()) },
		Charge:           n.charge,
		RunningCalls:     n.backend.RunningCalls,
		CloseConnections: n.closing,
		RefusalReason:    n.refuse,
		Observe: func(o caller.Observation) {
			n.metrics.Observe(o.Account, o.Route, o.Status, o.RefusalReason, o.Latency)
		},
		Zone: n.Settings.Zone, Now: time.Now,
		Dispatcher: &caller.Dispatcher{
			HostID: n.Settings.Host, Chooser: n.chooser, Budget: n.budget,
			KeyClaimer: n.claims, RunLocal: n.backend.Do, LocalLoad: n.localLoad, PeerClient: n.calls, Now: time.Now,
		},
	}
}

func (n *Node) snapshot() *config.Snapshot { return n.distributor.Replica.Current() }

func (n *Node) version() uint64 {
	if v := n.snapshot(); v != nil {
		return v.Version
	}
	return 0
}

// waitVersion raises the version floor to v and waits until the floor is in
// force. It reports false if new work has to be refused.
func (n *Node) waitVersion(ctx context.Context, v uint64) bool {
	r := n.distributor.Replica
	r.RaiseFloor(v)
	if r.Current() == nil || !r.Behind(r.Now()) {
		return true
	}
	c, cancel := context.WithTimeout(ctx, versionWait)
	defer cancel()
	return n.distributor.AwaitFloor(c)
}

func (n *Node) localLoad() peercall.Load {
	l := n.gate.Load()
	return peercall.Load{Running: l.Running, Permits: l.Permits, Queued: l.Queued, Known: true}
}

// closing reports whether callers are asked to connect elsewhere.
func (n *Node) closing() bool {
	v := n.view.Load()
	return n.stopping.Load() || (v != nil && !v.zoneOutSince.IsZero())
}

// refuse gives the reason to refuse new calls of callers, or "".
func (n *Node) refuse() string {
	v := n.view.Load()
	if v != nil && !v.zoneOutSince.IsZero() && time.Now().After(v.zoneOutSince.Add(zoneOutGrace)) {
		return string(fairadmission.ZoneOut)
	}
	return ""
}

// listed returns the host list's entry of a host.
func (n *Node) listed(host string) (hosts.Host, bool) {
	v := n.view.Load()
	if v == nil {
		return hosts.Host{}, false
	}
	h, ok := v.byID[host]
	return h, ok
}

func (n *Node) buildClaims() {
	n.witness = idempotency.NewWitness(n.Settings.Host)
	n.claims = caller.NewKeyClaimer()
	n.claims.HostID, n.claims.Witness = n.Settings.Host, n.witness
	n.claims.Host, n.claims.Send = n.listed, n.control.Claim
	n.claims.Selector = func() *idempotency.WitnessSelector {
		if v := n.view.Load(); v != nil {
			return v.panel
		}
		return &idempotency.WitnessSelector{}
	}
	n.controlIn.Claim = n.handleClaim
}

func (n *Node) handleClaim(_ context.Context, _ string, in peer.ClaimRequest) (peer.ClaimReply, error) {
	if in.Ended {
		n.witness.Finish(in.Key, in.Holder, in.Outcome, in.Status)
		return peer.ClaimReply{}, nil
	}
	return peer.ClaimReply{Answer: n.witness.Claim(in.Key, in.Holder, time.Now())}, nil
}

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

// build creates the components of the node and connects them.
func (n *Node) build() error {
	if err := n.loadTLS(); err != nil {
		return err
	}
	n.startedAt = time.Now()
	n.metrics = operator.NewMetrics()
	n.clientLimits = n.newClientLimits()
	n.buildControl()
	n.buildCrashDetector()
	n.buildBackendProxy()
	n.buildCallerHandler()
	n.buildQuota()
	return nil
}

// buildControl creates the client and server of control messages and the
// distribution of the configuration.
func (n *Node) buildControl() {
	n.controlMeter = &peer.Meter{}
	n.controlClient = &peer.Client{TLS: n.TLS, Meter: n.controlMeter}
	n.source = configservice.New(n.Settings.PlatformURL)
	n.distributor = distribution.New(n.HostEntry(), n.Settings.Seeds, n.source, n.controlClient, n.Log)
	n.distributor.Replica.FleetHint = n.Settings.FleetHint
	n.controlServer = &peer.Server{
		TLS: n.TLS, Meter: n.controlMeter, Log: n.Log, Connections: n.clientLimits.control, OnLimit: n.clientLimits.reporter.For("control"),
		Exchange: n.distributor.HandleExchange, Push: n.distributor.HandlePush, Pull: n.distributor.HandlePull,
	}
}

// buildBackendProxy creates the proxy of the backend server. The admission
// control paces new connections to the server and is told of idle connections
// that the server closed.
func (n *Node) buildBackendProxy() {
	n.admission = fairadmission.New()
	pool := http1.NewPool(n.Settings.BackendAddress)
	pool.OnIdleClosed = func(count int) {
		for range count {
			n.admission.IdleConnectionClosed()
		}
	}
	pool.Dial = func(ctx context.Context) (net.Conn, error) {
		if err := n.admission.WaitToDial(ctx); err != nil {
			return nil, err
		}
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", n.Settings.BackendAddress)
	}
	n.backend = &backend.Proxy{
		Host: n.Settings.Host, Service: n.Settings.Service, Admission: n.admission,
		Pool: pool, RunningCalls: backend.NewRunningCalls(), Snapshot: n.snapshot, WaitForVersion: n.waitForVersion, Now: time.Now,
		Crashes: n.crashes,
	}
}

// buildCallerHandler creates the handler of callers' requests and the client for
// calls to other nodes.
func (n *Node) buildCallerHandler() {
	n.chooser = balance.New(n.Settings.Zone)
	n.retryBudget = balance.NewRetryBudget()
	n.buildKeyClaimer()
	n.callClient = peercall.NewClient()
	n.callClient.StartedAt = n.startedAt
	if n.TLS != nil {
		n.callClient.TLS = func(host string) *tls.Config { return n.TLS.ClientConfig(host, "http/1.1") }
	}
	n.callClient.OnVersion = n.distributor.Replica.RaiseFloor
	n.callerHandler = &caller.Handler{
		Snapshot:         n.snapshot,
		WaitForVersion:   func(ctx context.Context) bool { return n.waitForVersion(ctx, 0) },
		KeyedAllowed:     func() bool { return n.distributor.Replica.KeyedAllowed(time.Now()) },
		Charge:           n.charge,
		RunningCalls:     n.backend.RunningCalls,
		CloseConnections: n.closesCallerConnections,
		RefusalReason:    n.refusalReason,
		Observe: func(o caller.Observation) {
			n.metrics.Observe(o.Account, o.Route, o.Status, o.RefusalReason, o.Latency)
		},
		Zone: n.Settings.Zone, Now: time.Now,
		Dispatcher: &caller.Dispatcher{
			HostID: n.Settings.Host, Chooser: n.chooser, Budget: n.retryBudget,
			KeyClaimer: n.keyClaimer, RunLocal: n.backend.Do, LocalLoad: n.admissionLoad, PeerClient: n.callClient, Now: time.Now,
			Crashes: n.crashes,
		},
	}
}

// snapshot returns the configuration in force, or nil before the first one.
func (n *Node) snapshot() *config.Snapshot { return n.distributor.Replica.Current() }

// configVersion returns the version of the configuration in force, or 0 before
// the first one.
func (n *Node) configVersion() uint64 {
	if v := n.snapshot(); v != nil {
		return v.Version
	}
	return 0
}

// waitForVersion raises the version floor to the given version and waits until
// the version in force has reached the floor. It returns false if a new call has
// to be refused.
func (n *Node) waitForVersion(ctx context.Context, version uint64) bool {
	r := n.distributor.Replica
	r.RaiseFloor(version)
	if r.Current() == nil || !r.Behind(r.Now()) {
		return true
	}
	c, cancel := context.WithTimeout(ctx, maxVersionWait)
	defer cancel()
	return n.distributor.AwaitFloor(c)
}

// admissionLoad returns the load of this host in the form that other nodes
// report.
func (n *Node) admissionLoad() peercall.Load {
	l := n.admission.Load()
	return peercall.Load{Running: l.Running, Permits: l.Permits, Queued: l.Queued, Known: true}
}

// closesCallerConnections reports whether callers are asked to connect to
// another node.
func (n *Node) closesCallerConnections() bool {
	v := n.applied.Load()
	return n.stopping.Load() || (v != nil && !v.zoneOutSince.IsZero())
}

// refusalReason returns the reason to refuse new requests of callers, or "" if
// they are accepted.
func (n *Node) refusalReason() string {
	v := n.applied.Load()
	if v != nil && !v.zoneOutSince.IsZero() && time.Now().After(v.zoneOutSince.Add(zoneOutGrace)) {
		return string(fairadmission.ZoneOut)
	}
	return ""
}

// hostByID returns the entry of a host in the host list.
func (n *Node) hostByID(host string) (hosts.Host, bool) {
	v := n.applied.Load()
	if v == nil {
		return hosts.Host{}, false
	}
	h, ok := v.hostsByID[host]
	return h, ok
}

// buildKeyClaimer creates this host's witness of idempotency keys and the client
// that claims keys from all witnesses.
func (n *Node) buildKeyClaimer() {
	n.witness = idempotency.NewWitness(n.Settings.Host)
	n.keyClaimer = caller.NewKeyClaimer()
	n.keyClaimer.HostID, n.keyClaimer.Witness = n.Settings.Host, n.witness
	n.keyClaimer.Host, n.keyClaimer.Send = n.hostByID, n.controlClient.Claim
	n.keyClaimer.Selector = func() *idempotency.WitnessSelector {
		if v := n.applied.Load(); v != nil {
			return v.witnesses
		}
		return &idempotency.WitnessSelector{}
	}
	n.controlServer.Claim = n.handleClaim
}

// handleClaim passes the claim of another node, or the end of its request, to
// this host's witness.
func (n *Node) handleClaim(_ context.Context, _ string, in peer.ClaimRequest) (peer.ClaimReply, error) {
	if in.Ended {
		n.witness.Finish(in.Key, in.Holder, in.Outcome, in.Status)
		return peer.ClaimReply{}, nil
	}
	return peer.ClaimReply{Answer: n.witness.Claim(in.Key, in.Holder, time.Now())}, nil
}

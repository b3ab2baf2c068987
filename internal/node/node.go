// Package node joins the parts of quetzaldock into the process that runs
// beside a backend server.
package node

import (
	"context"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"quetzaldock.example/quetzaldock/internal/backend"
	"quetzaldock.example/quetzaldock/internal/caller"
	"quetzaldock.example/quetzaldock/internal/configservice"
	"quetzaldock.example/quetzaldock/internal/distribution"
	"quetzaldock.example/quetzaldock/internal/operator"
	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/internal/peercall"
	"quetzaldock.example/quetzaldock/internal/tlsfiles"
	"quetzaldock.example/quetzaldock/pkg/balance"
	"quetzaldock.example/quetzaldock/pkg/fairadmission"
	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/idempotency"
	"quetzaldock.example/quetzaldock/pkg/quota"
)

const (
	// gateTick is the interval of the gate's clock and of the sweep of
	// connections. The gate takes a late tick for a pause of the process.
	gateTick = 100 * time.Millisecond
	// versionWait bounds how long a call waits for the version floor.
	versionWait = 500 * time.Millisecond
	// zoneOutGrace is how long a node in a zone that was taken out goes on
	// forwarding its callers' requests while it asks them to connect elsewhere.
	zoneOutGrace = 3 * time.Second
	// leaveNotice is how long a stopping node goes on listening, so that other
	// nodes and callers learn that it leaves before its addresses close. Members
	// of its group report about once a second and fetch their quota in two
	// reports.
	leaveNotice = 2 * time.Second
	// headerTimeout bounds how long a request's header may take to arrive.
	headerTimeout = 5 * time.Second
	// callerIdle is how long an unused caller's connection is kept.
	callerIdle = 2 * time.Minute
	// backendIdle is how long an unused connection to the backend server is
	// kept. It exceeds the time after which an idle gate turns cold, since
	// closed idle connections are evidence of a restart.
	backendIdle = time.Minute
	// maxHeaderBytes bounds the header of any request. It is above the largest
	// MaxHeaderBytes of a configuration, whose refusal says that the request did
	// not run.
	maxHeaderBytes = 96 << 10
)

// A Node is one process beside a backend server. Its exported fields are set
// before Bind.
type Node struct {
	Settings Settings
	Log      *slog.Logger
	// Level is the level of Log that operators may change.
	Level *slog.LevelVar
	// TLS is the node's certificate and the authority of the mesh. It takes the
	// place of Settings.TLS if set.
	TLS *tlsfiles.Identity
	// FixedSplit replaces lent shares of the rate by fixed ones, for
	// experiments.
	FixedSplit bool

	listeners listeners
	started   time.Time
	// stopping is set by a planned stop and never unset.
	stopping atomic.Bool
	drain    chan struct{}
	once     sync.Once

	// view is what the node last applied; nil before the first configuration.
	view atomic.Pointer[view]

	metrics     *operator.Metrics
	distributor *distribution.Distributor
	source      *configservice.Client
	control     *peer.Client
	controlIn   *peer.Server
	meter       *peer.Meter
	calls       *peercall.Client
	gate        *fairadmission.Controller
	witness     *idempotency.Witness
	claims      *caller.KeyClaimer
	chooser     *balance.Chooser
	budget      *balance.RetryBudget
	backend     *backend.Proxy
	handler     *caller.Handler
	quota       *quota.Runner
	fixed       *quota.FixedSplit
	ledger      *quota.Limiter
	charges     charges
}

// listeners holds the bound addresses.
type listeners struct {
	caller, call, control, operator net.Listener
}

// New returns a node for the settings.
func New(s Settings) *Node {
	l := new(slog.LevelVar)
	_ = l.UnmarshalText([]byte(s.LogLevel))
	return &Node{
		Settings: s, Level: l, drain: make(chan struct{}),
		Log: slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: l})),
	}
}

// Bind opens the listeners. The control listener comes first: it keeps two
// processes of one host from spending the same share. Run binds if Bind was
// not called. The error is of type ListenFailed.
func (n *Node) Bind() error {
	for _, l := range []struct {
		to   *net.Listener
		addr *string
	}{
		{&n.listeners.control, &n.Settings.ControlAddress},
		{&n.listeners.call, &n.Settings.CallAddress},
		{&n.listeners.operator, &n.Settings.OperatorAddress},
		{&n.listeners.caller, &n.Settings.CallerAddress},
	} {
		b, err := net.Listen("tcp", *l.addr)
		if err != nil {
			n.closeListeners()
			return ListenFailed.Wrap(err, "cannot listen on %s", *l.addr)
		}
		*l.to, *l.addr = b, b.Addr().String()
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.listeners.control, n.listeners.call, n.listeners.operator, n.listeners.caller} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Self returns the node's entry for the platform's host list. After Bind it
// holds the addresses that are bound.
func (n *Node) HostEntry() hosts.Host {
	s := &n.Settings
	return hosts.Host{
		ID: s.Host, Service: s.Service, Zone: s.Zone, State: hosts.Live,
		CallAddress: s.CallAddress, ControlAddress: s.ControlAddress,
	}
}

// Drain starts a planned stop, as the end of Run's context does.
func (n *Node) Drain() { n.once.Do(func() { close(n.drain) }) }

// Run serves until ctx ends or Drain is called, then stops gracefully: calls
// that run are finished, new ones are refused as not run. It returns early if
// a listener cannot be bound.
func (n *Node) Run(ctx context.Context) error {
	if n.listeners.control == nil {
		if err := n.Bind(); err != nil {
			return err
		}
	}
	if err := n.build(); err != nil {
		n.closeListeners()
		return err
	}
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	servers := n.newServers()
	var duties sync.WaitGroup
	n.startDuties(inner, &duties)
	servers.serve(&duties)
	n.Log.Info("node started", "host", n.Settings.Host, "zone", n.Settings.Zone, "callers", n.Settings.CallerAddress)
	select {
	case <-ctx.Done():
	case <-n.drain:
	}
	n.stop(servers)
	cancel()
	duties.Wait()
	n.close()
	return nil
}

// close releases what is left after all duties have ended.
func (n *Node) close() {
	n.claims.Close()
	n.calls.Close()
	n.control.Close()
	n.backend.Pool.Close()
	n.source.Close()
	_ = n.metrics.Close()
}

func (n *Node) startDuties(ctx context.Context, w *sync.WaitGroup) {
	w.Go(func() {
		if err := n.distributor.Run(ctx); err != nil {
			n.Log.Error("distribution ended", "error", err)
		}
	})
	w.Go(func() {
		if err := n.controlIn.Serve(ctx, n.listeners.control); err != nil {
			n.Log.Error("control listener ended", "error", err)
		}
	})
	w.Go(func() { n.tick(ctx) })
	if n.TLS != nil {
		w.Go(func() { n.TLS.Run(ctx) })
	}
	if !n.FixedSplit {
		w.Go(func() { n.quota.Run(ctx) })
	}
}

// tick drives the gate's clock, applies new configurations and host lists,
// and sweeps the connections.
func (n *Node) tick(ctx context.Context) {
	t := time.NewTicker(gateTick)
	defer t.Stop()
	for {
		changed := n.distributor.Replica.Changed()
		n.apply()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
			n.gate.Tick(time.Now())
			n.calls.Sweep()
			n.backend.Pool.Sweep(time.Now().Add(-backendIdle))
		}
	}
}

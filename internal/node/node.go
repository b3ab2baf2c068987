// Package node assembles and runs one node: the process beside a backend server
// in a deployment in which the nodes distribute configuration and host list
// among themselves.
//
// It creates the components of the node, opens its listeners, applies each new
// configuration and host list to the components, and stops without cutting
// running calls. The components make the decisions.
//
// Package sidecar runs a similar process for a deployment in which the nodes
// read configuration and backend servers from a store or from another node.
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
	"quetzaldock.example/quetzaldock/internal/crash"
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
	// tickInterval is the interval at which the admission control is ticked and
	// idle connections are checked. The admission control counts a late tick as a
	// pause of the process.
	tickInterval = 100 * time.Millisecond
	// maxVersionWait is the maximum time that a call waits until the version in
	// force has reached the version floor.
	maxVersionWait = 500 * time.Millisecond
	// zoneOutGrace is how long a node whose zone was taken out of service still
	// forwards the requests of its callers while it asks them to connect
	// elsewhere.
	zoneOutGrace = 3 * time.Second
	// leaveNoticePeriod is how long a stopping node still listens, so that other
	// nodes and callers learn that it is leaving before its addresses close. The
	// members of its group send a quota report about once a second and need two
	// reports to fetch their quota.
	leaveNoticePeriod = 2 * time.Second
	// requestHeaderTimeout is the maximum time in which a request's header must
	// arrive.
	requestHeaderTimeout = 5 * time.Second
	// incomingIdleTimeout is how long an idle connection of a caller, another node
	// or an operator is kept open.
	incomingIdleTimeout = 2 * time.Minute
	// backendIdleTimeout is how long an idle connection to the backend server is
	// kept open. It exceeds fairadmission.Controller.ColdAfterIdle, since the
	// closing of idle connections by the server is evidence of its restart.
	backendIdleTimeout = time.Minute
	// maxRequestHeaderBytes is the maximum size of a request's header. It exceeds
	// the largest MaxHeaderBytes that a configuration may set, because the refusal
	// by that limit tells the caller that the request was not run.
	maxRequestHeaderBytes = 96 << 10
)

// A Node is the process beside one backend server. Its exported fields must be
// set before Bind or Run.
type Node struct {
	Settings Settings
	Log      *slog.Logger
	// Level is the level of Log; operators can change it while the node runs.
	Level *slog.LevelVar
	// TLS holds the node's certificate and the certificate authority of the mesh.
	// If it is set, Settings.TLS is not read.
	TLS *tlsfiles.Identity
	// FixedSplit gives each host a fixed share of every account's rate, without
	// lending. Experiments measure lending against it.
	FixedSplit bool

	listeners listeners
	startedAt time.Time
	// stopping is set when a planned stop starts and is never unset.
	stopping       atomic.Bool
	drainRequested chan struct{}
	drainOnce      sync.Once

	// applied is the state that was applied last, or nil before the first
	// configuration.
	applied atomic.Pointer[appliedState]

	metrics       *operator.Metrics
	clientLimits  *clientLimits
	distributor   *distribution.Distributor
	source        *configservice.Client
	controlClient *peer.Client
	controlServer *peer.Server
	controlMeter  *peer.Meter
	callClient    *peercall.Client
	admission     *fairadmission.Controller
	witness       *idempotency.Witness
	keyClaimer    *caller.KeyClaimer
	chooser       *balance.Chooser
	retryBudget   *balance.RetryBudget
	backend       *backend.Proxy
	callerHandler *caller.Handler
	crashes       *crash.Detector
	crashReports  *crash.Reports
	quotaRunner   *quota.Runner
	// fixedLimiter takes the place of limiter if FixedSplit is set.
	fixedLimiter *quota.FixedSplit
	limiter      *quota.Limiter
	counters     accountCounters
}

// listeners holds the node's listeners; they are nil before Bind.
type listeners struct {
	caller, call, control, operator net.Listener
}

// New returns a node that is configured by the settings and logs to standard
// error.
func New(s Settings) *Node {
	l := new(slog.LevelVar)
	_ = l.UnmarshalText([]byte(s.LogLevel))
	return &Node{
		Settings: s, Level: l, drainRequested: make(chan struct{}),
		Log: slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: l})),
	}
}

// Bind opens the listeners and writes the bound addresses to Settings. The
// control listener is opened first: since a second process of the same host
// fails there, two processes cannot spend the same share of the quota. Run calls
// Bind if it was not called before. The error is of type ListenFailed.
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

// HostEntry returns the node's entry for the platform's host list. After Bind
// it contains the bound addresses.
func (n *Node) HostEntry() hosts.Host {
	s := &n.Settings
	return hosts.Host{
		ID: s.Host, Service: s.Service, Zone: s.Zone, State: hosts.Live,
		CallAddress: s.CallAddress, ControlAddress: s.ControlAddress,
	}
}

// Drain starts a planned stop. The end of the context of Run does the same.
func (n *Node) Drain() { n.drainOnce.Do(func() { close(n.drainRequested) }) }

// Run serves until ctx ends or Drain is called. It then stops gracefully:
// running calls are finished and new calls are refused as not run. It returns an
// error at once if a listener cannot be opened or the TLS files cannot be
// loaded.
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
	taskContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	servers := n.newServers()
	var tasks sync.WaitGroup
	n.startBackgroundTasks(taskContext, &tasks)
	servers.serve(&tasks)
	n.Log.Info("node started", "host", n.Settings.Host, "zone", n.Settings.Zone, "callers", n.Settings.CallerAddress)
	select {
	case <-ctx.Done():
	case <-n.drainRequested:
	}
	n.stop(servers)
	cancel()
	tasks.Wait()
	n.close()
	return nil
}

// close closes the clients and the metrics after all background tasks have
// ended.
func (n *Node) close() {
	n.crashes.Close()
	n.keyClaimer.Close()
	n.callClient.Close()
	n.controlClient.Close()
	n.backend.Pool.Close()
	n.source.Close()
	_ = n.metrics.Close()
}

func (n *Node) startBackgroundTasks(ctx context.Context, w *sync.WaitGroup) {
	w.Go(func() {
		if err := n.distributor.Run(ctx); err != nil {
			n.Log.Error("distribution ended", "error", err)
		}
	})
	w.Go(func() {
		if err := n.controlServer.Serve(ctx, n.listeners.control); err != nil {
			n.Log.Error("control listener ended", "error", err)
		}
	})
	w.Go(func() { n.runPeriodicTasks(ctx) })
	w.Go(func() { n.crashReports.Run(ctx) })
	if n.TLS != nil {
		w.Go(func() { n.TLS.Run(ctx) })
	}
	if !n.FixedSplit {
		w.Go(func() { n.quotaRunner.Run(ctx) })
	}
}

// runPeriodicTasks ticks the admission control, applies new configurations and
// host lists, and closes unused connections.
func (n *Node) runPeriodicTasks(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		changed := n.distributor.Replica.Changed()
		n.apply()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
			n.admission.Tick(time.Now())
			n.crashes.Review(n.metrics.Scope())
			n.clientLimits.review()
			n.callClient.Sweep()
			n.backend.Pool.Sweep(time.Now().Add(-backendIdleTimeout))
		}
	}
}

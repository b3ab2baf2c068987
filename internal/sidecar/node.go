// Package sidecar runs the process beside a backend server of a deployment
// whose store can only be read and where nothing of the process outlives it.
//
// Each node is the only way to the backend server on its host. It follows the
// store by itself, takes the requests that begin on its host, and sends each
// to the node beside the instance that is to run it. What the deployment calls
// things, the node learns from Headers and Source, which an adapter fills.
package sidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/internal/operator"
	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/balance"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fleet"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
	"quetzaldock.example/quetzaldock/pkg/ratelimit"
	"quetzaldock.example/quetzaldock/pkg/relay"
)

const (
	// tickEvery is the pause between two looks at what changes with time alone.
	tickInterval = 250 * time.Millisecond
	// idleToBackend bounds idle connections to the backend server.
	maxIdleToBackend = 32
	// maxHeaderBytes bounds the header of one request.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time in which a request's header arrives.
	headerTimeout = 10 * time.Second
	// idleTimeout closes connections of callers without a request. Callers use
	// connections that were idle for less.
	idleTimeout = 60 * time.Second
	// memoryPart is the part of the memory limit that the garbage collector
	// keeps the process under.
	memoryLimitFraction = 0.7
	// collectPercent is how much the heap grows before it is collected, in
	// percent of what is in use. Hosts are short of memory rather than of
	// processor time.
	gcPercent = 20
)

// A Node is one process of a deployment. Its exported fields are set before
// Run.
type Node struct {
	Settings    Settings
	Bounds      Bounds
	StopPlan    StopPlan
	HeaderNames HeaderNames
	Source      Source
	// ReadyPath is where the deployment asks whether callers may use the node.
	ReadyPath string
	Log       *slog.Logger
	// Level is the level of Log.
	Level *slog.LevelVar
	// Reload reads the settings again; nil keeps those of the start. It is
	// called now and then, and when Hangup delivers.
	LoadSettings func() (*Settings, error)
	Hangup       <-chan os.Signal

	// ring takes the lines of Log.
	logRing   *operator.LogQueue
	metrics   *operator.Metrics
	startedAt time.Time
	// drain is closed by Drain.
	drain     chan struct{}
	drainOnce sync.Once

	currentSettings atomic.Pointer[Settings]
	snapshot        atomic.Pointer[config.Snapshot]
	directory       *fleet.Directory
	chooser         *balance.Chooser
	retryBudget     *balance.RetryBudget
	quota           *ratelimit.Limiter
	limiter         *accountLimiter
	admission       *priorityadmission.Controller
	localBackend    *localBackend
	remoteNodes     *remoteNodes
	callerHandler   *callerHandler
	// connections are those of the callers.
	callerConnections callerConnections
	splitter          routeSplitter
	calls             callGraph

	// acceptMu orders updates with the answers to nodes that ask for all.
	updateMu sync.Mutex
	// published is the configuration in force as it was published.
	publishedConfig *PublishedConfig
	// log holds the updates for the nodes that read this one.
	updateLog     *relay.Log
	controlClient *peer.Client
	sourcesMu     sync.Mutex
	sources       relay.SourceSelector
	sourcesDown   atomic.Bool
	// readAt is when a source last answered, in Unix milliseconds.
	lastReadMs atomic.Int64
	// askedAt is when another node last asked this one for updates, in Unix
	// milliseconds.
	lastAskedMs atomic.Int64
	// asking is set while the store is asked about the local instance.
	verifyingRemoval atomic.Bool
	// duties are the goroutines of Run.
	background sync.WaitGroup
	// heard holds the hosts that sent requests, by IP address.
	requestHosts requestHosts

	// listed is set once everything was read.
	storeRead atomic.Bool
	// unreachable is set while the backend server takes no connection.
	backendUnreachable atomic.Bool
	// stopping is set by a planned stop, doorClosed some time after it.
	stopping       atomic.Bool
	admissionEnded atomic.Bool
	healthWanted   chan struct{}

	restartEvidenceMu sync.Mutex
	restartEvidence   priorityadmission.RestartDetector
}

// New returns a node for the settings.
func New(s Settings) *Node {
	level := new(slog.LevelVar)
	_ = level.UnmarshalText([]byte(s.LogLevel))
	n := &Node{
		Settings: s, Bounds: DefaultBounds(), StopPlan: DefaultStopPlan(), healthWanted: make(chan struct{}, 1),
		Level: level, logRing: operator.NewLogQueue(os.Stdout), drain: make(chan struct{}),
	}
	n.Log = slog.New(slog.NewJSONHandler(n.logRing, &slog.HandlerOptions{Level: level})).With("host", s.Host)
	n.currentSettings.Store(&n.Settings)
	return n
}

func (n *Node) settings() *Settings { return n.currentSettings.Load() }

// Run serves until ctx ends and then stops gracefully: requests that run are
// finished. It fails with ListenFailed.
func (n *Node) Run(ctx context.Context) error {
	setMemoryLimits(n.Settings.MemoryMB)
	n.startedAt = time.Now()
	n.lastReadMs.Store(n.startedAt.UnixMilli())
	logCtx, stopLog := context.WithCancel(context.Background())
	var logWriter sync.WaitGroup
	logWriter.Go(func() { n.logRing.Run(logCtx) })
	defer logWriter.Wait()
	defer stopLog()
	n.buildComponents()
	defer func() { _ = n.metrics.Close() }()
	servers, err := n.listen()
	if err != nil {
		return err
	}
	controlListener, err := net.Listen("tcp", n.Settings.ControlAddress)
	if err != nil {
		servers.close()
		return ListenFailed.Wrap(err, "cannot listen on %s", n.Settings.ControlAddress)
	}
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	background := &n.background
	background.Go(func() { n.followSources(workCtx) })
	background.Go(func() { n.watchHealth(workCtx) })
	background.Go(func() { n.runPeriodicWork(workCtx) })
	background.Go(func() { n.watchSettings(workCtx) })
	background.Go(func() {
		if err := (&peer.Server{Updates: n.serveUpdates, Tokens: n.limiter.serveTokens, Log: n.Log}).Serve(workCtx, controlListener); err != nil {
			n.Log.Error("control listener ended", "error", err)
		}
	})
	for _, s := range servers.all() {
		background.Go(func() { _ = s.server.Serve(s.listener) })
	}
	n.Log.Info("node started", "service", n.Settings.Service, "zone", n.Settings.Zone)
	select {
	case <-ctx.Done():
	case <-n.drain:
	}
	n.stop(servers)
	cancelWork()
	background.Wait()
	n.controlClient.Close()
	n.remoteNodes.pools.Close()
	n.localBackend.pool.Close()
	n.Log.Info("node stopped")
	return nil
}

// setMemory has the garbage collector keep the process below its limit.
func setMemoryLimits(mb int) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(mb) * (1 << 20)))
}

func (n *Node) buildComponents() {
	s := n.settings()
	n.updateLog, n.controlClient = relay.NewLog(), &peer.Client{Dial: DialTCP}
	n.sources.Self = relay.Member{Address: s.ControlAddress, Zone: s.Zone}
	n.callerConnections.maxOpen, n.callerConnections.now = s.MaxConnections, time.Now
	n.directory = fleet.NewDirectory(n.Bounds.ExpiryGrace)
	n.directory.MinOutage = n.Bounds.MinOutage
	n.chooser = balance.New(s.Zone)
	n.retryBudget = balance.NewRetryBudget()
	n.quota = ratelimit.New(ratelimit.Tolerance{OverageRatio: n.Bounds.QuotaOverage, SlackRequests: n.Bounds.QuotaSlack})
	n.limiter = &accountLimiter{quota: n.quota, controlClient: n.controlClient, now: time.Now, selfAddress: s.ControlAddress}
	n.admission = priorityadmission.New()
	n.admission.SetClosed(priorityadmission.Starting)
	n.remoteNodes = newRemoteNodes(&n.HeaderNames, &n.calls, time.Now)
	requestLog := &requestLogger{log: n.Log, now: time.Now}
	n.localBackend = &localBackend{
		names: &n.HeaderNames, admission: n.admission, log: n.Log, now: time.Now,
		pool: &http1.Pool{
			MaxIdle:    maxIdleToBackend,
			Dial:       func(ctx context.Context) (net.Conn, error) { return DialTCP(ctx, n.settings().BackendAddress) },
			IdleClosed: n.onConnectionsClosed,
		},
		onSent: n.calls.recordRun, onFailure: requestLog.logFailure, instanceID: n.localInstanceID, onClosed: n.onConnectionsClosed,
		onUnreachable: func() { n.setReachable(false) },
	}
	d := &dispatcher{
		names: &n.HeaderNames, chooser: n.chooser, budget: n.retryBudget, localBackend: n.localBackend, remoteNodes: n.remoteNodes,
		now: time.Now, selfAddress: s.CallAddress, calls: &n.calls, pickService: func(j *job) string { return n.splitter.pick(j.route) },
	}
	n.metrics = operator.NewMetrics()
	n.callerHandler = &callerHandler{
		names: &n.HeaderNames, dispatch: d, limiter: n.limiter, log: n.Log, now: time.Now,
		snapshot: n.snapshot.Load, service: func() string { return n.settings().Service },
		stopping: n.stopping.Load, closedWhileIdle: n.callerConnections.closedWhileIdle, nearMaxConnections: n.callerConnections.nearMax, recordRequest: func(o *RequestRecord) {
			requestLog.logRequest(o)
			n.metrics.Observe(o.Account, o.Route, o.Status, o.Reason, o.Latency)
		},
	}
}

// localInstance returns the ID of the instance at the backend server's
// address.
func (n *Node) localInstanceID() string {
	if i := n.directory.View().ByAddress[n.settings().BackendAddress]; i != nil {
		return i.ID
	}
	return ""
}

// ownService returns the configuration of the local backend server's service.
func (n *Node) localService() *config.Service {
	if v := n.snapshot.Load(); v != nil {
		return v.Services[n.settings().Service]
	}
	return nil
}

// tick does what is due with time alone, until ctx ends.
func (n *Node) runPeriodicWork(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		changed := n.directory.Changed()
		n.applyInstances()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
			n.directory.RemoveExpired()
			n.remoteNodes.pools.Sweep(time.Now().Add(-idleNodeTimeout))
			n.callerConnections.sweep(n.callerIdleLimit())
		}
	}
}

// setMembers tells the choice of sources which nodes there are: those beside
// instances, and those that sent requests.
func (n *Node) updateSources(v *fleet.View) {
	_, port, _ := net.SplitHostPort(n.settings().ControlAddress)
	var all []relay.Member
	for _, i := range v.Instances {
		if host, _, err := net.SplitHostPort(i.Address); err == nil {
			all = append(all, relay.Member{Address: net.JoinHostPort(host, port), Zone: i.Zone})
		}
	}
	addresses := make([]string, 0, len(all))
	for _, m := range all {
		addresses = append(addresses, m.Address)
	}
	n.limiter.nodeAddresses.Store(&addresses)
	for _, host := range n.requestHosts.list() {
		all = append(all, relay.Member{Address: net.JoinHostPort(host, port)})
	}
	n.sourcesMu.Lock()
	defer n.sourcesMu.Unlock()
	n.sources.SetMembers(all)
}

// idleLimit is how long a caller's connection may stay without a request.
func (n *Node) callerIdleLimit() time.Duration {
	v := n.snapshot.Load()
	if v == nil || v.CallerLimits.IdleMs == 0 {
		return idleTimeout
	}
	return time.Duration(v.CallerLimits.IdleMs) * time.Millisecond
}

// applyFleet hands what is known of the instances to those who decide by it.
func (n *Node) applyInstances() {
	v := n.directory.View()
	n.chooser.SetTargets(n.balanceTargets(v))
	nodes := map[string]bool{}
	for _, i := range v.Instances {
		nodes[i.Address] = true
	}
	n.updateSources(v)
	n.quota.SetNodeCount(len(nodes))
	n.configureRetryBudget(len(nodes))
	if i := v.ByAddress[n.settings().BackendAddress]; i != nil {
		n.admission.SetSlots(i.Slots)
	}
	n.updateAdmission()
}

// targets lists the nodes beside the instances. All nodes take the requests of
// others at the same port.
func (n *Node) balanceTargets(v *fleet.View) []balance.Target {
	_, port, _ := net.SplitHostPort(n.settings().CallAddress)
	all := make([]balance.Target, 0, len(v.Instances))
	for _, i := range v.Instances {
		host, _, err := net.SplitHostPort(i.Address)
		if err != nil {
			n.Log.Warn("instance with an unreadable address", "instance", i.ID, "address", i.Address)
			continue
		}
		all = append(all, balance.Target{
			ID: i.ID, Service: i.Service, Zone: i.Zone, CallAddress: net.JoinHostPort(host, port),
			OutOfService: v.ZonesOut[i.Zone], Leaving: i.State != fleet.Ready, Permits: i.Slots,
		})
	}
	return all
}

func (n *Node) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Package sidecar runs one node: the process beside a backend server in a
// deployment whose store is read-only for the node and where nothing that the
// node keeps outlives it.
//
// Each node is the only way to the backend server on its host. It reads the
// configuration and the published backend servers (instances) from the store or
// from another node. It accepts the requests that begin on its host and forwards
// each one to the node beside the instance that is to run it. HeaderNames and
// Source, which an adapter provides, hide how the deployment names its headers
// and its store entries.
//
// Package node runs a similar process for a deployment in which the nodes
// distribute configuration and host list among themselves.
package sidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"quetzaldock.example/quetzaldock/internal/crash"
	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/internal/operator"
	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/balance"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fleet"
	"quetzaldock.example/quetzaldock/pkg/nestedthrottle"
	"quetzaldock.example/quetzaldock/pkg/pace"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
	"quetzaldock.example/quetzaldock/pkg/quarantine"
	"quetzaldock.example/quetzaldock/pkg/ratelimit"
	"quetzaldock.example/quetzaldock/pkg/relay"
	"quetzaldock.example/quetzaldock/pkg/transferlimit"
)

const (
	// tickInterval is the time between checks of state that changes with time
	// alone.
	tickInterval = 250 * time.Millisecond
	// maxIdleToBackend limits the idle connections to the backend server.
	maxIdleToBackend = 32
	// maxHeaderBytes limits the header of one request.
	maxHeaderBytes = 64 << 10
	// headerTimeout limits the time in which the header of a request arrives, unless
	// the configuration sets another limit, up to maxHeaderTimeout.
	headerTimeout    = 10 * time.Second
	maxHeaderTimeout = time.Minute
	// idleTimeout is the time after which a caller's connection without a request
	// is closed. Callers reuse connections that were idle for less.
	idleTimeout = 60 * time.Second
	// memoryLimitFraction of the process's memory limit is the soft limit of the
	// garbage collector.
	memoryLimitFraction = 0.7
	// gcPercent is the heap growth, in percent of the memory in use, that triggers
	// a collection. Memory is dear, but each collection also scans the stacks of all
	// connections: at 20 collections took a third of a node's processor time.
	gcPercent = 50
)

// A Node is one sidecar process. Its exported fields are set before Run.
type Node struct {
	Settings    Settings
	Bounds      Bounds
	StopPlan    StopPlan
	HeaderNames HeaderNames
	Source      Source
	// ReadyPath is the URL path at which the deployment checks readiness.
	ReadyPath string
	Log       *slog.Logger
	// Level is the level of Log. It changes at run time.
	Level *slog.LevelVar
	// LoadSettings reads the settings again. It is called every reloadInterval
	// and on each signal from Hangup. If it is nil, the settings never change.
	LoadSettings func() (*Settings, error)
	Hangup       <-chan os.Signal

	// logQueue queues and writes the lines of Log.
	logQueue  *operator.LogQueue
	metrics   *operator.Metrics
	startedAt time.Time
	// Drain closes drain.
	drain     chan struct{}
	drainOnce sync.Once

	currentSettings atomic.Pointer[Settings]
	snapshot        atomic.Pointer[config.Snapshot]
	directory       *fleet.Directory
	chooser         *balance.Chooser
	retryBudget     *balance.RetryBudget
	rateLimiter     *ratelimit.Limiter
	accountLimits   *accountLimiter
	admission       *priorityadmission.Controller
	localBackend    *localBackend
	// healthPool holds the connection for health checks. On one that also carries
	// requests, a second answer without an ID could be taken for that to a request.
	healthPool    *http1.Pool
	quarantines   *quarantine.Table
	crashReports  *crash.Reports
	crashes       *crash.Detector
	remoteNodes   *remoteNodes
	callerHandler *callerHandler
	clientLimits  *clientLimits
	// callers serves the requests of callers. It is set before requests are served.
	callers  *http1.Server
	splitter routeSplitter
	calls    callGraph
	// uploads limits the large request bodies that arrive from other nodes.
	uploads *transferlimit.Limiter

	// instancesMu serializes applyInstances. The chooser has the instances of
	// appliedView, and the source selector those with appliedAddresses and appliedHosts
	// request hosts. appliedHidden states that the local instance is not published.
	instancesMu      sync.Mutex
	appliedView      *fleet.View
	appliedAddresses *fleet.AddressSet
	appliedHosts     int
	appliedHidden    bool
	// publishedHosts holds the hosts of appliedAddresses.
	publishedHosts map[string]bool

	// updateMu serializes the application of updates and the reading of the full
	// state for replies.
	updateMu sync.Mutex
	// publishedConfig is the configuration in force, in its published form.
	publishedConfig *PublishedConfig
	// lastFullState is the full state that was sent last, guarded by fullStateMu.
	fullStateMu   sync.Mutex
	lastFullState fullState
	// updateLog holds recent updates for the nodes that read from this one.
	updateLog      *relay.Log
	controlClient  *peer.Client
	selectorMu     sync.Mutex
	sourceSelector relay.SourceSelector
	// sourcesDown is set while no source answers.
	sourcesDown atomic.Bool
	// lastRead is when a source last answered, lastAsked when another node last asked
	// this one for updates.
	lastRead, lastAsked steadyTime
	// storeProgress follows the reads of the store. sourceReceives is set while the node
	// that this one reads is receiving an answer of the store.
	storeProgress  readProgress
	sourceReceives atomic.Bool
	// instancesAhead holds the changes of instances that were read ahead.
	instancesAhead instancesAhead
	// stateOrigin is the control address of the node that read the current state from
	// the store, this one included.
	stateOrigin atomic.Pointer[string]
	// positionsLost counts how often the store did not have this node's position
	// any more.
	positionsLost atomic.Uint64
	// verifyingRemoval is set while the store is asked whether the local instance
	// is still published.
	verifyingRemoval atomic.Bool
	// background counts the goroutines that Run waits for.
	background sync.WaitGroup
	// requestHosts holds the IP addresses of hosts that sent requests.
	requestHosts requestHosts

	// storeRead is set once the full state of the store has been read, from the
	// store itself or through another node.
	storeRead atomic.Bool
	// backendUnreachable is set while connections to the backend server fail.
	backendUnreachable atomic.Bool
	// stopping is set when a planned stop begins, admissionEnded after
	// StopPlan.AdmitFor. A value in healthWanted asks for a health check at once.
	stopping       atomic.Bool
	admissionEnded atomic.Bool
	healthWanted   chan struct{}
	// endWaiting ends the requests of callers that have no response yet.
	endWaiting context.CancelFunc

	restartMu       sync.Mutex
	restartDetector priorityadmission.RestartDetector
	// nextRestartCheck is the earliest time of the next health check for a suspected
	// restart.
	nextRestartCheck      time.Time
	restartCheckScheduled bool
}

// New returns a node with these settings and default bounds.
func New(s Settings) *Node {
	level := new(slog.LevelVar)
	_ = level.UnmarshalText([]byte(s.LogLevel))
	n := &Node{
		Settings: s, Bounds: DefaultBounds(), StopPlan: DefaultStopPlan(), healthWanted: make(chan struct{}, 1),
		Level: level, logQueue: operator.NewLogQueue(os.Stdout), drain: make(chan struct{}),
	}
	n.Log = slog.New(slog.NewJSONHandler(n.logQueue, &slog.HandlerOptions{Level: level})).With("host", s.Host)
	n.currentSettings.Store(&n.Settings)
	return n
}

// DialStore opens a connection to the store, for the deployment's Source. The node does
// not give up a read of the store while bytes arrive on it.
func (n *Node) DialStore(ctx context.Context, address string) (net.Conn, error) {
	return n.storeProgress.dial(ctx, address)
}

func (n *Node) settings() *Settings { return n.currentSettings.Load() }

// Run serves until ctx ends or Drain is called, and then stops gracefully: it
// finishes the requests that are running. The error is of type ListenFailed.
func (n *Node) Run(ctx context.Context) error {
	setMemoryLimits(n.Settings.MemoryMB)
	n.startedAt = time.Now()
	n.lastRead.set(n.startedAt)
	logCtx, stopLog := context.WithCancel(context.Background())
	var logWriter sync.WaitGroup
	logWriter.Go(func() { n.logQueue.Run(logCtx) })
	defer logWriter.Wait()
	defer stopLog()
	n.buildComponents()
	defer func() { _ = n.metrics.Close() }()
	defer n.endWaiting()
	servers, err := n.listen()
	if err != nil {
		return err
	}
	n.callers = servers.callers
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
	background.Go(func() { n.crashReports.Run(workCtx) })
	background.Go(func() {
		if err := n.controlServer().Serve(workCtx, controlListener); err != nil {
			n.Log.Error("control listener ended", "error", err)
		}
	})
	for _, s := range servers.all() {
		background.Go(s.Serve)
	}
	n.Log.Info("node started", "service", n.Settings.Service, "zone", n.Settings.Zone)
	select {
	case <-ctx.Done():
	case <-n.drain:
	}
	n.stop(servers)
	cancelWork()
	background.Wait()
	n.crashes.Close()
	n.controlClient.Close()
	n.remoteNodes.pools.Close()
	n.localBackend.pool.Close()
	n.healthPool.Close()
	n.Log.Info("node stopped")
	return nil
}

// controlServer serves the control calls of other nodes.
func (n *Node) controlServer() *peer.Server {
	return &peer.Server{Updates: n.serveUpdates, Tokens: n.accountLimits.serveTokens, Reports: n.crashReports.Serve, Log: n.Log, Connections: n.clientLimits.control, OnLimit: n.clientLimits.reporter.For("control")}
}

// setMemoryLimits configures the garbage collector for a process limit of mb MiB.
func setMemoryLimits(mb int) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(mb) * (1 << 20)))
}

// countTry counts one send of a request to an instance.
func (n *Node) countTry(otherZone, refusedAsBusy bool) {
	tags := map[string]string{"zone": "own", "result": "taken"}
	if otherZone {
		tags["zone"] = "other"
	}
	if refusedAsBusy {
		tags["result"] = "busy"
	}
	n.metrics.Scope().Tagged(tags).Counter("tries").Inc(1)
}

func (n *Node) buildComponents() {
	s := n.settings()
	n.updateLog, n.controlClient = relay.NewLog(), &peer.Client{Dial: DialTCP}
	n.sourceSelector.Self = relay.Member{Address: s.ControlAddress, Zone: s.Zone}
	n.directory = fleet.NewDirectory(n.Bounds.ExpiryGrace)
	n.directory.MinOutage, n.directory.EntryLife = n.Bounds.MinOutage, n.Bounds.EntryLife
	n.chooser = balance.New(s.Zone)
	n.chooser.EvenWithPaceOnly = true
	n.retryBudget = balance.NewRetryBudget()
	n.rateLimiter = ratelimit.New(ratelimit.Tolerance{OverageRatio: n.Bounds.QuotaOverage, SlackRequests: n.Bounds.QuotaSlack})
	n.accountLimits = &accountLimiter{
		rateLimiter: n.rateLimiter, controlClient: n.controlClient, selfAddress: s.ControlAddress,
		stateAge: func() time.Duration { return n.updateLog.Status().Age },
	}
	n.rateLimiter.IsLender = n.accountLimits.isLender
	n.admission = priorityadmission.New()
	n.admission.WantConfirmation = n.checkHealthSoon
	n.admission.SetClosed(priorityadmission.Starting)
	load := &instanceLoadReader{names: &n.HeaderNames, tracker: &pace.Tracker{}, admission: n.admission, log: n.Log, now: time.Now}
	n.admission.TrackPace(load.tracker)
	n.remoteNodes = newRemoteNodes(&n.HeaderNames, &n.calls, time.Now)
	n.remoteNodes.silence.stopping = n.stopping.Load
	n.quarantines = quarantine.New()
	n.crashReports = crash.NewReports(n.quarantines, s.ControlAddress, n.accountLimits.nodes, n.exchangeReports)
	requestLog := &requestLogger{log: n.Log, now: time.Now}
	n.localBackend = &localBackend{
		names: &n.HeaderNames, admission: n.admission, load: load, log: n.Log, now: time.Now,
		pool:   n.newBackendPool(maxIdleToBackend),
		onSent: n.calls.recordRun, onFailure: requestLog.logFailure, instanceID: n.localInstanceID, successor: n.successorID, class: n.classOf, throttle: nestedthrottle.New(), onOutcome: n.countOutcome, onClosed: n.onConnectionsClosed,
		onUnreachable: func() { n.setReachable(false) },
	}
	n.localBackend.runningRequests.startedAt = n.startedAt
	n.healthPool = n.newBackendPool(1)
	n.crashes = n.newCrashDetector()
	n.localBackend.crashes = n.crashes
	d := &dispatcher{
		names: &n.HeaderNames, chooser: n.chooser, budget: n.retryBudget, localBackend: n.localBackend, remoteNodes: n.remoteNodes,
		now: time.Now, selfAddress: s.CallAddress, calls: &n.calls, crashes: n.crashes, pickService: func(j *job) string { return n.splitter.pick(j.route) },
	}
	n.metrics = operator.NewMetrics()
	n.clientLimits = newClientLimits(n)
	d.onTry = n.countTry
	var waitingCtx context.Context
	waitingCtx, n.endWaiting = context.WithCancel(context.Background())
	n.callerHandler = &callerHandler{
		waitingCtx: waitingCtx,
		maxBody:    n.clientLimits.maxBody,
		names:      &n.HeaderNames, dispatch: d, accountLimits: n.accountLimits, log: n.Log, now: time.Now,
		snapshot: n.snapshot.Load, service: func() string { return n.settings().Service },
		stopping: n.stopping.Load, nearMaxConnections: n.nearMaxConnections, recordRequest: func(record *RequestRecord) {
			requestLog.logRequest(record)
			n.metrics.Observe(record.Account, record.Route, record.Status, record.Reason, record.Latency)
			if record.Cut != "" {
				n.metrics.Scope().Tagged(map[string]string{"cause": string(record.Cut)}).Counter("connections_cut").Inc(1)
			}
		},
	}
}

// newBackendPool returns a pool of connections to the backend server.
func (n *Node) newBackendPool(maxIdle int) *http1.Pool {
	return &http1.Pool{
		MaxIdle:      maxIdle,
		Dial:         func(ctx context.Context) (net.Conn, error) { return DialTCP(ctx, n.settings().BackendAddress) },
		OnIdleClosed: n.onConnectionsClosed,
	}
}

// localInstanceID returns the ID of the instance at the backend server's address,
// or the empty string if none is published.
func (n *Node) localInstanceID() string {
	if i := n.directory.View().ByAddress[n.settings().BackendAddress]; i != nil {
		return i.ID
	}
	return ""
}

// successorID returns the ID of the instance that has taken the place of another one,
// or the empty string if none has.
func (n *Node) successorID(id string) string {
	if i := n.directory.View().Successor(id); i != nil {
		return i.ID
	}
	return ""
}

// classOf returns the key of the route of a request, by the configuration in force
// here, or the empty string if it has none.
func (n *Node) classOf(in *http.Request) string {
	v := n.snapshot.Load()
	if v == nil {
		return ""
	}
	r, ok := v.RouteForHost(in.Host, requestPath(in))
	if !ok {
		return ""
	}
	return r.Key()
}

// localService returns the configuration of the local backend server's service,
// or nil if it is not known.
func (n *Node) localService() *config.Service {
	if v := n.snapshot.Load(); v != nil {
		return v.Services[n.settings().Service]
	}
	return nil
}

// runPeriodicWork applies changes of the directory and does the work that depends
// on time alone, until ctx ends.
func (n *Node) runPeriodicWork(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var throttled throttleReview
	for {
		changed := n.directory.Changed()
		n.applyInstances()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
			n.directory.Expire()
			n.accountLimits.reviewCutOff()
			n.crashes.Review(n.metrics.Scope())
			reportUploads(n.uploads, n.metrics.Scope())
			n.localBackend.load.measure(n.metrics.Scope())
			throttled.review(n.localBackend.throttle.Shares(), time.Now(), n.Log, n.metrics.Scope())
			n.remoteNodes.pools.Sweep(time.Now().Add(-idleNodeTimeout))
			n.callers.Sweep(n.callerIdleLimit(), n.settings().MaxConnections)
			n.clientLimits.review()
		}
	}
}

// nearMaxConnections reports whether callers hold more than half of the allowed
// connections. Refused callers should then not keep theirs.
func (n *Node) nearMaxConnections() bool {
	return n.callers.Open() > n.settings().MaxConnections/2
}

// callerIdleLimit returns how long a caller's connection may stay idle.
func (n *Node) callerIdleLimit() time.Duration {
	v := n.snapshot.Load()
	if v == nil || v.CallerLimits.IdleMs == 0 {
		return idleTimeout
	}
	return time.Duration(v.CallerLimits.IdleMs) * time.Millisecond
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

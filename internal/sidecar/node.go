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
	tickEvery = 250 * time.Millisecond
	// idleToBackend bounds idle connections to the backend server.
	idleToBackend = 32
	// maxHeaderBytes bounds the header of one request.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time in which a request's header arrives.
	headerTimeout = 10 * time.Second
	// idleTimeout closes connections of callers without a request. Callers use
	// connections that were idle for less.
	idleTimeout = 60 * time.Second
	// memoryPart is the part of the memory limit that the garbage collector
	// keeps the process under.
	memoryPart = 0.7
	// collectPercent is how much the heap grows before it is collected, in
	// percent of what is in use. Hosts are short of memory rather than of
	// processor time.
	collectPercent = 20
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
	ring    *operator.LogQueue
	metrics *operator.Metrics
	started time.Time
	// drain is closed by Drain.
	drain     chan struct{}
	drainOnce sync.Once

	current   atomic.Pointer[Settings]
	snapshot  atomic.Pointer[config.Snapshot]
	directory *fleet.Directory
	chooser   *balance.Chooser
	budget    *balance.RetryBudget
	quota     *ratelimit.Limiter
	limits    *accountLimits
	door      *priorityadmission.Controller
	local     *local
	peers     *peers
	callers   *callers
	// connections are those of the callers.
	connections connections
	splits      splitter
	calls       callGraph

	// acceptMu orders updates with the answers to nodes that ask for all.
	acceptMu sync.Mutex
	// published is the configuration in force as it was published.
	published *PublishedConfig
	// log holds the updates for the nodes that read this one.
	log        *relay.Log
	control    *peer.Client
	choiceMu   sync.Mutex
	choice     relay.SourceSelector
	sourceDown atomic.Bool
	// readAt is when a source last answered, in Unix milliseconds.
	readAt atomic.Int64
	// askedAt is when another node last asked this one for updates, in Unix
	// milliseconds.
	askedAt atomic.Int64
	// asking is set while the store is asked about the local instance.
	asking atomic.Bool
	// duties are the goroutines of Run.
	duties sync.WaitGroup
	// heard holds the hosts that sent requests, by IP address.
	heard heard

	// listed is set once everything was read.
	listed atomic.Bool
	// unreachable is set while the backend server takes no connection.
	unreachable atomic.Bool
	// stopping is set by a planned stop, doorClosed some time after it.
	stopping   atomic.Bool
	doorClosed atomic.Bool
	suspected  chan struct{}

	evidenceMu sync.Mutex
	evidence   priorityadmission.RestartDetector
}

// New returns a node for the settings.
func New(s Settings) *Node {
	l := new(slog.LevelVar)
	_ = l.UnmarshalText([]byte(s.LogLevel))
	n := &Node{
		Settings: s, Bounds: DefaultBounds(), StopPlan: DefaultStopPlan(), suspected: make(chan struct{}, 1),
		Level: l, ring: operator.NewLogQueue(os.Stdout), drain: make(chan struct{}),
	}
	n.Log = slog.New(slog.NewJSONHandler(n.ring, &slog.HandlerOptions{Level: l})).With("host", s.Host)
	n.current.Store(&n.Settings)
	return n
}

func (n *Node) settings() *Settings { return n.current.Load() }

// Run serves until ctx ends and then stops gracefully: requests that run are
// finished. It fails with ListenFailed.
func (n *Node) Run(ctx context.Context) error {
	setMemory(n.Settings.MemoryMB)
	n.started = time.Now()
	n.readAt.Store(n.started.UnixMilli())
	written, stopWriting := context.WithCancel(context.Background())
	var writer sync.WaitGroup
	writer.Go(func() { n.ring.Run(written) })
	defer writer.Wait()
	defer stopWriting()
	n.build()
	defer func() { _ = n.metrics.Close() }()
	servers, err := n.listen()
	if err != nil {
		return err
	}
	control, err := net.Listen("tcp", n.Settings.ControlAddress)
	if err != nil {
		servers.close()
		return ListenFailed.Wrap(err, "cannot listen on %s", n.Settings.ControlAddress)
	}
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	duties := &n.duties
	duties.Go(func() { n.follow(inner) })
	duties.Go(func() { n.watchHealth(inner) })
	duties.Go(func() { n.tick(inner) })
	duties.Go(func() { n.watchSettings(inner) })
	duties.Go(func() {
		if err := (&peer.Server{Updates: n.serveUpdates, Tokens: n.limits.serveTokens, Log: n.Log}).Serve(inner, control); err != nil {
			n.Log.Error("control listener ended", "error", err)
		}
	})
	for _, s := range servers.all() {
		duties.Go(func() { _ = s.server.Serve(s.listener) })
	}
	n.Log.Info("node started", "service", n.Settings.Service, "zone", n.Settings.Zone)
	select {
	case <-ctx.Done():
	case <-n.drain:
	}
	n.stop(servers)
	cancel()
	duties.Wait()
	n.control.Close()
	n.peers.pools.Close()
	n.local.pool.Close()
	n.Log.Info("node stopped")
	return nil
}

// setMemory has the garbage collector keep the process below its limit.
func setMemory(mb int) {
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(memoryPart * float64(mb) * (1 << 20)))
}

func (n *Node) build() {
	s := n.settings()
	n.log, n.control = relay.NewLog(), &peer.Client{Dial: DialTCP}
	n.choice.Self = relay.Member{Address: s.ControlAddress, Zone: s.Zone}
	n.connections.most, n.connections.now = s.MaxConnections, time.Now
	n.directory = fleet.NewDirectory(n.Bounds.ExpiryGrace)
	n.directory.MinOutage = n.Bounds.MinOutage
	n.chooser = balance.New(s.Zone)
	n.budget = balance.NewRetryBudget()
	n.quota = ratelimit.New(ratelimit.Tolerance{OverageRatio: n.Bounds.QuotaOverage, SlackRequests: n.Bounds.QuotaSlack})
	n.limits = &accountLimits{split: n.quota, control: n.control, now: time.Now, self: s.ControlAddress}
	n.door = priorityadmission.New()
	n.door.SetClosed(priorityadmission.Starting)
	n.peers = newPeers(&n.HeaderNames, &n.calls, time.Now)
	lines := &journal{log: n.Log, now: time.Now}
	n.local = &local{
		names: &n.HeaderNames, door: n.door, log: n.Log, now: time.Now,
		pool: &http1.Pool{
			MaxIdle:    idleToBackend,
			Dial:       func(ctx context.Context) (net.Conn, error) { return DialTCP(ctx, n.settings().BackendAddress) },
			IdleClosed: n.connectionsClosed,
		},
		ran: n.calls.ran, failed: lines.failed, instance: n.localInstance, closed: n.connectionsClosed,
		unreachable: func() { n.setReachable(false) },
	}
	d := &dispatcher{
		names: &n.HeaderNames, chooser: n.chooser, budget: n.budget, local: n.local, peers: n.peers,
		now: time.Now, self: s.CallAddress, calls: &n.calls, pickService: func(j *job) string { return n.splits.pick(j.route) },
	}
	n.metrics = operator.NewMetrics()
	n.callers = &callers{
		names: &n.HeaderNames, dispatch: d, limits: n.limits, log: n.Log, now: time.Now,
		snapshot: n.snapshot.Load, service: func() string { return n.settings().Service },
		closing: n.stopping.Load, crossed: n.connections.crossed, crowded: n.connections.crowded, observe: func(o *RequestRecord) {
			lines.observe(o)
			n.metrics.Observe(o.Account, o.Route, o.Status, o.Reason, o.Latency)
		},
	}
}

// localInstance returns the ID of the instance at the backend server's
// address.
func (n *Node) localInstance() string {
	if i := n.directory.View().ByAddress[n.settings().BackendAddress]; i != nil {
		return i.ID
	}
	return ""
}

// ownService returns the configuration of the local backend server's service.
func (n *Node) ownService() *config.Service {
	if v := n.snapshot.Load(); v != nil {
		return v.Services[n.settings().Service]
	}
	return nil
}

// tick does what is due with time alone, until ctx ends.
func (n *Node) tick(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		changed := n.directory.Changed()
		n.applyFleet()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
			n.directory.RemoveExpired()
			n.peers.pools.Sweep(time.Now().Add(-idleFor))
			n.connections.sweep(n.idleLimit())
		}
	}
}

// setMembers tells the choice of sources which nodes there are: those beside
// instances, and those that sent requests.
func (n *Node) setMembers(v *fleet.View) {
	_, port, _ := net.SplitHostPort(n.settings().ControlAddress)
	var all []relay.Member
	for _, i := range v.Instances {
		if host, _, err := net.SplitHostPort(i.Address); err == nil {
			all = append(all, relay.Member{Address: net.JoinHostPort(host, port), Zone: i.Zone})
		}
	}
	beside := make([]string, 0, len(all))
	for _, m := range all {
		beside = append(beside, m.Address)
	}
	n.limits.members.Store(&beside)
	for _, host := range n.heard.hosts() {
		all = append(all, relay.Member{Address: net.JoinHostPort(host, port)})
	}
	n.choiceMu.Lock()
	defer n.choiceMu.Unlock()
	n.choice.SetMembers(all)
}

// idleLimit is how long a caller's connection may stay without a request.
func (n *Node) idleLimit() time.Duration {
	v := n.snapshot.Load()
	if v == nil || v.CallerLimits.IdleMs == 0 {
		return idleTimeout
	}
	return time.Duration(v.CallerLimits.IdleMs) * time.Millisecond
}

// applyFleet hands what is known of the instances to those who decide by it.
func (n *Node) applyFleet() {
	v := n.directory.View()
	n.chooser.SetTargets(n.targets(v))
	nodes := map[string]bool{}
	for _, i := range v.Instances {
		nodes[i.Address] = true
	}
	n.setMembers(v)
	n.quota.SetNodeCount(len(nodes))
	n.setBudget(len(nodes))
	if i := v.ByAddress[n.settings().BackendAddress]; i != nil {
		n.door.SetSlots(i.Slots)
	}
	n.updateDoor()
}

// targets lists the nodes beside the instances. All nodes take the requests of
// others at the same port.
func (n *Node) targets(v *fleet.View) []balance.Target {
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

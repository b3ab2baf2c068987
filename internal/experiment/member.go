package experiment

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"quetzaldock.example/quetzaldock/internal/node"
	"quetzaldock.example/quetzaldock/internal/operator"
	"quetzaldock.example/quetzaldock/internal/standin"
	"quetzaldock.example/quetzaldock/internal/tlsfiles"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

const (
	// plannedStopMs limits a planned stop; it is longer than any call.
	plannedStopMs = 5000
	// killStopMs makes a stop so short that it cuts off running calls, as a
	// killed process does.
	killStopMs = 1
	// stopTimeout is how long the fleet waits for a node's Run to return.
	stopTimeout = 15 * time.Second
	// versionInForceMessage is the log message of a node that has put a version
	// in force; it has the attribute "version". The version is taken from the log
	// because requests to the operator port of every node at each sampleInterval
	// would disturb the measurement.
	versionInForceMessage = "configuration in force"
)

// A member is one host of a localFleet: a node and its backend server.
type member struct {
	host    config.Host
	backend *standin.BackendServer
	// settings contain the bound addresses after the first start, so that a
	// restarted node uses the same.
	settings node.Settings
	// advertisedControl is the control address that the node advertises to
	// others; empty means its own.
	advertisedControl string
	authority         *tlsfiles.Authority
	logHandler        slog.Handler
	fixedSplit        bool
	bound             bool // settings hold the bound addresses

	version     atomic.Uint64 // in force, 0 if the node does not run
	incarnation atomic.Int64  // raised by each start of the node

	mu     sync.Mutex
	node   *node.Node
	cancel context.CancelFunc
	done   chan struct{}
}

// bind creates a node and opens its listeners.
func (m *member) bind() error {
	t, err := m.authority.Issue(m.host.ID)
	if err != nil {
		return err
	}
	n := node.New(m.settings)
	n.TLS, n.FixedSplit = t, m.fixedSplit
	n.Log = slog.New(&versionRecorder{Handler: m.logHandler, version: &m.version})
	if err := n.Bind(); err != nil {
		return FleetFailed.Wrap(err, "cannot start the node of %s", m.host.ID)
	}
	if !m.bound {
		m.settings, m.bound = n.Settings, true
	}
	if m.advertisedControl != "" {
		n.Settings.ControlAddress = m.advertisedControl
	}
	m.node = n
	return nil
}

// run starts the node that bind created.
func (m *member) run() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel, m.done = cancel, make(chan struct{})
	m.incarnation.Add(1)
	go func(n *node.Node, done chan struct{}) {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			n.Log.Error("node ended", "error", err)
		}
	}(m.node, m.done)
}

// start creates and runs the node again after stop.
func (m *member) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.node != nil {
		return FleetFailed.New("the node of %s is already running", m.host.ID)
	}
	if err := m.bind(); err != nil {
		return err
	}
	m.run()
	return nil
}

// stop ends the node and waits until it has ended. Calls that run longer than
// stopMs are cut off.
func (m *member) stop(stopMs int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.node == nil {
		return nil
	}
	m.node.Settings.StopMs = stopMs
	m.cancel()
	select {
	case <-m.done:
	case <-time.After(stopTimeout):
		return FleetFailed.New("the node of %s did not end within %s", m.host.ID, stopTimeout)
	}
	m.node = nil
	m.version.Store(0)
	return nil
}

// hostEntry returns the entry of the host in the published host list.
func (m *member) hostEntry(state hosts.State) hosts.Host {
	return hosts.Host{
		ID: m.host.ID, Service: m.host.Service, Zone: m.host.Zone, State: state,
		CallAddress: m.settings.CallAddress, ControlAddress: m.settings.ControlAddress,
	}
}

// status requests the status from the node's operator port; it is empty if there
// is no answer.
func (m *member) status(ctx context.Context) *operator.Status {
	s, err := operator.FetchStatus(ctx, m.settings.OperatorAddress)
	if err != nil {
		return &operator.Status{}
	}
	return s
}

// A versionRecorder is a log handler that stores the version which a node logs
// as being in force.
type versionRecorder struct {
	slog.Handler
	version *atomic.Uint64
}

// Enabled implements slog.Handler. versionInForceMessage has level Info.
func (v *versionRecorder) Enabled(ctx context.Context, l slog.Level) bool {
	return l >= slog.LevelInfo || v.Handler.Enabled(ctx, l)
}

// Handle implements slog.Handler.
func (v *versionRecorder) Handle(ctx context.Context, r slog.Record) error {
	if r.Message == versionInForceMessage {
		r.Attrs(func(a slog.Attr) bool {
			if a.Key == "version" {
				v.version.Store(a.Value.Resolve().Uint64())
			}
			return true
		})
	}
	if !v.Handler.Enabled(ctx, r.Level) {
		return nil
	}
	return v.Handler.Handle(ctx, r)
}

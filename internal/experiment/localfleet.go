package experiment

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/internal/node"
	"quetzaldock.example/quetzaldock/internal/standin"
	"quetzaldock.example/quetzaldock/internal/tlsfiles"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

const (
	// readyTimeout limits the start of a fleet.
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
	// hostListLag is how long a change takes to show in the published host list.
	hostListLag = time.Second
)

// FleetOptions describe a fleet in this process.
type FleetOptions struct {
	Deployment *Deployment
	// Publication is the configuration that the fleet starts with.
	Publication *Publication
	Seed        uint64
	// Network puts fault proxies between the nodes.
	Network bool
	// FixedSplit gives each host a fixed share of an account's rate in place of
	// lending between hosts.
	FixedSplit bool
	// Log receives the log lines of the nodes from LogLevel on; nil drops them.
	Log      io.Writer
	LogLevel slog.Level
}

// A localFleet is a fleet of nodes in this process, with imitated backend
// servers and an imitated configuration service.
type localFleet struct {
	configService *standin.ConfigService
	executions    *standin.Executions
	network       *network // nil without proxies
	zones         []string
	members       []*member
	byID          map[string]*member

	mu           sync.Mutex
	listedStates map[string]hosts.State // by ID, listed hosts only
	listTimers   []*time.Timer
	closed       bool
}

// StartFleet starts a fleet, publishes its configuration and waits until every
// node has that in force and accepts calls with account keys.
func StartFleet(ctx context.Context, o FleetOptions) (*Fleet, error) {
	l := &localFleet{
		configService: standin.NewConfigService(), executions: standin.NewExecutions(), zones: o.Deployment.Zones,
		byID: map[string]*member{}, listedStates: map[string]hosts.State{},
	}
	if err := l.start(o); err != nil {
		l.close()
		return nil, err
	}
	if err := l.awaitReady(ctx, o.Publication.Version); err != nil {
		l.close()
		return nil, err
	}
	f := l.asFleet()
	f.Hosts = o.Deployment.Hosts()
	return f, nil
}

// start publishes the configuration and the host list, and starts all processes.
func (f *localFleet) start(o FleetOptions) error {
	manifest, parts, err := o.Publication.Encode()
	if err != nil {
		return FleetFailed.Wrap(err, "cannot encode the configuration")
	}
	a, err := tlsfiles.NewAuthority()
	if err != nil {
		return err
	}
	if err := f.configService.Start(); err != nil {
		return err
	}
	if err := f.configService.Publish(manifest, parts); err != nil {
		return err
	}
	if o.Network {
		if f.network, err = newNetwork(f.zones, f.configService.Address(), o.Seed); err != nil {
			return err
		}
	}
	for i, h := range o.Deployment.Hosts() {
		m := &member{host: h, authority: a, logHandler: slog.DiscardHandler, fixedSplit: o.FixedSplit}
		if o.Log != nil {
			m.logHandler = slog.NewTextHandler(o.Log, &slog.HandlerOptions{Level: o.LogLevel}).WithAttrs([]slog.Attr{slog.String("node", h.ID)})
		}
		if err := f.addMember(m, o, uint64(i)); err != nil {
			return err
		}
	}
	if err := f.publishHosts(); err != nil {
		return err
	}
	for _, m := range f.members {
		m.run()
	}
	return nil
}

// addMember starts the backend server and, with a network, the proxies of a host
// and opens the listeners of its node.
func (f *localFleet) addMember(m *member, o FleetOptions, index uint64) error {
	s := o.Deployment.Service(m.host.Service)
	b := standin.NewBackendServer(m.host.ID, f.executions)
	b.Slots, b.MedianServiceTime, b.Seed = o.Deployment.Slots, s.ServiceTime, o.Seed+index
	if err := b.Start(); err != nil {
		return err
	}
	m.backend = b
	f.members = append(f.members, m)
	f.byID[m.host.ID] = m
	m.settings = node.Settings{
		Host: m.host.ID, Service: m.host.Service, Zone: m.host.Zone,
		CallerAddress: "127.0.0.1:0", CallAddress: "127.0.0.1:0", ControlAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
		BackendAddress: b.Address(), PlatformURL: f.configService.URL(), FleetHint: len(o.Deployment.Hosts()),
		LogLevel: "Info", StopMs: plannedStopMs,
	}
	if f.network != nil {
		for i, z := range f.zones {
			if z == m.host.Zone {
				m.settings.PlatformURL = "http://" + f.network.sourceProxies[z].Address() + "/views/" + viewName(i)
			}
		}
	}
	if err := m.bind(); err != nil {
		return err
	}
	b.CallerAddress = m.settings.CallerAddress
	f.listedStates[m.host.ID] = hosts.Live
	if f.network == nil {
		return nil
	}
	if err := f.network.addHost(m.hostEntry(hosts.Live), o.Seed); err != nil {
		return err
	}
	m.advertisedControl = f.network.advertisedControl[m.host.ID].Address()
	m.node.Settings.ControlAddress = m.advertisedControl
	return nil
}

// awaitReady waits until every node has the version in force and accepts calls
// with account keys.
func (f *localFleet) awaitReady(ctx context.Context, version uint64) error {
	end := time.Now().Add(readyTimeout)
	for _, m := range f.members {
		for {
			s := m.status(ctx)
			if s.Version == version && s.KeyedAllowed {
				break
			}
			if time.Now().After(end) || !sleepUntil(ctx, time.Now().Add(readyPollInterval)) {
				return FleetFailed.New("the node of %s is not ready: version %d, keyed calls %t", m.host.ID, s.Version, s.KeyedAllowed)
			}
		}
	}
	return nil
}

// publishHosts writes the host list to the configuration service. With a network
// each zone has a list of its own with the addresses of its proxies.
func (f *localFleet) publishHosts() error {
	f.mu.Lock()
	var l hosts.List
	for _, m := range f.members {
		if s, ok := f.listedStates[m.host.ID]; ok {
			l.Hosts = append(l.Hosts, m.hostEntry(s))
		}
	}
	f.mu.Unlock()
	if f.network == nil {
		return f.configService.SetHosts(l)
	}
	for i, z := range f.zones {
		if err := f.configService.SetHostsForView(viewName(i), f.network.hostListFor(z, l)); err != nil {
			return err
		}
	}
	return nil
}

// setListedState changes a host's state in the published host list after
// hostListLag; an empty state removes the host from the list.
func (f *localFleet) setListedState(id string, s hosts.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.listTimers = append(f.listTimers, time.AfterFunc(hostListLag, func() {
		f.mu.Lock()
		if s == "" {
			delete(f.listedStates, id)
		} else {
			f.listedStates[id] = s
		}
		f.mu.Unlock()
		_ = f.publishHosts()
	}))
}

func (f *localFleet) close() {
	f.mu.Lock()
	f.closed = true
	for _, t := range f.listTimers {
		t.Stop()
	}
	f.mu.Unlock()
	_ = f.forEachMember(func(m *member) error { return m.stop(killStopMs) })
	for _, m := range f.members {
		m.backend.Close()
	}
	if f.network != nil {
		f.network.close()
	}
	f.configService.Close()
}

// forEachMember calls action for all members concurrently and returns the first
// error in the order of the members.
func (f *localFleet) forEachMember(action func(*member) error) error {
	errs := make([]error, len(f.members))
	var wg sync.WaitGroup
	for i, m := range f.members {
		wg.Go(func() { errs[i] = action(m) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

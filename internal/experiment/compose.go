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
	// readyTimeout bounds the start of a fleet.
	readyTimeout = 20 * time.Second
	readyPoll    = 50 * time.Millisecond
	// listLag is how far the platform's host list lags behind.
	listLag = time.Second
)

// FleetOptions say how a fleet in this process is composed.
type FleetOptions struct {
	Deployment  *Deployment
	Publication *Publication
	Seed        uint64
	// Network puts fault proxies between the nodes.
	Network bool
	// FixedSplit replaces lent shares of the rates by fixed ones.
	FixedSplit bool
	// Log gets the nodes' log lines from LogLevel on; nil drops them.
	Log      io.Writer
	LogLevel slog.Level
}

// A composition is a fleet of nodes, backend servers and a platform in this
// process.
type composition struct {
	platform   *standin.ConfigService
	executions *standin.Executions
	network    *network // nil without proxies
	zones      []string
	members    []*member
	byID       map[string]*member

	mu     sync.Mutex
	states map[string]hosts.State // listed hosts
	timers []*time.Timer
	closed bool
}

// StartFleet composes a fleet, publishes its first configuration and waits
// until every node has it in force and accepts keys.
func StartFleet(ctx context.Context, o FleetOptions) (*Fleet, error) {
	c := &composition{
		platform: standin.NewConfigService(), executions: standin.NewExecutions(), zones: o.Deployment.Zones,
		byID: map[string]*member{}, states: map[string]hosts.State{},
	}
	if err := c.start(o); err != nil {
		c.close()
		return nil, err
	}
	if err := c.awaitReady(ctx, o.Publication.Version); err != nil {
		c.close()
		return nil, err
	}
	f := c.fleet()
	f.Hosts = o.Deployment.Hosts()
	return f, nil
}

func (c *composition) start(o FleetOptions) error {
	manifest, parts, err := o.Publication.Encode()
	if err != nil {
		return FleetFailed.Wrap(err, "cannot encode the configuration")
	}
	a, err := tlsfiles.NewAuthority()
	if err != nil {
		return err
	}
	if err := c.platform.Start(); err != nil {
		return err
	}
	if err := c.platform.Publish(manifest, parts); err != nil {
		return err
	}
	if o.Network {
		if c.network, err = newNetwork(c.zones, c.platform.Address(), o.Seed); err != nil {
			return err
		}
	}
	for i, h := range o.Deployment.Hosts() {
		m := &member{host: h, authority: a, logs: slog.DiscardHandler, fixedSplit: o.FixedSplit}
		if o.Log != nil {
			m.logs = slog.NewTextHandler(o.Log, &slog.HandlerOptions{Level: o.LogLevel}).WithAttrs([]slog.Attr{slog.String("node", h.ID)})
		}
		if err := c.addMember(m, o, uint64(i)); err != nil {
			return err
		}
	}
	if err := c.publishHosts(); err != nil {
		return err
	}
	for _, m := range c.members {
		m.run()
	}
	return nil
}

func (c *composition) addMember(m *member, o FleetOptions, index uint64) error {
	s := o.Deployment.Service(m.host.Service)
	b := standin.NewBackendServer(m.host.ID, c.executions)
	b.Slots, b.MedianServiceTime, b.Seed = o.Deployment.Slots, s.ServiceTime, o.Seed+index
	if err := b.Start(); err != nil {
		return err
	}
	m.backend = b
	c.members = append(c.members, m)
	c.byID[m.host.ID] = m
	m.settings = node.Settings{
		Host: m.host.ID, Service: m.host.Service, Zone: m.host.Zone,
		CallerAddress: "127.0.0.1:0", CallAddress: "127.0.0.1:0", ControlAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
		BackendAddress: b.Address(), PlatformURL: c.platform.URL(), FleetHint: len(o.Deployment.Hosts()),
		LogLevel: "Info", StopMs: plannedStopMs,
	}
	if c.network != nil {
		for i, z := range c.zones {
			if z == m.host.Zone {
				m.settings.PlatformURL = "http://" + c.network.sources[z].Address() + "/views/" + viewOf(i)
			}
		}
	}
	if err := m.bind(); err != nil {
		return err
	}
	b.CallerAddress = m.settings.CallerAddress
	c.states[m.host.ID] = hosts.Live
	if c.network == nil {
		return nil
	}
	if err := c.network.add(m.entry(hosts.Live), o.Seed); err != nil {
		return err
	}
	m.advertised = c.network.advertised[m.host.ID].Address()
	m.node.Settings.ControlAddress = m.advertised
	return nil
}

func (c *composition) awaitReady(ctx context.Context, version uint64) error {
	end := time.Now().Add(readyTimeout)
	for _, m := range c.members {
		for {
			s := m.status(ctx)
			if s.Version == version && s.KeyedAllowed {
				break
			}
			if time.Now().After(end) || !sleepUntil(ctx, time.Now().Add(readyPoll)) {
				return FleetFailed.New("the node of %s is not ready: version %d, keyed calls %t", m.host.ID, s.Version, s.KeyedAllowed)
			}
		}
	}
	return nil
}

// publishHosts writes the present host list, in each zone's view of it.
func (c *composition) publishHosts() error {
	c.mu.Lock()
	var l hosts.List
	for _, m := range c.members {
		if s, ok := c.states[m.host.ID]; ok {
			l.Hosts = append(l.Hosts, m.entry(s))
		}
	}
	c.mu.Unlock()
	if c.network == nil {
		return c.platform.SetHosts(l)
	}
	for i, z := range c.zones {
		if err := c.platform.SetHostsForView(viewOf(i), c.network.view(z, l)); err != nil {
			return err
		}
	}
	return nil
}

// list changes a host's state in the platform's list after its lag; an empty
// state takes the host off the list.
func (c *composition) list(id string, s hosts.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.timers = append(c.timers, time.AfterFunc(listLag, func() {
		c.mu.Lock()
		if s == "" {
			delete(c.states, id)
		} else {
			c.states[id] = s
		}
		c.mu.Unlock()
		_ = c.publishHosts()
	}))
}

func (c *composition) close() {
	c.mu.Lock()
	c.closed = true
	for _, t := range c.timers {
		t.Stop()
	}
	c.mu.Unlock()
	_ = c.each(func(m *member) error { return m.stop(killStopMs) })
	for _, m := range c.members {
		m.backend.Close()
	}
	if c.network != nil {
		c.network.close()
	}
	c.platform.Close()
}

// each does the same to all members at once and returns the first error.
func (c *composition) each(do func(*member) error) error {
	errs := make([]error, len(c.members))
	var wg sync.WaitGroup
	for i, m := range c.members {
		wg.Go(func() { errs[i] = do(m) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

package sidecar

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/fleet"
	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/relay"
)

// Guards against a node that starts after a restore, reads the store before the
// others do, and serves the copy's configuration because theirs counts as stale.
func TestStartBeforeTheOthersReadTheStoreTakesTheNewestConfiguration(t *testing.T) {
	m := newMesh(t, 3)
	copied := m.store.lastRevision()
	m.store.publish(routesDocument(7, 2))
	for _, n := range m.nodes {
		waitFor(t, "version 7", func() bool { return n.snapshot.Load().Version == 7 })
	}
	m.store.setFailure(errStoreRejects, "i-0", "i-1", "i-2")
	m.store.restore(copied)
	for _, n := range m.nodes {
		waitFor(t, "loss of the store", func() bool { return n.updateLog.Status().Age > 2*maxRelayAge })
	}
	host := nextLoopbackHost()
	m.start(t, host, newBackendAt(t, "i-3", host))
	started := m.nodes[3]
	waitFor(t, "first configuration", func() bool { return started.snapshot.Load() != nil })
	end := time.Now().Add(3 * time.Second)
	for started.snapshot.Load().Version != 7 {
		assert.Assert(t, time.Now().Before(end), "version %d", started.snapshot.Load().Version)
		sleep(t.Context(), 5*time.Millisecond)
	}
}

// Guards against a node that was cut off while a version came into force, reads the
// store again after a restore, and keeps an older version than the nodes that it
// reaches.
func TestNodeCutOffAcrossARestoreTakesTheNewestConfiguration(t *testing.T) {
	source := testNode(t, "127.0.0.1:9")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_, port, _ := net.SplitHostPort(l.Addr().String())
	go func() { _ = (&peer.Server{Updates: source.serveUpdates, Log: source.Log}).Serve(t.Context(), l) }()
	source.applyUpdate(&Update{Era: 2, Full: true, Revision: 5, ConfirmedAt: time.Now().Add(time.Hour), Published: routesDocument(7, 2)})
	n := New(Settings{Host: "b", Service: "desk", Zone: "north", CallAddress: "127.0.0.2:1", ControlAddress: readerAddress(port, relay.Member{Address: net.JoinHostPort("127.0.0.1", port), Zone: "south"}), BackendAddress: "127.0.0.2:10", MaxConnections: 1})
	n.HeaderNames = testHeaders
	n.buildComponents()
	defer func() { _ = n.metrics.Close() }()
	other := instanceStarted("i-1", "127.0.0.1:9", 1000, 0)
	other.Instance.Zone = "south"
	var era atomic.Uint64
	era.Store(1)
	n.Source = Source{
		List: func(context.Context) (*Update, error) {
			return &Update{Era: era.Load(), Revision: 5, Published: routesDocument(1, 2), Changes: []fleet.Change{other}}, nil
		},
		Watch: func(ctx context.Context, _ relay.Position, wait time.Duration) (*Update, error) {
			sleep(ctx, min(wait, 20*time.Millisecond))
			return &Update{Era: era.Load(), Revision: 5}, nil
		},
	}
	n.applyUpdate(&Update{Era: 1, Full: true, Revision: 5, ConfirmedAt: time.Now(), Published: routesDocument(1, 2), Changes: []fleet.Change{other}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { n.followSources(ctx); close(done) }()
	defer func() { cancel(); <-done; n.background.Wait() }()
	waitFor(t, "first era", func() bool { return n.storeStatus().Era == 1 })
	era.Store(2)
	waitFor(t, "second era", func() bool { return n.storeStatus().Era == 2 })
	for end := time.Now().Add(3 * time.Second); n.snapshot.Load().Version != 7; sleep(t.Context(), 5*time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "version %d", n.snapshot.Load().Version)
	}
}

// readerAddress returns a control address in zone north of a node that reads the store
// and not the other one.
func readerAddress(port string, other relay.Member) string {
	for i := 2; ; i++ {
		c := relay.SourceSelector{Self: relay.Member{Address: net.JoinHostPort(fmt.Sprintf("127.0.2.%d", i), port), Zone: "north"}}
		c.SetMembers([]relay.Member{other})
		if s, _ := c.Next(time.Now()); s == relay.StoreSource {
			return c.Self.Address
		}
	}
}

// Guards against a node that keeps the configuration of a copy because the first nodes
// that it asks for a newer one do not answer.
func TestConfigurationIsReadFromNodesThatAnswer(t *testing.T) {
	source := testNode(t, "127.0.0.1:9")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_, port, _ := net.SplitHostPort(l.Addr().String())
	go func() { _ = (&peer.Server{Updates: source.serveUpdates, Log: source.Log}).Serve(t.Context(), l) }()
	source.applyUpdate(&Update{Era: 2, Full: true, Revision: 5, ConfirmedAt: time.Now().Add(time.Hour), Published: routesDocument(7, 2)})
	live := net.JoinHostPort("127.0.0.1", port)
	var all []fleet.Change
	addresses := []string{live}
	for i := range 6 {
		host := fmt.Sprintf("127.0.0.%d", 20+i)
		all = append(all, instanceStarted(fmt.Sprintf("i-%d", 2+i), host+":9", 1000, 0))
		addresses = append(addresses, net.JoinHostPort(host, port))
	}
	all = append(all, instanceStarted("i-1", "127.0.0.1:9", 1000, 0))
	self := ""
	for i := 2; self == ""; i++ {
		a := net.JoinHostPort(fmt.Sprintf("127.0.1.%d", i), port)
		if r := hosts.Rank(a, addresses); !slices.Contains(r[:3], live) {
			self = a
		}
	}
	n := New(Settings{Host: "b", Service: "desk", Zone: "north", CallAddress: "127.0.0.2:1", ControlAddress: self, BackendAddress: "127.0.0.2:10", MaxConnections: 1})
	n.HeaderNames = testHeaders
	n.buildComponents()
	defer func() { _ = n.metrics.Close() }()
	n.applyUpdate(&Update{Era: 2, Full: true, Revision: 5, ConfirmedAt: time.Now(), Published: routesDocument(1, 2), Changes: all})
	assert.Equal(t, len(n.sourceSelector.Nodes()), 7)
	n.readOtherConfigs(t.Context())
	assert.Equal(t, n.snapshot.Load().Version, uint64(7))
}

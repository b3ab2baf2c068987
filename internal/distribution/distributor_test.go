package distribution_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/configservice"
	"quetzaldock.example/quetzaldock/internal/distribution"
	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/replication"
)

// Guards against goroutines that are left after Run has returned.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A fakeSource is an HTTP handler that serves as the configuration service.
type fakeSource struct {
	mu            sync.Mutex
	revision      uint64
	values        map[string][]byte
	revisionByKey map[string]uint64
	unavailable   bool
}

func (s *fakeSource) set(key string, b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values == nil {
		s.values, s.revisionByKey = map[string][]byte{}, map[string]uint64{}
	}
	s.revision++
	s.values[key], s.revisionByKey[key] = b, s.revision
}

func (s *fakeSource) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

func (s *fakeSource) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	key := strings.TrimPrefix(q.URL.Path, "/v1/values/")
	after, watch := q.URL.Query().Get("after"), q.URL.Query().Has("after")
	wait, _ := strconv.Atoi(q.URL.Query().Get("wait_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		b, rev, unavailable := s.values[key], s.revisionByKey[key], s.unavailable
		s.mu.Unlock()
		switch a, _ := strconv.ParseUint(after, 10, 64); {
		case unavailable:
			w.WriteHeader(http.StatusInternalServerError)
			return
		case b == nil:
			w.WriteHeader(http.StatusNotFound)
			return
		case !watch || rev > a:
			w.Header().Set("Revision", strconv.FormatUint(rev, 10))
			_, _ = w.Write(b)
			return
		case time.Now().After(end):
			w.Header().Set("Revision", strconv.FormatUint(rev, 10))
			w.WriteHeader(http.StatusNotModified)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *fakeSource) publish(t *testing.T, version uint64, parts map[string]config.Document) {
	t.Helper()
	m, files, err := config.Encode(version, parts)
	assert.NilError(t, err)
	for d, b := range files {
		s.set("parts/"+d, b)
	}
	s.set("manifest", m)
}

func ptr[T any](v T) *T { return &v }

// newDocument returns the parts of a valid configuration.
func newDocument(zones, hostCount int) map[string]config.Document {
	d := config.Document{
		Defaults: &config.Values{
			Slots: ptr(12), ColdSlots: ptr(2), ConnectionsPerSecond: ptr(100), QueuePerAccount: ptr(20),
			CallTimeoutMs: ptr(1000), RetryPercent: ptr(10), MaxHeaderBytes: ptr(16384),
			Rate: ptr(100.0), Burst: ptr(50.0),
		},
		Services: []config.Service{{Name: "entry"}},
		Routes:   []config.Route{{Prefix: "/", Service: "entry"}},
	}
	for z := range zones {
		d.Zones = append(d.Zones, config.AvailabilityZone{Name: fmt.Sprintf("z%d", z), Region: "r"})
	}
	for i := range hostCount {
		d.Hosts = append(d.Hosts, config.Host{ID: fmt.Sprintf("h%d", i), Service: "entry", Zone: fmt.Sprintf("z%d", i%zones)})
	}
	return map[string]config.Document{"all": d}
}

// A cluster is a set of nodes connected over loopback TCP.
type cluster struct {
	t        *testing.T
	url      string
	hostList hosts.List
	nodes    []*distribution.Distributor
	stopNode []func()
}

// startCluster starts n nodes in the given number of zones.
func startCluster(t *testing.T, s *fakeSource, n, zones int) *cluster {
	t.Helper()
	web := httptest.NewServer(s)
	t.Cleanup(web.Close)
	c := &cluster{t: t, url: web.URL, hostList: hosts.List{Revision: 1}}
	var listeners []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners = append(listeners, l)
		c.hostList.Hosts = append(c.hostList.Hosts, hosts.Host{
			ID: fmt.Sprintf("h%d", i), Zone: fmt.Sprintf("z%d", i%zones), Service: "entry",
			ControlAddress: l.Addr().String(), State: hosts.Live,
		})
	}
	b, err := toml.Marshal(c.hostList)
	assert.NilError(t, err)
	s.set("hosts", b)
	for i, l := range listeners {
		d, stopNode := c.startNode(i, l, nil)
		c.nodes = append(c.nodes, d)
		c.stopNode = append(c.stopNode, stopNode)
	}
	t.Cleanup(func() {
		for _, stopNode := range c.stopNode {
			stopNode()
		}
	})
	return c
}

// startNode starts node i and returns the function that stops it.
func (c *cluster) startNode(i int, l net.Listener, seeds []string) (*distribution.Distributor, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	web, p := configservice.New(c.url), &peer.Client{Meter: &peer.Meter{}}
	d := distribution.New(c.hostList.Hosts[i], seeds, web, p, slog.New(slog.DiscardHandler))
	v := &peer.Server{Exchange: d.HandleExchange, Push: d.HandlePush, Pull: d.HandlePull}
	var loops sync.WaitGroup
	loops.Go(func() { assert.Check(c.t, d.Run(ctx)) })
	loops.Go(func() { assert.Check(c.t, v.Serve(ctx, l)) })
	return d, sync.OnceFunc(func() { cancel(); loops.Wait(); p.Close(); web.Close() })
}

// waitUntil waits up to 30 s until the condition holds.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not reached: %s", what)
}

func allHaveVersion(nodes []*distribution.Distributor, v uint64) func() bool {
	return func() bool {
		for _, d := range nodes {
			if c := d.Replica.Current(); c == nil || c.Version != v {
				return false
			}
		}
		return true
	}
}

// Guards against nodes that do not get a new version over real connections.
func TestNodesConverge(t *testing.T) {
	s := &fakeSource{}
	s.publish(t, 1, newDocument(2, 4))
	nodes := startCluster(t, s, 4, 2).nodes
	waitUntil(t, "version 1 everywhere", allHaveVersion(nodes, 1))
	d := newDocument(2, 4)
	all := d["all"]
	all.Zones[1].Out = true
	s.publish(t, 2, map[string]config.Document{"all": all})
	waitUntil(t, "version 2 everywhere", allHaveVersion(nodes, 2))
	for _, d := range nodes {
		assert.Assert(t, d.Replica.KeyedAllowed(time.Now()))
	}
}

// Guards against a node that cannot start while the source is down although its
// peers have a version in force, and against an outage of the source that makes
// nodes refuse keyed calls.
func TestRestartDuringSourceOutage(t *testing.T) {
	s := &fakeSource{}
	s.publish(t, 1, newDocument(2, 4))
	c := startCluster(t, s, 4, 2)
	waitUntil(t, "version 1 everywhere", allHaveVersion(c.nodes, 1))
	s.setUnavailable(true)
	c.stopNode[3]()
	l, err := net.Listen("tcp", c.hostList.Hosts[3].ControlAddress)
	assert.NilError(t, err)
	c.nodes[3], c.stopNode[3] = c.startNode(3, l, []string{c.hostList.Hosts[0].ControlAddress})
	waitUntil(t, "restarted node at version 1", allHaveVersion(c.nodes, 1))
	waitUntil(t, "confirmations older than the outage", func() bool {
		return c.nodes[0].Replica.ExchangeReply().Summary.ConfirmedAgeMs > 2*replication.FreshnessWindow.Milliseconds()
	})
	for i, d := range c.nodes {
		waitUntil(t, fmt.Sprintf("node %d accepts keyed calls", i), func() bool { return d.Replica.KeyedAllowed(time.Now()) })
	}
	s.setUnavailable(false)
	s.publish(t, 2, newDocument(2, 3))
	waitUntil(t, "version 2 everywhere", allHaveVersion(c.nodes, 2))
}

// Guards against calls that wait for the floor longer than their deadline, or
// do not wait for it.
func TestAwaitFloor(t *testing.T) {
	s := &fakeSource{}
	s.publish(t, 1, newDocument(1, 1))
	c := startCluster(t, s, 1, 1)
	d := c.nodes[0]
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	assert.Assert(t, !d.AwaitFloor(ctx), "not ready yet")
	waitUntil(t, "version 1", allHaveVersion(c.nodes, 1))
	assert.Assert(t, d.AwaitFloor(t.Context()))
	d.Replica.RaiseFloor(2)
	s.publish(t, 2, newDocument(1, 1))
	assert.Assert(t, d.AwaitFloor(t.Context()))
	assert.Assert(t, d.Replica.Current().Version == 2 || !d.Replica.Behind(time.Now()))
}

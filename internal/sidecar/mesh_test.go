package sidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fleet"
	"quetzaldock.example/quetzaldock/pkg/relay"
)

// errStoreRejects is the error of a store that rejects nodes.
var errStoreRejects = namespace.NewType("unread").New("503")

// testHeaders are the header names of the test deployment.
var testHeaders = HeaderNames{
	RequestID: "X-Request", TimeLeft: "X-Left", Key: "X-Key", Account: "X-Account", CallerService: "X-Caller",
	ExpectedInstance: "X-Expected", NotExecuted: "X-Not-Executed", ColdTimeLeft: "X-Cold",
}

// A memoryStore is a store in memory whose entries a test sets.
type memoryStore struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	log      []Update
	// watches counts the watches of each node.
	watches map[string]int
	entries map[string]fleet.Change
	config  *PublishedConfig
	changed chan struct{}
	// readErr, if set, is the error of every read by the nodes in failingNodes,
	// or by all nodes if that is empty.
	readErr      error
	failingNodes map[string]bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{entries: map[string]fleet.Change{}, watches: map[string]int{}, changed: make(chan struct{})}
}

func (s *memoryStore) publish(p *PublishedConfig, changes ...fleet.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(p, changes)
	close(s.changed)
	s.changed = make(chan struct{})
}

// write applies one write. The caller holds the mutex.
func (s *memoryStore) write(p *PublishedConfig, changes []fleet.Change) {
	s.revision++
	for _, c := range changes {
		switch c.Kind {
		case fleet.InstanceSet:
			s.entries[c.Instance.ID] = c
		case fleet.InstanceRemoved:
			delete(s.entries, c.ID)
		case fleet.ZoneOut:
			s.entries["zone "+c.Zone] = c
		case fleet.ZoneIn:
			delete(s.entries, "zone "+c.Zone)
		}
	}
	if p != nil {
		s.config = p
	}
	s.log = append(s.log, Update{Revision: s.revision, Changes: changes, Published: p})
}

// restore goes back to the state as of a revision, as after a return from a copy.
func (s *memoryStore) restore(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.log[:revision]
	s.era++
	s.revision, s.log, s.config, s.entries = 0, nil, nil, map[string]fleet.Change{}
	for i := range kept {
		s.write(kept[i].Published, kept[i].Changes)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// lastRevision returns the revision of the last write.
func (s *memoryStore) lastRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *memoryStore) setFailure(err error, nodes ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readErr, s.failingNodes = err, map[string]bool{}
	for _, n := range nodes {
		s.failingNodes[n] = true
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// watchCounts returns the number of watches of each node.
func (s *memoryStore) watchCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.watches)
}

// source returns the store as one node reads it.
func (s *memoryStore) source(node string) Source {
	return Source{
		List: func(context.Context) (*Update, error) { return s.list(node) },
		Watch: func(ctx context.Context, after relay.Position, wait time.Duration) (*Update, error) {
			return s.watch(ctx, node, after.Revision, wait)
		},
	}
}

// errorFor returns the error of a read by the node. The caller holds the mutex.
func (s *memoryStore) errorFor(node string) error {
	if len(s.failingNodes) > 0 && !s.failingNodes[node] {
		return nil
	}
	return s.readErr
}

func (s *memoryStore) list(node string) (*Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.errorFor(node); err != nil {
		return nil, err
	}
	u := &Update{Era: s.era, Revision: s.revision, Published: s.config}
	for _, c := range s.entries {
		u.Changes = append(u.Changes, c)
	}
	return u, nil
}

func (s *memoryStore) watch(ctx context.Context, node string, after uint64, wait time.Duration) (*Update, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	s.mu.Lock()
	s.watches[node]++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		changed, fail := s.changed, s.errorFor(node)
		u := &Update{Era: s.era, Revision: s.revision}
		compacted := after > s.revision
		for i := range s.log {
			if s.log[i].Revision > after {
				u.Changes = append(u.Changes, s.log[i].Changes...)
				if s.log[i].Published != nil {
					u.Published = s.log[i].Published
				}
			}
		}
		s.mu.Unlock()
		if fail != nil {
			return nil, fail
		}
		if compacted {
			return nil, ErrCompacted.New("revision %d is after %d", after, u.Revision)
		}
		if len(u.Changes) > 0 || u.Published != nil {
			return u, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-t.C:
			return u, nil
		case <-changed:
		}
	}
}

// A backendServer is an instance whose responses a test sets.
type backendServer struct {
	id       string
	listener net.Listener
	server   *http.Server
	handle   http.HandlerFunc
	// health, if set, answers health checks.
	health atomic.Pointer[http.HandlerFunc]

	mu   sync.Mutex
	runs []*http.Request
}

func newBackend(t *testing.T, id string) *backendServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := &backendServer{id: id, listener: l}
	b.handle = func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, b.id+" "+r.RequestURI) }
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }()
	t.Cleanup(func() { _ = b.server.Close() })
	return b
}

// ServeHTTP implements http.Handler.
func (b *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testHeaders.RequestID, r.Header.Get(testHeaders.RequestID))
	if r.URL.Path == "/health" {
		if h := b.health.Load(); h != nil {
			(*h)(w, r)
		}
		return
	}
	if r.Header.Get(testHeaders.ExpectedInstance) != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.runs = append(b.runs, r)
	b.mu.Unlock()
	b.handle(w, r)
}

// echoedID returns the header line with which an instance echoes the ID of a request.
func echoedID(r *http.Request) string {
	return testHeaders.RequestID + ": " + r.Header.Get(testHeaders.RequestID) + "\r\n"
}

// firstRun returns the first request that ran.
func (b *backendServer) firstRun() *http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[0]
}

func (b *backendServer) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.runs)
}

func (b *backendServer) instanceChange(zone string) fleet.Change {
	return fleet.Change{Kind: fleet.InstanceSet, Instance: fleet.Instance{
		ID: b.id, Service: "desk", Zone: zone, Address: b.listener.Addr().String(), Slots: 4, Born: 1,
	}}
}

// A mesh is a few nodes in this process. Each has its own loopback address,
// because the ports are the same on all hosts.
type mesh struct {
	store    *memoryStore
	nodes    []*Node
	backends []*backendServer
	stops    []func()
	// configure, if set, changes each node before it runs.
	configure func(n *Node)
	// settingsFile, if set, is the file from which nodes reload their settings.
	settingsFile atomic.Pointer[string]
}

var (
	usedMu    sync.Mutex
	usedHosts int
)

// nextLoopbackHost returns a loopback address that no other test uses. The second
// octet keeps runs of this package apart that take place at the same time.
func nextLoopbackHost() string {
	usedMu.Lock()
	defer usedMu.Unlock()
	usedHosts++
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%254, usedHosts/250, 1+usedHosts%250)
}

// The ports of each node, below those that the system gives to clients.
const (
	testCallerPort   = "18365"
	testCallPort     = "18366"
	testControlPort  = "18367"
	testOperatorPort = "18368"
	testReadyPort    = "18369"
)

func testDocument() config.Document {
	intPtr := func(n int) *int { return &n }
	floatPtr := func(f float64) *float64 { return &f }
	return config.Document{
		Defaults: &config.Values{
			Slots: intPtr(4), ColdSlots: intPtr(1), ConnectionsPerSecond: intPtr(100), QueuePerAccount: intPtr(8),
			CallTimeoutMs: intPtr(1000), RetryPercent: intPtr(10), MaxHeaderBytes: intPtr(4096),
			Rate: floatPtr(config.UnlimitedRate), Burst: floatPtr(1),
		},
		Services: []config.Service{{Name: "desk", HealthPath: "/health"}},
		Accounts: []config.ClientAccount{{Name: "club", Keys: []string{config.DigestOf([]byte("secret"))}}},
		Routes: []config.Route{
			{VirtualHost: "mesh", Prefix: "/list/", Service: "desk", Kind: config.RouteSafe, TimeoutMs: 1500, ObjectiveMs: 1000, Attempts: 2},
			{VirtualHost: "mesh", Prefix: "/entry/", Service: "desk", Kind: config.RouteUnsafe, TimeoutMs: 1500, ObjectiveMs: 1000, Attempts: 2},
			{VirtualHost: "mesh", Prefix: "/pack/", Service: "desk", Kind: config.RouteDownload, TimeoutMs: 1500, ObjectiveMs: 1000, Attempts: 2},
			{VirtualHost: "mesh", Prefix: "/open/", Service: "desk", Kind: config.RouteSafe, TimeoutMs: 1500, Open: true},
		},
	}
}

// newMesh starts n nodes, each beside a backend server of the service desk.
func newMesh(t *testing.T, n int) *mesh {
	t.Helper()
	return newMeshWith(t, n, nil)
}

// newMeshWith is newMesh for nodes that configure changes.
func newMeshWith(t *testing.T, n int, configure func(n *Node)) *mesh {
	t.Helper()
	m := &mesh{store: newMemoryStore(), configure: configure}
	m.store.publish(&PublishedConfig{Version: 1, Document: testDocument()})
	for i := range n {
		host := nextLoopbackHost()
		b := newBackendAt(t, fmt.Sprintf("i-%d", i), host)
		m.backends = append(m.backends, b)
		m.store.publish(nil, b.instanceChange("surco"))
		m.start(t, host, b)
	}
	for _, node := range m.nodes {
		waitFor(t, "ready", func() bool {
			return ready(node) && len(node.directory.View().Instances) == n && len(node.chooser.HostStatuses()) == n && node.admission.Load().Permits == 4
		})
	}
	return m
}

func newBackendAt(t *testing.T, id, host string) *backendServer {
	t.Helper()
	b := newBackend(t, id)
	l, err := net.Listen("tcp", host+":0")
	assert.NilError(t, err)
	b.listener = l
	go func() { _ = b.server.Serve(l) }()
	return b
}

// start runs one more node and returns a function that stops it gracefully.
func (m *mesh) start(t *testing.T, host string, b *backendServer) func() {
	t.Helper()
	n := New(Settings{
		Host: b.id, Service: "desk", Zone: "surco", CallerAddress: host + ":" + testCallerPort, CallAddress: host + ":" + testCallPort,
		ReadyAddress: host + ":" + testReadyPort, OperatorAddress: host + ":" + testOperatorPort, ControlAddress: host + ":" + testControlPort, BackendAddress: b.listener.Addr().String(),
		PlatformURL: "http://127.0.0.1:1", MemoryMB: 128, MaxConnections: 600, LogLevel: "Info",
	})
	n.HeaderNames, n.Source, n.ReadyPath = testHeaders, m.store.source(b.id), "/ready"
	n.StopPlan.AdmitFor, n.StopPlan.AcceptFor = 50*time.Millisecond, 100*time.Millisecond
	n.Bounds.MinOutage = 200 * time.Millisecond
	n.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	n.LoadSettings = func() (*Settings, error) {
		if f := m.settingsFile.Load(); f != nil {
			return ReadSettings(*f)
		}
		return n.settings(), nil
	}
	if m.configure != nil {
		m.configure(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	stop := sync.OnceFunc(func() {
		cancel()
		assert.Check(t, <-done)
	})
	t.Cleanup(stop)
	m.nodes = append(m.nodes, n)
	m.stops = append(m.stops, stop)
	return stop
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); {
		assert.Assert(t, time.Now().Before(end), "no %s", what)
		time.Sleep(5 * time.Millisecond)
	}
}

func ready(n *Node) bool {
	a, err := http.Get("http://" + n.Settings.ReadyAddress + "/ready")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// A response is what a caller received.
type response struct {
	status int
	body   string
	header http.Header
}

var requests atomic.Int64

// send sends one request with the key of the account club to a node. header lists
// names and values in turn.
func (m *mesh) send(t *testing.T, node int, method, path string, header ...string) response {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+m.nodes[node].Settings.CallerAddress+path, nil)
	assert.NilError(t, err)
	r.Host = "mesh"
	r.Header.Set(testHeaders.RequestID, fmt.Sprintf("r%d", requests.Add(1)))
	r.Header.Set(testHeaders.TimeLeft, "2000")
	r.Header.Set(testHeaders.Key, "secret")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	a, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	return response{a.StatusCode, string(b), a.Header}
}

func (m *mesh) runs() int {
	n := 0
	for _, b := range m.backends {
		n += b.count()
	}
	return n
}

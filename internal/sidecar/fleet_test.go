package sidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/operator"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fleet"
)

// testHeaders are those of a deployment that uses plain names.
var testHeaders = Headers{
	RequestID: "X-Request", TimeLeft: "X-Left", Key: "X-Key", Account: "X-Account", CallerService: "X-Caller",
	Expected: "X-Expected", NotExecuted: "X-Not-Executed", InstanceID: "X-Instance", ColdLeft: "X-Cold", InstanceLoad: "X-Load",
}

// A memoryStore is a store whose entries a test sets.
type memoryStore struct {
	mu       sync.Mutex
	revision uint64
	log      []Update
	entries  map[string]fleet.Change
	config   *Published
	changed  chan struct{}
	// fail, if set, is what every read returns, or every read of the nodes in
	// failFor if that is not empty.
	fail    error
	failFor map[string]bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{entries: map[string]fleet.Change{}, changed: make(chan struct{})}
}

func (s *memoryStore) publish(p *Published, changes ...fleet.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for _, c := range changes {
		switch c.Kind {
		case fleet.InstanceSet:
			s.entries[c.Instance.ID] = c
		case fleet.InstanceGone:
			delete(s.entries, c.ID)
		case fleet.ZoneOut:
			s.entries["zone "+c.Zone] = c
		case fleet.ZoneBack:
			delete(s.entries, "zone "+c.Zone)
		}
	}
	if p != nil {
		s.config = p
	}
	s.log = append(s.log, Update{Revision: s.revision, Changes: changes, Published: p})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) setFailure(err error, nodes ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail, s.failFor = err, map[string]bool{}
	for _, n := range nodes {
		s.failFor[n] = true
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// source is the store as one node reads it.
func (s *memoryStore) source(node string) Source {
	return Source{
		List: func(context.Context) (*Update, error) { return s.list(node) },
		Watch: func(ctx context.Context, after uint64, wait time.Duration) (*Update, error) {
			return s.watch(ctx, node, after, wait)
		},
	}
}

// failure returns what a read of the node fails with. The caller holds the
// mutex.
func (s *memoryStore) failure(node string) error {
	if len(s.failFor) > 0 && !s.failFor[node] {
		return nil
	}
	return s.fail
}

func (s *memoryStore) list(node string) (*Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failure(node); err != nil {
		return nil, err
	}
	u := &Update{Revision: s.revision, Published: s.config}
	for _, c := range s.entries {
		u.Changes = append(u.Changes, c)
	}
	return u, nil
}

func (s *memoryStore) watch(ctx context.Context, node string, after uint64, wait time.Duration) (*Update, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		s.mu.Lock()
		changed, fail := s.changed, s.failure(node)
		u := &Update{Revision: s.revision}
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

// A backendServer is an instance whose answers a test scripts.
type backendServer struct {
	id       string
	listener net.Listener
	server   *http.Server
	handle   http.HandlerFunc

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
	if r.URL.Path == "/health" {
		w.Header().Set(testHeaders.InstanceID, b.id)
		return
	}
	w.Header().Set(testHeaders.RequestID, r.Header.Get(testHeaders.RequestID))
	if r.Header.Get(testHeaders.Expected) != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.runs = append(b.runs, r)
	b.mu.Unlock()
	b.handle(w, r)
}

func (b *backendServer) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.runs)
}

func (b *backendServer) change(zone string) fleet.Change {
	return fleet.Change{Kind: fleet.InstanceSet, Instance: fleet.Instance{
		ID: b.id, Service: "desk", Zone: zone, Address: b.listener.Addr().String(), Slots: 4, Born: 1,
	}}
}

// A mesh is a few nodes, each with its own loopback address, since all nodes
// take the requests of others at the same port.
type mesh struct {
	store    *memoryStore
	nodes    []*Node
	backends []*backendServer
	stops    []func()
}

var (
	usedMu    sync.Mutex
	usedHosts int
)

// nextHost returns a loopback address that no other test uses.
func nextHost() string {
	usedMu.Lock()
	defer usedMu.Unlock()
	usedHosts++
	return fmt.Sprintf("127.7.%d.%d", usedHosts/250, 1+usedHosts%250)
}

const (
	testPort        = "18366"
	testControlPort = "18367"
)

func testDocument() config.Document {
	number := func(n int) *int { return &n }
	amount := func(f float64) *float64 { return &f }
	return config.Document{
		Defaults: &config.Values{
			Slots: number(4), ColdSlots: number(1), ConnectionsPerSecond: number(100), QueuePerAccount: number(8),
			CallTimeoutMs: number(1000), RetryPercent: number(10), MaxHeaderBytes: number(4096),
			Rate: amount(config.Unlimited), Burst: amount(1),
		},
		Services: []config.Service{{Name: "desk", HealthPath: "/health"}},
		Accounts: []config.ClientAccount{{Name: "club", Keys: []string{config.DigestOf([]byte("secret"))}}},
		Routes: []config.Route{
			{VirtualHost: "mesh", Prefix: "/list/", Service: "desk", Kind: config.Safe, TimeoutMs: 1500, ObjectiveMs: 1000, Attempts: 2},
			{VirtualHost: "mesh", Prefix: "/entry/", Service: "desk", Kind: config.Unsafe, TimeoutMs: 1500, ObjectiveMs: 1000, Attempts: 2},
			{VirtualHost: "mesh", Prefix: "/open/", Service: "desk", Kind: config.Safe, TimeoutMs: 1500, Open: true},
		},
	}
}

// newMesh starts n nodes, each beside a backend server of the service desk.
func newMesh(t *testing.T, n int) *mesh {
	t.Helper()
	m := &mesh{store: newMemoryStore()}
	m.store.publish(&Published{Version: 1, Document: testDocument()})
	for i := range n {
		host := nextHost()
		b := newBackendAt(t, fmt.Sprintf("i-%d", i), host)
		m.backends = append(m.backends, b)
		m.store.publish(nil, b.change("surco"))
		m.start(t, host, b)
	}
	for _, x := range m.nodes {
		waitFor(t, "ready", func() bool { return ready(x) && len(x.directory.View().Instances) == n && x.door.Load().Permits == 4 })
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

// start runs one more node and returns what stops it gracefully.
func (m *mesh) start(t *testing.T, host string, b *backendServer) func() {
	t.Helper()
	free := func() string {
		l, err := net.Listen("tcp", host+":0")
		assert.NilError(t, err)
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}
	n := New(Settings{
		Host: b.id, Service: "desk", Zone: "surco", CallerAddress: free(), CallAddress: host + ":" + testPort,
		ReadyAddress: free(), OperatorAddress: free(), ControlAddress: host + ":" + testControlPort, BackendAddress: b.listener.Addr().String(),
		PlatformURL: "http://127.0.0.1:1", MemoryMB: 128, MaxConnections: 600, LogLevel: "Info",
	})
	n.Headers, n.Source, n.ReadyPath = testHeaders, m.store.source(b.id), "/ready"
	n.StopPlan.Door, n.StopPlan.Callers = 50*time.Millisecond, 100*time.Millisecond
	n.Bounds.LeastOutage = 200 * time.Millisecond
	n.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
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

// An answer is what a caller got.
type answer struct {
	status int
	body   string
	header http.Header
}

var requests atomic.Int64

// ask sends one request with the key of the account club to a node.
func (m *mesh) ask(t *testing.T, node int, method, path string, header ...string) answer {
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
	return answer{a.StatusCode, string(b), a.Header}
}

func (m *mesh) runs() int {
	n := 0
	for _, b := range m.backends {
		n += b.count()
	}
	return n
}

// Guards against a path, key, account or caller service that arrives otherwise
// than it should at the backend server.
func TestRequestArrivesAsSent(t *testing.T) {
	m := newMesh(t, 2)
	for range 8 {
		a := m.ask(t, 0, http.MethodGet, "/list/a%2Fb/../c?q=1%202&z", "X-Account", "forged", "X-Caller", "forged", "X-Expected", "forged")
		assert.Equal(t, a.status, http.StatusOK, a.body)
		assert.Assert(t, strings.HasSuffix(a.body, " /list/a%2Fb/../c?q=1%202&z"), a.body)
	}
	for _, b := range m.backends {
		b.mu.Lock()
		for _, r := range b.runs {
			assert.Equal(t, r.Header.Get(testHeaders.Account), "club")
			assert.Equal(t, r.Header.Get(testHeaders.CallerService), "desk")
			assert.Equal(t, r.Header.Get(testHeaders.Key), "")
			assert.Equal(t, r.Host, "mesh")
		}
		b.mu.Unlock()
	}
}

// Guards against requests that run without a key that holds, and against
// routes that do not exist.
func TestRequestsThatAreNotAllowedDoNotRun(t *testing.T) {
	m := newMesh(t, 1)
	assert.Equal(t, m.ask(t, 0, http.MethodGet, "/list/1", "X-Key", "wrong").status, http.StatusUnauthorized)
	assert.Equal(t, m.ask(t, 0, http.MethodGet, "/nowhere/1").status, http.StatusNotFound)
	assert.Equal(t, m.ask(t, 0, http.MethodGet, "/list/1", "X-Left", "soon").status, http.StatusBadRequest)
	assert.Equal(t, m.runs(), 0)
	assert.Equal(t, m.ask(t, 0, http.MethodGet, "/open/1", "X-Key", "wrong").status, http.StatusOK)
	assert.Equal(t, m.backends[0].runs[0].Header.Get(testHeaders.Key), "")
	assert.Equal(t, m.backends[0].runs[0].Header.Get(testHeaders.Account), "")
}

// Guards against an unsafe request that runs again after its answer was lost,
// and against one reported as not run although it did.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	m := newMesh(t, 2)
	for _, b := range m.backends {
		b.handle = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	}
	a := m.ask(t, 0, http.MethodPost, "/entry/1")
	assert.Equal(t, a.status, http.StatusBadGateway)
	assert.Equal(t, m.runs(), 1)
}

// Guards against a safe request that fails although another instance could
// answer it, and against one that is sent to more instances than allowed.
func TestSafeRequestIsRepeatedWithinItsAttempts(t *testing.T) {
	m := newMesh(t, 3)
	for _, b := range m.backends {
		b.handle = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	}
	a := m.ask(t, 0, http.MethodGet, "/list/1")
	assert.Equal(t, a.status, http.StatusBadGateway)
	assert.Equal(t, m.runs(), 2)
}

// Guards against an answer cut short that looks whole, with and without a
// stated length.
func TestTruncatedAnswerIsNotPassedOnAsWhole(t *testing.T) {
	m := newMesh(t, 1)
	for _, length := range []string{"100", ""} {
		m.backends[0].handle = func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		assert.Equal(t, m.ask(t, 0, http.MethodPost, "/entry/1").status, http.StatusBadGateway)
	}
}

// Guards against an answer to another request that reaches this caller.
func TestAnswerToAnotherRequestIsNotPassedOn(t *testing.T) {
	m := newMesh(t, 1)
	m.backends[0].handle = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testHeaders.RequestID, "other")
		_, _ = io.WriteString(w, "for another")
	}
	a := m.ask(t, 0, http.MethodPost, "/entry/1")
	assert.Equal(t, a.status, http.StatusBadGateway)
	assert.Assert(t, !strings.Contains(a.body, "for another"))
}

// Guards against work that goes on after its caller has left.
func TestCallerThatLeavesEndsItsWork(t *testing.T) {
	m := newMesh(t, 2)
	ended := make(chan struct{}, 4)
	for _, b := range m.backends {
		b.handle = func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			ended <- struct{}{}
		}
	}
	for node := range m.nodes {
		ctx, cancel := context.WithCancel(context.Background())
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.nodes[node].Settings.CallerAddress+"/list/1", nil)
		assert.NilError(t, err)
		r.Host = "mesh"
		r.Header.Set(testHeaders.Key, "secret")
		before := m.runs()
		go func() {
			if a, err := http.DefaultClient.Do(r); err == nil {
				_ = a.Body.Close()
			}
		}()
		waitFor(t, "run", func() bool { return m.runs() > before })
		cancel()
		select {
		case <-ended:
		case <-time.After(500 * time.Millisecond):
			t.Fatal("the instance still works")
		}
	}
}

// Guards against a route's time limit that brings no final answer, and against
// an instance that is given more time than is left.
func TestRouteTimeoutEndsARequest(t *testing.T) {
	m := newMesh(t, 1)
	m.backends[0].handle = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	began := time.Now()
	a := m.ask(t, 0, http.MethodPost, "/entry/1", "X-Left", "9000")
	assert.Equal(t, a.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(began) < 1900*time.Millisecond)
	var left int
	_, err := fmt.Sscan(m.backends[0].runs[0].Header.Get(testHeaders.TimeLeft), &left)
	assert.NilError(t, err)
	assert.Assert(t, left <= 1500, "%d ms", left)
}

// Guards against work for an instance, a zone or a version that the store has
// taken back, and against a return to an older version.
func TestPublishedChangesAreInForce(t *testing.T) {
	m := newMesh(t, 2)
	draining := m.backends[1].change("surco")
	draining.Instance.State = fleet.Draining
	m.store.publish(nil, draining)
	waitFor(t, "drain", func() bool {
		return m.nodes[0].directory.View().Instances["i-1"].State == fleet.Draining && m.nodes[1].door.Load().Permits > 0
	})
	time.Sleep(50 * time.Millisecond)
	for range 10 {
		assert.Equal(t, m.ask(t, 1, http.MethodGet, "/list/1").status, http.StatusOK)
	}
	assert.Equal(t, m.backends[1].count(), 0)

	m.store.publish(nil, fleet.Change{Kind: fleet.ZoneOut, Zone: "surco"})
	waitFor(t, "zone out", func() bool { return m.ask(t, 0, http.MethodGet, "/list/1").status == http.StatusServiceUnavailable })
	m.store.publish(nil, fleet.Change{Kind: fleet.ZoneBack, Zone: "surco"})
	waitFor(t, "zone back", func() bool { return m.ask(t, 0, http.MethodGet, "/list/1").status == http.StatusOK })

	d := testDocument()
	d.Accounts = nil
	d.Routes = d.Routes[:1]
	d.Accounts = []config.ClientAccount{{Name: "club", Keys: []string{config.DigestOf([]byte("newer"))}}}
	m.store.publish(&Published{Version: 5, Document: d})
	waitFor(t, "version 5", func() bool { return m.ask(t, 0, http.MethodGet, "/list/1").status == http.StatusUnauthorized })
	m.store.publish(&Published{Version: 4, Document: testDocument()})
	m.store.publish(&Published{Version: 6, Document: config.Document{}})
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, m.nodes[0].snapshot.Load().Version, uint64(5))
	assert.Equal(t, m.ask(t, 0, http.MethodGet, "/open/1").status, http.StatusNotFound)
}

// Guards against a stop that cuts requests, and against callers that are still
// sent to a node that is about to end.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	m := newMesh(t, 2)
	release := make(chan struct{})
	for _, b := range m.backends {
		b.handle = func(w http.ResponseWriter, _ *http.Request) {
			<-release
			_, _ = io.WriteString(w, "done")
		}
	}
	got := make(chan answer, 6)
	for range 6 {
		go func() { got <- m.ask(t, 0, http.MethodPost, "/entry/1") }()
	}
	waitFor(t, "runs", func() bool { return m.runs() == 6 })
	stopped := make(chan struct{})
	go func() {
		m.stops[0]()
		close(stopped)
	}()
	waitFor(t, "not ready", func() bool { return !ready(m.nodes[0]) })
	time.AfterFunc(time.Second, func() { close(release) })
	for range 6 {
		a := <-got
		assert.Equal(t, a.status, http.StatusOK)
	}
	select {
	case <-stopped:
	case <-time.After(6 * time.Second):
		t.Fatal("the node does not stop")
	}
}

// Guards against nodes that the store turns away and that miss what is
// published, also right after their start.
func TestNodesThatTheStoreTurnsAwayLearnFromOthers(t *testing.T) {
	m := newMesh(t, 3)
	m.store.setFailure(BadSettings.New("503"), "i-1", "i-2")
	d := testDocument()
	d.Routes = d.Routes[:2]
	m.store.publish(&Published{Version: 9, Document: d})
	for _, n := range m.nodes {
		waitFor(t, "version 9 at "+n.Settings.Host, func() bool { return n.snapshot.Load().Version == 9 })
	}
	assert.Equal(t, m.ask(t, 1, http.MethodGet, "/open/1").status, http.StatusNotFound)
}

// Guards against a host that is cut off from the store and no longer uses its
// own healthy backend server, and against one that goes on with an instance
// that the store says is gone.
func TestHostCutOffFromTheStoreUsesItsOwnInstance(t *testing.T) {
	m := newMesh(t, 3)
	cut := m.nodes[1]
	m.store.setFailure(BadSettings.New("503"), "i-0", "i-1", "i-2")
	waitFor(t, "loss of the store", cut.sourceDown.Load)
	m.store.setFailure(BadSettings.New("503"), "i-1")
	m.store.publish(nil, fleet.Change{Kind: fleet.InstanceGone, ID: "i-1"})
	waitFor(t, "removal at others", func() bool { return m.nodes[0].directory.View().Instances["i-1"] == nil })
	time.Sleep(1500 * time.Millisecond)
	assert.Assert(t, cut.directory.View().Instances["i-1"] != nil)
	m.store.setFailure(nil)
	waitFor(t, "removal at its own host", func() bool { return cut.directory.View().Instances["i-1"] == nil })
}

// Guards against an outage of the store that stops what is already served, and
// against live instances that are given up because their entries lapsed.
func TestOutageOfTheStore(t *testing.T) {
	m := newMesh(t, 2)
	m.store.setFailure(BadSettings.New("503"))
	m.store.publish(nil, fleet.Change{Kind: fleet.InstanceGone, ID: "i-0"}, fleet.Change{Kind: fleet.InstanceGone, ID: "i-1"})
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, m.ask(t, 0, http.MethodGet, "/list/1").status, http.StatusOK)
	m.store.setFailure(nil)
	time.Sleep(700 * time.Millisecond)
	m.store.publish(nil, m.backends[0].change("surco"))
	assert.Equal(t, m.ask(t, 0, http.MethodGet, "/list/1").status, http.StatusOK)
	waitFor(t, "end of the lapsed entry", func() bool {
		v := m.nodes[0].directory.View()
		return v.Instances["i-0"] != nil && v.Instances["i-1"] == nil
	})
}

// Guards against operators who cannot see what a node believes.
func TestOperatorPortShowsWhatTheNodeKnows(t *testing.T) {
	m := newMesh(t, 2)
	for range 5 {
		assert.Equal(t, m.ask(t, 0, http.MethodGet, "/list/1").status, http.StatusOK)
	}
	assert.Equal(t, m.ask(t, 0, http.MethodGet, "/list/1", "X-Key", "wrong").status, http.StatusUnauthorized)
	s, err := operator.Get(context.Background(), m.nodes[0].Settings.OperatorAddress)
	assert.NilError(t, err)
	assert.Assert(t, s.Ready && s.Version == 1 && s.Gate.State == "Open")
	assert.Assert(t, s.ConfirmedAgeMs >= 0 && s.ConfirmedAgeMs < 2000, "%d ms", s.ConfirmedAgeMs)
	assert.Equal(t, len(s.Instances), 2)
	seen := false
	for _, i := range s.Instances {
		seen = seen || i.ObservedAgeMs >= 0
	}
	assert.Assert(t, seen)
	waitFor(t, "metrics", func() bool {
		a, err := http.Get("http://" + m.nodes[0].Settings.OperatorAddress + "/metrics")
		assert.NilError(t, err)
		defer func() { _ = a.Body.Close() }()
		b, err := io.ReadAll(a.Body)
		assert.NilError(t, err)
		return strings.Contains(string(b), `refused="KeyUnknown"`) && strings.Contains(string(b), "quetzaldock_call_seconds_bucket")
	})
}

// Guards against an account within its limit that is refused because its
// requests come to one node, and against one that gets its limit at each node.
func TestAccountLimitCountsOverAllNodes(t *testing.T) {
	m := newMesh(t, 3)
	d := testDocument()
	rate, burst := 5.0, 20.0
	d.Exceptions = []config.Exception{{
		Name: "limit", Reason: "test", Account: "club", Values: config.Values{Rate: &rate, Burst: &burst},
	}}
	m.store.publish(&Published{Version: 2, Document: d})
	for _, n := range m.nodes {
		waitFor(t, "version 2", func() bool { return n.snapshot.Load().Version == 2 })
	}
	ok := 0
	for i := range 90 {
		if m.ask(t, i%3, http.MethodGet, "/list/1").status == http.StatusOK {
			ok++
		}
	}
	bounds := DefaultBounds()
	most := (rate*5+burst)*(1+bounds.QuotaOverage) + bounds.QuotaSlack
	assert.Assert(t, ok >= 8 && float64(ok) <= most, "%d of 90 ran", ok)
	time.Sleep(1200 * time.Millisecond)
	one := 0
	for range 5 {
		if m.ask(t, 0, http.MethodGet, "/list/1").status == http.StatusOK {
			one++
		}
	}
	assert.Assert(t, one >= 4, "%d of 5 at one node", one)
}

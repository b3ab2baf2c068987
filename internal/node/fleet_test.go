package node_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/node"
	"quetzaldock.example/quetzaldock/internal/standin"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// fleet runs nodes with their backend servers and a platform in this process.
type fleet struct {
	t        testing.TB
	platform *standin.ConfigService
	ran      *standin.Executions
	members  []*member
	doc      config.Document
	version  uint64
	keys     map[string]string
	client   *http.Client
	logs     *lockedBuffer
}

// A member is one host of the fleet.
type member struct {
	node    *node.Node
	backend *standin.BackendServer
	cancel  context.CancelFunc
	ended   chan error
}

// A lockedBuffer collects the logs of all nodes.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func ptr[T any](v T) *T { return &v }

// document describes n hosts over the zones z0 and z1, every third of the
// service "records" and the others of "desk", and two accounts.
func document(n int, keys map[string]string) config.Document {
	d := config.Document{
		Defaults: &config.Values{
			Slots: ptr(12), ColdSlots: ptr(2), ConnectionsPerSecond: ptr(200), QueuePerAccount: ptr(64),
			CallTimeoutMs: ptr(3000), RetryPercent: ptr(20), MaxHeaderBytes: ptr(16384),
			Rate: ptr(1000.0), Burst: ptr(200.0),
		},
		Zones:    []config.AvailabilityZone{{Name: "z0", Region: "r"}, {Name: "z1", Region: "r"}},
		Services: []config.Service{{Name: "desk"}, {Name: "records"}},
		Routes: []config.Route{
			{Prefix: "/records", Service: "records"},
			{Prefix: "/entries", Service: "desk"},
			{Prefix: "/public", Service: "desk", Open: true},
		},
	}
	for i := range n {
		service := "desk"
		if i%3 == 2 {
			service = "records"
		}
		d.Hosts = append(d.Hosts, config.Host{ID: fmt.Sprintf("host-%d", i), Service: service, Zone: fmt.Sprintf("z%d", i%2)})
	}
	for _, name := range []string{"club-a", "club-b"} {
		key, digest, err := config.NewKey()
		if err != nil {
			panic(err)
		}
		keys[name] = key
		d.Accounts = append(d.Accounts, config.ClientAccount{Name: name, Keys: []string{digest}})
	}
	return d
}

// startFleet runs n hosts and waits until all are ready.
func startFleet(t testing.TB, n int) *fleet {
	t.Helper()
	return startFleetWith(t, n, func(*node.Settings) {})
}

// startFleetWith is startFleet with changed settings.
func startFleetWith(t testing.TB, n int, change func(s *node.Settings)) *fleet {
	t.Helper()
	f := &fleet{
		t: t, platform: standin.NewConfigService(), ran: standin.NewExecutions(),
		keys: map[string]string{}, logs: &lockedBuffer{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	f.doc = document(n, f.keys)
	for _, k := range f.keys {
		f.ran.AddSecret(k)
	}
	assert.NilError(t, f.platform.Start())
	t.Cleanup(f.platform.Close)
	f.publish()
	for i := range n {
		f.members = append(f.members, f.newMember(i, change))
	}
	f.publishHosts()
	for _, m := range f.members {
		m.run()
	}
	t.Cleanup(f.stop)
	f.await("all nodes ready", func() bool { return f.allAt(f.version) })
	f.await("quota filled", func() bool {
		for i := range 60 * n {
			if f.send(i%n, f.request(http.MethodGet, "/entries/1", "club-a", "warm")).status != http.StatusOK {
				return false
			}
		}
		return true
	})
	return f
}

func (f *fleet) newMember(i int, change func(s *node.Settings)) *member {
	b := standin.NewBackendServer(f.doc.Hosts[i].ID, f.ran)
	b.MedianServiceTime, b.Seed = 2*time.Millisecond, uint64(i+1)
	assert.NilError(f.t, b.Start())
	f.t.Cleanup(b.Close)
	s := node.Settings{
		Host: f.doc.Hosts[i].ID, Service: f.doc.Hosts[i].Service, Zone: f.doc.Hosts[i].Zone,
		CallerAddress: "127.0.0.1:0", CallAddress: "127.0.0.1:0", ControlAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
		BackendAddress: b.Address(), PlatformURL: f.platform.URL(), LogLevel: "Info", StopMs: 5000,
	}
	change(&s)
	n := node.New(s)
	n.Log = slog.New(slog.NewTextHandler(f.logs, nil))
	assert.NilError(f.t, n.Bind())
	b.CallerAddress = n.Settings.CallerAddress
	return &member{node: n, backend: b}
}

func (m *member) run() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel, m.ended = cancel, make(chan error, 1)
	go func() { m.ended <- m.node.Run(ctx) }()
}

func (f *fleet) stop() {
	for _, m := range f.members {
		m.cancel()
	}
	for _, m := range f.members {
		assert.NilError(f.t, <-m.ended)
		m.ended <- nil
	}
	f.client.CloseIdleConnections()
	if f.t.Failed() {
		f.t.Log(f.logs.String())
	}
}

// publish publishes f.doc as the next version.
func (f *fleet) publish() {
	f.t.Helper()
	f.version++
	m, parts, err := config.Encode(f.version, map[string]config.Document{"all": f.doc})
	assert.NilError(f.t, err)
	assert.NilError(f.t, f.platform.Publish(m, parts))
}

func (f *fleet) publishHosts() {
	f.t.Helper()
	var l hosts.List
	for _, m := range f.members {
		l.Hosts = append(l.Hosts, m.node.HostEntry())
	}
	assert.NilError(f.t, f.platform.SetHosts(l))
}

func (f *fleet) allAt(v uint64) bool {
	for _, m := range f.members {
		if s := status(m); s.Version != v || !s.KeyedAllowed {
			return false
		}
	}
	return true
}

// await waits for a condition; it fails the test when the condition does not
// hold long after it should.
func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	for range 1500 {
		if ok() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("not reached: %s\nlogs:\n%s", what, f.logs)
}

// An answer is what a caller got.
type answer struct {
	status int
	echo   standin.Echo
	whole  bool
	notRun string
	header http.Header
	body   string
}

// send makes one call to the node of member i.
func (f *fleet) send(i int, r *http.Request) answer {
	f.t.Helper()
	r.URL.Scheme, r.URL.Host = "http", f.members[i].node.Settings.CallerAddress
	a, err := f.client.Do(r)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	e, whole := standin.DecodeEcho(b)
	return answer{a.StatusCode, e, whole && err == nil, a.Header.Get("Quetzaldock-Not-Run"), a.Header, string(b)}
}

func (f *fleet) request(method, path, account, trial string) *http.Request {
	f.t.Helper()
	r, err := http.NewRequest(method, path, nil)
	assert.NilError(f.t, err)
	if account != "" {
		r.Header.Set("Authorization", "Bearer "+f.keys[account])
	}
	r.Header.Set(standin.HeaderTrialID, trial)
	return r
}

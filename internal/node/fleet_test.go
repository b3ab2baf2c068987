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

// A fleet runs nodes with their backend servers and a configuration service in
// this process.
type fleet struct {
	t             testing.TB
	configService *standin.ConfigService
	executions    *standin.Executions
	members       []*member
	// document is the content of the configuration and version its last
	// published version.
	document config.Document
	version  uint64
	// keys holds the key of each account.
	keys   map[string]string
	client *http.Client
	logs   *lockedBuffer
}

// A member is one host of the fleet.
type member struct {
	node    *node.Node
	backend *standin.BackendServer
	cancel  context.CancelFunc
	// ended receives the result of node.Run.
	ended chan error
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

// newDocument returns a configuration with two accounts and n hosts, spread over
// the zones z0 and z1. Every third host serves "records", the others "desk". It
// adds the keys of the accounts to keys.
func newDocument(n int, keys map[string]string) config.Document {
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

// startFleet runs n hosts and waits until all are ready and their quota is
// filled.
func startFleet(t testing.TB, n int) *fleet {
	t.Helper()
	return startFleetWith(t, n, func(*node.Settings) {})
}

// startFleetWith is startFleet with settings that change may modify.
func startFleetWith(t testing.TB, n int, change func(s *node.Settings)) *fleet {
	t.Helper()
	f := &fleet{
		t: t, configService: standin.NewConfigService(), executions: standin.NewExecutions(),
		keys: map[string]string{}, logs: &lockedBuffer{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	f.document = newDocument(n, f.keys)
	for _, k := range f.keys {
		f.executions.AddSecret(k)
	}
	assert.NilError(t, f.configService.Start())
	t.Cleanup(f.configService.Close)
	f.publish()
	for i := range n {
		f.members = append(f.members, f.newMember(i, change))
	}
	f.publishHosts()
	for _, m := range f.members {
		m.run()
	}
	t.Cleanup(f.stop)
	f.await("all nodes ready", func() bool { return f.allReadyAt(f.version) })
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

// newMember starts a backend server and opens the listeners of its node.
func (f *fleet) newMember(i int, change func(s *node.Settings)) *member {
	b := standin.NewBackendServer(f.document.Hosts[i].ID, f.executions)
	b.MedianServiceTime, b.Seed = 2*time.Millisecond, uint64(i+1)
	assert.NilError(f.t, b.Start())
	f.t.Cleanup(b.Close)
	s := node.Settings{
		Host: f.document.Hosts[i].ID, Service: f.document.Hosts[i].Service, Zone: f.document.Hosts[i].Zone,
		CallerAddress: "127.0.0.1:0", CallAddress: "127.0.0.1:0", ControlAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
		BackendAddress: b.Address(), PlatformURL: f.configService.URL(), LogLevel: "Info", StopMs: 5000,
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

// publish publishes f.document as the next version.
func (f *fleet) publish() {
	f.t.Helper()
	f.version++
	m, parts, err := config.Encode(f.version, map[string]config.Document{"all": f.document})
	assert.NilError(f.t, err)
	assert.NilError(f.t, f.configService.Publish(m, parts))
}

// publishHosts publishes the host list with the bound addresses.
func (f *fleet) publishHosts() {
	f.t.Helper()
	var l hosts.List
	for _, m := range f.members {
		l.Hosts = append(l.Hosts, m.node.HostEntry())
	}
	assert.NilError(f.t, f.configService.SetHosts(l))
}

// allReadyAt reports whether all nodes have the version in force and accept keyed
// calls.
func (f *fleet) allReadyAt(v uint64) bool {
	for _, m := range f.members {
		if s := fetchStatus(m); s.Version != v || !s.KeyedAllowed {
			return false
		}
	}
	return true
}

// await waits until a condition holds. It fails the test after 30 s; what
// describes the condition.
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

// A response is the response that a caller received.
type response struct {
	status int
	echo   standin.Echo
	// whole reports whether the body is exactly one complete response.
	whole bool
	// notRun is the reason of a refusal as not run.
	notRun string
	header http.Header
	body   string
}

// send sends a request to the node of member i and reads the whole response.
func (f *fleet) send(i int, r *http.Request) response {
	f.t.Helper()
	r.URL.Scheme, r.URL.Host = "http", f.members[i].node.Settings.CallerAddress
	a, err := f.client.Do(r)
	if err != nil {
		return response{body: err.Error()}
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	e, whole := standin.DecodeEcho(b)
	return response{a.StatusCode, e, whole && err == nil, a.Header.Get("Quetzaldock-Not-Run"), a.Header, string(b)}
}

// request returns a request with the account's key, or without a key if account
// is empty.
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

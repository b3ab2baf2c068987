package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/node"
	"quetzaldock.example/quetzaldock/internal/operator"
	"quetzaldock.example/quetzaldock/internal/standin"
	"quetzaldock.example/quetzaldock/internal/tlsfiles"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// A mesh is a fleet of node processes. The configuration service and the backend
// servers are stand-ins in the test process, and every connection between nodes
// passes through a standin.FaultProxy.
type mesh struct {
	t             *testing.T
	tempDir       string
	configService *standin.ConfigService
	executions    *standin.Executions
	document      config.Document
	version       uint64
	accountKeys   map[string]string // by account name
	hosts         []*meshHost
}

// A meshHost is one host: its backend server, the proxies for calls and for
// control messages to its node, and the node's process.
type meshHost struct {
	settings     node.Settings
	backend      *standin.BackendServer
	callProxy    *standin.FaultProxy
	controlProxy *standin.FaultProxy
	process      *exec.Cmd
	log          *processLog
}

// A processLog collects the output of a process.
type processLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *processLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *processLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func newMesh(t *testing.T, hostCount int) *mesh {
	t.Helper()
	m := &mesh{t: t, tempDir: t.TempDir(), configService: standin.NewConfigService(), executions: standin.NewExecutions(), accountKeys: map[string]string{}}
	assert.NilError(t, m.configService.Start())
	t.Cleanup(m.configService.Close)
	m.buildConfiguration(hostCount)
	m.publish()
	a, err := tlsfiles.NewAuthority()
	assert.NilError(t, err)
	for i := range hostCount {
		m.addHost(a, i)
	}
	m.publishHosts()
	for _, h := range m.hosts {
		m.startNode(h)
	}
	t.Cleanup(m.stopAll)
	return m
}

// buildConfiguration makes a configuration of hosts in two zones, with one
// service and two accounts.
func (m *mesh) buildConfiguration(hostCount int) {
	m.document = config.Document{
		Defaults: &config.Values{
			Slots: ptr(12), ColdSlots: ptr(2), ConnectionsPerSecond: ptr(200), QueuePerAccount: ptr(64),
			CallTimeoutMs: ptr(2000), RetryPercent: ptr(20), MaxHeaderBytes: ptr(16384),
			Rate: ptr(400.0), Burst: ptr(200.0),
		},
		Zones:    []config.AvailabilityZone{{Name: "z0", Region: "r"}, {Name: "z1", Region: "r"}},
		Services: []config.Service{{Name: "desk"}},
		Routes:   []config.Route{{Prefix: "/entries", Service: "desk"}},
	}
	for i := range hostCount {
		m.document.Hosts = append(m.document.Hosts, config.Host{ID: fmt.Sprintf("desk-%d", i), Service: "desk", Zone: fmt.Sprintf("z%d", i%2)})
	}
	for _, name := range []string{"club-a", "club-b"} {
		key, digest, err := config.NewKey()
		assert.NilError(m.t, err)
		m.accountKeys[name] = key
		m.executions.AddSecret(key)
		m.document.Accounts = append(m.document.Accounts, config.ClientAccount{Name: name, Keys: []string{digest}})
	}
}

// publish publishes the configuration as the next version.
func (m *mesh) publish() {
	m.t.Helper()
	m.version++
	b, parts, err := config.Encode(m.version, map[string]config.Document{"all": m.document})
	assert.NilError(m.t, err)
	assert.NilError(m.t, m.configService.Publish(b, parts))
}

// publishHosts publishes a host list with the addresses of the proxies.
func (m *mesh) publishHosts() {
	var l hosts.List
	for i, h := range m.hosts {
		l.Hosts = append(l.Hosts, hosts.Host{
			ID: h.settings.Host, Service: "desk", Zone: m.document.Hosts[i].Zone, State: hosts.Live,
			CallAddress: h.callProxy.Address(), ControlAddress: h.controlProxy.Address(),
		})
	}
	assert.NilError(m.t, m.configService.SetHosts(l))
}

// firstPort is below the range of ports that the kernel assigns by itself, so
// that no other connection takes a chosen address before the node listens on it.
const firstPort = 20000

// nextPort is the offset from firstPort of the last port that any mesh of this
// process tried.
var nextPort atomic.Int64

// freeAddress returns a loopback address that nothing listens on.
func (m *mesh) freeAddress() string {
	for {
		a := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1))
		if l, err := net.Listen("tcp", a); err == nil {
			assert.NilError(m.t, l.Close())
			return a
		}
	}
}

func (m *mesh) addHost(a *tlsfiles.Authority, i int) {
	id := m.document.Hosts[i].ID
	b := standin.NewBackendServer(id, m.executions)
	b.MedianServiceTime, b.WarmUpDuration, b.Seed = 2*time.Millisecond, time.Second, uint64(i+1)
	assert.NilError(m.t, b.Start())
	m.t.Cleanup(b.Close)
	files := filepath.Join(m.tempDir, id)
	assert.NilError(m.t, os.MkdirAll(files, 0o700))
	f, err := a.WriteFiles(files, id)
	assert.NilError(m.t, err)
	h := &meshHost{backend: b, settings: node.Settings{
		Host: id, Service: "desk", Zone: m.document.Hosts[i].Zone,
		CallerAddress: m.freeAddress(), CallAddress: m.freeAddress(),
		ControlAddress: m.freeAddress(), OperatorAddress: m.freeAddress(),
		BackendAddress: b.Address(), PlatformURL: m.configService.URL(), LogLevel: "Info", StopMs: 10000,
		TLS: node.TLSSettings{CertificateFile: f.Certificate, KeyFile: f.Key, AuthorityFile: f.Authority},
	}}
	b.CallerAddress = h.settings.CallerAddress
	h.callProxy = m.startProxy(h.settings.CallAddress, uint64(i))
	h.controlProxy = m.startProxy(h.settings.ControlAddress, uint64(100+i))
	m.hosts = append(m.hosts, h)
}

func (m *mesh) startProxy(target string, seed uint64) *standin.FaultProxy {
	p := standin.NewFaultProxy(target, seed)
	assert.NilError(m.t, p.Start())
	m.t.Cleanup(p.Close)
	return p
}

// startNode starts the host's node as a process.
func (m *mesh) startNode(h *meshHost) {
	m.t.Helper()
	b, err := toml.Marshal(h.settings)
	assert.NilError(m.t, err)
	path := filepath.Join(m.tempDir, h.settings.Host+".toml")
	assert.NilError(m.t, os.WriteFile(path, b, 0o600))
	h.log = &processLog{}
	h.process = exec.Command(os.Args[0], "node", "--settings", path)
	h.process.Env = append(os.Environ(), runMainVariable+"=1", "GORACE=atexit_sleep_ms=0")
	h.process.Stdout, h.process.Stderr = h.log, h.log
	assert.NilError(m.t, h.process.Start())
}

// stopAll kills the node processes that still run, and prints the logs of all
// nodes if the test failed.
func (m *mesh) stopAll() {
	for _, h := range m.hosts {
		if h.process.ProcessState == nil {
			_ = h.process.Process.Kill()
			_ = h.process.Wait()
		}
		if m.t.Failed() {
			m.t.Logf("log of %s:\n%s", h.settings.Host, h.log)
		}
	}
}

// signalNode sends a signal to the host's node.
func (m *mesh) signalNode(h *meshHost, s syscall.Signal) {
	m.t.Helper()
	assert.NilError(m.t, h.process.Process.Signal(s))
}

// killNode kills the host's node and waits for its end.
func (m *mesh) killNode(h *meshHost) {
	m.signalNode(h, syscall.SIGKILL)
	_ = h.process.Wait()
}

// status returns the node's status, or an empty one if the node does not answer.
func (h *meshHost) status() *operator.Status {
	s, err := operator.FetchStatus(context.Background(), h.settings.OperatorAddress)
	if err != nil {
		return &operator.Status{}
	}
	return s
}

// awaitVersion waits until every host has the published version in force.
func (m *mesh) awaitVersion() {
	m.t.Helper()
	m.await("version in force everywhere", func() bool {
		for _, h := range m.hosts {
			if s := h.status(); s.Version != m.version || !s.KeyedAllowed {
				return false
			}
		}
		return true
	})
}

// await waits for a condition and fails the test after 30 seconds of waiting,
// which is much longer than any condition should take.
func (m *mesh) await(condition string, reached func() bool) {
	m.t.Helper()
	for range 1500 {
		if reached() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, h := range m.hosts {
		s := h.status()
		m.t.Logf("%s: version %d of %d, floor %d, keyed %t, confirmed %d ms ago, gate %+v", s.Host, s.Version, m.version, s.Floor, s.KeyedAllowed, s.ConfirmedAgeMs, s.Gate)
	}
	m.t.Fatalf("not reached: %s", condition)
}

// awaitCallsPass waits until 20 calls at each host in a row are served, so that
// quota has reached all hosts.
func (m *mesh) awaitCallsPass() {
	m.t.Helper()
	c := newTraffic(m, 1000+m.version)
	m.await("calls pass", func() bool {
		for i := range 20 * len(m.hosts) {
			if a := c.attempt(m.hosts[i%len(m.hosts)], c.newTrial(http.MethodGet, "club-a")); a.status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/standin"
)

// callsPerSecond is the pace of the traffic, half of the published Rate of the
// account that it uses.
const callsPerSecond = 200

// TestProcesses runs node processes behind proxies through one fault after
// another, and checks after each that the mesh kept its promises to callers. P4
// and the like are the numbers of the promises, as in package experiment.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	m := newMesh(t, 4)
	m.awaitVersion()
	m.awaitCallsPass()
	for _, p := range []struct {
		name string
		run  func(t *testing.T, m *mesh)
	}{
		{"steady", testSteady},
		{"silent connections", testSilentConnections},
		{"node killed", testNodeKilled},
		{"node paused", testNodePaused},
		{"backend server restarts cold", testColdRestart},
		{"zone out and back", testZoneOut},
		{"source outage", testSourceOutage},
		{"key withdrawn", testKeyWithdrawn},
		{"planned stop", testPlannedStop},
	} {
		if !t.Run(p.name, func(t *testing.T) {
			m.t = t
			p.run(t, m)
		}) {
			break
		}
	}
	m.t = t
}

// runDuringFault runs traffic for the duration, calls fault after a quarter of it,
// checks the promises and returns the trials.
func runDuringFault(m *mesh, seed uint64, duration time.Duration, fault func(c *traffic)) []*trial {
	c := newTraffic(m, seed)
	done := make(chan []*trial, 1)
	go func() { done <- c.run(callsPerSecond, duration) }()
	time.Sleep(duration / 4)
	fault(c)
	trials := <-done
	c.checkPromises(trials)
	m.t.Logf("%d calls, %d served, failures: %v", len(trials), countServed(trials), countFailures(trials))
	return trials
}

// checkServed fails the test if fewer than perMille of 1000 trials were served.
func checkServed(t *testing.T, trials []*trial, perMille int) {
	t.Helper()
	assert.Check(t, countServed(trials)*1000 >= len(trials)*perMille, "served %d of %d: %v", countServed(trials), len(trials), countFailures(trials))
}

// Guards against refusals and failures while nothing is wrong.
func testSteady(t *testing.T, m *mesh) {
	trials := runDuringFault(m, 1, 3*time.Second, func(*traffic) {})
	checkServed(t, trials, 999)
}

// Guards against calls that are lost because nodes keep using open connections
// that went silent, while new connections work.
func testSilentConnections(t *testing.T, m *mesh) {
	trials := runDuringFault(m, 2, 6*time.Second, func(*traffic) {
		for _, h := range m.hosts {
			h.callProxy.SilenceOpenLinks()
			h.controlProxy.SilenceOpenLinks()
		}
	})
	for _, x := range trials {
		if x.method == http.MethodGet {
			assert.Check(t, x.status == http.StatusOK, "idempotent trial %s failed: %d %s", x.id, x.status, x.failure)
		}
	}
}

// Guards against requests that run twice, and against lasting failures, after a
// node was killed.
func testNodeKilled(_ *testing.T, m *mesh) {
	h := m.hosts[1]
	runDuringFault(m, 3, 6*time.Second, func(*traffic) {
		m.killNode(h)
		time.Sleep(2 * time.Second)
		m.startNode(h)
	})
	m.awaitVersion()
	m.awaitCallsPass()
}

// Guards against a paused process that runs outdated requests when it resumes.
func testNodePaused(_ *testing.T, m *mesh) {
	h := m.hosts[2]
	runDuringFault(m, 4, 10*time.Second, func(*traffic) {
		m.signalNode(h, syscall.SIGSTOP)
		time.Sleep(4 * time.Second)
		m.signalNode(h, syscall.SIGCONT)
	})
	m.awaitVersion()
	m.awaitCallsPass()
}

// Guards against a cold backend server that gets more requests at once than its
// cold capacity (P4).
func testColdRestart(t *testing.T, m *mesh) {
	h := m.hosts[0]
	before := h.backend.Stats()
	runDuringFault(m, 5, 6*time.Second, func(*traffic) {
		assert.Check(t, h.backend.Restart())
	})
	after := h.backend.Stats()
	assert.Check(t, after.ColdExcess == before.ColdExcess, "P4: %d calls above the capacity of a cold server", after.ColdExcess-before.ColdExcess)
}

// Guards against requests that run in a zone that was taken out (P5), and against
// refusals while the zone is taken out and returned.
func testZoneOut(t *testing.T, m *mesh) {
	executed := func() int { return m.hosts[1].backend.Stats().Executed + m.hosts[3].backend.Stats().Executed }
	trials := runDuringFault(m, 6, 12*time.Second, func(*traffic) {
		m.document.Zones[1].Out = true
		m.publish()
		time.Sleep(4 * time.Second)
		n := executed()
		time.Sleep(2 * time.Second)
		assert.Check(t, executed() == n, "P5: %d calls ran in a zone that was taken out", executed()-n)
		m.document.Zones[1].Out = false
		m.publish()
	})
	checkServed(t, trials, 999)
	m.awaitVersion()
}

// Guards against refusals while the configuration service is down, and against a
// version that does not reach every node when it is back (P15).
func testSourceOutage(t *testing.T, m *mesh) {
	trials := runDuringFault(m, 7, 12*time.Second, func(*traffic) {
		assert.Check(t, m.configService.SetReadFault(standin.RefuseConnections))
		time.Sleep(7 * time.Second)
		assert.Check(t, m.configService.SetReadFault(standin.NoFault))
		m.publish()
	})
	checkServed(t, trials, 999)
	m.awaitVersion()
}

// Guards against a withdrawn key that is still accepted, for example on open
// connections (P8).
func testKeyWithdrawn(t *testing.T, m *mesh) {
	keys := m.document.Accounts[0].Keys
	m.document.Accounts[0].Keys = nil
	m.publish()
	time.Sleep(4 * time.Second)
	c := newTraffic(m, 8)
	for _, h := range m.hosts {
		a := c.attempt(h, c.newTrial(http.MethodGet, "club-a"))
		assert.Check(t, a.status == http.StatusUnauthorized, "P8: status %d at %s", a.status, h.settings.Host)
		a = c.attempt(h, c.newTrial(http.MethodGet, "club-b"))
		assert.Check(t, a.status == http.StatusOK, "other account: status %d at %s", a.status, h.settings.Host)
	}
	m.document.Accounts[0].Keys = keys
	m.publish()
	m.awaitVersion()
	m.awaitCallsPass()
}

// Guards against a planned stop that cuts a call (P14), or during which the node
// still starts new requests at its backend server (P13).
func testPlannedStop(t *testing.T, m *mesh) {
	h := m.hosts[3]
	trials := runDuringFault(m, 9, 8*time.Second, func(*traffic) {
		m.signalNode(h, syscall.SIGTERM)
		assert.Check(t, h.process.Wait())
	})
	for _, x := range trials {
		assert.Check(t, x.status == http.StatusOK, "P14: trial %s: %d %s", x.id, x.status, x.failure)
	}
	m.startNode(h)
	m.awaitVersion()
}

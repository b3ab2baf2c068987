package sidecar

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a new connection to the backend server for each health check.
func TestHealthChecksReuseTheirConnection(t *testing.T) {
	m := newMesh(t, 1)
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "healthy\n") })
	m.backends[0].health.Store(&answer)
	n := m.nodes[0]
	assert.Assert(t, n.checkHealth(t.Context()))
	before := n.healthPool.DialCount()
	for range 20 {
		assert.Assert(t, n.checkHealth(t.Context()))
	}
	// The node's own checks run beside these.
	assert.Assert(t, n.healthPool.DialCount()-before <= 2, "%d connections for 20 checks", n.healthPool.DialCount()-before)
}

// Guards against a backend server that counts as unreachable because it closed an idle
// connection when a health check was sent on it.
func TestHealthCheckOnAConnectionThatWasJustClosed(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	var closeNext atomic.Bool
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !closeNext.CompareAndSwap(true, false) {
			return
		}
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = c.Close()
		}
	})
	m.backends[0].health.Store(&answer)
	for range 10 {
		closeNext.Store(true)
		assert.Assert(t, n.checkHealth(t.Context()))
		assert.Equal(t, string(n.admission.ClosedReason()), "")
	}
}

// Guards against a backend server that resets its connections and gets a health check, and
// with it more requests, after each of them.
func TestRepeatedSuspicionsOfARestartShareAHealthCheck(t *testing.T) {
	n := testNode(t, "127.0.0.1:9")
	n.suspectRestart("test")
	<-n.healthWanted
	began := time.Now()
	for range 100 {
		n.suspectRestart("test")
	}
	assert.Equal(t, len(n.healthWanted), 0)
	<-n.healthWanted
	assert.Assert(t, time.Since(began) > healthRetryInterval/2, "%s", time.Since(began))
}

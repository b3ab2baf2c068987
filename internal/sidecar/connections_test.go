package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// idleConnection returns a connection that c considers idle.
func idleConnection(t *testing.T, c *callerConnections) net.Conn {
	t.Helper()
	n, other := net.Pipe()
	t.Cleanup(func() { _, _ = n.Close(), other.Close() })
	c.onStateChange(n, http.StateNew)
	c.onStateChange(n, http.StateActive)
	c.onStateChange(n, http.StateIdle)
	return n
}

// Guards against a request that is forwarded although its connection has just
// been closed because it was idle: the caller gets no response.
func TestRequestOnAConnectionClosedWhileIdleIsDetected(t *testing.T) {
	now := time.Now()
	c := &callerConnections{maxOpen: 1, now: func() time.Time { return now }}
	for _, closeOne := range []func(){
		func() { c.sweep(time.Second) },
		func() { c.closeIdle() },
	} {
		n := idleConnection(t, c)
		ctx := context.Background()
		requestCtx := withConnection(ctx, n)
		assert.Assert(t, !c.closedWhileIdle(requestCtx))
		now = now.Add(2 * time.Second)
		closeOne()
		c.onStateChange(n, http.StateActive)
		assert.Assert(t, c.closedWhileIdle(requestCtx))
		c.onStateChange(n, http.StateClosed)
		assert.Assert(t, !c.closedWhileIdle(requestCtx), "a closed connection is forgotten")
	}
	assert.Equal(t, c.open, 0)
}

// Guards against idle connections above the maximum that are closed without being
// marked, and against the closing of a busy connection.
func TestSurplusIdleConnectionsAreMarked(t *testing.T) {
	now := time.Now()
	c := &callerConnections{maxOpen: 1, now: func() time.Time { return now }}
	first, busy := idleConnection(t, c), idleConnection(t, c)
	c.onStateChange(busy, http.StateActive)
	c.sweep(0)
	assert.Assert(t, c.closedWhileIdle(withConnection(context.Background(), first)))
	assert.Assert(t, !c.closedWhileIdle(withConnection(context.Background(), busy)))
}

// Guards against a request on a connection closed while idle that reaches a
// backend server.
func TestRequestOnAConnectionClosedWhileIdleIsNotForwarded(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	send := func(c net.Conn) {
		r := httptest.NewRequestWithContext(withConnection(t.Context(), c), http.MethodGet, "http://mesh/list/1", nil)
		r.Header.Set(testHeaders.Key, "secret")
		n.callerHandler.ServeHTTP(httptest.NewRecorder(), r)
	}
	c := idleConnection(t, &n.callerConnections)
	send(c)
	assert.Equal(t, m.runs(), 1)
	n.callerConnections.closeIdle()
	assert.Assert(t, cmp.Panics(func() { send(c) }))
	assert.Equal(t, m.runs(), 1)
}

package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// A connections keeps the idle connections of a listener within a time and a
// number. Callers open a new connection for each further try and leave the
// former one open, so in an overload they would use up files and memory.
type callerConnections struct {
	// most is the number of connections above which the longest idle ones are
	// closed.
	maxOpen int
	now     func() time.Time

	mu sync.Mutex
	// idle holds since when each idle connection is.
	idleSince map[net.Conn]time.Time
	// closing holds the connections that were closed while they were idle.
	closedIdle map[net.Conn]bool
	open       int
}

// connectionKey finds the connection of a request in its context.
type connectionKey struct{}

// withConnection is the hook ConnContext of an http.Server.
func withConnection(ctx context.Context, n net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, n)
}

// crossed reports whether a request came on a connection that was closed for
// being idle just then. net/http takes a connection for idle until it has read
// the whole header, and goes on with a request that it has read. Nobody would
// get its answer, so it must not be passed on.
func (c *callerConnections) closedWhileIdle(ctx context.Context) bool {
	n, ok := ctx.Value(connectionKey{}).(net.Conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedIdle[n]
}

// state is the hook ConnState of an http.Server.
func (c *callerConnections) onStateChange(n net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince == nil {
		c.idleSince, c.closedIdle = map[net.Conn]time.Time{}, map[net.Conn]bool{}
	}
	switch s {
	case http.StateNew:
		c.open++
	case http.StateIdle:
		c.idleSince[n] = c.now()
	case http.StateActive:
		delete(c.idleSince, n)
	case http.StateClosed, http.StateHijacked:
		delete(c.idleSince, n)
		delete(c.closedIdle, n)
		c.open--
	}
}

// sweep closes connections that were idle for longer than the limit, and the
// longest idle ones of those that are too many. A limit of zero is none.
func (c *callerConnections) sweep(limit time.Duration) {
	for _, n := range c.takeSurplus(limit) {
		_ = n.Close()
	}
}

// closeIdle closes all idle connections.
func (c *callerConnections) closeIdle() {
	c.mu.Lock()
	var all []net.Conn
	for n := range c.idleSince {
		all = append(all, n)
		c.markClosing(n)
	}
	c.mu.Unlock()
	for _, n := range all {
		_ = n.Close()
	}
}

// markClosing takes a connection for closed. The caller holds the mutex.
func (c *callerConnections) markClosing(n net.Conn) {
	delete(c.idleSince, n)
	c.closedIdle[n] = true
}

// surplus returns the idle connections to close and marks them.
func (c *callerConnections) takeSurplus(limit time.Duration) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []net.Conn
	now := c.now()
	for n, since := range c.idleSince {
		if limit > 0 && now.Sub(since) > limit {
			out = append(out, n)
			c.markClosing(n)
		}
	}
	for excess := c.open - len(out) - c.maxOpen; excess > 0 && len(c.idleSince) > 0; excess-- {
		var oldest net.Conn
		for n, since := range c.idleSince {
			if oldest == nil || since.Before(c.idleSince[oldest]) {
				oldest = n
			}
		}
		out = append(out, oldest)
		c.markClosing(oldest)
	}
	return out
}

// crowded reports whether connections come close to their number, so that
// refused callers should not keep theirs.
func (c *callerConnections) nearMax() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open > c.maxOpen/2
}

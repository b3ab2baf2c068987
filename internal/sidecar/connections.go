package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConnections limits the number of callers' connections and how long they
// stay idle.
// Callers open a new connection for each further try and leave the previous one
// open, so in an overload they would use up files and memory.
type callerConnections struct {
	// maxOpen is the number of open connections above which those idle for
	// longest are closed.
	maxOpen int
	now     func() time.Time

	mu sync.Mutex
	// idleSince holds when each idle connection became idle.
	idleSince map[net.Conn]time.Time
	// closedIdle holds the connections that were closed while idle.
	closedIdle map[net.Conn]bool
	open       int
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// withConnection is the ConnContext hook of an http.Server.
func withConnection(ctx context.Context, n net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, n)
}

// closedWhileIdle reports whether a request came on a connection that has just
// been closed because it was idle. net/http considers a connection idle until it
// has read the whole header, and still handles a request that it has read. Nobody
// would get the response, so the request must not be forwarded.
func (c *callerConnections) closedWhileIdle(ctx context.Context) bool {
	n, ok := ctx.Value(connectionKey{}).(net.Conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedIdle[n]
}

// onStateChange is the ConnState hook of an http.Server.
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

// sweep closes connections that were idle for longer than limit, and the longest
// idle ones above maxOpen. A limit of zero means no time limit.
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

// markClosing moves a connection from the idle to the closed ones. The caller
// holds the mutex.
func (c *callerConnections) markClosing(n net.Conn) {
	delete(c.idleSince, n)
	c.closedIdle[n] = true
}

// takeSurplus returns the idle connections to close and marks them as closed.
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

// counts returns the number of open connections and how many of them are idle.
func (c *callerConnections) counts() (open, idle int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, len(c.idleSince)
}

// nearMax reports whether more than half of the allowed connections are open.
// Refused callers should then not keep theirs.
func (c *callerConnections) nearMax() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open > c.maxOpen/2
}

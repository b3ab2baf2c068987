package caller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// DefaultMaxConnections is the default of MaxConnections. An idle connection
// takes about 18 KB, so this number of them takes about 75 MB of the 128 MB of
// a node.
const DefaultMaxConnections = 4096

// A ConnectionLimiter counts the connections of a listener and marks those
// over a limit, whose calls Handler refuses unless they are nested. Connections
// that were opened within the limit stay usable when clients open more.
// OnConnect and OnConnState are to be set as the ConnContext and ConnState of
// an http.Server.
type ConnectionLimiter struct {
	// MaxConnections is the number of connections whose calls are all served.
	MaxConnections int

	openCount atomic.Int64
}

// overLimitKey is the context key that marks a connection over the limit.
type overLimitKey struct{}

// OnConnect counts a new connection and marks its context if the connection is
// over the limit.
func (c *ConnectionLimiter) OnConnect(ctx context.Context, _ net.Conn) context.Context {
	if c.openCount.Add(1) <= int64(c.MaxConnections) {
		return ctx
	}
	return context.WithValue(ctx, overLimitKey{}, true)
}

// OnConnState counts closed connections. It closes a new connection at once if
// more than twice the limit are open: one that is refused by a response takes
// a file descriptor until the client has sent its request.
func (c *ConnectionLimiter) OnConnState(n net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		if c.openCount.Load() > 2*int64(c.MaxConnections) {
			_ = n.Close()
		}
	case http.StateClosed, http.StateHijacked:
		c.openCount.Add(-1)
	}
}

// OpenCount returns the number of open connections.
func (c *ConnectionLimiter) OpenCount() int { return int(c.openCount.Load()) }

// isOverLimit reports whether a request came on a connection over the limit.
func isOverLimit(r *http.Request) bool { return r.Context().Value(overLimitKey{}) != nil }

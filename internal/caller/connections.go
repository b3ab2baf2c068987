package caller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// DefaultMaxConnections bounds the connections of callers. An idle one costs
// about 18 KB, so these hold some 75 MB of the 128 MB of a node.
const DefaultMaxConnections = 4096

// Connections counts the connections of a listener, so that calls on those
// beyond a limit can be refused. Connections within the limit are served as
// before, whatever others open. Context and State are the hooks ConnContext
// and ConnState of an http.Server.
type ConnectionLimiter struct {
	// Max is the number of connections that are served.
	MaxConnections int

	openCount atomic.Int64
}

type overLimitKey struct{}

// Context counts a new connection and marks it if it is beyond the limit.
func (c *ConnectionLimiter) OnConnect(ctx context.Context, _ net.Conn) context.Context {
	if c.openCount.Add(1) <= int64(c.MaxConnections) {
		return ctx
	}
	return context.WithValue(ctx, overLimitKey{}, true)
}

// State notes the end of a connection. Beyond twice the limit a connection is
// closed at once: a refusal would cost a file descriptor until the client has
// sent its request.
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

// Open returns the number of open connections.
func (c *ConnectionLimiter) OpenCount() int { return int(c.openCount.Load()) }

// isBeyond reports whether a request came on a connection beyond the limit.
func isOverLimit(r *http.Request) bool { return r.Context().Value(overLimitKey{}) != nil }

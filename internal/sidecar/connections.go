package sidecar

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// A connections keeps the idle connections of a listener within a time and a
// number. Callers open a new connection for each further try and leave the
// former one open, so in an overload they would use up files and memory.
type connections struct {
	// most is the number of connections above which the longest idle ones are
	// closed.
	most int
	now  func() time.Time

	mu sync.Mutex
	// idle holds since when each idle connection is.
	idle map[net.Conn]time.Time
	open int
}

// state is the hook ConnState of an http.Server.
func (c *connections) state(n net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = map[net.Conn]time.Time{}
	}
	switch s {
	case http.StateNew:
		c.open++
	case http.StateIdle:
		c.idle[n] = c.now()
	case http.StateActive:
		delete(c.idle, n)
	case http.StateClosed, http.StateHijacked:
		delete(c.idle, n)
		c.open--
	}
}

// sweep closes connections that were idle for longer than the limit, and the
// longest idle ones of those that are too many. A limit of zero is none.
func (c *connections) sweep(limit time.Duration) {
	for _, n := range c.surplus(limit) {
		_ = n.Close()
	}
}

func (c *connections) surplus(limit time.Duration) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []net.Conn
	now := c.now()
	for n, since := range c.idle {
		if limit > 0 && now.Sub(since) > limit {
			out = append(out, n)
			delete(c.idle, n)
		}
	}
	for beyond := c.open - len(out) - c.most; beyond > 0 && len(c.idle) > 0; beyond-- {
		var oldest net.Conn
		for n, since := range c.idle {
			if oldest == nil || since.Before(c.idle[oldest]) {
				oldest = n
			}
		}
		out = append(out, oldest)
		delete(c.idle, oldest)
	}
	return out
}

// crowded reports whether connections come close to their number, so that
// refused callers should not keep theirs.
func (c *connections) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open > c.most/2
}

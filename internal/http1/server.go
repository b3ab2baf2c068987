package http1

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"
)

const (
	// drainInterval is the time between attempts to close idle connections while a
	// server drains.
	drainInterval = 50 * time.Millisecond
	// firstRequestTimeout is how long a draining server waits for the first byte
	// on a connection without a request.
	firstRequestTimeout = time.Second
)

// A Server serves HTTP/1.1 on one listener and answers every request that it has
// read, also while it closes connections. http.Server.Shutdown does not: it drops
// the requests that are read after it was called, and it closes connections on
// which the next request is being read.
//
// An idle connection is closed by a read deadline in the past. The goroutine that
// reads from the connection then decides: either it fails before it has read a
// request, or the request is answered and the connection is closed after it.
type Server struct {
	// HTTP is the server whose Handler and hooks were given to NewServer. Its
	// ReadTimeout must be zero, since the read deadline of connections is used.
	HTTP     *http.Server
	Listener net.Listener
	Now      func() time.Time
	// Log gets a line for each panic of the handler, unless it is nil.
	Log *slog.Logger
	// Limits bound what clients may use. It is set before Serve, or nil for no limits.
	// Connections with TLS have none.
	Limits *Limits

	serveOnce sync.Once
	// queue accepts connections from Listener.
	queue *queueListener

	mu    sync.Mutex
	conns map[net.Conn]*serverConn
	// keepAlivesEnded is set once every response closes its connection.
	keepAlivesEnded bool
	// connClosed is closed with the next connection that closes.
	connClosed chan struct{}
}

// A serverConn is the state of one connection.
type serverConn struct {
	state http.ConnState
	// since is when the connection was accepted or became idle last.
	since time.Time
	// begun is when the first bytes of the next request were read; zero before.
	begun time.Time
	// closing is set once the connection was to be closed. If a request was read
	// first, its response closes the connection.
	closing bool
}

// serverConnKey is the context key of a request's connection.
type serverConnKey struct{}

// NewServer returns a Server for the listener. It wraps the handler and the hooks
// ConnState and ConnContext of h.
func NewServer(h *http.Server, l net.Listener) *Server {
	s := &Server{
		HTTP: h, Listener: l, Now: time.Now,
		conns: map[net.Conn]*serverConn{}, connClosed: make(chan struct{}),
	}
	s.queue = &queueListener{l, s}
	handler, onState, onConn := h.Handler, h.ConnState, h.ConnContext
	h.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, ok := r.Context().Value(serverConnKey{}).(net.Conn)
		if ok && s.closesAfterResponse(n) {
			w.Header().Set("Connection", "close")
		}
		defer s.logPanic(r)
		c, ok := n.(*serverNetConn)
		if ok && c.share != nil {
			if !c.beginRequest(w, r) {
				return
			}
			defer c.endRequest()
		}
		if ok && !r.ProtoAtLeast(1, 1) {
			// The response may end with the connection. It must not look complete if the
			// handler panics.
			c.resets.Store(true)
		}
		handler.ServeHTTP(w, r)
		if ok {
			c.resets.Store(false)
		}
	})
	h.ConnState = func(n net.Conn, state http.ConnState) {
		s.onStateChange(n, state)
		if c, ok := n.(*serverNetConn); ok && c.share != nil {
			c.onStateChange(state)
		}
		if onState != nil {
			onState(n, state)
		}
	}
	h.ConnContext = func(ctx context.Context, n net.Conn) context.Context {
		if onConn != nil {
			ctx = onConn(ctx, n)
		}
		return context.WithValue(ctx, serverConnKey{}, n)
	}
	return s
}

// logPanic logs a panic of the handler, for which net/http closes the connection
// without a response. It is deferred.
func (s *Server) logPanic(r *http.Request) {
	p := recover()
	if p == nil {
		return
	}
	if p != http.ErrAbortHandler && s.Log != nil {
		s.Log.Error("panic in a request handler", "address", s.Listener.Addr().String(), "method", r.Method, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
	}
	panic(p)
}

// Serve accepts connections until the listener is closed. It is called at most
// once.
func (s *Server) Serve() {
	s.serveOnce.Do(func() { _ = s.HTTP.Serve(s.queue) })
}

// stopAccepting accepts the connections that wait, closes the listener and waits for
// the end of Serve.
func (s *Server) stopAccepting() {
	if s.queue.finish() {
		defer time.AfterFunc(maxQueueTime, func() { _ = s.Listener.Close() }).Stop()
	} else {
		_ = s.Listener.Close()
	}
	s.serveOnce.Do(func() {})
	_ = s.Listener.Close()
}

// onStateChange is the ConnState hook of the http.Server.
func (s *Server) onStateChange(n net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[n] = &serverConn{state: state, since: s.Now()}
	case http.StateActive:
		if c := s.conns[n]; c != nil {
			c.state = state
			if c.closing {
				// The request was read before the deadline took effect. Its body
				// may still arrive.
				_ = n.SetReadDeadline(time.Time{})
			}
		}
	case http.StateIdle:
		if c := s.conns[n]; c != nil {
			c.state, c.since, c.begun = state, s.Now(), time.Time{}
		}
		if b, ok := n.(*serverNetConn); ok {
			b.begun.Store(false)
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, n)
		close(s.connClosed)
		s.connClosed = make(chan struct{})
	}
}

// closesAfterResponse reports whether the response on a connection is to close it.
func (s *Server) closesAfterResponse(n net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.conns[n]
	return s.keepAlivesEnded || c != nil && c.closing
}

// onRequestBegun records that the first bytes of a request were read.
func (s *Server) onRequestBegun(n net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.conns[n]; c != nil {
		c.begun = s.Now()
	}
}

// readsOn is called when a read has reached its deadline. It reports whether that
// was the deadline of a close although a request has begun to arrive, and then gives
// the rest of the header its usual time.
func (s *Server) readsOn(n net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.conns[n]
	if c == nil || !c.closing || c.state == http.StateActive {
		return false
	}
	unread, _ := peek(n)
	left := s.headerTimeLeft(c)
	if c.begun.IsZero() && unread == 0 || left <= 0 {
		return false
	}
	_ = n.SetReadDeadline(time.Now().Add(left))
	return true
}

// headerTimeLeft returns how long the rest of a request's header may take. The caller
// holds the mutex.
func (s *Server) headerTimeLeft(c *serverConn) time.Duration {
	limit := s.HTTP.ReadHeaderTimeout
	if s.Limits != nil {
		limit = s.Limits.values().HeaderTime
	}
	if limit <= 0 {
		return math.MaxInt64
	}
	if c.begun.IsZero() {
		return limit
	}
	return limit - s.Now().Sub(c.begun)
}

// ClientLeft reports whether the client of the request with the context has closed
// its connection. It is true for a request that no Server has read.
func ClientLeft(ctx context.Context) bool {
	n, ok := ctx.Value(serverConnKey{}).(net.Conn)
	if !ok {
		return true
	}
	_, err := peek(n)
	return err != nil
}

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Idle returns the number of connections that wait for their next request.
func (s *Server) Idle() int { return s.count(http.StateIdle) }

func (s *Server) count(state http.ConnState) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.conns {
		if c.state == state {
			n++
		}
	}
	return n
}

// EndKeepAlives makes the response to each further request close its connection.
func (s *Server) EndKeepAlives() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepAlivesEnded = true
}

// Sweep closes the connections that were idle for longer than limit, and the
// longest idle ones while more than maxOpen are open. A limit of zero means no
// time limit.
func (s *Server) Sweep(limit time.Duration, maxOpen int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, excess := s.Now(), len(s.conns)-maxOpen
	for n, c := range s.conns {
		if c.state == http.StateIdle && (c.closing || limit > 0 && now.Sub(c.since) > limit) && s.close(n, c) {
			excess--
		}
	}
	for ; excess > 0; excess-- {
		n := s.longestIdle()
		if n == nil {
			return
		}
		c := s.conns[n]
		// A request that has arrived makes the connection busy.
		if !s.close(n, c) {
			c.since = now
		}
	}
}

// closeIdle closes a connection that is idle. It reports false if a request has begun to
// arrive.
func (s *Server) closeIdle(n net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.conns[n]
	return c != nil && c.state == http.StateIdle && s.close(n, c)
}

// longestIdle returns the connection that has been idle for longest and is not
// closing, or nil if there is none.
func (s *Server) longestIdle() net.Conn {
	var found net.Conn
	for n, c := range s.conns {
		if c.state == http.StateIdle && !c.closing && (found == nil || c.since.Before(s.conns[found].since)) {
			found = n
		}
	}
	return found
}

// close lets reads from an idle or new connection fail, so that the server closes
// it. It reports false and does nothing if unread bytes have arrived, or while a
// request has begun and the rest of its header has time. The caller holds the mutex.
func (s *Server) close(n net.Conn, c *serverConn) bool {
	if unread, _ := peek(n); unread > 0 || !c.begun.IsZero() && s.headerTimeLeft(c) > 0 {
		return false
	}
	c.closing = true
	_ = n.SetReadDeadline(time.Unix(1, 0))
	return true
}

// closeUnused closes the connections that no request uses.
func (s *Server) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	for n, c := range s.conns {
		if c.state == http.StateIdle || c.state == http.StateNew && now.Sub(c.since) > firstRequestTimeout {
			// net/http sets a deadline of its own when a connection becomes idle,
			// which may replace this one. The next call sets it again.
			s.close(n, c)
		}
	}
}

// Drain closes the listener, closes each connection once no request uses it, and
// returns when all are closed. If ctx ends first, it closes the remaining
// connections at once and returns the number of requests that this cuts.
func (s *Server) Drain(ctx context.Context) (cut int) {
	s.EndKeepAlives()
	s.stopAccepting()
	s.closeUnused()
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	for {
		s.mu.Lock()
		open, connClosed := len(s.conns), s.connClosed
		s.mu.Unlock()
		if open == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			cut = s.count(http.StateActive)
			_ = s.HTTP.Close()
			return cut
		case <-connClosed:
		case <-t.C:
			s.closeUnused()
		}
	}
}

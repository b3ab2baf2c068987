package http1_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/http1"
)

// A testServer is a Server on loopback whose listener a test can watch.
type testServer struct {
	*http1.Server
	// afterRead, if set, is called after each read of the server that returned
	// bytes, before the server sees them.
	afterRead atomic.Pointer[func()]
	// beforeRead, if set, is called before each read of the server.
	beforeRead atomic.Pointer[func()]
	// now is moved by tests, in Unix nanoseconds.
	now atomic.Int64
}

// newTestServer starts a server. Its handler answers with status 204.
func newTestServer(t *testing.T, h http.Handler) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	if h == nil {
		h = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	}
	s := &testServer{}
	s.now.Store(time.Now().UnixNano())
	s.Server = http1.NewServer(&http.Server{Handler: h, IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute}, &watchedListener{l, s})
	s.Now = func() time.Time { return time.Unix(0, s.now.Load()) }
	go s.Serve()
	t.Cleanup(func() { _ = s.HTTP.Close() })
	return s
}

// forward moves the clock of the server.
func (s *testServer) forward(d time.Duration) { s.now.Add(int64(d)) }

// A watchedListener accepts watchedConns.
type watchedListener struct {
	net.Listener
	server *testServer
}

// Accept implements net.Listener.
func (l *watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{c.(*net.TCPConn), l.server}, nil
}

// A watchedConn calls the server's beforeRead and afterRead.
type watchedConn struct {
	*net.TCPConn
	server *testServer
}

// Read implements io.Reader.
func (c *watchedConn) Read(b []byte) (int, error) {
	if f := c.server.beforeRead.Load(); f != nil {
		(*f)()
	}
	n, err := c.TCPConn.Read(b)
	if f := c.server.afterRead.Load(); f != nil && n > 0 {
		(*f)()
	}
	return n, err
}

// A client is a connection of a test to a server.
type client struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (s *testServer) connect(t *testing.T) *client {
	t.Helper()
	before := s.Open()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	waitFor(t, "accepted connection", func() bool { return s.Open() > before })
	return &client{t, c, bufio.NewReader(c)}
}

func (s *testServer) waitForClosedListener(t *testing.T) {
	t.Helper()
	waitFor(t, "closed listener", func() bool {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
}

func (c *client) send() {
	c.t.Helper()
	_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(c.t, err)
}

func (c *client) receive() *http.Response {
	c.t.Helper()
	a, err := http.ReadResponse(c.in, nil)
	assert.NilError(c.t, err)
	return a
}

// idle makes one request, after which the connection is idle.
func (c *client) idle(s *testServer) {
	c.t.Helper()
	before := s.Idle()
	c.send()
	assert.Assert(c.t, !c.receive().Close)
	waitFor(c.t, "idle connection", func() bool { return s.Idle() > before })
}

// assertClosed fails the test unless the server closes the connection without
// sending anything more.
func (c *client) assertClosed() {
	c.t.Helper()
	_, err := c.in.ReadByte()
	assert.Assert(c.t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "the connection is open: %v", err)
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); {
		assert.Assert(t, time.Now().Before(end), "no %s", what)
		time.Sleep(time.Millisecond)
	}
}

// Guards against a request that is read while its idle connection is being closed
// and that gets no response.
func TestRequestReadBeforeIdleCloseIsAnswered(t *testing.T) {
	for name, closeIdle := range map[string]func(s *testServer){
		"idle limit": func(s *testServer) { s.Sweep(time.Second, 10) },
		"surplus":    func(s *testServer) { s.Sweep(0, 0) },
		"drain": func(s *testServer) {
			ctx, cancel := context.WithCancel(context.Background())
			go func() { _ = s.Drain(ctx) }()
			s.waitForClosedListener(t)
			t.Cleanup(cancel)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, nil)
			c := s.connect(t)
			c.idle(s)
			s.forward(time.Hour)
			closing := func() { closeIdle(s) }
			s.afterRead.Store(&closing)
			c.send()
			assert.Assert(t, c.receive().Close, "the client is not told that the connection closes")
			c.assertClosed()
		})
	}
}

// Guards against a request on a connection without an earlier request that gets no
// response because the server drains.
func TestRequestReadWhileDrainingIsAnswered(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.connect(t)
	cut := make(chan int, 1)
	go func() { cut <- s.Drain(t.Context()) }()
	s.waitForClosedListener(t)
	c.send()
	assert.Assert(t, c.receive().Close)
	c.assertClosed()
	assert.Equal(t, <-cut, 0)
}

// Guards against a drain that waits for connections without a request.
func TestDrainClosesUnusedConnections(t *testing.T) {
	s := newTestServer(t, nil)
	idle, unused := s.connect(t), s.connect(t)
	idle.idle(s)
	s.forward(time.Minute)
	assert.Equal(t, s.Drain(t.Context()), 0)
	idle.assertClosed()
	unused.assertClosed()
}

// Guards against a drain that cuts a request before its end, and against one that
// never ends.
func TestDrainWaitsForRequestsUntilItsEnd(t *testing.T) {
	for _, cutShort := range []bool{false, true} {
		began, release := make(chan struct{}), make(chan struct{})
		s := newTestServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			close(began)
			<-release
		}))
		c := s.connect(t)
		c.send()
		<-began
		ctx, cancel := context.WithCancel(t.Context())
		cut := make(chan int, 1)
		go func() { cut <- s.Drain(ctx) }()
		if cutShort {
			cancel()
			assert.Equal(t, <-cut, 1)
			close(release)
			c.assertClosed()
			continue
		}
		close(release)
		c.receive()
		assert.Equal(t, <-cut, 0)
		cancel()
	}
}

// Guards against the closing of connections that are busy or that were used
// lately, and against idle ones that stay open.
func TestSweepClosesTheLongestIdleConnections(t *testing.T) {
	release := make(chan struct{})
	s := newTestServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
	}))
	first, second, third, busy := s.connect(t), s.connect(t), s.connect(t), s.connect(t)
	for _, c := range []*client{first, second, third} {
		c.idle(s)
		s.forward(time.Second)
	}
	_, err := io.WriteString(busy.conn, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	waitFor(t, "request", func() bool { return s.Idle() == 3 })
	s.Sweep(2500*time.Millisecond, 10)
	first.assertClosed()
	waitFor(t, "closed connection", func() bool { return s.Open() == 3 })
	s.Sweep(0, 2)
	second.assertClosed()
	waitFor(t, "closed connection", func() bool { return s.Open() == 2 })
	s.Sweep(0, 2)
	third.send()
	assert.Assert(t, !third.receive().Close)
	close(release)
	busy.receive()
}

// Guards against the closing of a connection whose next request has arrived but
// was not read yet.
func TestConnectionWithUnreadRequestIsNotClosed(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.connect(t)
	c.idle(s)
	s.forward(time.Hour)
	reading, resume := make(chan struct{}), make(chan struct{})
	hold := func() {
		s.beforeRead.Store(nil)
		close(reading)
		<-resume
	}
	holdNext := func() {
		s.afterRead.Store(nil)
		s.beforeRead.Store(&hold)
	}
	s.afterRead.Store(&holdNext)
	_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\n")
	assert.NilError(t, err)
	<-reading
	_, err = io.WriteString(c.conn, "Host: x\r\n\r\n")
	assert.NilError(t, err)
	s.Sweep(time.Second, 10)
	close(resume)
	assert.Assert(t, !c.receive().Close)
}

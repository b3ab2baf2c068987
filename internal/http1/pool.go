package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 4 << 10
	// maxHeaderBytes bounds the headers of one answer, interim answers
	// included. net/http sets no bound when it reads answers, so a broken
	// peer could fill the memory with one header.
	maxHeaderBytes = 128 << 10
	// dialTimeout bounds one connection attempt including its handshake.
	dialTimeout = 2 * time.Second
	// probeAge is how long after its last answer a connection is trusted.
	probeAge = time.Second
	// probeTimeout bounds the wait for the answer to a probe.
	probeTimeout = 250 * time.Millisecond
)

// A Pool holds the connections to one address. Its exported fields are set
// before first use.
type Pool struct {
	// Dial opens a connection, including any TLS handshake.
	Dial func(ctx context.Context) (net.Conn, error)
	// MaxIdle is the number of idle connections kept.
	MaxIdle int
	// Probe makes DoOnce check a connection that has not answered for
	// probeAge before it sends on it. The peer must answer "OPTIONS *".
	ProbeIdle bool
	// IdleClosed, if set, is called with the number of idle connections that
	// the peer was found to have closed.
	OnIdleClosed func(n int)

	mu sync.Mutex
	// idle is ordered by time of return; the newest is used first.
	idle []*conn
	// generation rises with Drop; connections of an older one are not reused.
	generation int
	closed     bool

	dials atomic.Int64
	open  atomic.Int64
}

// A conn is one connection. It carries at most one request at a time.
type conn struct {
	net.Conn
	r          *bufio.Reader
	in         limitedReader
	w          *bufio.Writer
	sent       countingWriter
	generation int
	// idleSince is when the connection was last put back.
	idleSince time.Time
}

// A countingWriter counts the writes handed to the connection.
type countingWriter struct {
	c net.Conn
	n atomic.Int64
}

// Write implements io.Writer. The count rises before the write: a request
// whose connection is closed while the count is unchanged has not left.
func (w *countingWriter) Write(b []byte) (int, error) {
	w.n.Add(1)
	return w.c.Write(b)
}

// A limitedReader fails once left bytes were read while limited is set.
type limitedReader struct {
	c       net.Conn
	limited bool
	left    int
}

// Read implements io.Reader.
func (r *limitedReader) Read(b []byte) (int, error) {
	if !r.limited {
		return r.c.Read(b)
	}
	if r.left <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := r.c.Read(b[:min(len(b), r.left)])
	r.left -= n
	return n, err
}

// New returns a pool that dials addr over TCP without TLS.
func NewPool(addr string) *Pool {
	return &Pool{
		MaxIdle: 64,
		Dial: func(ctx context.Context) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		},
	}
}

// Dials returns the number of connections opened so far.
func (p *Pool) DialCount() int64 { return p.dials.Load() }

// Open returns the number of connections that are open now.
func (p *Pool) OpenConnections() int64 { return p.open.Load() }

// Drop closes the idle connections and keeps busy ones from being reused.
// It is called when a connection went silent: others opened along the same
// path may have been forgotten as well.
func (p *Pool) Invalidate() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.generation++
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// Close drops all connections and refuses to keep new ones.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Invalidate()
}

// Sweep closes idle connections that the peer has closed or that have been
// idle since before the given time.
func (p *Pool) Sweep(before time.Time) {
	p.mu.Lock()
	var kept, dead, old []*conn
	for _, c := range p.idle {
		switch {
		case !c.alive():
			dead = append(dead, c)
		case c.idleSince.Before(before):
			old = append(old, c)
		default:
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range append(dead, old...) {
		p.discard(c)
	}
	p.reportClosed(len(dead))
}

func (p *Pool) reportClosed(n int) {
	if n > 0 && p.OnIdleClosed != nil {
		p.OnIdleClosed(n)
	}
}

// get returns an idle connection or opens one. With probe set, an idle
// connection without a recent answer is checked first.
func (p *Pool) get(ctx context.Context, probe bool) (*conn, error) {
	if c := p.takeIdle(); c != nil {
		if !probe || time.Since(c.idleSince) < probeAge || c.probe() {
			return c, nil
		}
		p.discard(c)
		p.Invalidate()
	}
	return p.dial(ctx)
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	d, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	p.mu.Lock()
	g := p.generation
	p.mu.Unlock()
	n, err := p.Dial(d)
	if err != nil {
		return nil, dialError(err)
	}
	p.dials.Add(1)
	p.open.Add(1)
	c := &conn{Conn: n, generation: g}
	c.sent.c = n
	c.in.c = n
	c.r = bufio.NewReaderSize(&c.in, bufferBytes)
	c.w = bufio.NewWriterSize(&c.sent, bufferBytes)
	return c, nil
}

func dialError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return DialRefused.Wrap(err, "connection refused")
	}
	return NotSent.Wrap(err, "no connection")
}

func (p *Pool) takeIdle() *conn {
	dead := 0
	defer func() { p.reportClosed(dead) }()
	for {
		p.mu.Lock()
		if len(p.idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		p.mu.Unlock()
		if c.alive() {
			return c
		}
		dead++
		p.discard(c)
	}
}

// put takes back a connection whose last exchange ended cleanly.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	keep := !p.closed && c.generation == p.generation && len(p.idle) < p.MaxIdle
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
}

func (p *Pool) discard(c *conn) {
	p.open.Add(-1)
	_ = c.Close()
}

// probe sends "OPTIONS *" and reports whether an answer came in time.
func (c *conn) probe() bool {
	_ = c.SetDeadline(time.Now().Add(probeTimeout))
	defer func() { _ = c.SetDeadline(time.Time{}) }()
	if _, err := c.w.WriteString("OPTIONS * HTTP/1.1\r\nHost: probe\r\n\r\n"); err != nil {
		return false
	}
	if err := c.w.Flush(); err != nil {
		return false
	}
	a, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, a.Body)
	return err == nil && !a.Close
}

// alive reports whether an idle connection is still open and has no data
// waiting. Data on an idle connection is a close notice or a protocol error.
func (c *conn) alive() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	n := c.Conn
	if t, ok := n.(interface{ NetConn() net.Conn }); ok {
		n = t.NetConn()
	}
	s, ok := n.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && alive
}

package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// bufferBytes is the size of each of a connection's two buffers.
	bufferBytes = 4 << 10
	// dialTimeout is the maximum time for opening a connection, including the TLS
	// handshake.
	dialTimeout = 2 * time.Second
	// maxUnprobedIdle is the time since its last response after which an idle
	// connection is probed.
	maxUnprobedIdle = time.Second
	// probeTimeout is the maximum time for a probe and its response.
	probeTimeout = 250 * time.Millisecond
	// maxProbeBodyBytes limits the body of the response to a probe.
	maxProbeBodyBytes = 1 << 10
)

// A Pool holds the connections to one peer. Its exported fields must be set
// before first use. It is safe for concurrent use.
type Pool struct {
	// Dial opens a connection, including any TLS handshake.
	Dial func(ctx context.Context) (net.Conn, error)
	// MaxIdle is the maximum number of idle connections.
	MaxIdle int
	// ProbeIdle makes DoNonIdempotent probe a connection that has not answered
	// for maxUnprobedIdle before it sends a request on it. Otherwise a request
	// sent on a connection that stopped working while it was idle would be lost
	// with an unknown outcome. The peer must answer "OPTIONS *".
	ProbeIdle bool
	// OnIdleClosed, if set, is called with the number of idle connections that
	// the peer has closed, each time some are found.
	OnIdleClosed func(count int)

	mu sync.Mutex
	// idle is ordered by idleSince. The last connection is used first.
	idle []*conn
	// generation is incremented by Invalidate. Connections of an older generation
	// are not reused.
	generation int
	closed     bool

	dialCount atomic.Int64
	openCount atomic.Int64
}

// A conn is one connection with its buffers. It carries one request at a time.
type conn struct {
	net.Conn
	reader     *bufio.Reader
	limitedIn  limitedReader
	writer     *bufio.Writer
	countedOut countingWriter
	generation int
	// idleSince is when the connection last became idle.
	idleSince time.Time
}

// A countingWriter counts the writes to a connection.
type countingWriter struct {
	conn   net.Conn
	writes atomic.Int64
	// closedByPeer is set once a write failed because the peer had closed the
	// connection.
	closedByPeer atomic.Bool

	// mu is held during a write and guards the field below.
	mu sync.Mutex
	// failure is the error of the first write that failed, nil before.
	failure error
}

// Write implements io.Writer. The write is counted before it is made, so that no
// byte of a request was sent while the count is unchanged.
func (w *countingWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes.Add(1)
	n, err := w.conn.Write(b)
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		w.closedByPeer.Store(true)
	}
	if w.failure == nil {
		w.failure = err
	}
	return n, err
}

// end ends the write in progress, makes later ones fail, and returns the error of the
// first write that failed before, nil if there was none.
func (w *countingWriter) end() error {
	_ = w.conn.SetWriteDeadline(time.Unix(1, 0))
	w.mu.Lock()
	defer w.mu.Unlock()
	if errors.Is(w.failure, os.ErrDeadlineExceeded) {
		return nil
	}
	return w.failure
}

// A limitedReader reads from a connection. While limited is set, it reads headers: it
// fails once the remaining bytes have been read, or at an invalid name of a field.
type limitedReader struct {
	conn      net.Conn
	limited   bool
	remaining int
	names     fieldNameCheck
	// invalid is the error of names. It stays until the next header: the parser of
	// net/http drops the errors of some reads.
	invalid error
}

// Read implements io.Reader.
func (r *limitedReader) Read(b []byte) (int, error) {
	if !r.limited {
		return r.conn.Read(b)
	}
	if r.invalid != nil {
		return 0, r.invalid
	}
	if r.remaining <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := r.conn.Read(b[:min(len(b), r.remaining)])
	r.remaining -= n
	if r.invalid = r.names.add(b[:n]); r.invalid != nil {
		return 0, r.invalid
	}
	return n, err
}

// beginHeader is called before a header is read, a part of which may be buffered.
func (r *limitedReader) beginHeader(buffered []byte) error {
	r.names = fieldNameCheck{}
	r.invalid = r.names.add(buffered)
	return r.invalid
}

// NewPool returns a pool of connections to an address over TCP without TLS.
func NewPool(address string) *Pool {
	return &Pool{
		MaxIdle: 64,
		Dial: func(ctx context.Context) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
}

// DialCount returns the number of connections that have been opened so far.
func (p *Pool) DialCount() int64 { return p.dialCount.Load() }

// OpenConnections returns the number of open connections, idle or in use.
func (p *Pool) OpenConnections() int64 { return p.openCount.Load() }

// Invalidate closes the idle connections and keeps those in use from being
// reused. It is called after the peer stopped answering on a connection: others
// over the same network path may be dead as well.
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

// Close closes the idle connections. Those in use are closed at the end of their
// exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Invalidate()
}

// Sweep closes the idle connections that the peer has closed and those that have
// been idle since before the given time.
func (p *Pool) Sweep(idleBefore time.Time) {
	p.mu.Lock()
	var kept, dead, expired []*conn
	for _, c := range p.idle {
		switch {
		case !c.alive():
			dead = append(dead, c)
		case c.idleSince.Before(idleBefore):
			expired = append(expired, c)
		default:
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range append(dead, expired...) {
		p.discard(c)
	}
	p.reportIdleClosed(len(dead))
}

func (p *Pool) reportIdleClosed(count int) {
	if count > 0 && p.OnIdleClosed != nil {
		p.OnIdleClosed(count)
	}
}

// acquire returns an idle connection or opens one. If probe is set, an idle
// connection without a recent response is probed first.
func (p *Pool) acquire(ctx context.Context, probe bool) (*conn, error) {
	if c := p.takeIdle(); c != nil {
		if !probe || time.Since(c.idleSince) < maxUnprobedIdle || c.probe() {
			return c, nil
		}
		p.discard(c)
		p.Invalidate()
	}
	return p.dial(ctx)
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	p.mu.Lock()
	currentGeneration := p.generation
	p.mu.Unlock()
	netConn, err := p.Dial(dialCtx)
	if err != nil {
		return nil, wrapDialError(err)
	}
	p.dialCount.Add(1)
	p.openCount.Add(1)
	c := &conn{Conn: netConn, generation: currentGeneration}
	c.countedOut.conn = netConn
	c.limitedIn.conn = netConn
	c.reader = bufio.NewReaderSize(&c.limitedIn, bufferBytes)
	c.writer = bufio.NewWriterSize(&c.countedOut, bufferBytes)
	return c, nil
}

// Reconnect opens a connection and keeps it for later requests. The error is of
// type NotSent.
func (p *Pool) Reconnect(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.putIdle(c)
	return nil
}

// Answers opens a connection and reports whether the peer answers "OPTIONS *" on it
// before ctx ends. The connection is kept for later requests. A peer that refuses or
// closes the connection answers, too: it does not stand still, and the connections
// that it has kept may go on.
func (p *Pool) Answers(ctx context.Context) bool {
	c, err := p.dial(ctx)
	if err != nil {
		return errorx.IsOfType(err, NotListening) || errorx.IsOfType(err, DialRefused)
	}
	limit := time.Now().Add(dialTimeout)
	if deadline, ok := ctx.Deadline(); ok {
		limit = deadline
	}
	if !c.probeUntil(limit) {
		p.discard(c)
		return time.Now().Before(limit)
	}
	p.putIdle(c)
	return true
}

// wrapDialError returns a DialRefused or other NotSent error for a failed dial.
func wrapDialError(err error) error {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return NotListening.Wrap(err, "connection refused")
	case errors.Is(err, syscall.ECONNRESET):
		return DialRefused.Wrap(err, "connection reset")
	}
	return NotSent.Wrap(err, "no connection")
}

// takeIdle removes and returns the idle connection that was used last, or nil if
// there is none. It closes those that the peer has closed.
func (p *Pool) takeIdle() *conn {
	dead := 0
	defer func() { p.reportIdleClosed(dead) }()
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

// putIdle adds a reusable connection to the idle ones. It closes the connection
// if the pool is closed, has enough idle ones or was invalidated after the dial.
func (p *Pool) putIdle(c *conn) {
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
	p.openCount.Add(-1)
	_ = c.Close()
}

// probe sends "OPTIONS *" and reports whether a short response arrives in time,
// nothing follows it and the connection stays open.
func (c *conn) probe() bool {
	return c.probeUntil(time.Now().Add(probeTimeout))
}

func (c *conn) probeUntil(limit time.Time) bool {
	_ = c.SetDeadline(limit)
	defer func() { _ = c.SetDeadline(time.Time{}) }()
	if _, err := c.writer.WriteString("OPTIONS * HTTP/1.1\r\nHost: probe\r\n\r\n"); err != nil {
		return false
	}
	if err := c.writer.Flush(); err != nil {
		return false
	}
	a, err := c.readResponse(nil, func() {})
	if err != nil {
		return false
	}
	_, err = io.CopyN(io.Discard, a.Body, maxProbeBodyBytes)
	return errors.Is(err, io.EOF) && !a.Close && c.alive()
}

// abort ends all reads and writes and closes the connection. Close alone could
// wait for a peer that does not read a TLS close notice.
func (c *conn) abort() {
	_ = c.SetDeadline(time.Unix(1, 0))
	_ = c.Close()
}

// alive reports whether an idle connection is open and has no data to read. Data
// on an idle connection is a TLS close notice or a protocol error.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	unread, err := peek(c.Conn)
	return unread == 0 && err == nil
}

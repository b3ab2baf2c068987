package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"quetzaldock.example/quetzaldock/pkg/memorybudget"
)

// A serverNetConn is a connection of a Server.
type serverNetConn struct {
	net.Conn
	server *Server
	// begun is set once bytes were read since the connection was accepted or
	// became idle.
	begun atomic.Bool

	// share is nil if the server has no limits.
	share *memorybudget.Share
	// requestHeld is what is reserved until the end of the running request.
	requestHeld atomic.Int64
	// refused is set once a read has exceeded a limit.
	refused atomic.Bool
	// lingers is set if Close gives the client time to read the response.
	lingers atomic.Bool
	// resets is set while a close resets the connection.
	resets atomic.Bool

	// mu guards the fields below.
	mu   sync.Mutex
	scan headerScan
	// headerHeld is what is reserved for the header.
	headerHeld int64
	// pipelined counts the requests in a row that were sent ahead.
	pipelined int
}

// NetConn returns the underlying connection.
func (c *serverNetConn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the direction to the client.
func (c *serverNetConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// lingerTime is how long Close waits for a client that is still sending its request.
const lingerTime = 500 * time.Millisecond

// LingerOnClose gives the client of the request with the context time to read the response
// before the connection is closed after it: bytes of the request that arrive later reset the
// connection, and what the client has not received by then is lost. It does nothing for a
// request that is not served by a Server, and on connections with TLS.
func LingerOnClose(ctx context.Context) {
	if c, ok := ctx.Value(serverConnKey{}).(*serverNetConn); ok {
		c.lingers.Store(true)
	}
}

// Close implements net.Conn.
func (c *serverNetConn) Close() error {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok && c.resets.Load() {
		_ = l.SetLinger(0)
	}
	if c.lingers.Swap(false) {
		_ = c.CloseWrite()
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	return c.Conn.Close()
}

// Read implements net.Conn. If the connection is to be closed as idle, but a request
// arrived before the goroutine that reads could run, the request is read. What a header
// will take once it is parsed is reserved before net/http gets its bytes.
func (c *serverNetConn) Read(b []byte) (int, error) {
	if c.refused.Load() {
		// net/http may read again after an error.
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b)
	if err != nil && isTimeout(err) && c.server.readsOn(c) {
		n, err = c.Conn.Read(b)
	}
	if n > 0 && !c.begun.Swap(true) {
		c.server.onRequestBegun(c)
	}
	if n > 0 && c.share != nil {
		if reason := c.account(b[:n]); reason != "" {
			c.refused.Store(true)
			c.server.Limits.report(reason, c.address())
			if reason == HeaderFields {
				c.writeRefusal("431 Request Header Fields Too Large")
			}
			// At any other error net/http would answer with status 400.
			return 0, io.EOF
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *serverNetConn) Write(b []byte) (int, error) {
	if c.share == nil {
		return c.Conn.Write(b)
	}
	for written := 0; ; {
		part := b[written:min(len(b), written+writeBytes)]
		c.share.AwaitWrite()
		n, err := c.Conn.Write(part)
		c.share.Written(n)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// join takes a share of the memory. It reports false if a limit refuses the connection.
func (c *serverNetConn) join(l *Limits) bool {
	share, reason := l.Group.Join(c)
	if share == nil {
		l.report(reason, c.address())
		return false
	}
	c.share = share
	return true
}

func (c *serverNetConn) address() string { return c.RemoteAddr().String() }

// Shed implements memorybudget.Connection.
func (c *serverNetConn) Shed(reason memorybudget.Limit) bool {
	if reason == memorybudget.Idle {
		if !c.server.closeIdle(c) {
			return false
		}
	} else {
		_ = c.Conn.Close()
	}
	c.server.Limits.report(reason, c.address())
	return true
}

// writeRefusal answers a request whose header is not read to its end.
func (c *serverNetConn) writeRefusal(status string) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

// account counts bytes that were read. It returns the limit that they exceed.
func (c *serverNetConn) account(b []byte) memorybudget.Limit {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.scan.ended {
		c.scan.addAfterHeader(b)
		return ""
	}
	c.share.HeaderArrived(len(b))
	c.scan.add(b)
	if limit := c.server.Limits.values().HeaderFields; limit > 0 && c.scan.fields() > limit {
		return HeaderFields
	}
	if !c.holdHeader(headerBytes(c.scan.bytes, c.scan.lines), reserveWait) {
		return memorybudget.Memory
	}
	return ""
}

// holdHeader makes sure that n bytes are reserved for the header. The caller holds the
// mutex.
func (c *serverNetConn) holdHeader(n int64, wait time.Duration) bool {
	if n <= c.headerHeld {
		return true
	}
	reserve := c.share.Reserve
	if n > maxShortBytes {
		reserve = c.share.ReserveBulk
	}
	if !reserve(n-c.headerHeld, wait) {
		return false
	}
	c.headerHeld = n
	return true
}

// beginRequest is called before the handler. It reports false if it has refused the
// request.
func (c *serverNetConn) beginRequest(w http.ResponseWriter, r *http.Request) bool {
	l := c.server.Limits
	if !c.share.Start() {
		// The connection was closed while the last bytes of the header arrived.
		panic(http.ErrAbortHandler)
	}
	v := l.values()
	c.mu.Lock()
	sentAhead := c.scan.sentAhead
	c.scan.beginBody(r.ContentLength)
	pipelined := c.pipelined
	c.mu.Unlock()
	if sentAhead && v.HeaderFields > 0 && countFields(r.Header) > v.HeaderFields {
		l.report(HeaderFields, c.address())
		l.refuse(w, r, http.StatusRequestHeaderFieldsTooLarge, HeaderFields)
		return false
	}
	reserve := c.share.Reserve
	if pipelined > 0 {
		// The client has more than its first request here.
		reserve = c.share.ReserveBulk
	}
	if !reserve(l.RequestBytes, reserveWait) {
		l.report(memorybudget.Memory, c.address())
		l.refuse(w, r, http.StatusServiceUnavailable, memorybudget.Memory)
		return false
	}
	c.requestHeld.Add(l.RequestBytes)
	if v.Pipelined > 0 && pipelined >= v.Pipelined {
		l.report(Pipelined, c.address())
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength != 0 {
		r.Body = &measuredBody{r.Body, c.share}
	}
	return true
}

// endRequest is called after the handler.
func (c *serverNetConn) endRequest() {
	c.share.Release(c.requestHeld.Swap(0))
}

// onStateChange is called by the ConnState hook of the http.Server.
func (c *serverNetConn) onStateChange(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.mu.Lock()
		c.scan.next()
		if c.scan.pipelined {
			c.pipelined++
		} else {
			c.pipelined = 0
		}
		// Requests that were sent ahead are parsed from the buffer of net/http without
		// another read.
		ahead := headerBytes(c.scan.bytes, c.scan.lines)
		if extra := c.headerHeld - ahead; extra > 0 {
			c.headerHeld = ahead
			c.share.Release(extra)
		}
		held := c.holdHeader(ahead, 0)
		c.mu.Unlock()
		c.share.Idle()
		if !held {
			c.server.Limits.report(memorybudget.Memory, c.address())
			_ = c.Conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		c.share.Leave()
	}
}

func countFields(h http.Header) int {
	n := 0
	for _, v := range h {
		n += len(v)
	}
	return n
}

// A measuredBody records the progress of the body of a request.
type measuredBody struct {
	io.ReadCloser
	share *memorybudget.Share
}

// Read implements io.Reader.
func (b *measuredBody) Read(p []byte) (int, error) {
	b.share.AwaitBody()
	n, err := b.ReadCloser.Read(p)
	b.share.BodyArrived(n)
	return n, err
}

package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
)

// Do sends r once and returns the response as soon as its header has been read.
// The body is read from the connection; closing it before its end, or the end
// of ctx before the body's end, closes the connection.
//
// The error is of type NotSent, Interrupted or Expired.
func (p *Pool) Do(ctx context.Context, r *http.Request) (*http.Response, error) {
	return p.doExchange(ctx, r, false)
}

// DoNonIdempotent is Do for a request that cannot be repeated after an
// Interrupted or Expired error. It probes idle connections if Pool.ProbeIdle is
// set.
func (p *Pool) DoNonIdempotent(ctx context.Context, r *http.Request) (*http.Response, error) {
	return p.doExchange(ctx, r, p.ProbeIdle)
}

// doExchange sends r on a connection of the pool. If probe is set, an idle
// connection may be probed first.
func (p *Pool) doExchange(ctx context.Context, r *http.Request, probe bool) (*http.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, NotSent.Wrap(err, "deadline passed before sending")
	}
	c, err := p.acquire(ctx, probe)
	if err != nil {
		return nil, err
	}
	x := &exchange{pool: p, conn: c, writesBefore: c.countedOut.writes.Load()}
	x.stopWatchingContext = context.AfterFunc(ctx, c.abort)
	x.send(r)
	a, err := x.receive(r)
	if x.gate != nil {
		// The peer has answered or failed without asking for the body.
		x.gate.open(false)
	}
	if err != nil {
		x.release(false)
		return nil, x.classifyError(ctx, err)
	}
	a.Body = &responseBody{exchange: x, ctx: ctx, reader: a.Body, response: a, untilClose: endsWithConnection(a)}
	return a, nil
}

// An exchange is one request and its response on one connection.
type exchange struct {
	pool *Pool
	conn *conn
	// writesBefore is the connection's count of writes before the request.
	writesBefore int64
	// stopWatchingContext keeps the end of the context from closing the
	// connection. It returns false if the context has ended already.
	stopWatchingContext func() bool
	// requestDone is closed when a request with a body was sent or failed.
	requestDone chan struct{}
	// sendErr is set before requestDone is closed.
	sendErr error
	// buffered is set once the request has been read to its end and its last bytes
	// are about to be written to the connection.
	buffered atomic.Bool
	once     sync.Once
	// hasRequestBody is set if the request has a body and is sent by its own
	// goroutine.
	hasRequestBody bool
	// gate holds back the body until the peer asks for it; nil if it is sent at once.
	gate *bodyGate
}

// send writes the request. A request with a body is written by its own
// goroutine, since the peer may answer before it has read the whole body.
func (x *exchange) send(r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		x.write(r)
		return
	}
	x.hasRequestBody, x.requestDone = true, make(chan struct{})
	if x.gate = newBodyGate(r, func() { x.buffered.Store(true) }); x.gate != nil {
		r = x.gate.request(r, x.conn.writer.Flush)
	}
	go func() {
		defer close(x.requestDone)
		x.write(r)
	}()
}

// write writes the request to the connection and sets sendErr.
func (x *exchange) write(r *http.Request) {
	if x.sendErr = r.Write(x.conn.writer); x.sendErr == nil {
		x.buffered.Store(true)
		x.sendErr = x.conn.writer.Flush()
	}
	if x.sendErr != nil && x.hasRequestBody && !x.gate.isWithheld() && !x.conn.countedOut.closedByPeer.Load() {
		// A read deadline in the past makes receive fail. The connection is then
		// closed, so that the peer does not wait for the rest of the request. If the
		// peer has closed the connection, reads end by themselves, after a response
		// that it sent before.
		_ = x.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// receive reads the header of the final response.
func (x *exchange) receive(r *http.Request) (*http.Response, error) {
	if !x.hasRequestBody && x.sendErr != nil {
		return nil, x.sendErr
	}
	onContinue := func() {}
	if x.gate != nil {
		onContinue = func() { x.gate.open(true) }
	}
	return x.conn.readResponse(r, onContinue)
}

// classifyError returns an error whose type says whether the request may have
// been sent. It is called after the connection was released.
func (x *exchange) classifyError(ctx context.Context, err error) error {
	sent := x.conn.countedOut.writes.Load() > x.writesBefore
	switch {
	case !sent:
		return NotSent.Wrap(err, "request not sent")
	case ctx.Err() != nil:
		return Expired.Wrap(err, "no answer in time")
	case errorx.IsOfType(err, Malformed):
		return err
	case isClosedByPeer(err) || x.conn.countedOut.closedByPeer.Load():
		return ClosedByPeer.Wrap(err, "connection closed by peer")
	default:
		return Interrupted.Wrap(err, "exchange failed")
	}
}

// checkOrderlyEnd returns an error if the end of the stream that a read has seen may stand
// for a broken connection. The kernel reports that only once. If a write of the request
// gets the error, reads see the end of the stream, as after an orderly close.
func (x *exchange) checkOrderlyEnd() error {
	err := x.conn.countedOut.end()
	if errors.Is(err, syscall.EPIPE) {
		// Linux reports a reset as ECONNRESET first, and as EPIPE if the peer had closed
		// its direction before: the response is complete.
		return nil
	}
	return err
}

// isClosedByPeer reports whether err means that the peer closed or reset the
// connection.
func isClosedByPeer(err error) bool {
	var n net.Error
	if errors.As(err, &n) && n.Timeout() {
		return false
	}
	var o *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &o)
}

// release returns the connection to the pool if it is reusable, the whole request
// was sent, nothing follows the response and the context has not ended; otherwise
// it closes the connection.
func (x *exchange) release(reusable bool) {
	x.once.Do(func() {
		contextActive := x.stopWatchingContext()
		if reusable && contextActive && x.requestSent() && x.conn.reader.Buffered() == 0 {
			x.pool.putIdle(x.conn)
			return
		}
		x.pool.discard(x.conn)
	})
}

// maxFlushWait is how long the end of a response waits for the goroutine that has just
// written the last bytes of the request.
const maxFlushWait = 50 * time.Millisecond

// requestSent reports whether the whole request was sent without an error. The whole
// response may be there before the goroutine that writes the request goes on.
func (x *exchange) requestSent() bool {
	if !x.hasRequestBody {
		return x.sendErr == nil
	}
	if !x.buffered.Load() {
		return false
	}
	t := time.NewTimer(maxFlushWait)
	defer t.Stop()
	select {
	case <-x.requestDone:
		return x.sendErr == nil
	case <-t.C:
		return false
	}
}

// A responseBody is the body of a response. It releases the connection at its
// end.
type responseBody struct {
	exchange *exchange
	ctx      context.Context
	reader   io.ReadCloser
	// response is the response that this is the body of.
	response *http.Response
	// untilClose is set if the body ends with its connection.
	untilClose bool
	finished   atomic.Bool
}

// endsWithConnection reports whether only the end of the connection ends the body of a
// response.
func endsWithConnection(a *http.Response) bool {
	return a.Close && a.ContentLength < 0 && len(a.TransferEncoding) == 0 && a.Body != http.NoBody
}

// Read implements io.Reader. If the body is cut short, the error is of type
// Interrupted or Expired, never io.EOF.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err == nil {
		return n, nil
	}
	if err := b.checkEnd(err); err != nil {
		b.finish(false)
		return n, b.exchange.classifyError(b.ctx, err)
	}
	b.finish(true)
	return n, io.EOF
}

// checkEnd returns nil if a body whose last read returned err is complete, and otherwise
// why it is not.
func (b *responseBody) checkEnd(err error) error {
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	if b.untilClose {
		return b.exchange.checkOrderlyEnd()
	}
	return CheckFieldNames(b.response.Trailer)
}

// Close implements io.Closer. Before the end of the body it closes the
// connection.
func (b *responseBody) Close() error {
	b.finish(false)
	return nil
}

// finish releases the connection; complete is whether the whole body was read.
func (b *responseBody) finish(complete bool) {
	if b.finished.CompareAndSwap(false, true) {
		b.exchange.release(complete && !b.response.Close)
	}
}

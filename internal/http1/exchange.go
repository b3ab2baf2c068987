package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
)

// Do sends r once and returns the header of the answer. The answer's body
// streams; closing it before its end discards the connection. When ctx ends
// before the body does, the connection is closed.
//
// Errors are of type NotSent, Interrupted or Expired.
func (p *Pool) Do(ctx context.Context, r *http.Request) (*http.Response, error) {
	return p.do(ctx, r, false)
}

// DoOnce is Do for a request that must not be repeated. It avoids connections
// that may have gone silent, see Pool.Probe.
func (p *Pool) DoNonIdempotent(ctx context.Context, r *http.Request) (*http.Response, error) {
	return p.do(ctx, r, p.ProbeIdle)
}

func (p *Pool) do(ctx context.Context, r *http.Request, probe bool) (*http.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, NotSent.Wrap(err, "deadline passed before sending")
	}
	c, err := p.get(ctx, probe)
	if err != nil {
		return nil, err
	}
	x := &exchange{p: p, c: c, start: c.sent.n.Load()}
	x.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	x.send(r)
	a, err := x.receive(r)
	if err != nil {
		x.end(false)
		return nil, x.classify(ctx, err)
	}
	a.Body = &body{x: x, ctx: ctx, r: a.Body, close: a.Close}
	return a, nil
}

// An exchange is one request and its answer on one connection.
type exchange struct {
	p *Pool
	c *conn
	// start is the connection's count of sent bytes before the request.
	start int64
	stop  func() bool
	// written is closed when a request with a body was sent or failed.
	written chan struct{}
	// sendErr is set before written is closed.
	sendErr error
	once    sync.Once
	hadBody bool
}

// send writes the request. A body is written by its own goroutine, since the
// peer may answer before it has read the whole of it.
func (x *exchange) send(r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		x.write(r)
		return
	}
	x.hadBody, x.written = true, make(chan struct{})
	go func() {
		defer close(x.written)
		x.write(r)
	}()
}

func (x *exchange) write(r *http.Request) {
	if x.sendErr = r.Write(x.c.w); x.sendErr == nil {
		x.sendErr = x.c.w.Flush()
	}
	if x.sendErr != nil && x.hadBody {
		// The peer must see a broken request rather than wait for its rest.
		_ = x.c.SetReadDeadline(time.Unix(1, 0))
	}
}

// receive reads up to the header of the final answer.
func (x *exchange) receive(r *http.Request) (*http.Response, error) {
	if !x.hadBody && x.sendErr != nil {
		return nil, x.sendErr
	}
	x.c.in.limited, x.c.in.left = true, maxHeaderBytes
	defer func() { x.c.in.limited = false }()
	for {
		a, err := http.ReadResponse(x.c.r, r)
		if err != nil && x.c.in.left <= 0 {
			return nil, Malformed.Wrap(err, "the header of the answer exceeds %d bytes", maxHeaderBytes)
		}
		if err != nil {
			return nil, err
		}
		if a.StatusCode == http.StatusSwitchingProtocols {
			// Upgrades are never asked for. What follows would not be HTTP.
			return nil, Malformed.New("the peer switches protocols unasked")
		}
		if a.StatusCode >= 200 {
			return a, nil
		}
	}
}

// classify says what a failure means for the request. The exchange has ended.
func (x *exchange) classify(ctx context.Context, err error) error {
	sent := x.c.sent.n.Load() > x.start
	switch {
	case !sent:
		return NotSent.Wrap(err, "request not sent")
	case ctx.Err() != nil:
		return Expired.Wrap(err, "no answer in time")
	case errorx.IsOfType(err, Malformed):
		return err
	case isReset(err):
		return ClosedByPeer.Wrap(err, "connection closed by peer")
	default:
		return Interrupted.Wrap(err, "exchange failed")
	}
}

func isReset(err error) bool {
	var n net.Error
	if errors.As(err, &n) && n.Timeout() {
		return false
	}
	var o *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &o)
}

// end gives the connection back, or closes it unless the exchange was clean.
func (x *exchange) end(clean bool) {
	x.once.Do(func() {
		stopped := x.stop()
		if clean && stopped && x.wasSent() {
			x.p.put(x.c)
			return
		}
		x.p.discard(x.c)
	})
}

func (x *exchange) wasSent() bool {
	if !x.hadBody {
		return x.sendErr == nil
	}
	select {
	case <-x.written:
		return x.sendErr == nil
	default:
		return false
	}
}

// A body is the body of an answer.
type body struct {
	x     *exchange
	ctx   context.Context
	r     io.ReadCloser
	close bool
	done  atomic.Bool
}

// Read implements io.Reader. A failure before the end of the body is an
// Interrupted or Expired error, never io.EOF.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		b.finish(true)
		return n, io.EOF
	default:
		b.finish(false)
		return n, b.x.classify(b.ctx, err)
	}
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

func (b *body) finish(clean bool) {
	if b.done.CompareAndSwap(false, true) {
		b.x.end(clean && !b.close)
	}
}

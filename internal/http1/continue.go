package http1

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// expectContinue is the value of the header Expect of a request whose body is sent
// only once the peer asks for it, see RFC 9110, section 10.1.1.
const expectContinue = "100-continue"

// ExpectContinue makes the exchange of a request with this header send the body only
// once the peer asks for it with the interim response 100. A peer that refuses the
// request answers without asking, and the body is not sent at all.
func ExpectContinue(h http.Header) { h["Expect"] = []string{expectContinue} }

// A bodyGate holds back the body of a request until the peer asks for it.
type bodyGate struct {
	body io.ReadCloser
	once sync.Once
	// opened is closed when it is decided whether the body is sent; withheld is set
	// before if it is not.
	opened   chan struct{}
	withheld bool
	// left is how much of the body has not been read, negative if its length is not
	// known. onAllRead is called when that becomes 0: the header is flushed separately,
	// so that the last bytes of the body may fill a buffer and be sent, and the response
	// arrive, before the writer sees the end of the body.
	left      int64
	onAllRead func()
}

// newBodyGate returns a gate for a request that expects 100 Continue, or nil.
func newBodyGate(r *http.Request, onAllRead func()) *bodyGate {
	if r.Header.Get("Expect") != expectContinue {
		return nil
	}
	return &bodyGate{body: r.Body, opened: make(chan struct{}), left: r.ContentLength, onAllRead: onAllRead}
}

// open decides whether the body is sent. Only the first call has an effect.
func (g *bodyGate) open(send bool) {
	g.once.Do(func() {
		g.withheld = !send
		close(g.opened)
	})
}

// isWithheld reports whether it was decided that the body is not sent.
func (g *bodyGate) isWithheld() bool {
	if g == nil {
		return false
	}
	select {
	case <-g.opened:
		return g.withheld
	default:
		return false
	}
}

// request returns r with a body that waits for the gate. flush writes what is buffered
// of the header to the connection.
func (g *bodyGate) request(r *http.Request, flush func() error) *http.Request {
	trace := &httptrace.ClientTrace{WroteHeaders: func() {
		if flush() == nil {
			<-g.opened
		}
	}}
	r = r.WithContext(httptrace.WithClientTrace(context.Background(), trace))
	r.Body = g
	return r
}

// Read implements io.Reader.
func (g *bodyGate) Read(p []byte) (int, error) {
	<-g.opened
	if g.withheld {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := g.body.Read(p)
	if g.left > 0 {
		if g.left -= int64(n); g.left <= 0 {
			g.onAllRead()
		}
	}
	return n, err
}

// Close implements io.Closer.
func (g *bodyGate) Close() error { return g.body.Close() }

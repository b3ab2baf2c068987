package http1_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/http1"
)

// newGet returns a GET request.
func newGet(t *testing.T, url string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, url, nil)
	assert.NilError(t, err)
	return r
}

// Guards against a new connection for each request.
func TestPoolReusesConnections(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	defer s.Close()
	p := http1.NewPool(s.Listener.Addr().String())
	defer p.Close()
	for range 5 {
		r, err := http.NewRequest(http.MethodPost, s.URL, strings.NewReader("entry"))
		assert.NilError(t, err)
		a, err := p.Do(context.Background(), r)
		assert.NilError(t, err)
		b, err := io.ReadAll(a.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(b), "entry")
	}
	assert.Equal(t, p.DialCount(), int64(1))
}

// Guards against a request that is sent again after the server closed the
// connection during the exchange. The Transport of net/http resends a request
// with an Idempotency-Key in this case.
func TestPoolNeverResends(t *testing.T) {
	var n atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	defer s.Close()
	p := http1.NewPool(s.Listener.Addr().String())
	defer p.Close()
	for i := range 2 {
		r := newGet(t, s.URL)
		r.Header.Set("Idempotency-Key", "k")
		a, err := p.Do(context.Background(), r)
		if i == 0 {
			assert.NilError(t, err)
			_, _ = io.Copy(io.Discard, a.Body)
			continue
		}
		assert.Assert(t, errorx.IsOfType(err, http1.ClosedByPeer), "%v", err)
	}
	assert.Equal(t, n.Load(), int64(2))
}

// Guards against a refused connection that is reported as an unknown outcome.
func TestPoolReportsRefusedAsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = http1.NewPool(addr).Do(context.Background(), newGet(t, "http://"+addr))
	assert.Assert(t, errorx.IsOfType(err, http1.NotSent), "%v", err)
	assert.Assert(t, errorx.IsOfType(err, http1.DialRefused), "%v", err)
}

// Guards against a truncated response that looks complete.
func TestPoolReportsTruncatedAnswer(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	p := http1.NewPool(s.Listener.Addr().String())
	a, err := p.Do(context.Background(), newGet(t, s.URL))
	if err == nil {
		_, err = io.ReadAll(a.Body)
	}
	assert.Assert(t, errorx.IsOfType(err, http1.Interrupted), "%v", err)
	assert.Equal(t, p.OpenConnections(), int64(0))
}

// Guards against a non-idempotent request that is sent on a connection whose peer
// stopped answering while it was idle.
func TestPoolProbesConnectionsWithoutRecentAnswer(t *testing.T) {
	var served atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var silent atomic.Bool
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })}
	go func() { _ = s.Serve(silentListener{l, &silent}) }()
	defer func() { _ = s.Close() }()

	p := http1.NewPool(l.Addr().String())
	p.ProbeIdle = true
	a, err := p.DoNonIdempotent(context.Background(), newGet(t, "http://x/"))
	assert.NilError(t, err)
	_, _ = io.Copy(io.Discard, a.Body)
	silent.Store(true)
	time.Sleep(1100 * time.Millisecond) // Longer than maxUnprobedIdle.
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err = p.DoNonIdempotent(ctx, newGet(t, "http://x/"))
	assert.NilError(t, err)
	_, _ = io.Copy(io.Discard, a.Body)
	assert.Equal(t, served.Load(), int64(2))
	assert.Equal(t, p.DialCount(), int64(2))
}

// A silentListener accepts connections. Those accepted while silent is not set
// deliver no more data once it is set.
type silentListener struct {
	net.Listener
	silent *atomic.Bool
}

func (l silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil || l.silent.Load() {
		return c, err
	}
	return silentConn{c, l.silent}, nil
}

// A silentConn discards the data that it reads while silent is set.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/http1"
)

// newPoolToScript returns a pool to a server that reads one request on each
// connection, answers with the text, and closes the connection.
func newPoolToScript(t *testing.T, text string) *http1.Pool {
	t.Helper()
	return newPoolToServer(t, func(c net.Conn) { _, _ = io.WriteString(c, text) })
}

// newPoolToServer returns a pool to a server that reads one request on each
// connection, lets respond write the response, and closes the connection.
func newPoolToServer(t *testing.T, respond func(c net.Conn)) *http1.Pool {
	t.Helper()
	return newPoolToServers(t, func(r *bufio.Reader, c net.Conn) {
		if _, err := http.ReadRequest(r); err == nil {
			respond(c)
		}
	})
}

// newPoolToServers returns a pool to a server that lets serve handle each
// connection, and closes the connection.
func newPoolToServers(t *testing.T, serve func(r *bufio.Reader, c net.Conn)) *http1.Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(bufio.NewReader(c), c)
			}()
		}
	}()
	p := http1.NewPool(l.Addr().String())
	t.Cleanup(p.Close)
	return p
}

// Guards against malformed responses that are passed on, or that leave a
// connection open whose next bytes would be taken for the response to another
// request.
func TestPoolRejectsMalformedAnswers(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"garbage", "\x00\x01\x02garbage\r\n\r\n"},
		{"nothing", ""},
		{"half a header", "HTTP/1.1 200 OK\r\nContent-"},
		{"unasked upgrade", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"},
		{"different lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc"},
		{"unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc"},
	} {
		p := newPoolToScript(t, c.text)
		_, err := p.Do(context.Background(), newGet(t, "http://x/"))
		assert.Assert(t, errorx.IsOfType(err, http1.Interrupted), "%s: %v", c.name, err)
		assert.Equal(t, p.OpenConnections(), int64(0), c.name)
	}
}

// Guards against responses that are cut short but look complete.
func TestPoolRejectsBrokenBodies(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"short", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
		{"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n0\r\n\r\n"},
		{"endless trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + strings.Repeat("x", 300<<10)},
	} {
		p := newPoolToScript(t, c.text)
		a, err := p.Do(context.Background(), newGet(t, "http://x/"))
		assert.NilError(t, err, c.name)
		_, err = io.ReadAll(a.Body)
		assert.Assert(t, errorx.IsOfType(err, http1.Interrupted), "%s: %v", c.name, err)
		assert.Equal(t, p.OpenConnections(), int64(0), c.name)
	}
}

// Guards against a peer that uses up the memory with an endless header or
// endless interim responses.
func TestPoolBoundsTheHeader(t *testing.T) {
	for _, line := range []string{"X-More: " + strings.Repeat("x", 1000) + "\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
		sent := make(chan error, 1)
		p := newPoolToServer(t, func(c net.Conn) {
			if strings.HasPrefix(line, "X") {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			}
			_ = c.SetWriteDeadline(time.Now().Add(20 * time.Second))
			for {
				if _, err := io.WriteString(c, line); err != nil {
					sent <- err
					return
				}
			}
		})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := p.Do(ctx, newGet(t, "http://x/"))
		assert.Assert(t, errorx.IsOfType(err, http1.Malformed), "%v", err)
		assert.Assert(t, <-sent != nil)
	}
}

// Guards against a limit of the header size that is applied to the body or to
// short interim responses.
func TestPoolPassesLongBodiesAndInterimAnswers(t *testing.T) {
	body := strings.Repeat("x", 1<<20)
	p := newPoolToScript(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"+body)
	a, err := p.Do(context.Background(), newGet(t, "http://x/"))
	assert.NilError(t, err)
	b, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(b), len(body))
	assert.Equal(t, p.OpenConnections(), int64(0))
}

// BenchmarkDo sends small requests on one reused connection.
func BenchmarkDo(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	defer s.Close()
	p := http1.NewPool(s.Listener.Addr().String())
	defer p.Close()
	r, err := http.NewRequest(http.MethodGet, s.URL, nil)
	assert.NilError(b, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		a, err := p.Do(ctx, r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, a.Body)
	}
	if p.DialCount() != 1 {
		b.Fatalf("%d connections", p.DialCount())
	}
}

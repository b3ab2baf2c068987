package backend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/backend"
	"quetzaldock.example/quetzaldock/internal/call"
)

// proxyToUploads returns a proxy for a backend server that answers each request with the
// text before it has read the body, and then calls end.
func proxyToUploads(t *testing.T, text string, end func(c *net.TCPConn)) *backend.Proxy {
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
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, text)
					end(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return newProxy(t, l.Addr().String())
}

// Guards against a response that is reset while the upload is still written and that looks
// complete, and against one that had ended before and is lost.
func TestResponseBeforeTheEndOfAnUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	whole := strings.Repeat("x", 1000)
	half := whole[:500]
	upload := strings.Repeat("x", 8<<20)
	for _, c := range []struct{ name, whole, half string }{
		{"length", fmt.Sprintf("Content-Length: 1000\r\n\r\n%s", whole), fmt.Sprintf("Content-Length: 1000\r\n\r\n%s", half)},
		{"chunks", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n3e8\r\n%s\r\n0\r\n\r\n", whole), fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n1f4\r\n%s\r\n", half)},
		{"until close", "\r\n" + whole, "\r\n" + half},
	} {
		t.Run(c.name, func(t *testing.T) {
			broken := proxyToUploads(t, head+c.half, func(c *net.TCPConn) { _ = c.SetLinger(0) })
			sound := proxyToUploads(t, head+c.whole, func(c *net.TCPConn) {
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, c)
			})
			for range 20 {
				a, err := broken.Do(context.Background(), newCall(), request(upload))
				if err == nil {
					_, err = io.ReadAll(a.Body)
				}
				var n *call.NotRun
				assert.Assert(t, err != nil && !errors.As(err, &n), "%v", err)
				a, err = sound.Do(context.Background(), newCall(), request(upload))
				assert.NilError(t, err)
				body, err := io.ReadAll(a.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), whole)
			}
			assertNothingHeld(t, broken)
			assertNothingHeld(t, sound)
		})
	}
}

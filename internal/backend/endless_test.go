package backend_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/backend"
	"quetzaldock.example/quetzaldock/internal/call"
)

// proxyToStream returns a proxy for a backend server that answers each request
// with head and then part until the connection is closed.
func proxyToStream(t *testing.T, head, part string) *backend.Proxy {
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
				_, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					_, err = io.WriteString(c, head)
				}
				more := bytes.Repeat([]byte(part), 4096/len(part)+1)
				for err == nil {
					_, err = c.Write(more)
				}
			}()
		}
	}()
	return newProxy(t, l.Addr().String())
}

// Guards against a response without end that keeps its slot or connection, is
// reported as not run, or looks complete.
func TestServerEndlessAnswerFreesTheSlot(t *testing.T) {
	const okLine = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct{ name, head, part string }{
		{"header lines", okLine, "X-More: x\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"no response", "", "x"},
	} {
		s := proxyToStream(t, c.head, c.part)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		_, err := s.Do(ctx, newCall(), request("body"))
		var u *call.OutcomeUnknown
		assert.Assert(t, errors.As(err, &u), "%s: %v", c.name, err)
		assert.NilError(t, ctx.Err(), c.name)
		cancel()
		assertNothingHeld(t, s)
		assert.Equal(t, s.Pool.OpenConnections(), int64(0), c.name)
	}
	for _, c := range []struct{ name, head, part string }{
		{"length", okLine + "Content-Length: 9000000000000000000\r\n\r\n", "x"},
		{"until close", okLine + "\r\n", "x"},
		{"chunks", okLine + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
	} {
		s := proxyToStream(t, c.head, c.part)
		ctx, cancel := context.WithCancel(context.Background())
		a, err := s.Do(ctx, newCall(), request("body"))
		assert.NilError(t, err, c.name)
		_, err = io.CopyN(io.Discard, a.Body, 256<<10)
		assert.NilError(t, err, c.name)
		cancel()
		_, err = io.Copy(io.Discard, a.Body)
		assert.Assert(t, err != nil, c.name)
		assertNothingHeld(t, s)
		assert.Equal(t, s.Pool.OpenConnections(), int64(0), c.name)
	}
}

package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/http1"
)

// wrongResponse follows an invalid response. It must not be taken for the response to
// the request.
const wrongResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"

// Guards against responses with an invalid status line that are passed on, that are
// skipped like interim ones, or whose connection is used again.
func TestPoolRejectsInvalidStatusLines(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"000", "HTTP/1.1 000 None\r\n\r\n"},
		{"000 with a body", "HTTP/1.1 000 None\r\nContent-Length: 5\r\n\r\nwrong"},
		{"000 with a body in chunks", "HTTP/1.1 000 None\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"},
		{"000 with a body until close", "HTTP/1.1 000 None\r\nConnection: close\r\n\r\nwrong"},
		{"000 without reason", "HTTP/1.1 000\r\n\r\n"},
		{"000 in HTTP/1.0", "HTTP/1.0 000 None\r\n\r\n"},
		{"000 after more spaces", "HTTP/1.1   000 None\r\n\r\n"},
		{"000 after very many spaces", "HTTP/1.1" + strings.Repeat(" ", 100<<10) + "000 None\r\n\r\n"},
		{"099", "HTTP/1.1 099 None\r\n\r\n"},
		{"600", "HTTP/1.1 600 None\r\nContent-Length: 5\r\n\r\nwrong"},
		{"999", "HTTP/1.1 999 None\r\nContent-Length: 5\r\n\r\nwrong"},
		{"interim responses over the limit of the header", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 10000)},
		{"000 after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None\r\n\r\n"},
		{"101", "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
		{"no digits", "HTTP/1.1 \r\n\r\n"},
		{"no status", "HTTP/1.1\r\n\r\n"},
		{"two digits", "HTTP/1.1 20 OK\r\n\r\n"},
		{"two digits without reason", "HTTP/1.1 20\r\n\r\n"},
		{"five digits", "HTTP/1.1 20000 OK\r\n\r\n"},
		{"plus sign", "HTTP/1.1 +20 OK\r\n\r\n"},
		{"minus sign", "HTTP/1.1 -20 OK\r\n\r\n"},
		{"minus zero", "HTTP/1.1 -00 OK\r\n\r\n"},
		{"no digit at the end", "HTTP/1.1 20x OK\r\n\r\n"},
		{"HTTP/0.9 without status line", "wrong"},
		{"HTTP/0.9", "HTTP/0.9 200 OK\r\nContent-Length: 5\r\n\r\nwrong"},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\nwrong"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPoolToScript(t, c.text+wrongResponse)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			a, err := p.Do(ctx, newGet(t, "http://x/"))
			assert.Assert(t, errorx.IsOfType(err, http1.Malformed), "%v, response %v", err, a)
			assert.Assert(t, len(err.Error()) < 1000, "%d bytes", len(err.Error()))
			assert.Equal(t, p.OpenConnections(), int64(0))
		})
	}
}

// Guards against an invalid status line that holds its request until the rest of the
// line or of the header arrives.
func TestPoolRejectsAnInvalidStatusAtItsFirstDigit(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 0", "HTTP/1.1 6", "HTTP/1.1 +", "HTTP/1.1 2000", "HTTP/1.1 20 ", "HTTP/2", "HTTP/1.1 099 None\r\nX-More: x"} {
		ended := make(chan struct{})
		p := newPoolToServer(t, func(c net.Conn) {
			_, _ = io.WriteString(c, text)
			<-ended
		})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		_, err := p.Do(ctx, newGet(t, "http://x/"))
		assert.Check(t, errorx.IsOfType(err, http1.Malformed), "%q: %v", text, err)
		cancel()
		close(ended)
	}
}

// Guards against valid status lines that are refused.
func TestPoolPassesValidStatusLines(t *testing.T) {
	for text, status := range map[string]int{
		"HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.0 200 OK": 200, "HTTP/1.1  200 OK": 200, "HTTP/1.1 299 ": 299,
		"HTTP/1.1 599 Own reason of several words": 599, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 404": 404,
	} {
		p := newPoolToScript(t, text+"\r\nContent-Length: 5\r\n\r\nright")
		a, err := p.Do(context.Background(), newGet(t, "http://x/"))
		assert.NilError(t, err, text)
		b, err := io.ReadAll(a.Body)
		assert.NilError(t, err, text)
		assert.Equal(t, a.StatusCode, status, text)
		assert.Equal(t, string(b), "right", text)
	}
}

// Guards against a status line in a chunked trailer that completes the response, or
// becomes the response to the next request.
func TestPoolRejectsAStatusLineInATrailer(t *testing.T) {
	for _, trailer := range []string{"HTTP/1.1 000 None\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n", "X: x\r\nHTTP/1.1 500 Failed\r\n\r\n", ":status 000\r\n\r\n"} {
		p := newPoolToScript(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nright\r\n0\r\n"+trailer+wrongResponse)
		a, err := p.Do(context.Background(), newGet(t, "http://x/"))
		assert.NilError(t, err)
		_, err = io.ReadAll(a.Body)
		assert.Assert(t, errorx.IsOfType(err, http1.Interrupted), "%q: %v", trailer, err)
		assert.Equal(t, p.OpenConnections(), int64(0))
	}
}

// Guards against a second response to a request that becomes the response to the next
// request on the connection.
func TestPoolDropsASecondResponse(t *testing.T) {
	for _, framing := range []string{"Content-Length: 5\r\n\r\nright", "Transfer-Encoding: chunked\r\n\r\n5\r\nright\r\n0\r\n\r\n"} {
		for _, second := range []string{wrongResponse, "HTTP/1.1 000 None\r\n\r\n"} {
			p := newPoolToServers(t, func(r *bufio.Reader, c net.Conn) {
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+framing+second)
				}
			})
			for range 3 {
				a, err := p.Do(context.Background(), newGet(t, "http://x/"))
				assert.NilError(t, err)
				b, err := io.ReadAll(a.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(b), "right")
			}
			assert.Equal(t, p.DialCount(), int64(3))
		}
	}
}

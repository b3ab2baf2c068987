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

// invalidFields are lines of a header in which the name of a field holds a blank or a
// control byte, or that have no name.
var invalidFields = []string{
	"Bad Name: x", "X-Bad : x", " X-Bad: x", "X-Bad\t: x", "\tX-Bad: x", "Bad\tName: x",
	"Content-Length : 3", " Content-Length: 3", "\tContent-Length: 3", "Content-Length\t: 3", "Transfer-Encoding : chunked", " Transfer-Encoding: chunked",
	"Bad\x00Name: x", "\x01X-Bad: x", "X-Bad\x1f: x", "Bad\x7fName: x", "Bad\x0bName: x", "Bad\rName: x", "\rX-Bad: x",
	"B\xe4d: x", ": x", " ", "\t", "no colon",
}

// pipeBytes returns a pool to a server that answers each request with the text, one byte at
// a time.
func pipeBytes(t *testing.T, text string) *http1.Pool {
	t.Helper()
	p := &http1.Pool{MaxIdle: 1, Dial: func(context.Context) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
				return
			}
			for i := range len(text) {
				if _, err := io.WriteString(server, text[i:i+1]); err != nil {
					return
				}
			}
		}()
		return client, nil
	}}
	t.Cleanup(p.Close)
	return p
}

// Guards against a response that is passed on although the name of a field is invalid, so
// that its line is passed on, or its body is framed otherwise than the peer meant.
func TestPoolRejectsInvalidFieldNames(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	long := "X-Long: " + strings.Repeat("x", 10<<10) + "\r\n"
	for _, field := range invalidFields {
		line := field + "\r\n"
		for name, text := range map[string]string{
			"length":                    ok + "Content-Length: 5\r\n" + line + "\r\nwrong",
			"chunks":                    ok + line + "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
			"until close":               ok + "X-First: x\r\n" + line + "\r\nwrong",
			"first field":               ok + line + "Content-Length: 5\r\n\r\nwrong",
			"long header":               ok + long + line + "Content-Length: 5\r\n\r\nwrong",
			"line feeds":                ok + "X-First: x\n" + field + "\nContent-Length: 5\n\nwrong",
			"interim response":          "HTTP/1.1 103 Early Hints\r\nX-First: x\r\n" + line + "\r\n" + wrongResponse,
			"after an interim response": "HTTP/1.1 103 Early Hints\r\nX-First: x\r\n\r\n" + ok + line + "Content-Length: 5\r\n\r\nwrong",
			"failure":                   "HTTP/1.1 503 Unavailable\r\n" + line + "Content-Length: 5\r\n\r\nwrong",
		} {
			for pool, p := range map[string]*http1.Pool{"at once": newPoolToScript(t, text), "byte by byte": pipeBytes(t, text)} {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				a, err := p.Do(ctx, newGet(t, "http://x/"))
				cancel()
				assert.Check(t, errorx.IsOfType(err, http1.Malformed), "%q, %s, %s: %v", field, name, pool, err)
				if a != nil {
					_ = a.Body.Close()
				}
				assert.Check(t, p.OpenConnections() == 0, "%q, %s, %s", field, name, pool)
			}
		}
	}
}

// Guards against an invalid name that holds its request until the rest of the header
// arrives.
func TestPoolRejectsAnInvalidFieldNameAtItsFirstByte(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\nBad ", "HTTP/1.1 200 OK\r\nX: x\r\n ", "HTTP/1.1 200 OK\r\n:", "HTTP/1.1 200 OK\r\nBad\x00", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nBad "} {
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

// Guards against valid fields that are refused.
func TestPoolPassesValidFields(t *testing.T) {
	const names = "!#$%&'*+-.^_`|~0123456789aZ"
	for _, line := range []string{
		names + ": x", "X-Empty:", "X-Empty: ", "X-Blanks:\t a b\tc ", "X-Colon: a: b", "X-Bytes: \xe4\xff", "x: x", strings.Repeat("X", 5000) + ": x",
		"X-Long: " + strings.Repeat("x ", 20<<10),
	} {
		for name, framing := range map[string]string{
			"length": "Content-Length: 5\r\n\r\nright", "chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nright\r\n0\r\n\r\n", "until close": "\r\nright",
		} {
			text := "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + line + "\r\n" + framing
			for _, p := range []*http1.Pool{newPoolToScript(t, text), pipeBytes(t, text)} {
				a, err := p.Do(context.Background(), newGet(t, "http://x/"))
				assert.NilError(t, err, "%.40q, %s", line, name)
				body, err := io.ReadAll(a.Body)
				assert.NilError(t, err, "%.40q, %s", line, name)
				assert.Equal(t, string(body), "right", "%.40q, %s", line, name)
				key, value, _ := strings.Cut(line, ":")
				assert.Equal(t, a.Header.Get(key), strings.Trim(value, " \t"))
			}
		}
	}
}

// Guards against an invalid name in a trailer whose response looks complete, and against
// valid trailers that are refused.
func TestPoolChecksTheFieldNamesOfTrailers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	for _, c := range []struct {
		announced, trailer string
		valid              bool
	}{
		{"", "Bad Name: x\r\n", false},
		{"", "X-Sum : x\r\n", false},
		{"", "X-Sum: x\r\nX-Bad : x\r\n", false},
		{"Trailer: X-Sum\r\n", "X-Sum : x\r\n", false},
		{"", "X-Sum\t: x\r\n", false},
		{"", "\x01X-Sum: x\r\n", false},
		{"", "X-Sum: x\r\n", true},
		{"Trailer: X-Sum, X-Missing\r\n", "X-Sum: x\r\n", true},
		{"", "", true},
	} {
		p := newPoolToScript(t, head+c.announced+"\r\n5\r\nright\r\n0\r\n"+c.trailer+"\r\n")
		a, err := p.Do(context.Background(), newGet(t, "http://x/"))
		assert.NilError(t, err)
		body, err := io.ReadAll(a.Body)
		assert.Equal(t, string(body), "right")
		if c.valid {
			assert.NilError(t, err, c.trailer)
			continue
		}
		assert.Check(t, errorx.IsOfType(err, http1.Interrupted), "%q: %v", c.trailer, err)
		assert.Equal(t, p.OpenConnections(), int64(0))
	}
}

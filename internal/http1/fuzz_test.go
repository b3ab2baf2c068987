package http1_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/internal/http1"
)

// validStart matches the start of each response that may be passed on: interim ones may
// come first.
var validStart = regexp.MustCompile(`^HTTP/1\.\d +[1-5]\d\d[ \r\n]`)

// validHeader matches the fields of the first header of each response that may be passed
// on: their names are tokens.
var validHeader = regexp.MustCompile("^[^\n]*\n(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\n]*\n)*\r?\n")

// FuzzResponse lets a peer answer each request on a connection with the given bytes.
// Guards against bytes that are no valid response and are passed on, that keep a request
// waiting after the peer has closed the connection, or that reach the next request.
func FuzzResponse(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		p := &http1.Pool{MaxIdle: 1, Dial: func(context.Context) (net.Conn, error) {
			client, server := net.Pipe()
			go answerOnce(server, text)
			return client, nil
		}}
		defer p.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		a, err := p.Do(ctx, newGet(t, "http://x/"))
		if err != nil {
			checkFailure(t, p, err)
			return
		}
		if !validStart.Match(text) || a.StatusCode < http.StatusOK || a.StatusCode > 599 || a.ProtoMajor != 1 {
			t.Fatalf("status %q, protocol %s", a.Status, a.Proto)
		}
		if !validHeader.Match(text) {
			t.Fatalf("header %q", a.Header)
		}
		body, err := io.ReadAll(a.Body)
		if err != nil {
			checkFailure(t, p, err)
			return
		}
		if len(a.TransferEncoding) == 0 && !bytes.Contains(text, body) || len(body) > len(text) {
			t.Fatalf("body %q", body)
		}
		if a.Close && p.OpenConnections() != 0 {
			t.Fatal("a connection is kept after a response that closes it")
		}
	})
}

// answerOnce reads one request, writes the text and closes the connection.
func answerOnce(c net.Conn, text []byte) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = c.Write(text)
	}
}

// checkFailure fails the test unless the error says that the outcome is unknown and the
// connection was closed.
func checkFailure(t *testing.T, p *http1.Pool, err error) {
	t.Helper()
	if !errorx.IsOfType(err, http1.Interrupted) {
		t.Fatalf("%v", err)
	}
	if n := p.OpenConnections(); n != 0 {
		t.Fatalf("%d connections after %v", n, err)
	}
}

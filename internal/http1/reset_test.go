package http1_test

import (
	"bufio"
	"context"
	"fmt"
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

const (
	// uploadBytes is more than the buffers of both ends of a connection hold, so that an
	// upload that is not read is still being written.
	uploadBytes = 8 << 20
	// readUploadBytes is the size of an upload that is read to its end.
	readUploadBytes = 256 << 10
	// uploadTries is the number of requests of each case. Which goroutine learns of a reset
	// differs from one to the next.
	uploadTries = 40
)

var (
	// okBody and okHalf are a body and its first half.
	okBody = strings.Repeat("0123456789abcdef", 64)
	okHalf = okBody[:len(okBody)/2]
)

// bodyFramings are the ways to send okBody, and what is sent if only half of it is.
var bodyFramings = []struct{ name, whole, half string }{
	{"length", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(okBody), okBody), fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(okBody), okHalf)},
	{
		"chunks", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(okBody), okBody),
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(okHalf), okHalf),
	},
	{"until close", "\r\n" + okBody, "\r\n" + okHalf},
}

// uploadContent returns the body of an upload. early is set if it is not read.
func uploadContent(early bool) string {
	if early {
		return strings.Repeat("x", uploadBytes)
	}
	return strings.Repeat("x", readUploadBytes)
}

// endReset resets the connection.
func endReset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// endClosed closes the connection.
func endClosed(c *net.TCPConn) { _ = c.Close() }

// endUnread closes the connection while there are unread bytes, which resets it.
func endUnread(c *net.TCPConn) {
	_, _ = c.Read(make([]byte, 1))
	_ = c.Close()
}

// endHalfClosed ends the response and reads on until the client closes the connection.
func endHalfClosed(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// endHalfClosedAndReset ends the response and resets the connection after that.
func endHalfClosedAndReset(c *net.TCPConn) {
	_ = c.CloseWrite()
	endReset(c)
}

// newPoolToUploads returns a pool to a server that answers each request with the text
// after the status line, before it reads the body if early is set, and then calls end.
func newPoolToUploads(t *testing.T, text string, early bool, end func(c *net.TCPConn)) *http1.Pool {
	t.Helper()
	return newPoolToServers(t, func(r *bufio.Reader, c net.Conn) {
		q, err := http.ReadRequest(r)
		if err == nil && !early {
			_, err = io.Copy(io.Discard, q.Body)
		}
		if err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+text)
			end(c.(*net.TCPConn))
		}
	})
}

// upload sends a long request and reads the response. The error is that of either.
func upload(t *testing.T, p *http1.Pool, body io.Reader) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r, err := http.NewRequest(http.MethodPost, "http://x/", body)
	assert.NilError(t, err)
	a, err := p.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

// Guards against a response that is reset before its end and looks complete: a write of
// the request may take the error of the reset, so that a read sees an orderly end.
func TestResponseThatIsResetIsNotComplete(t *testing.T) {
	for _, f := range bodyFramings {
		for name, c := range map[string]struct {
			early bool
			end   func(c *net.TCPConn)
		}{
			"reset during the upload":              {true, endReset},
			"closed with unread bytes":             {true, endUnread},
			"reset some time after the first half": {true, func(c *net.TCPConn) { <-time.After(5 * time.Millisecond); endReset(c) }},
			"reset after the upload":               {false, endReset},
			// The end of a body that ends with its connection is stated.
			"half-closed during the upload": {true, endHalfClosed},
			"half-closed after the upload":  {false, endHalfClosed},
		} {
			if f.name == "until close" && strings.HasPrefix(name, "half-closed") {
				continue
			}
			t.Run(f.name+", "+name, func(t *testing.T) {
				p, content := newPoolToUploads(t, f.half, c.early, c.end), uploadContent(c.early)
				for range uploadTries {
					body, err := upload(t, p, strings.NewReader(content))
					assert.Assert(t, errorx.IsOfType(err, http1.ClosedByPeer), "%v, %d of %d bytes", err, len(body), len(okBody))
				}
				assert.Equal(t, p.OpenConnections(), int64(0))
			})
		}
	}
}

// Guards against a reset that is missed because the caller sends the upload in small
// parts, so that each part is a write of its own.
func TestResponseThatIsResetBetweenWritesIsNotComplete(t *testing.T) {
	p := newPoolToUploads(t, bodyFramings[2].half, true, endReset)
	for range uploadTries {
		body, send := io.Pipe()
		go func() {
			part := make([]byte, 8<<10)
			for {
				if _, err := send.Write(part); err != nil {
					return
				}
			}
		}()
		_, err := upload(t, p, body)
		_ = body.Close()
		assert.Assert(t, errorx.IsOfType(err, http1.Interrupted), "%v", err)
	}
}

// Guards against a complete response that is lost because the connection is closed or
// reset after it, also before the upload has been written.
func TestResponseBeforeAnEndOfTheConnectionIsComplete(t *testing.T) {
	for _, f := range bodyFramings {
		for name, c := range map[string]struct {
			early bool
			end   func(c *net.TCPConn)
			// framed is set if the end of the connection is not that of the body.
			framed bool
		}{
			"half-closed during the upload":           {true, endHalfClosed, false},
			"half-closed and reset during the upload": {true, endHalfClosedAndReset, false},
			"half-closed after the upload":            {false, endHalfClosed, false},
			"half-closed and reset after the upload":  {false, endHalfClosedAndReset, false},
			"closed after the upload":                 {false, endClosed, false},
			"reset during the upload":                 {true, endReset, true},
			"closed with unread bytes":                {true, endUnread, true},
			"reset after the upload":                  {false, endReset, true},
		} {
			if c.framed && f.name == "until close" {
				continue
			}
			t.Run(f.name+", "+name, func(t *testing.T) {
				p, content := newPoolToUploads(t, f.whole, c.early, c.end), uploadContent(c.early)
				for range uploadTries {
					body, err := upload(t, p, strings.NewReader(content))
					assert.NilError(t, err)
					assert.Equal(t, body, okBody)
				}
			})
		}
	}
}

// Guards against a response that ends with its connection and waits for a caller that
// sends no more of the upload.
func TestResponseUntilCloseEndsBesideAStalledUpload(t *testing.T) {
	p := newPoolToUploads(t, bodyFramings[2].whole, true, endHalfClosed)
	body, send := io.Pipe()
	defer func() { _ = body.Close() }()
	go func() { _, _ = send.Write([]byte("first part")) }()
	got, err := upload(t, p, body)
	assert.NilError(t, err)
	assert.Equal(t, got, okBody)
}

// Guards against a connection that is kept after a response without body and length, and
// can no longer be written to.
func TestResponseWithoutBodyKeepsItsConnection(t *testing.T) {
	p := newPoolToServers(t, func(r *bufio.Reader, c net.Conn) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		}
	})
	r, err := http.NewRequest(http.MethodHead, "http://x/", nil)
	assert.NilError(t, err)
	for range 3 {
		a, err := p.Do(context.Background(), r)
		assert.NilError(t, err)
		_, err = io.ReadAll(a.Body)
		assert.NilError(t, err)
	}
	assert.Equal(t, p.DialCount(), int64(1))
}

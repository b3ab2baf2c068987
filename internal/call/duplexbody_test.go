package call_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/call"
)

// Guards against a panic in net/http when a handler answers a full-duplex
// request without having read its body, as each refusal does.
func TestDiscardBodyReadsShortRest(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := call.NewDuplexBody(w, r)
		defer b.Release()
		call.DiscardBody(r)
		b.ResponseWriter().WriteHeader(http.StatusServiceUnavailable)
	}))
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	for range 3 {
		_, err = fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n")
		assert.NilError(t, err)
		a, err := http.ReadResponse(b, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, a.Body)
		assert.NilError(t, err)
		assert.Equal(t, a.StatusCode, http.StatusServiceUnavailable)
	}
}

// Guards against a panic in net/http when a goroutine still reads a body whose
// handler has returned, and against that goroutine being left behind.
func TestBodyReleaseEndsReading(t *testing.T) {
	ended := make(chan error, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := call.NewDuplexBody(w, r)
		defer b.Release()
		started := make(chan struct{})
		go func() {
			close(started)
			_, err := io.Copy(io.Discard, r.Body)
			ended <- err
		}()
		<-started
		b.ResponseWriter().WriteHeader(http.StatusNoContent)
	}))
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	// The body never ends: the client announces more than it sends.
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
	assert.NilError(t, err)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, a.StatusCode, http.StatusNoContent)
	assert.Assert(t, <-ended != nil)
}

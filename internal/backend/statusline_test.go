package backend_test

import (
	"context"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/call"
)

// Guards against responses of a backend server with an invalid status line that are
// passed on, are skipped like interim ones, or are reported as not run.
func TestInvalidStatusLinesAreNotPassedOn(t *testing.T) {
	const body = "Content-Length: 5\r\n\r\nwrong"
	for _, head := range []string{
		"HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 000 None\r\n",
		"HTTP/1.1 000 None\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n", "HTTP/1.1 000 None\r\nConnection: close\r\n\r\nwrong",
		"HTTP/1.1 099 None\r\n\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 600 None\r\n", "HTTP/1.1 999 None\r\n", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 10000) + "HTTP/1.1 200 OK\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 20 OK\r\n", "HTTP/1.1 20000 OK\r\n",
		"HTTP/1.1 +20 OK\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 -00 OK\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1\r\n", "", "HTTP/0.9 200 OK\r\n", "HTTP/2.0 200 OK\r\n",
	} {
		p := proxyToScript(t, head+body)
		a, err := p.Do(context.Background(), newCall(), request("body"))
		_, ok := err.(*call.OutcomeUnknown)
		assert.Check(t, ok, "%.40q: error %v, response %v", head, err, a)
		if a != nil {
			_ = a.Body.Close()
		}
		assertNothingHeld(t, p)
		assert.Equal(t, p.Pool.OpenConnections(), int64(0))
	}
}

// Guards against a status line in a chunked trailer that completes a response.
func TestStatusLineInATrailerDoesNotCompleteAResponse(t *testing.T) {
	p := proxyToScript(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nright\r\n0\r\nHTTP/1.1 000 None\r\n\r\n")
	a, err := p.Do(context.Background(), newCall(), request("body"))
	assert.NilError(t, err)
	_, err = io.ReadAll(a.Body)
	assert.Assert(t, err != nil)
	assertNothingHeld(t, p)
	assert.Equal(t, p.Pool.OpenConnections(), int64(0))
}

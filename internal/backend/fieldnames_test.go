package backend_test

import (
	"context"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/call"
)

// Guards against responses of a backend server with an invalid name of a field that are
// passed on or reported as not run.
func TestInvalidFieldNamesAreNotPassedOn(t *testing.T) {
	for _, field := range []string{"Bad Name: x", "X-Bad : x", " X-Bad: x", "Content-Length : 3", "Transfer-Encoding : chunked", "Bad\tName: x", "Bad\x01Name: x"} {
		for _, rest := range []string{"Content-Length: 5\r\n\r\nwrong", "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n", "\r\nwrong"} {
			p := proxyToScript(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+field+"\r\n"+rest)
			a, err := p.Do(context.Background(), newCall(), request("body"))
			_, ok := err.(*call.OutcomeUnknown)
			assert.Check(t, ok, "%q, %.20q: %v", field, rest, err)
			if a != nil {
				_ = a.Body.Close()
			}
			assertNothingHeld(t, p)
			assert.Equal(t, p.Pool.OpenConnections(), int64(0))
		}
	}
}

// Guards against an invalid name in a chunked trailer that completes a response.
func TestInvalidFieldNameInATrailerDoesNotCompleteAResponse(t *testing.T) {
	p := proxyToScript(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\nBad Name: x\r\n\r\n")
	a, err := p.Do(context.Background(), newCall(), request("body"))
	assert.NilError(t, err)
	_, err = io.ReadAll(a.Body)
	assert.Assert(t, err != nil)
	assertNothingHeld(t, p)
	assert.Equal(t, p.Pool.OpenConnections(), int64(0))
}

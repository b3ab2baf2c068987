package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a call that is read while a node stops and whose connection is
// closed without a response.
func TestCallReadDuringStopIsAnswered(t *testing.T) {
	f := startFleet(t, 3)
	address := f.members[0].node.Settings.CallerAddress
	f.members[0].node.Drain()
	// The connection that was opened last, and after which another one was still
	// accepted, has no request when the listener closes.
	var last net.Conn
	for {
		unused, err := net.Dial("tcp", address)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = unused.Close() })
		a, err := http.Get(fmt.Sprintf("http://%s/public/7", address))
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
		last = unused
	}
	assert.Assert(t, last != nil)
	_, err := io.WriteString(last, requestHeader(http.MethodGet, "/public/7"))
	assert.NilError(t, err)
	a, err := http.ReadResponse(bufio.NewReader(last), nil)
	assert.NilError(t, err)
	assert.Assert(t, a.Close)
}

package sidecar

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// openCallerConnection connects to a node and waits until the node has accepted
// the connection.
func openCallerConnection(t *testing.T, n *Node) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", n.Settings.CallerAddress)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	waitFor(t, "accepted connection", func() bool { return n.callers.Open() > 0 })
	return c
}

// refusesConnections reports whether the node no longer listens for callers.
func refusesConnections(n *Node) bool {
	c, err := net.Dial("tcp", n.Settings.CallerAddress)
	if err == nil {
		_ = c.Close()
	}
	return err != nil
}

// Guards against a request that is read while a node stops and whose connection
// is closed without a response.
func TestRequestReadDuringStopIsAnswered(t *testing.T) {
	m := newMesh(t, 2)
	c := openCallerConnection(t, m.nodes[0])
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		m.stops[0]()
	}()
	waitFor(t, "closed listener", func() bool { return refusesConnections(m.nodes[0]) })
	_, err := fmt.Fprintf(c, "GET /list/1 HTTP/1.1\r\nHost: mesh\r\n%s: late\r\n%s: 1000\r\n%s: secret\r\n\r\n", testHeaders.RequestID, testHeaders.TimeLeft, testHeaders.Key)
	assert.NilError(t, err)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Assert(t, a.Close, "the caller is not asked to connect elsewhere")
	_ = a.Body.Close()
	<-stopped
}

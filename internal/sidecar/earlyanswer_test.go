package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a complete response that breaks off at the caller because the instance
// has closed the connection of a request whose body it did not read.
func TestResponseOfAnInstanceThatReadsNoBodyIsComplete(t *testing.T) {
	// The whole response is on its way before the reset.
	const size = 20 << 10
	m := newMeshWithOneInstance(t)
	m.backends[0].handle = func(w http.ResponseWriter, r *http.Request) {
		c, out, err := http.NewResponseController(w).Hijack()
		assert.NilError(t, err)
		_, _ = fmt.Fprintf(out, "HTTP/1.1 400 Bad Request\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", echoedID(r), size, strings.Repeat("x", size))
		_ = out.Flush()
		// Unread bytes turn the close into a reset.
		_ = c.Close()
	}
	for i := range 5 * len(m.nodes) {
		status, received, err := m.sendLongBody(t, i%len(m.nodes))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusBadRequest)
		assert.Equal(t, received, size)
	}
}

// sendLongBody sends a request with a long body. It returns the status of the response
// and the size of its body.
func (m *mesh) sendLongBody(t *testing.T, node int) (status, size int, err error) {
	t.Helper()
	c, err := net.Dial("tcp", m.nodes[node].Settings.CallerAddress)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	body := strings.Repeat("x", 8<<20)
	_, err = fmt.Fprintf(c, "POST /entry/1 HTTP/1.1\r\nHost: mesh\r\n%s: r%d\r\n%s: 10000\r\n%s: secret\r\nContent-Length: %d\r\n\r\n",
		testHeaders.RequestID, requests.Add(1), testHeaders.TimeLeft, testHeaders.Key, len(body))
	assert.NilError(t, err)
	go func() { _, _ = io.WriteString(c, body) }()
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, err
	}
	content, err := io.ReadAll(a.Body)
	return a.StatusCode, len(content), err
}

package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
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
	a, err := http.ReadResponse(sendOn(t, c, http.MethodGet, "/list/late"), nil)
	assert.NilError(t, err)
	assert.Assert(t, a.Close, "the caller is not asked to connect elsewhere")
	_ = a.Body.Close()
	<-stopped
}

// sendOn sends one request on a connection and returns a reader of the response.
func sendOn(t *testing.T, c net.Conn, method, path string) *bufio.Reader {
	t.Helper()
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: mesh\r\n%s: %s\r\n%s: 10000\r\n%s: secret\r\n\r\n",
		method, path, testHeaders.RequestID, path, testHeaders.TimeLeft, testHeaders.Key)
	assert.NilError(t, err)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	return bufio.NewReader(c)
}

// Guards against requests that wait for a backend server when the time of a stop is
// over and whose connection is then closed without a response, and against a
// response that is cut although it has begun.
func TestRequestsWithoutResponseAreAnsweredAtTheEndOfAStop(t *testing.T) {
	m := newMesh(t, 1)
	b, n := m.backends[0], m.nodes[0]
	n.StopPlan.AnswerMargin, n.StopPlan.KillMargin = n.Bounds.StopTimeout-500*time.Millisecond, 0
	release, rest := make(chan struct{}), make(chan struct{})
	const half = maxBufferedResponseBytes
	b.handle = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/list/stream" {
			<-release
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(2*half))
		_, _ = w.Write(make([]byte, half))
		w.(http.Flusher).Flush()
		<-rest
		_, _ = w.Write(make([]byte, half))
	}
	defer close(release)
	conns := make([]net.Conn, 6)
	for i := range conns {
		conns[i] = openCallerConnection(t, n)
	}
	stream := sendOn(t, conns[0], http.MethodGet, "/list/stream")
	a, err := http.ReadResponse(stream, nil)
	assert.NilError(t, err)
	// Some of these run and the others wait for a slot.
	var waiting []*bufio.Reader
	for i, c := range conns[1:] {
		waiting = append(waiting, sendOn(t, c, http.MethodPost, fmt.Sprintf("/entry/%d", i)))
	}
	waitFor(t, "queue", func() bool { return n.admission.Load().Queued > 0 })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		m.stops[0]()
	}()
	statuses := map[int]int{}
	for _, r := range waiting {
		a, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		statuses[a.StatusCode]++
		assert.Assert(t, a.Close)
	}
	assert.Equal(t, statuses[http.StatusServiceUnavailable]+b.count()-1, len(waiting), "%v", statuses)
	assert.Equal(t, statuses[http.StatusBadGateway], b.count()-1, "%v", statuses)
	close(rest)
	body, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(body), 2*half)
	<-stopped
}

// Guards against a late request that is accepted although the node may end before
// its response.
func TestRequestThatOutlastsAStopIsRefused(t *testing.T) {
	m := newMesh(t, 2)
	n := m.nodes[0]
	n.StopPlan.AnswerMargin = n.Bounds.StopTimeout - 1200*time.Millisecond
	c := openCallerConnection(t, n)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		m.stops[0]()
	}()
	waitFor(t, "closed listener", func() bool { return refusesConnections(n) })
	a, err := http.ReadResponse(sendOn(t, c, http.MethodPost, "/entry/late"), nil)
	assert.NilError(t, err)
	assert.Equal(t, a.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, a.Header.Get("Retry-After") != "")
	assert.Equal(t, m.runs(), 0)
	<-stopped
}

// Guards against a download that is accepted although its response may be cut when
// the process is killed, and against the refusal of one that ends before.
func TestDownloadThatOutlastsAStopIsRefused(t *testing.T) {
	for _, c := range []struct {
		timeout time.Duration
		status  int
	}{{1600 * time.Millisecond, http.StatusServiceUnavailable}, {10 * time.Second, http.StatusOK}} {
		m := newMesh(t, 1)
		n := m.nodes[0]
		n.StopPlan.AdmitFor, n.StopPlan.AcceptFor, n.Bounds.StopTimeout = time.Second, time.Second, c.timeout
		conn := openCallerConnection(t, n)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			m.stops[0]()
		}()
		waitFor(t, "stop", n.stopping.Load)
		a, err := http.ReadResponse(sendOn(t, conn, http.MethodGet, "/pack/1"), nil)
		assert.NilError(t, err)
		assert.Equal(t, a.StatusCode, c.status)
		<-stopped
	}
}

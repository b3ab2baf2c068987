package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// Guards against the body of a refused request that arrives after the response and
// is run as a request of its own.
func TestLateBodyOfRefusedRequestIsNotRun(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	c := openCallerConnection(t, n)
	body := fmt.Sprintf("GET /list/smuggled HTTP/1.1\r\nHost: mesh\r\n%s: smuggled\r\n%s: 10000\r\n%s: secret\r\n\r\n",
		testHeaders.RequestID, testHeaders.TimeLeft, testHeaders.Key)
	_, err := fmt.Fprintf(c, "POST /entry/1 HTTP/1.1\r\nHost: mesh\r\n%s: refused\r\n%s: 10000\r\n%s: wrong\r\nContent-Length: %d\r\n\r\n",
		testHeaders.RequestID, testHeaders.TimeLeft, testHeaders.Key, len(body))
	assert.NilError(t, err)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	in := bufio.NewReader(c)
	a, err := http.ReadResponse(in, nil)
	assert.NilError(t, err)
	assert.Equal(t, a.StatusCode, http.StatusUnauthorized)
	_, _ = io.Copy(io.Discard, a.Body)
	waitFor(t, "end of the request", func() bool { return n.callers.Idle() == 1 || n.callers.Open() == 0 })
	_, _ = io.WriteString(c, body)
	if a, err := http.ReadResponse(in, nil); err == nil {
		t.Errorf("the body was answered with status %d", a.StatusCode)
	}
	assert.Equal(t, m.runs(), 0)
}

// Guards against the late body of a refused request that is served as a request by
// either handler, however its length is given.
func TestLateBodyIsNotServedByHandlers(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	late := fmt.Sprintf("GET /list/late HTTP/1.1\r\nHost: mesh\r\n%s: late\r\n%s: 10000\r\n%s: secret\r\n%s: 1\r\n%s: i-0\r\n\r\n",
		testHeaders.RequestID, testHeaders.TimeLeft, testHeaders.Key, headerPriority, testHeaders.ExpectedInstance)
	for _, x := range []struct {
		handler http.Handler
		status  int
	}{
		{n.callerHandler, http.StatusUnauthorized},
		{&nodeRequestHandler{
			names: &n.HeaderNames, localBackend: n.localBackend, now: time.Now, requestHosts: &n.requestHosts, onHeard: func() {}, hidden: func() bool { return false }, calls: &n.calls,
		}, http.StatusServiceUnavailable},
	} {
		states := make(chan http.ConnState, 8)
		s := httptest.NewUnstartedServer(x.handler)
		s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateIdle || state == http.StateClosed {
				states <- state
			}
		}
		s.Start()
		defer s.Close()
		for _, framing := range []string{
			fmt.Sprintf("Content-Length: %d", len(late)),
			"Transfer-Encoding: chunked",
			fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d", len(late)),
		} {
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			_, err = fmt.Fprintf(c, "POST /entry/1 HTTP/1.1\r\nHost: mesh\r\n%s\r\n\r\n", framing)
			assert.NilError(t, err)
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			in := bufio.NewReader(c)
			a, err := http.ReadResponse(in, nil)
			assert.NilError(t, err)
			assert.Equal(t, a.StatusCode, x.status, framing)
			_, _ = io.Copy(io.Discard, a.Body)
			state := <-states
			_, _ = io.WriteString(c, late)
			if a, err := http.ReadResponse(in, nil); err == nil {
				t.Errorf("%q: the body was answered with status %d", framing, a.StatusCode)
			}
			assert.Check(t, cmp.Equal(state, http.StateClosed), framing)
		}
	}
	assert.Equal(t, m.runs(), 0)
}

// Guards against refusals that close the connection of a caller whose body has
// arrived.
func TestRefusedRequestWithBodyKeepsConnection(t *testing.T) {
	m := newMesh(t, 1)
	c := openCallerConnection(t, m.nodes[0])
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	in := bufio.NewReader(c)
	for _, body := range []string{"Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"} {
		for _, x := range []struct {
			key    string
			status int
		}{{"wrong", http.StatusUnauthorized}, {"secret", http.StatusOK}} {
			_, err := fmt.Fprintf(c, "POST /entry/1 HTTP/1.1\r\nHost: mesh\r\n%s: r\r\n%s: 10000\r\n%s: %s\r\n%s",
				testHeaders.RequestID, testHeaders.TimeLeft, testHeaders.Key, x.key, body)
			assert.NilError(t, err)
			a, err := http.ReadResponse(in, nil)
			assert.NilError(t, err)
			_, _ = io.Copy(io.Discard, a.Body)
			assert.Equal(t, a.StatusCode, x.status)
			assert.Assert(t, !a.Close)
		}
	}
}

// Guards against a body that is damaged because the instance answers before it has
// read the body. The request passes through two nodes.
func TestBodyAfterEarlyResponseIsComplete(t *testing.T) {
	m := newMesh(t, 2)
	// A node sends the header of a response once it has this much of the content.
	first := strings.Repeat("x", maxBufferedResponseBytes+1)
	for _, b := range m.backends {
		b.handle = func(w http.ResponseWriter, r *http.Request) {
			c := http.NewResponseController(w)
			_ = c.EnableFullDuplex()
			_, _ = io.WriteString(w, first)
			_ = c.Flush()
			_, _ = io.Copy(w, r.Body)
		}
	}
	sent := strings.Repeat("0123456789abcdef", 20_000)
	for i := range 8 {
		c, err := net.Dial("tcp", m.nodes[i%2].Settings.CallerAddress)
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		_, err = fmt.Fprintf(c, "POST /pack/1 HTTP/1.1\r\nHost: mesh\r\n%s: early-%d\r\n%s: 10000\r\n%s: secret\r\nContent-Length: %d\r\n\r\n",
			testHeaders.RequestID, i, testHeaders.TimeLeft, testHeaders.Key, len(sent))
		assert.NilError(t, err)
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, a.StatusCode, http.StatusOK)
		go func() { _, _ = io.WriteString(c, sent) }()
		content, err := io.ReadAll(a.Body)
		assert.NilError(t, err)
		assert.Assert(t, string(content) == first+sent, "%d bytes", len(content))
	}
}

// Guards against a reset that destroys the refusal of a long body before the caller,
// who is still sending, has read it.
func TestRefusalOfLongBodyArrives(t *testing.T) {
	m := newMesh(t, 1)
	body := strings.Repeat("x", 4<<20)
	for range 5 {
		r, err := http.NewRequest(http.MethodPost, "http://"+m.nodes[0].Settings.CallerAddress+"/entry/1", strings.NewReader(body))
		assert.NilError(t, err)
		r.Host = "mesh"
		r.Header.Set(testHeaders.Key, "wrong")
		a, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		reason, err := io.ReadAll(a.Body)
		_ = a.Body.Close()
		assert.NilError(t, err)
		assert.Equal(t, a.StatusCode, http.StatusUnauthorized)
		assert.Equal(t, string(reason), "KeyUnknown\n")
	}
}

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

// healthLag is how long a stuttering server works on a health check.
const healthLag = 5 * time.Millisecond

// A stutteringServer answers each request twice: the second answer comes when the next one
// is expected.
type stutteringServer struct {
	// echoHealth makes it echo the ID of health checks, healthTwice answer these twice, too.
	echoHealth, healthTwice bool
}

// serve answers the requests on a connection.
func (s *stutteringServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	second := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, second)
		second = ""
		id := r.Header.Get(testHeaders.RequestID)
		body := "done " + id
		if r.URL.Path == "/health" {
			body = "healthy"
			time.Sleep(healthLag)
		}
		echo := ""
		if r.URL.Path != "/health" || s.echoHealth {
			echo = fmt.Sprintf("%s: %s\r\n", testHeaders.RequestID, id)
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echo, len(body), body)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if r.URL.Path != "/health" || s.healthTwice {
			second = answer
		}
	}
}

// Guards against a health check that takes the second answer to a request for its own: the
// next request on the connection gets the answer to the health check.
func TestLateSecondAnswerIsNotTakenForAHealthCheck(t *testing.T) {
	for _, echoHealth := range []bool{true, false} {
		t.Run(fmt.Sprintf("health checks echo their ID %t", echoHealth), func(t *testing.T) {
			testSecondAnswers(t, stutteringServer{echoHealth: echoHealth})
		})
	}
}

// Guards against the late second answer to a health check, without an ID, that reaches the
// caller of the next request on the connection.
func TestLateSecondAnswerToAHealthCheckReachesNobody(t *testing.T) {
	testSecondAnswers(t, stutteringServer{healthTwice: true})
}

func testSecondAnswers(t *testing.T, server stutteringServer) {
	t.Helper()
	host := nextLoopbackHost()
	l, err := net.Listen("tcp", host+":0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go server.serve(c)
		}
	}()
	m := &mesh{store: newMemoryStore()}
	b := &backendServer{id: "i-0", listener: l}
	m.store.publish(&PublishedConfig{Version: 1, Document: testDocument()}, b.instanceChange("surco"))
	m.start(t, host, b)
	n := m.nodes[0]
	waitFor(t, "ready", func() bool { return ready(n) && len(n.chooser.HostStatuses()) == 1 && n.admission.Load().Permits == 4 })
	answered := 0
	for i := range 20 {
		assert.Assert(t, n.checkHealth(t.Context()), "the server is reachable")
		id := fmt.Sprintf("second-answer-%d", i)
		a := m.send(t, 0, http.MethodPost, "/entry/1", testHeaders.RequestID, id)
		if a.status == http.StatusOK {
			answered++
			assert.Equal(t, a.body, "done "+id)
		}
	}
	assert.Assert(t, answered > 0)
}

// Guards against a response without an ID, which may be the second answer to another
// request, that is passed on.
func TestAnswerWithoutAnIDIsNotPassedOn(t *testing.T) {
	m := newMesh(t, 1)
	m.backends[0].handle = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Del(testHeaders.RequestID)
		_, _ = io.WriteString(w, "for another")
	}
	a := m.send(t, 0, http.MethodPost, "/entry/1")
	assert.Equal(t, a.status, http.StatusBadGateway)
	assert.Assert(t, !strings.Contains(a.body, "for another"))
}

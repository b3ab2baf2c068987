package node_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/node"
	"quetzaldock.example/quetzaldock/pkg/config"
)

const (
	// hangTimeout ends a test that hangs.
	hangTimeout = 30 * time.Second
	// idleConnectionCount is how many connections one client opens and leaves
	// idle.
	idleConnectionCount = 2000
	// maxIdleConnectionBytes is the maximum memory in bytes that one idle
	// connection may use. It includes both ends, since both are in this process.
	maxIdleConnectionBytes = 64 << 10
)

// Guards against broken or hostile clients that stop a fleet from serving or
// make its nodes leak goroutines. It does not run in parallel with other tests,
// since their goroutines would count as leaks.
func TestFleetWithstandsBadClients(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { assert.NilError(t, goleak.Find(before)) })
	stream := httptest.NewServer(http.HandlerFunc(echoChunks))
	t.Cleanup(stream.Close)
	f := startFleetWith(t, 3, func(s *node.Settings) {
		if s.Service == "records" {
			s.BackendAddress = stream.Listener.Addr().String()
		}
	})
	// Open routes are used, since they need no quota: quota that moves between
	// hosts could refuse some of the calls.
	f.document.Routes = append(f.document.Routes, config.Route{Prefix: "/live", Service: "records", Open: true})
	f.publish()
	f.await("new route", func() bool { return f.allReadyAt(f.version) })
	t.Run("at once", func(t *testing.T) {
		t.Run("header that does not end", func(t *testing.T) { t.Parallel(); f.testUnfinishedHeaders(t) })
		t.Run("reader that stops", func(t *testing.T) { t.Parallel(); f.testStalledReader(t) })
		t.Run("body that stops", func(t *testing.T) { t.Parallel(); f.testStalledBodies(t) })
		t.Run("garbage", func(t *testing.T) { t.Parallel(); f.testGarbage(t) })
		t.Run("streams both ways", func(t *testing.T) { t.Parallel(); f.testStreamsBothWays(t) })
	})
	t.Run("idle connections", f.testIdleConnections)
	for i := range 30 {
		a := f.send(i%3, f.request(http.MethodGet, "/public/7", "", fmt.Sprintf("t%d", i)))
		assert.Equal(t, a.status, http.StatusOK, "%v", a)
		assert.Assert(t, a.whole)
	}
	f.await("no call running or queued at a node", func() bool {
		for _, m := range f.members {
			if s := fetchStatus(m); s.Gate.Running+s.Gate.Queued > 0 {
				return false
			}
		}
		return true
	})
	assert.Equal(t, f.executions.LeakedRequestCount(), 0)
	assert.Assert(t, !strings.Contains(f.logs.String(), "panic"))
}

// dial opens a connection that is closed at the end of the test.
func (f *fleet) dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(hangTimeout))
	return c
}

// requestHeader returns the request line and header of a request.
func requestHeader(method, path string, headers ...string) string {
	h := append([]string{"Host: mesh", "Trial-Id: raw"}, headers...)
	return fmt.Sprintf("%s %s HTTP/1.1\r\n%s\r\n\r\n", method, path, strings.Join(h, "\r\n"))
}

// Guards against connections and memory that are held for headers that never
// end.
func (f *fleet) testUnfinishedHeaders(t *testing.T) {
	s := &f.members[0].node.Settings
	var open []net.Conn
	for _, address := range []string{s.CallerAddress, s.CallAddress, s.OperatorAddress} {
		for _, text := range []string{"G", "GET /entries/1 HTTP/1.1\r\nHost: x\r\nX-Slow: "} {
			c := f.dial(t, address)
			_, err := io.WriteString(c, text)
			assert.NilError(t, err)
			open = append(open, c)
		}
	}
	for _, c := range open {
		// A byte sent from time to time must not extend the time limit.
		go func() {
			for {
				if _, err := io.WriteString(c, "x"); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		_, err := io.Copy(io.Discard, c)
		assert.Assert(t, !isTimeout(err), "the connection stayed open with an unfinished header")
	}
	c := f.dial(t, s.CallerAddress)
	go func() { _, _ = io.WriteString(c, "GET /entries/1 HTTP/1.1\r\nX: "+strings.Repeat("x", 1<<20)) }()
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, a.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}

func isTimeout(err error) bool {
	n, ok := err.(net.Error)
	return ok && n.Timeout()
}

// Guards against slots that are held for callers that do not read their
// response. The response is larger than the socket buffers between server and
// caller.
func (f *fleet) testStalledReader(t *testing.T) {
	// A small receive buffer keeps the response in the node.
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	c, err := d.Dial("tcp", f.members[0].node.Settings.CallerAddress)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(hangTimeout))
	_, err = io.WriteString(c, requestHeader("GET", "/public/1?size=12000000", "Quetzaldock-Timeout-Ms: 8000"))
	assert.NilError(t, err)
	r := bufio.NewReader(c)
	a, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	assert.Equal(t, a.StatusCode, http.StatusOK)
	time.Sleep(10 * time.Second) // Longer than the call's time limit of 8 s and its grace.
	_, err = io.Copy(io.Discard, a.Body)
	assert.Assert(t, err != nil, "the response was still being sent after the time limit")
	assert.Assert(t, !isTimeout(err), "the connection stayed open after the time limit")
}

// Guards against handlers and slots that are held for request bodies that stop
// midway.
func (f *fleet) testStalledBodies(t *testing.T) {
	for _, x := range []struct {
		framing string
		status  int
		reason  string
	}{
		{"Content-Length: 10", http.StatusRequestTimeout, "BodyLate"},
		{"Content-Length: 1000000", http.StatusGatewayTimeout, ""},
		{"Transfer-Encoding: chunked", http.StatusGatewayTimeout, ""},
	} {
		for i := range 2 {
			c := f.dial(t, f.members[i].node.Settings.CallerAddress)
			_, err := io.WriteString(c, requestHeader("POST", "/public/1", x.framing, "Quetzaldock-Timeout-Ms: 500")+"4\r\nhalf")
			assert.NilError(t, err)
			a, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Equal(t, a.StatusCode, x.status, x.framing)
			assert.Equal(t, a.Header.Get("Quetzaldock-Not-Run"), x.reason, x.framing)
		}
	}
}

// Guards against nodes that crash, or keep connections open, when they receive
// bytes that are not a message of the listener's protocol.
func (f *fleet) testGarbage(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	s := &f.members[1].node.Settings
	for _, address := range []string{s.ControlAddress, s.CallAddress, s.CallerAddress, s.OperatorAddress} {
		for i := range 20 {
			c := f.dial(t, address)
			b := make([]byte, r.IntN(4096))
			for k := range b {
				b[k] = byte(r.Uint32())
			}
			if i%4 == 0 {
				// A drpc frame whose message never ends.
				b = append([]byte{0x02, 0x01, 0x01, 0xff, 0xff, 0xff, 0x7f}, b...)
			}
			_, _ = c.Write(b)
			_ = c.(*net.TCPConn).CloseWrite()
			if address == s.ControlAddress {
				// drpc may wait for the stream that such a frame opens until
				// the connection has been inactive for two minutes.
				continue
			}
			_, err := io.Copy(io.Discard, c)
			assert.Assert(t, !isTimeout(err), "%s, try %d: the connection stayed open", address, i)
		}
	}
	// One control message that exceeds the maximum size.
	c := f.dial(t, s.ControlAddress)
	go func() {
		frame := append([]byte{0x02, 0x01, 0x01, 0x80, 0x80, 0x04}, make([]byte, 64<<10)...)
		for {
			if _, err := c.Write(frame); err != nil {
				return
			}
		}
	}()
	_, err := io.Copy(io.Discard, c)
	assert.Assert(t, !isTimeout(err), "the connection stayed open after a message above the maximum size")
}

// echoChunks returns each part of a request's body as soon as it arrives.
func echoChunks(w http.ResponseWriter, r *http.Request) {
	c := http.NewResponseController(w)
	_ = c.EnableFullDuplex()
	b := make([]byte, 1024)
	for {
		n, err := r.Body.Read(b)
		if n > 0 {
			_, _ = w.Write(b[:n])
			_ = c.Flush()
		}
		if err != nil {
			return
		}
	}
}

// Guards against nodes that hold back the request's or the response's body
// until the other one has ended. The call passes through two nodes.
func (f *fleet) testStreamsBothWays(t *testing.T) {
	c := f.dial(t, f.members[0].node.Settings.CallerAddress)
	_, err := io.WriteString(c, requestHeader("POST", "/live/1", "Transfer-Encoding: chunked"))
	assert.NilError(t, err)
	var a *http.Response
	for i := range 5 {
		piece := fmt.Sprintf("piece %d", i)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
		assert.NilError(t, err)
		if a == nil {
			a, err = http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Equal(t, a.StatusCode, http.StatusOK)
		}
		b := make([]byte, len(piece))
		_, err = io.ReadFull(a.Body, b)
		assert.NilError(t, err)
		assert.Equal(t, string(b), piece)
	}
	_, err = io.WriteString(c, "0\r\n\r\n")
	assert.NilError(t, err)
	b, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(b), 0)
}

// Guards against idle connections that use too much memory or leave goroutines
// behind.
func (f *fleet) testIdleConnections(t *testing.T) {
	f.client.CloseIdleConnections()
	goroutinesBefore, bytesBefore := runtime.NumGoroutine(), memoryInUse()
	var open []net.Conn
	for range idleConnectionCount {
		c, err := net.Dial("tcp", f.members[0].node.Settings.CallerAddress)
		assert.NilError(t, err)
		open = append(open, c)
	}
	// Calls are served while the connections are open.
	a := f.send(0, f.request(http.MethodGet, "/public/7", "", "meanwhile"))
	assert.Equal(t, a.status, http.StatusOK, "%v", a)
	heldBytes := int64(memoryInUse()) - int64(bytesBefore)
	t.Logf("%d idle connections use %d bytes each", idleConnectionCount, heldBytes/idleConnectionCount)
	assert.Assert(t, heldBytes < idleConnectionCount*maxIdleConnectionBytes, "the idle connections use %d bytes", heldBytes)
	for _, c := range open {
		_ = c.Close()
	}
	f.client.CloseIdleConnections()
	// The 50 more belong to exchanges between the nodes, which come and go.
	f.await("goroutines ended", func() bool { return runtime.NumGoroutine() < goroutinesBefore+50 })
}

// memoryInUse returns the bytes of heap and stacks after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

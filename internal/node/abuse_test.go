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
	// hang only ends a test that would not end by itself.
	hang = 30 * time.Second
	// idleConnections is how many connections one client opens and leaves.
	idleConnections = 2000
	// idleBytes bounds what one idle connection may cost in memory, both ends
	// included since they are in this process.
	idleBytes = 64 << 10
)

// TestFleetWithstandsBadClients sends what broken and hostile clients send to
// one fleet and then checks that it serves as before, and that its nodes leave
// no goroutine behind. It does not run beside other tests, which would count
// as leaks.
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
	// The routes are open to all: quota moves between hosts, which is no matter
	// of this test.
	f.doc.Routes = append(f.doc.Routes, config.Route{Prefix: "/live", Service: "records", Open: true})
	f.publish()
	f.await("new route", func() bool { return f.allAt(f.version) })
	t.Run("at once", func(t *testing.T) {
		t.Run("header that does not end", func(t *testing.T) { t.Parallel(); f.unfinishedHeaders(t) })
		t.Run("reader that stops", func(t *testing.T) { t.Parallel(); f.stalledReader(t) })
		t.Run("body that stops", func(t *testing.T) { t.Parallel(); f.stalledBodies(t) })
		t.Run("garbage", func(t *testing.T) { t.Parallel(); f.garbage(t) })
		t.Run("streams both ways", func(t *testing.T) { t.Parallel(); f.streamsBothWays(t) })
	})
	t.Run("idle connections", f.idleConnections)
	for i := range 30 {
		a := f.send(i%3, f.request(http.MethodGet, "/public/7", "", fmt.Sprintf("t%d", i)))
		assert.Equal(t, a.status, http.StatusOK, "%v", a)
		assert.Assert(t, a.whole)
	}
	f.await("no call left at a gate", func() bool {
		for _, m := range f.members {
			if s := status(m); s.Gate.Running+s.Gate.Queued > 0 {
				return false
			}
		}
		return true
	})
	assert.Equal(t, f.ran.LeakedRequestCount(), 0)
	assert.Assert(t, !strings.Contains(f.logs.String(), "panic"))
}

func (f *fleet) dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(hang))
	return c
}

// head returns a request's header.
func head(method, path string, headers ...string) string {
	h := append([]string{"Host: mesh", "Trial-Id: raw"}, headers...)
	return fmt.Sprintf("%s %s HTTP/1.1\r\n%s\r\n\r\n", method, path, strings.Join(h, "\r\n"))
}

// Guards against connections and memory held by headers that never end.
func (f *fleet) unfinishedHeaders(t *testing.T) {
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
		// A client that adds a byte now and then gains no time.
		go func() {
			for {
				if _, err := io.WriteString(c, "x"); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		_, err := io.Copy(io.Discard, c)
		assert.Assert(t, !isTimeout(err), "the connection stayed open")
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

// Guards against slots held by callers that do not read their answer. The
// answer is larger than what the sockets between server and caller hold.
func (f *fleet) stalledReader(t *testing.T) {
	// A small window keeps the answer in the node instead of in the sockets.
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	c, err := d.Dial("tcp", f.members[0].node.Settings.CallerAddress)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(hang))
	_, err = io.WriteString(c, head("GET", "/public/1?size=12000000", "Quetzaldock-Timeout-Ms: 8000"))
	assert.NilError(t, err)
	r := bufio.NewReader(c)
	a, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	assert.Equal(t, a.StatusCode, http.StatusOK)
	time.Sleep(10 * time.Second) // Longer than the time limit and its grace.
	_, err = io.Copy(io.Discard, a.Body)
	assert.Assert(t, err != nil, "the answer was still being sent")
	assert.Assert(t, !isTimeout(err), "the connection stayed open")
}

// Guards against handlers and slots held by bodies that stop midway.
func (f *fleet) stalledBodies(t *testing.T) {
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
			_, err := io.WriteString(c, head("POST", "/public/1", x.framing, "Quetzaldock-Timeout-Ms: 500")+"4\r\nhalf")
			assert.NilError(t, err)
			a, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Equal(t, a.StatusCode, x.status, x.framing)
			assert.Equal(t, a.Header.Get("Quetzaldock-Not-Run"), x.reason, x.framing)
		}
	}
}

// Guards against nodes that fall over, or keep connections open, on bytes that
// are no message of the port's protocol.
func (f *fleet) garbage(t *testing.T) {
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
				// A frame of the control port that never ends its message.
				b = append([]byte{0x02, 0x01, 0x01, 0xff, 0xff, 0xff, 0x7f}, b...)
			}
			_, _ = c.Write(b)
			_ = c.(*net.TCPConn).CloseWrite()
			if address == s.ControlAddress {
				// drpc may wait for the stream that such a frame names until
				// the connection has been inactive for two minutes.
				continue
			}
			_, err := io.Copy(io.Discard, c)
			assert.Assert(t, !isTimeout(err), "%s, try %d: the connection stayed open", address, i)
		}
	}
	// More than any control message holds, in one message.
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
	assert.Assert(t, !isTimeout(err), "the connection stayed open")
}

// echoChunks answers each piece of a request's body at once.
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

// Guards against nodes that hold back a body until the other side has ended.
// The call passes two nodes.
func (f *fleet) streamsBothWays(t *testing.T) {
	c := f.dial(t, f.members[0].node.Settings.CallerAddress)
	_, err := io.WriteString(c, head("POST", "/live/1", "Transfer-Encoding: chunked"))
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

// Guards against memory and goroutines that idle connections keep.
func (f *fleet) idleConnections(t *testing.T) {
	f.client.CloseIdleConnections()
	goroutines, bytes := runtime.NumGoroutine(), memory()
	var open []net.Conn
	for range idleConnections {
		c, err := net.Dial("tcp", f.members[0].node.Settings.CallerAddress)
		assert.NilError(t, err)
		open = append(open, c)
	}
	// A call is served meanwhile.
	a := f.send(0, f.request(http.MethodGet, "/public/7", "", "meanwhile"))
	assert.Equal(t, a.status, http.StatusOK, "%v", a)
	held := int64(memory()) - int64(bytes)
	t.Logf("%d idle connections hold %d bytes each", idleConnections, held/idleConnections)
	assert.Assert(t, held < idleConnections*idleBytes, "%d bytes", held)
	for _, c := range open {
		_ = c.Close()
	}
	f.client.CloseIdleConnections()
	// The rest belongs to exchanges between the nodes, which come and go.
	f.await("goroutines ended", func() bool { return runtime.NumGoroutine() < goroutines+50 })
}

// memory returns the bytes that are in use after a collection.
func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

package caller_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/caller"
)

// Guards against a flood of connections that uses up the file descriptors of a
// node or keeps callers with older connections from being served.
func TestConnectionsBeyondTheLimitAreRefused(t *testing.T) {
	x := newTestHandler(t)
	x.addLocalHost(respondOK)
	n := &caller.ConnectionLimiter{MaxConnections: 2}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: x.Handler, ConnContext: n.OnConnect, ConnState: n.OnConnState}
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	x.address = l.Addr().String()
	text := "GET /entries HTTP/1.1\r\nHost: x\r\n"
	keyed := text + "Authorization: Bearer " + clientKey + "\r\n\r\n"
	send := func(c net.Conn, text string) *http.Response {
		t.Helper()
		_, err := io.WriteString(c, text)
		assert.NilError(t, err)
		a, _ := x.readResponse(c)
		return a
	}
	first, second := x.dial(), x.dial()
	assert.Equal(t, send(first, keyed).StatusCode, 200)
	assert.Equal(t, send(second, keyed).StatusCode, 200)

	a := send(x.dial(), keyed)
	assert.Equal(t, a.StatusCode, 503)
	assert.Equal(t, a.Header.Get("Quetzaldock-Not-Run"), "Overloaded")
	assert.Assert(t, a.Close)
	// A nested call is served even there: it belongs to an admitted call.
	token, _ := x.RunningCalls.Add(call.Call{Account: "club", Deadline: time.Now().Add(time.Minute)})
	assert.Equal(t, send(x.dial(), text+"Quetzaldock-Call: "+token+"\r\n\r\n").StatusCode, 200)
	assert.Equal(t, send(first, keyed).StatusCode, 200)

	// Idle connections fill twice the limit. The next connection is closed.
	for n.OpenCount() < 4 {
		x.dial()
		time.Sleep(10 * time.Millisecond)
	}
	c := x.dial()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)

	_ = second.Close()
	for range 1000 {
		if n.OpenCount() <= 3 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, n.OpenCount() <= 3, "%d open", n.OpenCount())
}

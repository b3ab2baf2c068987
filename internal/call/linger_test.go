package call_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/http1"
)

// Guards against the end of a response without a length that is lost because its client
// sends the rest of the request only after the handler has returned.
func TestClientThatSendsSlowlyReceivesTheWholeResponse(t *testing.T) {
	// The response fits into the buffer of the server, and not into that of the client.
	const size = 256 << 10
	for _, framing := range []string{"Content-Length: 1000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nf4240\r\n"} {
		returned := make(chan struct{})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s := http1.NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer close(returned)
			b := call.NewDuplexBody(w, r)
			defer b.Release()
			_, _ = io.WriteString(b.ResponseWriter(), strings.Repeat("x", size))
		})}, l)
		go s.Serve()
		t.Cleanup(func() { _ = s.HTTP.Close() })

		d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
		}}
		c, err := d.DialContext(context.Background(), "tcp", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\n%sfirst part", framing)
		assert.NilError(t, err)
		<-returned
		// Time in which the server goes on to close the connection.
		<-time.After(50 * time.Millisecond)
		_, err = io.WriteString(c, "second part")
		assert.NilError(t, err)
		<-time.After(50 * time.Millisecond)
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(a.Body)
		assert.NilError(t, err, "%q: %d of %d bytes", framing, len(body), size)
		assert.Equal(t, len(body), size)
	}
}

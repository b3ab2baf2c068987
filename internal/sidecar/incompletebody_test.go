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

// Guards against an empty success for a request whose body does not arrive and that
// has not run.
func TestIncompleteBodyIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		body   string
		end    func(c *net.TCPConn) error
		status int
	}{
		"late":                  {"Content-Length: 10\r\n\r\nhalf", func(*net.TCPConn) error { return nil }, http.StatusRequestTimeout},
		"cut off":               {"Content-Length: 10\r\n\r\nhalf", (*net.TCPConn).CloseWrite, http.StatusBadRequest},
		"late, no length":       {"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", func(*net.TCPConn) error { return nil }, 0},
		"cut off, no length":    {"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", (*net.TCPConn).CloseWrite, 0},
		"no end of the request": {"Transfer-Encoding: chunked\r\n\r\n4\r\nha", (*net.TCPConn).CloseWrite, 0},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, 1)
			m.backends[0].handle = func(w http.ResponseWriter, r *http.Request) {
				if _, err := r.Body.Read(make([]byte, 100)); err != nil {
					panic(http.ErrAbortHandler)
				}
				<-r.Context().Done()
			}
			conn := openCallerConnection(t, m.nodes[0])
			_, err := fmt.Fprintf(conn, "POST /entry/1 HTTP/1.1\r\nHost: mesh\r\n%s: r1\r\n%s: 300\r\n%s: secret\r\n%s",
				testHeaders.RequestID, testHeaders.TimeLeft, testHeaders.Key, c.body)
			assert.NilError(t, err)
			assert.NilError(t, c.end(conn.(*net.TCPConn)))
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			a, err := http.ReadResponse(bufio.NewReader(conn), nil)
			switch {
			case c.status == 0 && err != nil:
				// The request may have run, so any failure will do.
			case c.status == 0:
				assert.Assert(t, a.StatusCode >= http.StatusInternalServerError, "%d", a.StatusCode)
			default:
				assert.NilError(t, err)
				assert.Equal(t, a.StatusCode, c.status)
				assert.Equal(t, m.runs(), 0)
			}
		})
	}
}

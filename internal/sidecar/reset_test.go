package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// uploadBytes is more than the buffers of both ends of a connection hold, so that an
// upload that is not read is still being written.
const uploadBytes = 8 << 20

// uploadTries is the number of uploads of each case. Which goroutine learns of a reset
// differs from one to the next.
const uploadTries = 12

// An uploadResponse is how an instance answers an upload.
type uploadResponse struct {
	name string
	// text follows the ID of the request in the response.
	text string
	// early is set if the instance does not read the upload before it answers.
	early bool
	// end ends the connection.
	end func(c *net.TCPConn)
}

func resetConnection(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// closeUnread closes a connection with unread bytes, which resets it.
func closeUnread(c *net.TCPConn) {
	_, _ = c.Read(make([]byte, 1))
	_ = c.Close()
}

// endResponse ends the direction to the node and reads on until the node closes the
// connection.
func endResponse(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// endResponseAndReset ends the direction to the node, and resets the connection once the
// node has received the response and its end.
func endResponseAndReset(c *net.TCPConn) {
	_ = c.CloseWrite()
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			for unacked := 1; unacked > 0; time.Sleep(time.Millisecond) {
				if unacked, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err != nil {
					return
				}
			}
		})
	}
	resetConnection(c)
}

// framedBody returns the rest of a header and a body of n bytes in each framing, and the
// same with only the first half of the body.
func framedBody(n int) map[string]struct{ whole, half string } {
	body := strings.Repeat("x", n)
	half := body[:n/2]
	return map[string]struct{ whole, half string }{
		"length":      {fmt.Sprintf("Content-Length: %d\r\n\r\n%s", n, body), fmt.Sprintf("Content-Length: %d\r\n\r\n%s", n, half)},
		"chunks":      {fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", chunked, n, body), fmt.Sprintf("%s%x\r\n%s\r\n", chunked, len(half), half)},
		"until close": {"\r\n" + body, "\r\n" + half},
	}
}

// answerUploads makes the backend server answer an upload to the path /entry/N with the
// response at index N.
func (b *backendServer) answerUploads(t *testing.T, responses []uploadResponse) {
	t.Helper()
	b.answerUploadsWith(t, okLine, responses)
}

// answerUploadsWith is answerUploads with another status line.
func (b *backendServer) answerUploadsWith(t *testing.T, statusLine string, responses []uploadResponse) {
	t.Helper()
	b.handle = func(w http.ResponseWriter, r *http.Request) {
		i, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/entry/"))
		if err == nil && !responses[i].early {
			_, err = io.Copy(io.Discard, r.Body)
		}
		if err != nil {
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, statusLine+echoedID(r)+"Connection: close\r\n"+responses[i].text)
		responses[i].end(c.(*net.TCPConn))
	}
}

// upload sends an upload to a node and returns the status and the size of the response.
// It sends a request that has not run again.
func (m *mesh) upload(t *testing.T, node, path int) (status, size int, err error) {
	t.Helper()
	for range 10 {
		if status, size, err = m.sendUpload(t, node, path); status != http.StatusServiceUnavailable {
			break
		}
	}
	return status, size, err
}

// uploadToAll sends the same upload to each node several times and calls check for each
// response.
func (m *mesh) uploadToAll(t *testing.T, path int, check func(node, status, size int, err error)) {
	t.Helper()
	var w sync.WaitGroup
	for try := range uploadTries {
		w.Go(func() {
			node := try % len(m.nodes)
			status, size, err := m.upload(t, node, path)
			check(node, status, size, err)
		})
	}
	w.Wait()
}

// sendUpload sends one upload.
func (m *mesh) sendUpload(t *testing.T, node, path int) (status, size int, err error) {
	t.Helper()
	c, err := net.Dial("tcp", m.nodes[node].Settings.CallerAddress)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = fmt.Fprintf(c, "POST /entry/%d HTTP/1.1\r\nHost: mesh\r\n%s: r%d\r\n%s: 15000\r\n%s: secret\r\nContent-Length: %d\r\n\r\n",
		path, testHeaders.RequestID, requests.Add(1), testHeaders.TimeLeft, testHeaders.Key, uploadBytes)
	assert.NilError(t, err)
	go func() { _, _ = io.Copy(c, io.LimitReader(repeatedByte('x'), uploadBytes)) }()
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, err
	}
	n, err := io.Copy(io.Discard, a.Body)
	return a.StatusCode, int(n), err
}

// A repeatedByte is an endless stream of one byte.
type repeatedByte byte

// Read implements io.Reader.
func (b repeatedByte) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(b)
	}
	return len(p), nil
}

// testResponseSizes are sizes of responses that are buffered and that are streamed.
var testResponseSizes = []int{1000, 4 * maxBufferedResponseBytes}

// Guards against a response that its instance resets and that a caller takes for complete,
// or that is reported as not run.
func TestResponseThatIsResetReachesNoCallerWhole(t *testing.T) {
	m := newMeshWithOneInstance(t)
	var responses []uploadResponse
	for _, n := range testResponseSizes {
		for framing, body := range framedBody(n) {
			name := fmt.Sprintf("%s, %d bytes, ", framing, n)
			responses = append(
				responses,
				uploadResponse{name + "reset during the upload", body.half, true, resetConnection},
				uploadResponse{name + "closed with unread bytes", body.half, true, closeUnread},
				uploadResponse{name + "reset after the upload", body.half, false, resetConnection},
			)
			if framing != "until close" {
				responses = append(responses, uploadResponse{name + "half-closed during the upload", body.half, true, endResponse})
			}
		}
	}
	m.backends[0].answerUploads(t, responses)
	for i, r := range responses {
		t.Run(r.name, func(t *testing.T) {
			m.uploadToAll(t, i, func(node, status, size int, err error) {
				broken := status == http.StatusBadGateway && err == nil || status == http.StatusOK && err != nil
				assert.Check(t, broken, "node %d: status %d, %d bytes, error %v", node, status, size, err)
			})
		})
	}
	waitFor(t, "free slots", func() bool { return m.nodes[0].admission.Load().Running == 0 })
}

// Guards against a response that breaks off and looks complete to a caller that speaks
// HTTP/1.0, to which a response without a length ends with its connection.
func TestResponseThatIsResetIsNotCompleteInHTTP10(t *testing.T) {
	m := newMeshWithOneInstance(t)
	var responses []uploadResponse
	for framing, body := range framedBody(4 * maxBufferedResponseBytes) {
		responses = append(responses, uploadResponse{framing, body.half, false, resetConnection}, uploadResponse{framing + ", whole", body.whole, false, endResponse})
	}
	m.backends[0].answerUploads(t, responses)
	for i, r := range responses {
		for node := range m.nodes {
			c, err := net.Dial("tcp", m.nodes[node].Settings.CallerAddress)
			assert.NilError(t, err)
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			_, err = fmt.Fprintf(c, "POST /entry/%d HTTP/1.0\r\nHost: mesh\r\n%s: r%d\r\n%s: 15000\r\n%s: secret\r\nContent-Length: 0\r\n\r\n",
				i, testHeaders.RequestID, requests.Add(1), testHeaders.TimeLeft, testHeaders.Key)
			assert.NilError(t, err)
			a, err := http.ReadResponse(bufio.NewReader(c), nil)
			size := int64(0)
			if err == nil {
				size, err = io.Copy(io.Discard, a.Body)
			}
			_ = c.Close()
			complete := err == nil && a.StatusCode == http.StatusOK
			assert.Check(t, complete == strings.HasSuffix(r.name, "whole"), "%s at node %d: %d bytes, error %v", r.name, node, size, err)
			assert.Check(t, !complete || size == 4*maxBufferedResponseBytes, "%s at node %d: %d bytes", r.name, node, size)
		}
	}
}

// Guards against a response that breaks off in its body, which operators cannot find in the
// log of the host beside the instance.
func TestResponseThatIsResetIsLoggedBesideItsInstance(t *testing.T) {
	log := &lockedBuffer{}
	m := newMeshWith(t, 1, func(n *Node) { n.Log = slog.New(slog.NewTextHandler(log, nil)) })
	m.backends[0].answerUploads(t, []uploadResponse{{"", "\r\nhalf", true, resetConnection}})
	a := m.send(t, 0, http.MethodPost, "/entry/0")
	assert.Equal(t, a.status, http.StatusBadGateway)
	waitFor(t, "log lines", func() bool {
		return log.line("no whole answer of the backend server", "instance=i-0", "connection closed by peer") != "" &&
			log.line("request ended", "status=502", "reason=NoWholeAnswer") != ""
	})
}

// Guards against a complete response that is lost because its connection ends while the
// upload is still written.
func TestResponseBeforeTheEndOfAnUploadIsWhole(t *testing.T) {
	m := newMeshWithOneInstance(t)
	var responses []uploadResponse
	var sizes []int
	for _, n := range testResponseSizes {
		for framing, body := range framedBody(n) {
			name := fmt.Sprintf("%s, %d bytes, ", framing, n)
			responses = append(
				responses,
				uploadResponse{name + "half-closed during the upload", body.whole, true, endResponse},
				uploadResponse{name + "half-closed and reset", body.whole, true, endResponseAndReset},
				uploadResponse{name + "half-closed after the upload", body.whole, false, endResponse},
			)
			sizes = append(sizes, n, n, n)
		}
	}
	m.backends[0].answerUploads(t, responses)
	for i, r := range responses {
		t.Run(r.name, func(t *testing.T) {
			m.uploadToAll(t, i, func(node, status, size int, err error) {
				whole := status == http.StatusOK && size == sizes[i] && err == nil
				assert.Check(t, whole, "node %d: status %d, %d of %d bytes, error %v", node, status, size, sizes[i], err)
			})
		})
	}
	waitFor(t, "free slots", func() bool { return m.nodes[0].admission.Load().Running == 0 })
}

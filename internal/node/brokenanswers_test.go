package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/node"
)

// A brokenAnswer is how a backend server answers an upload before it has read it.
type brokenAnswer struct {
	name, text string
	// reset is set if the connection is reset after the text. Otherwise the server ends
	// its direction and reads on.
	reset bool
	// size is the size of the body if the answer is sound, and 0 if it is broken.
	size int
}

// brokenAnswerTries is the number of uploads for each answer. Which goroutine of a node
// learns of a reset differs from one to the next.
const brokenAnswerTries = 32

// startFleetWithAnswers runs a fleet of three hosts. The backend server of the last one,
// the only one of its service, answers requests for the path /records/N with the answer at
// index N. runs counts these requests.
func startFleetWithAnswers(t *testing.T, answers []brokenAnswer) (f *fleet, runs *atomic.Int64) {
	t.Helper()
	runs = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/records/"))
		if err != nil {
			return
		}
		runs.Add(1)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, answers[i].text)
		if answers[i].reset {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}))
	t.Cleanup(s.Close)
	return startFleetWith(t, 3, func(n *node.Settings) {
		if n.Host == "host-2" {
			n.BackendAddress = s.Listener.Addr().String()
		}
	}), runs
}

// uploadUntilRun is upload for a request that is sent again while it is refused as not run.
func (f *fleet) uploadUntilRun(i int, path string) (status, size int, err error) {
	f.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		status, size, err = f.upload(i, path)
		if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
			break
		}
	}
	return status, size, err
}

// upload sends a long request to the node of member i and returns the status and the size
// of the response.
func (f *fleet) upload(i int, path string) (status, size int, err error) {
	f.t.Helper()
	c, err := net.Dial("tcp", f.members[i].node.Settings.CallerAddress)
	assert.NilError(f.t, err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	body := strings.Repeat("x", 8<<20)
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: desk\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", path, f.keys["club-a"], len(body))
	assert.NilError(f.t, err)
	go func() { _, _ = io.WriteString(c, body) }()
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, err
	}
	n, err := io.Copy(io.Discard, a.Body)
	return a.StatusCode, int(n), err
}

// Guards against broken answers of a backend server that callers of the command node take
// for complete, through one node and through two, and against sound ones that are lost.
func TestBrokenAnswersReachNoCallerWhole(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	body := strings.Repeat("x", 1000)
	answers := []brokenAnswer{
		{name: "length, reset", text: head + "Content-Length: 1000\r\n\r\n" + body[:500], reset: true},
		{name: "chunks, reset", text: head + "Transfer-Encoding: chunked\r\n\r\n1f4\r\n" + body[:500] + "\r\n", reset: true},
		{name: "until close, reset", text: head + "\r\n" + body[:500], reset: true},
		{name: "blank in a name, length", text: head + "Bad Name: x\r\nContent-Length: 1000\r\n\r\n" + body},
		{name: "blank in a name, chunks", text: head + "Bad Name: x\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n" + body + "\r\n0\r\n\r\n"},
		{name: "blank after a name, until close", text: head + "Content-Length : 1000\r\n\r\n" + body},
		{name: "blank before a name, until close", text: head + " Content-Length: 1000\r\n\r\n" + body},
		{name: "control byte in a name, length", text: head + "Bad\x01Name: x\r\nContent-Length: 1000\r\n\r\n" + body},
		{name: "blank in a name of a trailer", text: head + "Transfer-Encoding: chunked\r\n\r\n3e8\r\n" + body + "\r\n0\r\nBad Name: x\r\n\r\n"},
		{name: "status 000, length", text: "HTTP/1.1 000 None\r\nContent-Length: 1000\r\n\r\n" + body},
		{name: "status 000, chunks", text: "HTTP/1.1 000 None\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n" + body + "\r\n0\r\n\r\n"},
		{name: "status 000, until close", text: "HTTP/1.1 000 None\r\nConnection: close\r\n\r\n" + body},
		{name: "status 000 before a response", text: "HTTP/1.1 000 None\r\n\r\n" + head + "\r\n" + body},
		{name: "length", text: head + "Content-Length: 1000\r\n\r\n" + body, size: 1000},
		{name: "chunks", text: head + "Transfer-Encoding: chunked\r\n\r\n3e8\r\n" + body + "\r\n0\r\n\r\n", size: 1000},
		{name: "until close", text: head + "\r\n" + body, size: 1000},
	}
	f, runs := startFleetWithAnswers(t, answers)
	for n, a := range answers {
		t.Run(a.name, func(t *testing.T) {
			var w sync.WaitGroup
			for try := range brokenAnswerTries {
				w.Go(func() {
					member := 2 * (try % 2)
					status, size, err := f.uploadUntilRun(member, fmt.Sprintf("/records/%d", n))
					ok := status == http.StatusBadGateway && err == nil || status == http.StatusOK && err != nil
					if a.size > 0 {
						ok = status == http.StatusOK && size == a.size && err == nil
					}
					assert.Check(t, ok, "at host %d: status %d, %d bytes, error %v", member, status, size, err)
				})
			}
			w.Wait()
			// None ran twice, or was answered as not run after it was sent.
			assert.Equal(t, runs.Swap(0), int64(brokenAnswerTries))
		})
	}
}

package http1_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/http1"
)

// Guards against goroutines that are left after a connection has ended.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// longTimeout is a deadline that requests do not reach.
	longTimeout = 5 * time.Second
	// maxAllocBytes is the most that one endless response may allocate in all.
	maxAllocBytes = 8 << 20
	// slowParts and fastBytes are how much of a response is sent before the
	// request ends.
	slowParts = 16
	fastBytes = 2 * maxAllocBytes
)

// An endlessResponse is a response that begins with head and goes on with part,
// repeated until the client closes the connection.
type endlessResponse struct{ name, head, part string }

const (
	statusLine = "HTTP/1.1 200 OK\r\n"
	chunkedEnd = "Transfer-Encoding: chunked\r\n\r\n"
)

// foldedHeader has lines that begin with a space.
var foldedHeader = endlessResponse{"folded header line", statusLine + "X-More: x\r\n", " x\r\n"}

// endlessHeaders lists responses whose header does not end.
var endlessHeaders = []endlessResponse{
	{"status line", "HTTP/1.1 200 ", "OK"},
	{"header line", statusLine + "X-More: ", "x"},
	{"header lines", statusLine, "X-More: x\r\n"},
	foldedHeader,
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"interim responses with a header", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\nX-More: x\r\n\r\n"},
}

// endlessBodies lists responses whose body does not end.
var endlessBodies = []endlessResponse{
	{"long length", statusLine + "Content-Length: 9000000000000000000\r\n\r\n", "x"},
	{"until close", statusLine + "\r\n", "x"},
	{"chunks", statusLine + chunkedEnd, "4\r\nbody\r\n"},
	{"long chunk", statusLine + chunkedEnd + "7fffffffffffffff\r\n", "x"},
	{"short chunk extensions", statusLine + chunkedEnd, "1;x=yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\nx\r\n"},
	{"chunk extension", statusLine + chunkedEnd + "4;x=", "x"},
	{"chunk size", statusLine + chunkedEnd, "0"},
	{"trailer line", statusLine + chunkedEnd + "0\r\nX-More: ", "x"},
	{"trailer lines", statusLine + chunkedEnd + "0\r\n", "X-More: x\r\n"},
}

// An endlessServer answers each request with an endlessResponse.
type endlessServer struct {
	*http1.Pool
	// started gets a value when slowParts or fastBytes of a response were sent,
	// and closed when the client has closed its connection.
	started, closed chan struct{}
}

// newEndlessServer returns a pool to a server that answers with r. It sends as
// fast as the client reads, or a part at a time if slow is set.
func newEndlessServer(t *testing.T, r endlessResponse, slow bool) *endlessServer {
	t.Helper()
	s := &endlessServer{started: make(chan struct{}, 8), closed: make(chan struct{}, 8)}
	s.Pool = newPoolToServer(t, func(c net.Conn) {
		defer func() { s.closed <- struct{}{} }()
		_ = c.SetWriteDeadline(time.Now().Add(2 * longTimeout))
		part, partsBeforeEnd := []byte(r.part), slowParts
		if !slow {
			part = bytes.Repeat(part, 4096/len(part)+1)
			partsBeforeEnd = fastBytes / len(part)
		}
		pace := time.NewTicker(2 * time.Millisecond)
		defer pace.Stop()
		_, err := io.WriteString(c, r.head)
		for n := 0; err == nil; n++ {
			if n == partsBeforeEnd {
				s.started <- struct{}{}
			}
			if slow {
				<-pace.C
			}
			_, err = c.Write(part)
		}
	})
	return s
}

// awaitClosed waits until the client has closed a connection.
func (s *endlessServer) awaitClosed(t *testing.T, name string) {
	t.Helper()
	select {
	case <-s.closed:
	case <-time.After(longTimeout):
		t.Fatalf("%s: the connection stays open", name)
	}
}

// allocatedBytes returns how many bytes f allocates.
func allocatedBytes(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// readAll sends a request and reads its response to the end.
func (s *endlessServer) readAll(ctx context.Context, t *testing.T) error {
	t.Helper()
	a, err := s.Do(ctx, newGet(t, "http://x/"))
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, a.Body)
	return err
}

// readUntilEnd is readAll for a request whose context ends when started gets a
// value.
func (s *endlessServer) readUntilEnd(t *testing.T) error {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var w sync.WaitGroup
	defer w.Wait()
	defer cancel()
	w.Go(func() {
		select {
		case <-s.started:
			cancel()
		case <-ctx.Done():
		}
	})
	return s.readAll(ctx, t)
}

// readUntilLimit is readAll for a request whose deadline the response does not
// reach.
func (s *endlessServer) readUntilLimit(t *testing.T) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
	defer cancel()
	return s.readAll(ctx, t)
}

// Guards against a header without end that uses up the memory or holds its
// request until the deadline.
func TestPoolEndsEndlessHeaderAtItsLimit(t *testing.T) {
	for _, r := range endlessHeaders {
		s := newEndlessServer(t, r, false)
		var err error
		n := allocatedBytes(func() { err = s.readUntilLimit(t) })
		assert.Assert(t, errorx.IsOfType(err, http1.Malformed), "%s: %v", r.name, err)
		assert.Assert(t, n < maxAllocBytes, "%s: %d bytes", r.name, n)
		s.awaitClosed(t, r.name)
		assert.Equal(t, s.OpenConnections(), int64(0), r.name)
	}
}

// Guards against a slow header or body without end that holds its request beyond
// the deadline or leaves its connection open.
func TestPoolEndsSlowResponsesAtTheDeadline(t *testing.T) {
	for _, r := range append(append([]endlessResponse{}, endlessHeaders...), endlessBodies...) {
		s := newEndlessServer(t, r, true)
		err := s.readUntilEnd(t)
		want := http1.Expired
		if r == foldedHeader {
			// It is refused at its first space.
			want = http1.Malformed
		}
		assert.Assert(t, errorx.IsOfType(err, want), "%s: %v", r.name, err)
		s.awaitClosed(t, r.name)
		assert.Equal(t, s.OpenConnections(), int64(0), r.name)
	}
}

// Guards against a body without end that uses up the memory, looks complete or
// leaves its connection open.
func TestPoolBoundsEndlessBodies(t *testing.T) {
	for _, r := range endlessBodies {
		s := newEndlessServer(t, r, false)
		var err error
		n := allocatedBytes(func() { err = s.readUntilEnd(t) })
		atLimit := errorx.IsOfType(err, http1.Interrupted)
		assert.Assert(t, atLimit || errorx.IsOfType(err, http1.Expired), "%s: %v", r.name, err)
		assert.Assert(t, n < maxAllocBytes, "%s: %d bytes", r.name, n)
		s.awaitClosed(t, r.name)
		assert.Equal(t, s.OpenConnections(), int64(0), r.name)
	}
}

// Guards against framing without end around a body that holds its request until
// the deadline.
func TestPoolEndsEndlessFramingAtItsLimit(t *testing.T) {
	for _, r := range endlessBodies {
		switch r.name {
		case "short chunk extensions", "chunk extension", "chunk size", "trailer line", "trailer lines":
			s := newEndlessServer(t, r, false)
			err := s.readUntilLimit(t)
			assert.Assert(t, errorx.IsOfType(err, http1.Interrupted), "%s: %v", r.name, err)
			s.awaitClosed(t, r.name)
		}
	}
}

// Guards against bytes that cannot be a response and hold their request until the
// deadline because no line ends.
func TestPoolEndsBytesThatAreNoResponseAtOnce(t *testing.T) {
	for _, r := range []endlessResponse{
		{"text", "", "x"},
		{"zero bytes", "", "\x00"},
		{"other protocol", "SSH-2.0-", "x"},
		{"after an interim response", "HTTP/1.1 100 Continue\r\n\r\n", "x"},
		{"spaces", "", " "},
		foldedHeader,
	} {
		s := newEndlessServer(t, r, true)
		err := s.readUntilLimit(t)
		assert.Assert(t, errorx.IsOfType(err, http1.Malformed), "%s: %v", r.name, err)
		s.awaitClosed(t, r.name)
		assert.Equal(t, s.OpenConnections(), int64(0), r.name)
	}
}

// Guards against errors that hold a copy of the response, which nodes write to
// their logs and send to each other.
func TestPoolErrorsAreShort(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	for _, c := range []struct{ name, text string }{
		{"text", long + "\r\n"},
		{"version", "HTTP/" + long + "\r\n"},
		{"status", "HTTP/1.1 " + long + "\r\n"},
		{"header line", statusLine + long + "\r\n\r\n"},
		{"header name", statusLine + "\x00" + long + ": x\r\n\r\n"},
		{"length", statusLine + "Content-Length: " + long + "\r\n\r\n"},
		{"coding", statusLine + "Transfer-Encoding: " + long + "\r\n\r\n"},
	} {
		p := newPoolToScript(t, c.text)
		_, err := p.Do(context.Background(), newGet(t, "http://x/"))
		assert.Assert(t, errorx.IsOfType(err, http1.Malformed), "%s: %.200v", c.name, err)
		assert.Assert(t, len(err.Error()) < 300, "%s: %d bytes", c.name, len(err.Error()))
		assert.Equal(t, p.OpenConnections(), int64(0), c.name)
	}
}

// Guards against a connection that stays open after the deadline because nobody
// reads the body, as for a caller that does not read.
func TestPoolClosesConnectionOfUnreadBodyAtTheDeadline(t *testing.T) {
	for _, r := range endlessBodies {
		s := newEndlessServer(t, r, false)
		ctx, cancel := context.WithCancel(context.Background())
		a, err := s.Do(ctx, newGet(t, "http://x/"))
		assert.NilError(t, err, r.name)
		cancel()
		s.awaitClosed(t, r.name)
		_, err = io.Copy(io.Discard, a.Body)
		assert.Assert(t, errorx.IsOfType(err, http1.Expired), "%s: %v", r.name, err)
		assert.Equal(t, s.OpenConnections(), int64(0), r.name)
	}
}

// Guards against bytes after a complete response that reach another request or
// whose connection stays open.
func TestPoolClosesConnectionWithBytesAfterTheResponse(t *testing.T) {
	surplus := strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", 40)
	for _, c := range []struct{ name, method, response string }{
		{"length", http.MethodGet, statusLine + "Content-Length: 5\r\n\r\nright"},
		{"chunked", http.MethodGet, statusLine + chunkedEnd + "5\r\nright\r\n0\r\n\r\n"},
		{"no content", http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n"},
		{"head", http.MethodHead, statusLine + "Content-Length: 5\r\n\r\n"},
		{"interim", http.MethodGet, "HTTP/1.1 103 Early Hints\r\n\r\n" + statusLine + "Content-Length: 5\r\n\r\nright"},
	} {
		s := newEndlessServer(t, endlessResponse{head: c.response + surplus, part: surplus}, false)
		for range 2 {
			ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
			r := newGet(t, "http://x/")
			r.Method = c.method
			a, err := s.Do(ctx, r)
			assert.NilError(t, err, c.name)
			b, err := io.ReadAll(a.Body)
			assert.NilError(t, err, c.name)
			assert.Assert(t, !strings.Contains(string(b), "other"), c.name)
			s.awaitClosed(t, c.name)
			assert.Equal(t, s.OpenConnections(), int64(0), c.name)
			cancel()
		}
	}
}

// Guards against a response without end to a probe that uses up the memory, and
// against bytes after the response to a probe that are taken for the response to
// the request that follows.
func TestPoolBoundsTheResponseToAProbe(t *testing.T) {
	wrong := statusLine + "Content-Length: 5\r\n\r\nwrong"
	for _, c := range append(append([]endlessResponse{}, endlessHeaders...), append(endlessBodies,
		endlessResponse{"second response", "HTTP/1.1 204 No Content\r\n\r\n", wrong},
		endlessResponse{"interim response before the response", "HTTP/1.1 100 Continue\r\n\r\n" + wrong, wrong},
		endlessResponse{"switched protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", wrong},
	)...) {
		p := newPoolToServers(t, func(r *bufio.Reader, w net.Conn) {
			q, err := http.ReadRequest(r)
			for err == nil && q.Method != http.MethodOptions {
				_, _ = io.WriteString(w, statusLine+"Content-Length: 5\r\n\r\nright")
				q, err = http.ReadRequest(r)
			}
			if err == nil {
				_, err = io.WriteString(w, c.head+c.part)
			}
			part := bytes.Repeat([]byte(c.part), 4096/len(c.part)+1)
			for err == nil {
				_, err = w.Write(part)
			}
		})
		p.ProbeIdle = true
		n := allocatedBytes(func() {
			for range 2 {
				ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
				a, err := p.DoNonIdempotent(ctx, newGet(t, "http://x/"))
				assert.NilError(t, err, c.name)
				b, err := io.ReadAll(a.Body)
				assert.NilError(t, err, c.name)
				assert.Equal(t, string(b), "right", c.name)
				cancel()
				p.AgeIdle(time.Minute)
			}
		})
		assert.Assert(t, n < maxAllocBytes, "%s: %d bytes", c.name, n)
		assert.Equal(t, p.DialCount(), int64(2), c.name)
	}
}

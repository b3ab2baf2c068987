package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// breakOff answers with a body that ends with its connection. After the server has sent
// so many bytes, then is called and the connection closes.
func breakOff(t *testing.T, w http.ResponseWriter, r *http.Request, bytes int, then func()) {
	t.Helper()
	c, out, err := http.NewResponseController(w).Hijack()
	assert.NilError(t, err)
	_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", echoedID(r), strings.Repeat("x", bytes))
	_ = out.Flush()
	then()
	_ = c.Close()
}

// Guards against a response without length that a crash has cut short and that callers
// take for complete, or that clears its request of the crash.
func TestResponseUntilCloseIsCutByACrash(t *testing.T) {
	for name, bytes := range map[string]int{"short": 100, "long": 4 * maxBufferedResponseBytes} {
		t.Run(name, func(t *testing.T) {
			m := newCrashMesh(t, 2, time.Second)
			for i, b := range m.backends {
				b.handle = func(w http.ResponseWriter, r *http.Request) { breakOff(t, w, r, bytes, m.servers[i].crash) }
			}
			for i := range m.nodes {
				a, err := m.open(t, i, http.MethodPost, "/entry/"+deadlyMark)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, a.Body)
				_ = a.Body.Close()
				assert.Assert(t, a.StatusCode == http.StatusBadGateway || err != nil, "status %d, complete", a.StatusCode)
				m.awaitUp(t)
			}
			f := testRequest(http.MethodPost, "/entry/"+deadlyMark).Fingerprint(nil)
			assert.Equal(t, m.crashes(), int64(len(m.nodes)))
			for _, n := range m.nodes {
				waitFor(t, "crashes in the table", func() bool { return n.quarantines.Crashes(f) == len(m.nodes) })
			}
		})
	}
}

// Guards against a complete response without length that is taken for a broken one.
func TestResponseUntilCloseIsComplete(t *testing.T) {
	for name, bytes := range map[string]int{"short": 100, "long": 4 * maxBufferedResponseBytes} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, 2)
			for _, b := range m.backends {
				b.handle = func(w http.ResponseWriter, r *http.Request) { breakOff(t, w, r, bytes, func() {}) }
			}
			for i := range m.nodes {
				a := m.send(t, i, http.MethodPost, "/entry/1")
				assert.Equal(t, a.status, http.StatusOK)
				assert.Equal(t, len(a.body), bytes)
				for _, n := range m.nodes {
					assert.Assert(t, n.quarantines.Empty())
				}
			}
		})
	}
}

// open sends a request and returns the response with its body.
func (m *mesh) open(t *testing.T, node int, method, path string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+m.nodes[node].Settings.CallerAddress+path, nil)
	assert.NilError(t, err)
	r.Host, r.Close = "mesh", true
	r.Header.Set(testHeaders.RequestID, fmt.Sprintf("r%d", requests.Add(1)))
	r.Header.Set(testHeaders.Key, "secret")
	return http.DefaultClient.Do(r)
}

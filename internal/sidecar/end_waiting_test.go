package sidecar

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a response that is begun and then cut, because the requests without
// a response are ended while its header arrives.
func TestResponseThatBeginsAtTheEndOfWaitingIsComplete(t *testing.T) {
	m := newMesh(t, 1)
	b, n := m.backends[0], m.nodes[0]
	const half = maxBufferedResponseBytes
	var end context.CancelFunc
	b.handle = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(2*half))
		_, _ = w.Write(make([]byte, half))
		_ = http.NewResponseController(w).Flush()
		end()
		_, _ = w.Write(make([]byte, half))
	}
	for i := range 200 {
		n.callerHandler.waitingCtx, end = context.WithCancel(context.Background())
		r := sendOn(t, openCallerConnection(t, n), http.MethodGet, "/list/"+strconv.Itoa(i))
		a, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(a.Body)
		end()
		assert.NilError(t, err, "status %d after %d bytes", a.StatusCode, len(body))
	}
}

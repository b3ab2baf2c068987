package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a node that crashes further servers by itself with a request that
// crashes them in the middle of a short response.
func TestCrashInAShortResponseCountsForResends(t *testing.T) {
	most := int64(0)
	for range 4 {
		m := newCrashMesh(t, 5, time.Minute)
		d := testDocument()
		for i := range d.Routes {
			d.Routes[i].Attempts = 5
		}
		m.publish(t, 2, d)
		for i, b := range m.backends {
			b.handle = func(w http.ResponseWriter, r *http.Request) {
				c, out, err := http.NewResponseController(w).Hijack()
				assert.NilError(t, err)
				_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\n%sContent-Length: 1000\r\n\r\n%s", echoedID(r), strings.Repeat("x", 100))
				_ = out.Flush()
				m.servers[i].crash()
				_ = c.Close()
			}
		}
		m.send(t, 0, http.MethodGet, "/list/"+deadlyMark)
		most = max(most, m.crashes())
	}
	assert.Assert(t, most <= 2, "one copy has crashed %d servers", most)
}

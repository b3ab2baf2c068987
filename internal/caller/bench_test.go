package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/caller"
)

// BenchmarkHandler measures the work of the node that accepts a call. The
// request comes without a socket. The call runs on the same host, or on another
// one over a reused connection.
func BenchmarkHandler(b *testing.B) {
	for _, place := range []string{"local", "remote"} {
		b.Run(place, func(b *testing.B) {
			x := newTestHandler(b)
			x.Charge = nil
			x.Observe = func(caller.Observation) {}
			if place == "local" {
				x.Dispatcher.RunLocal = func(context.Context, call.Call, *http.Request) (*http.Response, error) {
					return newResponse(http.StatusOK), nil
				}
				x.addHost("self", "z0", "")
			} else {
				x.addRemoteHost("far-1", respondOK)
			}
			r := httptest.NewRequest(http.MethodGet, "/public/1", nil)
			for _, n := range []string{"Accept", "Accept-Encoding", "Cookie", "User-Agent", "X-Request", "Traceparent"} {
				r.Header.Set(n, "value of the header")
			}
			b.ReportAllocs()
			for b.Loop() {
				w := httptest.NewRecorder()
				x.ServeHTTP(w, r)
				if w.Code != http.StatusOK {
					b.Fatal(w.Code, w.Body)
				}
			}
		})
	}
}

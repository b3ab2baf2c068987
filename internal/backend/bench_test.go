package backend_test

import (
	"context"
	"io"
	"net/http"
	"testing"
)

// BenchmarkServer measures one call that passes through the admission control to
// the backend server over a reused connection.
func BenchmarkServer(b *testing.B) {
	s := proxyToHandler(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	r := request("")
	r.Body, r.ContentLength = http.NoBody, 0
	for _, n := range []string{"Accept", "Accept-Encoding", "Cookie", "User-Agent", "X-Request", "Traceparent"} {
		r.Header.Set(n, "value of the header")
	}
	b.ReportAllocs()
	for b.Loop() {
		k := newCall()
		ctx, cancel := context.WithDeadline(context.Background(), k.Deadline)
		a, err := s.Do(ctx, k, r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
		cancel()
	}
}

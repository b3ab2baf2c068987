package operator_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/operator"
)

func newServer(t *testing.T, s *operator.Status) (*operator.Server, *httptest.Server) {
	t.Helper()
	o := &operator.Server{
		Status: func() operator.Status { return *s }, Metrics: operator.NewMetrics(), Level: new(slog.LevelVar), Drain: func() {},
	}
	t.Cleanup(func() { assert.NilError(t, o.Metrics.Close()) })
	h := httptest.NewServer(o.Handler())
	t.Cleanup(h.Close)
	return o, h
}

func send(t *testing.T, method, url, body string) int {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	a, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	assert.NilError(t, a.Body.Close())
	return a.StatusCode
}

// Guards against a node that counts as ready while it starts or stops, and
// against reads that stop a node or bad input that changes its log level.
func TestServerAnswersOperators(t *testing.T) {
	s := &operator.Status{Host: "host-1"}
	o, h := newServer(t, s)
	drained := 0
	o.Drain = func() { drained++ }
	assert.Equal(t, send(t, "GET", h.URL+"/health", ""), 200)
	assert.Equal(t, send(t, "GET", h.URL+"/ready", ""), 503)
	s.Ready = true
	assert.Equal(t, send(t, "GET", h.URL+"/ready", ""), 200)
	s.Stopping = true
	assert.Equal(t, send(t, "GET", h.URL+"/ready", ""), 503)
	got, err := operator.FetchStatus(context.Background(), h.Listener.Addr().String())
	assert.NilError(t, err)
	assert.Equal(t, got.Host, "host-1")

	assert.Equal(t, send(t, "GET", h.URL+"/drain", ""), 405)
	assert.Equal(t, drained, 0)
	assert.Equal(t, send(t, "POST", h.URL+"/drain", ""), 202)
	assert.Equal(t, drained, 1)

	for _, bad := range []string{"", "loud", strings.Repeat("x", 1<<20)} {
		assert.Equal(t, send(t, "PUT", h.URL+"/log-level", bad), 400)
	}
	assert.Equal(t, o.Level.Level(), slog.LevelInfo)
	assert.Equal(t, send(t, "PUT", h.URL+"/log-level", "Debug\n"), 204)
	assert.Equal(t, o.Level.Level(), slog.LevelDebug)
}

// Guards against memory that grows with the number of accounts and routes.
func TestMetricsBoundTheirSeries(t *testing.T) {
	m := operator.NewMetrics()
	for i := range 5000 {
		m.Observe("club", "/route"+strings.Repeat("x", i%100)+string(rune('a'+i/100)), 200, "", time.Duration(i)*time.Hour)
	}
	l := m.Latencies()
	assert.Equal(t, len(l), 2049)
	n := int64(0)
	for _, x := range l {
		n += x.Count
	}
	assert.Equal(t, n, int64(5000))
	assert.NilError(t, m.Close())
}

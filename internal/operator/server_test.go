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

func newTestServer(t *testing.T, s *operator.Status) (*operator.Server, *httptest.Server) {
	t.Helper()
	o := &operator.Server{
		Status: func() operator.Status { return *s }, Metrics: operator.NewMetrics(), Level: new(slog.LevelVar), Drain: func() {},
	}
	t.Cleanup(func() { assert.NilError(t, o.Metrics.Close()) })
	h := httptest.NewServer(o.Handler())
	t.Cleanup(h.Close)
	return o, h
}

func sendRequest(t *testing.T, method, url, body string) int {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	a, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	assert.NilError(t, a.Body.Close())
	return a.StatusCode
}

// Guards against a node that reports itself ready while it starts or stops, a GET
// request that drains a node, and invalid input that changes the log level.
func TestServerAnswersOperators(t *testing.T) {
	s := &operator.Status{Host: "host-1"}
	o, h := newTestServer(t, s)
	drained := 0
	o.Drain = func() { drained++ }
	assert.Equal(t, sendRequest(t, "GET", h.URL+"/health", ""), 200)
	assert.Equal(t, sendRequest(t, "GET", h.URL+"/ready", ""), 503)
	s.Ready = true
	assert.Equal(t, sendRequest(t, "GET", h.URL+"/ready", ""), 200)
	s.Stopping = true
	assert.Equal(t, sendRequest(t, "GET", h.URL+"/ready", ""), 503)
	got, err := operator.FetchStatus(context.Background(), h.Listener.Addr().String())
	assert.NilError(t, err)
	assert.Equal(t, got.Host, "host-1")

	assert.Equal(t, sendRequest(t, "GET", h.URL+"/drain", ""), 405)
	assert.Equal(t, drained, 0)
	assert.Equal(t, sendRequest(t, "POST", h.URL+"/drain", ""), 202)
	assert.Equal(t, drained, 1)

	for _, bad := range []string{"", "loud", strings.Repeat("x", 1<<20)} {
		assert.Equal(t, sendRequest(t, "PUT", h.URL+"/log-level", bad), 400)
	}
	assert.Equal(t, o.Level.Level(), slog.LevelInfo)
	assert.Equal(t, sendRequest(t, "PUT", h.URL+"/log-level", "Debug\n"), 204)
	assert.Equal(t, o.Level.Level(), slog.LevelDebug)
}

// Guards against memory use that grows without bound with the number of accounts
// and routes, and against lost observations above the limit.
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

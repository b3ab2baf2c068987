package configservice_test

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/configservice"
	"quetzaldock.example/quetzaldock/pkg/config"
)

// Guards against different failures with the same error type, unusable answers
// that are returned as values, and retries that the caller does not know of.
func TestReadFailures(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(w http.ResponseWriter)
		want   *errorx.Type
	}{
		{"absent", func(w http.ResponseWriter) { w.WriteHeader(http.StatusNotFound) }, configservice.NotFound},
		{"throttled", func(w http.ResponseWriter) { w.WriteHeader(http.StatusTooManyRequests) }, configservice.Throttled},
		{"failed", func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadGateway) }, configservice.Failed},
		{"redirected", func(w http.ResponseWriter) {
			w.Header().Set("Location", "/v1/values/other")
			w.WriteHeader(http.StatusFound)
		}, configservice.Unreachable},
		{"no revision", func(w http.ResponseWriter) { _, _ = w.Write([]byte("x")) }, configservice.BadAnswer},
		{"too large", func(w http.ResponseWriter) {
			w.Header().Set("Revision", "1")
			_, _ = w.Write(bytes.Repeat([]byte("x"), config.MaxValueBytes+1))
		}, configservice.BadAnswer},
		{"cut off", func(w http.ResponseWriter) {
			w.Header().Set("Revision", "1")
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("half"))
		}, configservice.Unreachable},
	} {
		calls := 0
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { calls++; c.answer(w) }))
		p := configservice.New(s.URL)
		_, err := p.Read(t.Context(), "manifest")
		assert.Assert(t, errorx.IsOfType(err, c.want), "%s: %v", c.name, err)
		assert.Equal(t, calls, 1, c.name)
		assert.Equal(t, p.Calls(), int64(1), c.name)
		p.Close()
		s.Close()
	}
}

// Guards against a watch that reports a value as unchanged although the service
// was restored to an older revision.
func TestWatch(t *testing.T) {
	revision, code := "7", http.StatusNotModified
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		assert.Check(t, q.URL.Query().Get("after") == "7" && q.URL.Query().Get("wait_ms") == "250")
		w.Header().Set("Revision", revision)
		w.WriteHeader(code)
		if code == http.StatusOK {
			_, _ = w.Write([]byte("new"))
		}
	}))
	defer s.Close()
	p := configservice.New(s.URL)
	defer p.Close()
	_, changed, err := p.Watch(t.Context(), "manifest", 7, 250*time.Millisecond)
	assert.NilError(t, err)
	assert.Assert(t, !changed)
	revision = "6"
	_, _, err = p.Watch(t.Context(), "manifest", 7, 250*time.Millisecond)
	assert.Assert(t, errorx.IsOfType(err, configservice.BadAnswer), "%v", err)
	revision, code = "8", http.StatusOK
	v, changed, err := p.Watch(t.Context(), "manifest", 7, 250*time.Millisecond)
	assert.NilError(t, err)
	assert.Assert(t, changed)
	assert.Equal(t, string(v.Bytes), "new")
}

// Guards against waits outside the documented bounds, which keep nodes from
// reading a recovered service in step.
func TestBackoffGrowsWithinBounds(t *testing.T) {
	b := configservice.Backoff{First: 100 * time.Millisecond, Max: time.Second, Rand: rand.New(rand.NewPCG(1, 1))}
	mean := b.First
	for range 10 {
		w := b.Wait()
		assert.Assert(t, w >= mean/2 && w < mean+mean/2, "%v for a mean of %v", w, mean)
		mean = min(b.Max, 2*mean)
	}
	b.Reset()
	assert.Assert(t, b.Wait() < 150*time.Millisecond)
}

package standin_test

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/standin"
)

func startBackend(t *testing.T, configure func(*standin.BackendServer)) *standin.BackendServer {
	t.Helper()
	b := standin.NewBackendServer("h-1", standin.NewExecutions())
	if configure != nil {
		configure(b)
	}
	assert.NilError(t, b.Start())
	t.Cleanup(b.Close)
	return b
}

func startWarm(b *standin.BackendServer) { b.WarmUpDuration = 0 }

func newClient(t *testing.T) *http.Client {
	t.Helper()
	tr := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr, Timeout: 2 * time.Second}
}

// post sends a request with the given pairs of header names and values. It
// returns status 0 if no complete answer came.
func post(t *testing.T, c *http.Client, b *standin.BackendServer, path string, header ...string) (int, []byte) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+b.Address()+path, bytes.NewReader(nil))
	if err != nil {
		t.Error(err)
		return 0, nil
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	a, err := c.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, nil
	}
	return a.StatusCode, body
}

// postConcurrently sends n requests at once and returns how often each status
// came. Status 0 stands for a request without an answer.
func postConcurrently(t *testing.T, c *http.Client, b *standin.BackendServer, n int, path string) map[int]int {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[int]int{}
	for i := range n {
		wg.Go(func() {
			status, _ := post(t, c, b, path, standin.HeaderTrialID, "t-"+strconv.Itoa(i))
			mu.Lock()
			defer mu.Unlock()
			out[status]++
		})
	}
	wg.Wait()
	return out
}

// Guards against executions, duplicate keys and leaked keys that are not
// recorded, and against a damaged answer that passes as complete.
func TestBackendServerRecordsExecutions(t *testing.T) {
	b := startBackend(t, startWarm)
	b.Executions.AddSecret("k-secret")
	c := newClient(t)
	status, body := post(t, c, b, "/entries?size=1000", standin.HeaderTrialID, "t-1", standin.HeaderAccount, "club",
		standin.HeaderRequestID, "r-1", standin.HeaderIdempotencyKey, "i-1")
	assert.Equal(t, status, http.StatusOK)
	e, ok := standin.DecodeEcho(body)
	assert.Assert(t, ok)
	assert.Assert(t, e.RunUs > 0)
	e.RunUs = 0
	assert.DeepEqual(t, e, standin.Echo{TrialID: "t-1", Account: "club", Path: "/entries", Host: "h-1", FillerBytes: 1000})
	_, ok = standin.DecodeEcho(append(body[:500:500], body[501:]...))
	assert.Assert(t, !ok)
	assert.Equal(t, b.Executions.LeakedRequestCount(), 0)
	post(t, c, b, "/entries", standin.HeaderAccount, "club", standin.HeaderIdempotencyKey, "i-1", "Other", "x k-secret")
	assert.Equal(t, b.Executions.CountForTrial("t-1"), 1)
	assert.Equal(t, b.Executions.CountForRequest("r-1", "/entries"), 1)
	assert.DeepEqual(t, b.Executions.DuplicateKeys(), []string{"club i-1"})
	assert.Equal(t, b.Executions.LeakedRequestCount(), 1)
}

// Guards against a stand-in that runs any number of requests: no test could then
// show that a node protects its backend server from overload.
func TestBackendServerSheds(t *testing.T) {
	b := startBackend(t, func(b *standin.BackendServer) { startWarm(b); b.Slots, b.MaxQueued = 3, 2 })
	got := postConcurrently(t, newClient(t), b, 20, "/x?ms=300")
	assert.Equal(t, got[http.StatusOK], 5)
	assert.Equal(t, got[http.StatusServiceUnavailable], 15)
	assert.Equal(t, b.Stats().PeakRunning, 3)
}

// Guards against a stand-in that takes full load while it is cold: no test could
// then show that a node spares a cold backend server.
func TestBackendServerFallsOverWhenCold(t *testing.T) {
	b := startBackend(t, func(b *standin.BackendServer) { b.WarmUpDuration, b.FallOverDuration = time.Hour, 50*time.Millisecond })
	c := newClient(t)
	got := postConcurrently(t, c, b, 3, "/x?ms=100")
	assert.Equal(t, got[http.StatusOK], 3)
	assert.Equal(t, b.Stats().FellOver, 0)
	got = postConcurrently(t, c, b, 12, "/x?ms=200")
	assert.Equal(t, got[0], 12)
	s := b.Stats()
	assert.Equal(t, s.FellOver, 1)
	assert.Assert(t, s.ColdExcess > 1)
	for s.Boots < 2 {
		s = b.Stats()
	}
	assert.Equal(t, postConcurrently(t, c, b, 2, "/x?ms=1")[http.StatusOK], 2)
}

// Guards against faults without effect: deadline, silent connections, restart,
// drain and a false health report.
func TestBackendServerFaults(t *testing.T) {
	b := startBackend(t, func(b *standin.BackendServer) { startWarm(b); b.RestartDuration = time.Millisecond })
	c := newClient(t)
	status, _ := post(t, c, b, "/x?ms=1000", standin.HeaderTimeoutMs, "20")
	assert.Equal(t, status, http.StatusGatewayTimeout)
	assert.Equal(t, b.Stats().Expired, 1)
	assert.Equal(t, b.SilenceConnections(), 1)
	status, _ = post(t, c, b, "/x")
	assert.Equal(t, status, 0)
	status, _ = post(t, c, b, "/x")
	assert.Equal(t, status, http.StatusOK)
	var wg sync.WaitGroup
	wg.Go(func() {
		status, _ := post(t, c, b, "/x?ms=1500", standin.HeaderTrialID, "cut")
		assert.Check(t, status == 0)
	})
	for b.Executions.CountForTrial("cut") == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, b.Restart())
	wg.Wait()
	assert.Equal(t, b.Stats().Boots, 2)
	b.Drain()
	status, _ = post(t, c, b, "/x")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, b.Stats().AfterDrain, 1)
	status, _ = post(t, c, b, "/healthz")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	b.SetHealthMode(standin.AlwaysHealthy)
	status, _ = post(t, c, b, "/healthz")
	assert.Equal(t, status, http.StatusOK)
}

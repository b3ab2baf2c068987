package sidecar

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// resetWhenFull makes a backend server reset the connection of each request beyond
// slots. It returns the number of resets.
func resetWhenFull(b *backendServer, slots int64) *atomic.Int64 {
	resets, running := new(atomic.Int64), new(atomic.Int64)
	next := b.handle
	b.handle = func(w http.ResponseWriter, r *http.Request) {
		defer running.Add(-1)
		if running.Add(1) > slots {
			resets.Add(1)
			c, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
			return
		}
		time.Sleep(300 * time.Millisecond)
		next(w, r)
	}
	return resets
}

// Guards against a server that resets connections because it is full and is then
// treated as one that has crashed, and against an unsafe request that is sent again or
// refused as not run although it was handed over in full.
func TestResetByAFullServerIsNoCrash(t *testing.T) {
	m := newMesh(t, 1)
	d := testDocument()
	d.Services[0].ColdPerSecond = 5
	m.store.publish(&PublishedConfig{Version: 2, Document: d})
	waitFor(t, "version 2", func() bool { return m.nodes[0].snapshot.Load().Version == 2 })
	resets := resetWhenFull(m.backends[0], 2)
	for _, path := range []string{"/entry/", "/list/"} {
		before := m.backends[0].count()
		var mu sync.Mutex
		status := map[int]int{}
		var all sync.WaitGroup
		for range 4 {
			all.Go(func() {
				a := m.send(t, 0, http.MethodPost, path+"a")
				mu.Lock()
				defer mu.Unlock()
				status[a.status]++
			})
		}
		all.Wait()
		assert.Equal(t, status[http.StatusOK], 2, "%s: %v", path, status)
		assert.Equal(t, status[http.StatusBadGateway], 2, "%s: %v", path, status)
		assert.Equal(t, m.backends[0].count()-before, 4, "one send for each request")
	}
	assert.Equal(t, resets.Load(), int64(4))
	n := m.nodes[0]
	assert.Assert(t, n.quarantines.Empty())
	assert.Assert(t, !n.admission.Cold())
	assert.Equal(t, n.admission.Load().Running, 0)
	assert.Equal(t, m.send(t, 0, http.MethodPost, "/entry/b").status, http.StatusOK)
}

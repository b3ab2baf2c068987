package sidecar

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stop whose time is shorter than the stop plan and that closes the
// connection of a running request without a response.
func TestRequestIsAnsweredInAStopShorterThanItsPlan(t *testing.T) {
	m := newMesh(t, 1)
	b, n := m.backends[0], m.nodes[0]
	n.Bounds.StopTimeout = n.StopPlan.KillMargin + n.StopPlan.AcceptFor
	release := make(chan struct{})
	defer close(release)
	b.handle = func(http.ResponseWriter, *http.Request) { <-release }
	before := b.count()
	r := sendOn(t, openCallerConnection(t, n), http.MethodPost, "/entry/1")
	waitFor(t, "request", func() bool { return b.count() > before })
	stopped, began := make(chan struct{}), time.Now()
	go func() {
		defer close(stopped)
		m.stops[0]()
	}()
	a, err := http.ReadResponse(r, nil)
	assert.NilError(t, err, "after %s", time.Since(began))
	assert.Equal(t, a.StatusCode, http.StatusBadGateway)
	<-stopped
}

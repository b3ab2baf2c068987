package sidecar

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/operator"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fleet"
)

// Guards against a path, key, account or caller service that reaches the backend
// server with a wrong value.
func TestRequestArrivesAsSent(t *testing.T) {
	m := newMesh(t, 2)
	for range 8 {
		a := m.send(t, 0, http.MethodGet, "/list/a%2Fb/../c?q=1%202&z", "X-Account", "forged", "X-Caller", "forged", "X-Expected", "forged")
		assert.Equal(t, a.status, http.StatusOK, a.body)
		assert.Assert(t, strings.HasSuffix(a.body, " /list/a%2Fb/../c?q=1%202&z"), a.body)
	}
	for _, b := range m.backends {
		b.mu.Lock()
		for _, r := range b.runs {
			assert.Equal(t, r.Header.Get(testHeaders.Account), "club")
			assert.Equal(t, r.Header.Get(testHeaders.CallerService), "desk")
			assert.Equal(t, r.Header.Get(testHeaders.Key), "")
			assert.Equal(t, r.Host, "mesh")
		}
		b.mu.Unlock()
	}
}

// Guards against requests that run without a valid key, and against requests
// without a route that run.
func TestRequestsThatAreNotAllowedDoNotRun(t *testing.T) {
	m := newMesh(t, 1)
	assert.Equal(t, m.send(t, 0, http.MethodGet, "/list/1", "X-Key", "wrong").status, http.StatusUnauthorized)
	assert.Equal(t, m.send(t, 0, http.MethodGet, "/nowhere/1").status, http.StatusNotFound)
	assert.Equal(t, m.send(t, 0, http.MethodGet, "/list/1", "X-Left", "soon").status, http.StatusBadRequest)
	assert.Equal(t, m.runs(), 0)
	assert.Equal(t, m.send(t, 0, http.MethodGet, "/open/1", "X-Key", "wrong").status, http.StatusOK)
	assert.Equal(t, m.backends[0].firstRun().Header.Get(testHeaders.Key), "")
	assert.Equal(t, m.backends[0].firstRun().Header.Get(testHeaders.Account), "")
}

// Guards against an unsafe request that runs again after its response was lost,
// and against one reported as not run although it ran.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	m := newMesh(t, 2)
	for _, b := range m.backends {
		b.handle = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	}
	a := m.send(t, 0, http.MethodPost, "/entry/1")
	assert.Equal(t, a.status, http.StatusBadGateway)
	assert.Equal(t, m.runs(), 1)
}

// Guards against a safe request that fails although another instance could answer
// it, and against one that is sent to more instances than allowed.
func TestSafeRequestIsRepeatedWithinItsAttempts(t *testing.T) {
	m := newMesh(t, 3)
	for _, b := range m.backends {
		b.handle = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	}
	a := m.send(t, 0, http.MethodGet, "/list/1")
	assert.Equal(t, a.status, http.StatusBadGateway)
	assert.Equal(t, m.runs(), 2)
}

// Guards against an incomplete response that looks complete, with and without a
// Content-Length.
func TestTruncatedAnswerIsNotPassedOnAsWhole(t *testing.T) {
	m := newMesh(t, 1)
	for _, length := range []string{"100", ""} {
		m.backends[0].handle = func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		assert.Equal(t, m.send(t, 0, http.MethodPost, "/entry/1").status, http.StatusBadGateway)
	}
}

// Guards against a response to another request that reaches this caller.
func TestAnswerToAnotherRequestIsNotPassedOn(t *testing.T) {
	m := newMesh(t, 1)
	m.backends[0].handle = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testHeaders.RequestID, "other")
		_, _ = io.WriteString(w, "for another")
	}
	a := m.send(t, 0, http.MethodPost, "/entry/1")
	assert.Equal(t, a.status, http.StatusBadGateway)
	assert.Assert(t, !strings.Contains(a.body, "for another"))
}

// Guards against work that continues after its caller has left.
func TestCallerThatLeavesEndsItsWork(t *testing.T) {
	m := newMesh(t, 2)
	ended := make(chan struct{}, 4)
	for _, b := range m.backends {
		b.handle = func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			ended <- struct{}{}
		}
	}
	for node := range m.nodes {
		ctx, cancel := context.WithCancel(context.Background())
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.nodes[node].Settings.CallerAddress+"/list/1", nil)
		assert.NilError(t, err)
		r.Host = "mesh"
		r.Header.Set(testHeaders.Key, "secret")
		before := m.runs()
		go func() {
			if a, err := http.DefaultClient.Do(r); err == nil {
				_ = a.Body.Close()
			}
		}()
		waitFor(t, "run", func() bool { return m.runs() > before })
		cancel()
		select {
		case <-ended:
		case <-time.After(500 * time.Millisecond):
			t.Fatal("the instance still runs the request")
		}
	}
}

// Guards against a request that outlives its route's timeout without a response,
// and against an instance that is given more time than is left.
func TestRouteTimeoutEndsARequest(t *testing.T) {
	m := newMesh(t, 1)
	m.backends[0].handle = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	began := time.Now()
	a := m.send(t, 0, http.MethodPost, "/entry/1", "X-Left", "9000")
	assert.Equal(t, a.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(began) < 1900*time.Millisecond)
	var left int
	_, err := fmt.Sscan(m.backends[0].firstRun().Header.Get(testHeaders.TimeLeft), &left)
	assert.NilError(t, err)
	assert.Assert(t, left <= 1500, "%d ms", left)
}

// Guards against requests sent to an instance or zone that the store has
// withdrawn, against routes of an older version, and against a return to an older
// version.
func TestPublishedChangesAreInForce(t *testing.T) {
	m := newMesh(t, 2)
	draining := m.backends[1].instanceChange("surco")
	draining.Instance.State = fleet.Draining
	m.store.publish(nil, draining)
	waitFor(t, "drain", func() bool {
		return m.nodes[0].directory.View().Instances["i-1"].State == fleet.Draining && m.nodes[1].admission.Load().Permits > 0
	})
	time.Sleep(50 * time.Millisecond)
	for range 10 {
		assert.Equal(t, m.send(t, 1, http.MethodGet, "/list/1").status, http.StatusOK)
	}
	assert.Equal(t, m.backends[1].count(), 0)

	m.store.publish(nil, fleet.Change{Kind: fleet.ZoneOut, Zone: "surco"})
	waitFor(t, "zone out", func() bool { return m.send(t, 0, http.MethodGet, "/list/1").status == http.StatusServiceUnavailable })
	m.store.publish(nil, fleet.Change{Kind: fleet.ZoneIn, Zone: "surco"})
	waitFor(t, "zone back", func() bool { return m.send(t, 0, http.MethodGet, "/list/1").status == http.StatusOK })

	d := testDocument()
	d.Accounts = nil
	d.Routes = d.Routes[:1]
	d.Accounts = []config.ClientAccount{{Name: "club", Keys: []string{config.DigestOf([]byte("newer"))}}}
	m.store.publish(&PublishedConfig{Version: 5, Document: d})
	waitFor(t, "version 5", func() bool { return m.send(t, 0, http.MethodGet, "/list/1").status == http.StatusUnauthorized })
	m.store.publish(&PublishedConfig{Version: 4, Document: testDocument()})
	m.store.publish(&PublishedConfig{Version: 6, Document: config.Document{}})
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, m.nodes[0].snapshot.Load().Version, uint64(5))
	assert.Equal(t, m.send(t, 0, http.MethodGet, "/open/1").status, http.StatusNotFound)
}

// Guards against a stop that cuts requests, and against a node that still reports
// readiness while it stops.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	m := newMesh(t, 2)
	release := make(chan struct{})
	for _, b := range m.backends {
		b.handle = func(w http.ResponseWriter, _ *http.Request) {
			<-release
			_, _ = io.WriteString(w, "done")
		}
	}
	got := make(chan response, 6)
	for range 6 {
		go func() { got <- m.send(t, 0, http.MethodPost, "/entry/1") }()
	}
	waitFor(t, "runs", func() bool {
		select {
		case a := <-got:
			t.Fatalf("a request ended before the stop: %+v", a)
		default:
		}
		return m.runs() == 6
	})
	stopped := make(chan struct{})
	go func() {
		m.stops[0]()
		close(stopped)
	}()
	waitFor(t, "not ready", func() bool { return !ready(m.nodes[0]) })
	time.AfterFunc(time.Second, func() { close(release) })
	for range 6 {
		a := <-got
		assert.Equal(t, a.status, http.StatusOK)
	}
	select {
	case <-stopped:
	case <-time.After(6 * time.Second):
		t.Fatal("the node did not stop within 6 s")
	}
}

// Guards against nodes that the store rejects and that then miss published
// changes.
func TestNodesThatTheStoreTurnsAwayLearnFromOthers(t *testing.T) {
	m := newMesh(t, 3)
	m.store.setFailure(errStoreRejects, "i-1", "i-2")
	d := testDocument()
	d.Routes = d.Routes[:2]
	m.store.publish(&PublishedConfig{Version: 9, Document: d})
	for _, n := range m.nodes {
		waitFor(t, "version 9 at "+n.Settings.Host, func() bool { return n.snapshot.Load().Version == 9 })
	}
	assert.Equal(t, m.send(t, 1, http.MethodGet, "/open/1").status, http.StatusNotFound)
}

// Guards against a host that is cut off from the store and stops using its own
// healthy backend server, and against one that keeps an instance after the store
// confirmed its removal.
func TestHostCutOffFromTheStoreUsesItsOwnInstance(t *testing.T) {
	m := newMesh(t, 3)
	cut := m.nodes[1]
	m.store.setFailure(errStoreRejects, "i-0", "i-1", "i-2")
	waitFor(t, "loss of the store", cut.sourcesDown.Load)
	m.store.setFailure(errStoreRejects, "i-1")
	m.store.publish(nil, fleet.Change{Kind: fleet.InstanceRemoved, ID: "i-1"})
	waitFor(t, "removal at others", func() bool { return m.nodes[0].directory.View().Instances["i-1"] == nil })
	time.Sleep(1500 * time.Millisecond)
	assert.Assert(t, cut.directory.View().Instances["i-1"] != nil)
	m.store.setFailure(nil)
	waitFor(t, "removal at its own host", func() bool { return cut.directory.View().Instances["i-1"] == nil })
}

// Guards against an outage of the store that interrupts service, and against live
// instances that are dropped because their entries expired.
func TestOutageOfTheStore(t *testing.T) {
	m := newMesh(t, 2)
	m.store.setFailure(errStoreRejects)
	m.store.publish(nil, fleet.Change{Kind: fleet.InstanceRemoved, ID: "i-0"}, fleet.Change{Kind: fleet.InstanceRemoved, ID: "i-1"})
	time.Sleep(300 * time.Millisecond)
	a := m.send(t, 0, http.MethodGet, "/list/1")
	assert.Equal(t, a.status, http.StatusOK, "during the outage: %s", a.body)
	m.store.setFailure(nil)
	time.Sleep(700 * time.Millisecond)
	m.store.publish(nil, m.backends[0].instanceChange("surco"))
	a = m.send(t, 0, http.MethodGet, "/list/1")
	assert.Equal(t, a.status, http.StatusOK, "after the outage: %s", a.body)
	waitFor(t, "removal of the expired entry", func() bool {
		v := m.nodes[0].directory.View()
		return v.Instances["i-0"] != nil && v.Instances["i-1"] == nil
	})
}

// Guards against an operator port that does not show the state of the node.
func TestOperatorPortShowsWhatTheNodeKnows(t *testing.T) {
	m := newMesh(t, 2)
	for range 5 {
		assert.Equal(t, m.send(t, 0, http.MethodGet, "/list/1").status, http.StatusOK)
	}
	assert.Equal(t, m.send(t, 0, http.MethodGet, "/list/1", "X-Key", "wrong").status, http.StatusUnauthorized)
	s, err := operator.FetchStatus(context.Background(), m.nodes[0].Settings.OperatorAddress)
	assert.NilError(t, err)
	assert.Assert(t, s.Ready && s.Version == 1 && s.Gate.State == "Open")
	assert.Assert(t, s.ConfirmedAgeMs >= 0 && s.ConfirmedAgeMs < 2000, "%d ms", s.ConfirmedAgeMs)
	assert.Equal(t, len(s.Instances), 2)
	assert.Assert(t, s.Store != nil && s.Store.Revision > 0)
	seen := false
	for _, i := range s.Instances {
		seen = seen || i.ObservedAgeMs >= 0
	}
	assert.Assert(t, seen)
	waitFor(t, "metrics", func() bool {
		a, err := http.Get("http://" + m.nodes[0].Settings.OperatorAddress + "/metrics")
		assert.NilError(t, err)
		defer func() { _ = a.Body.Close() }()
		b, err := io.ReadAll(a.Body)
		assert.NilError(t, err)
		return strings.Contains(string(b), `refused="KeyUnknown"`) && strings.Contains(string(b), "quetzaldock_call_seconds_bucket")
	})
}

// Guards against an account within its limit that is refused because all its
// requests come to one node, and against an account that gets its full limit at
// each node.
func TestAccountLimitCountsOverAllNodes(t *testing.T) {
	m := newMesh(t, 3)
	d := testDocument()
	rate, burst := 5.0, 20.0
	d.Exceptions = []config.Exception{{
		Name: "limit", Reason: "test", Account: "club", Values: config.Values{Rate: &rate, Burst: &burst},
	}}
	m.store.publish(&PublishedConfig{Version: 2, Document: d})
	for _, n := range m.nodes {
		waitFor(t, "version 2", func() bool { return n.snapshot.Load().Version == 2 })
	}
	ok := 0
	for i := range 90 {
		if m.send(t, i%3, http.MethodGet, "/list/1").status == http.StatusOK {
			ok++
		}
	}
	bounds := DefaultBounds()
	maxOK := (rate*5+burst)*(1+bounds.QuotaOverage) + bounds.QuotaSlack
	assert.Assert(t, ok >= 8 && float64(ok) <= maxOK, "%d of 90 ran", ok)
	time.Sleep(1200 * time.Millisecond)
	okAtOneNode := 0
	for range 5 {
		if m.send(t, 0, http.MethodGet, "/list/1").status == http.StatusOK {
			okAtOneNode++
		}
	}
	assert.Assert(t, okAtOneNode >= 4, "%d of 5 at one node", okAtOneNode)
}

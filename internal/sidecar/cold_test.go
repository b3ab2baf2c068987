package sidecar

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/fleet"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
)

// coldStartsPerSec is the rate that the service allows while its backend server
// is cold, in requests per second.
const coldStartsPerSec = 43

// coldSlack is the number of requests by which the users' rule lets one second exceed the
// tolerated rate of a cold backend server.
const coldSlack = 5

// testNode returns a node beside the backend server at address. It does not run.
func testNode(t *testing.T, address string) *Node {
	t.Helper()
	n := New(Settings{Host: "a", Service: "desk", Zone: "north", CallAddress: "127.0.0.1:1", ControlAddress: "127.0.0.1:2", BackendAddress: address, MaxConnections: 1})
	n.HeaderNames = testHeaders
	n.buildComponents()
	t.Cleanup(func() { _ = n.metrics.Close() })
	return n
}

func coldDocument() *PublishedConfig {
	d := testDocument()
	for i := range d.Services {
		d.Services[i].ColdPerSecond = coldStartsPerSec
	}
	return &PublishedConfig{Version: 1, Document: d}
}

func instanceStarted(id, address string, bornMs int64, coldFor time.Duration) fleet.Change {
	return fleet.Change{Kind: fleet.InstanceSet, Instance: fleet.Instance{
		ID: id, Service: "desk", Zone: "north", Address: address, Slots: 16, Born: bornMs, ColdFor: coldFor,
	}}
}

// Guards against a late entry of an earlier instance that ends the cold time of
// the instance now at its address, which then gets full load while cold.
func TestEarlierInstanceDoesNotEndTheColdTime(t *testing.T) {
	const address = "127.0.0.1:9"
	n := testNode(t, address)
	n.applyUpdate(&Update{Full: true, Published: coldDocument(), Changes: []fleet.Change{instanceStarted("i-1", address, 1000, 0)}})
	n.applyUpdate(&Update{Changes: []fleet.Change{
		instanceStarted("i-2", address, 2000, 3*time.Second),
		instanceStarted("i-1", address, 1000, 35*time.Millisecond),
	}})
	n.admission.Now = func() time.Time { return time.Now().Add(2 * time.Second) }
	assert.Assert(t, n.admission.Cold())
}

// Guards against a late entry of the same start that shortens the cold time that
// the backend server has stated since.
func TestPublishedColdTimeOnlyExtends(t *testing.T) {
	const address = "127.0.0.1:9"
	n := testNode(t, address)
	n.applyUpdate(&Update{Full: true, Published: coldDocument(), Changes: []fleet.Change{instanceStarted("i-1", address, 1000, 0)}})
	n.setCold(3*time.Second, n.localService())
	n.applyUpdate(&Update{Changes: []fleet.Change{instanceStarted("i-1", address, 1000, 35*time.Millisecond)}})
	n.admission.Now = func() time.Time { return time.Now().Add(2 * time.Second) }
	assert.Assert(t, n.admission.Cold())
}

// Guards against a burst in the last millisecond of the cold time, which the backend
// server states in whole ones.
func TestColdTimeIsRoundedUp(t *testing.T) {
	const address = "127.0.0.1:9"
	n := testNode(t, address)
	n.applyUpdate(&Update{Full: true, Published: coldDocument(), Changes: []fleet.Change{instanceStarted("i-1", address, 1000, 0)}})
	n.setCold(0, n.localService())
	state := func(left string) {
		n.applyHealthCold(http.Header{testHeaders.ColdTimeLeft: {left}}, n.localService(), time.Now())
	}
	state("0")
	assert.Assert(t, !n.admission.Cold(), "a warm server")
	for _, left := range []string{"2000", "0"} {
		before := time.Now()
		state(left)
		ms, err := strconv.Atoi(left)
		assert.NilError(t, err)
		end := before.Add(time.Duration(ms+1) * time.Millisecond)
		assert.Assert(t, !n.admission.ColdUntil().Before(end), "%s ms left", left)
	}
}

// Guards against requests admitted by a node that has just started and does not
// know the cold rate of its backend server yet.
func TestAdmissionStaysClosedUntilTheColdRateIsKnown(t *testing.T) {
	const address = "127.0.0.1:9"
	n := testNode(t, address)
	n.applyUpdate(&Update{Full: true, Changes: []fleet.Change{instanceStarted("i-1", address, 1000, 0)}})
	n.applyInstances()
	assert.Equal(t, n.admission.ClosedReason(), priorityadmission.Starting)
	n.applyUpdate(&Update{Published: coldDocument()})
	assert.Equal(t, n.admission.ClosedReason(), priorityadmission.Reason(""))
	assert.Assert(t, n.admission.Cold())
	admitted := 0
	for range 3 * coldStartsPerSec {
		p, err := n.admission.Admit(t.Context(), priorityadmission.Request{Deadline: time.Now().Add(time.Second), NoWait: true})
		if err == nil {
			admitted++
			p.Release(true)
		}
	}
	maxAdmitted := int(coldStartsPerSec * (1 + n.Bounds.ColdOverage))
	assert.Assert(t, admitted <= maxAdmitted, "%d of at most %d", admitted, maxAdmitted)
}

// Guards against a backend server that becomes cold without a restart, which only its
// health checks show, and gets the load of a warm one until the next of them.
func TestServerThatBecomesColdUnannouncedGetsNoFullLoad(t *testing.T) {
	const coldTime = 2 * time.Second
	m := newMesh(t, 1)
	n, b := m.nodes[0], m.backends[0]
	m.store.publish(&PublishedConfig{Version: 2, Document: coldDocument().Document})
	var coldUntil atomic.Int64
	health := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if left := time.Until(time.Unix(0, coldUntil.Load())); left > 0 {
			w.Header().Set(testHeaders.ColdTimeLeft, strconv.FormatInt(left.Milliseconds(), 10))
		}
	})
	b.health.Store(&health)
	var mu sync.Mutex
	var arrivals []time.Time
	b.handle = func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, time.Now())
	}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				m.send(t, 0, http.MethodGet, "/list/1")
			}
		})
	}
	waitFor(t, "warm server", func() bool { return n.snapshot.Load().Version == 2 && !n.admission.Cold() })
	// The node has just checked the server.
	assert.Assert(t, n.checkHealth(t.Context()))
	// A request may start in one second and arrive in the next, which the slack covers.
	maxArrivals := int(coldStartsPerSec*(1+n.Bounds.ColdOverage) + coldSlack)
	for range 3 {
		mu.Lock()
		arrivals = nil
		mu.Unlock()
		waitFor(t, "full load", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(arrivals) > 2*maxArrivals
		})
		mu.Lock()
		arrivals = nil
		coldUntil.Store(time.Now().Add(coldTime).UnixNano())
		mu.Unlock()
		sleep(t.Context(), coldTime-50*time.Millisecond)
		mu.Lock()
		for i := maxArrivals; i < len(arrivals); i++ {
			assert.Check(t, arrivals[i].Sub(arrivals[i-maxArrivals]) >= time.Second, "more than %d requests in a second", maxArrivals)
		}
		mu.Unlock()
	}
	close(stop)
	clients.Wait()
}

package sidecar

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fleet"
)

// Guards against parts of a route that drift from their weights where each of many
// nodes gets few requests, and against a change of the weights that takes effect late.
func TestSplitsKeepTheirWeightsAtLowRates(t *testing.T) {
	r := rand.New(rand.NewPCG(11, 12))
	for _, nodes := range []int{10, 60, 300} {
		splitters := make([]routeSplitter, nodes)
		for _, weight := range []int{70, 50, 90, 15} {
			route := &config.Route{VirtualHost: "mesh", Prefix: "/filing/", Splits: []config.Split{{Service: "filing", Weight: weight}, {Service: "estimate", Weight: 100 - weight}}}
			const requests = 300
			got := map[string]int{}
			for range requests {
				got[splitters[r.IntN(nodes)].pick(route)]++
			}
			off := math.Abs(float64(got["filing"])/requests - float64(weight)/100)
			assert.Assert(t, off <= 0.06, "%d nodes, weight %d: %v", nodes, weight, got)
		}
	}
}

// Guards against requests that move to another part of their route because theirs has
// no room, and against an unsafe request that runs at both.
func TestShareOfAFullPartIsNotMoved(t *testing.T) {
	m := newMesh(t, 2)
	spare := m.backends[1]
	spare.handle = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testHeaders.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	d := testDocument()
	d.Services = append(d.Services, config.Service{Name: "spare", HealthPath: "/health"})
	for i := range d.Routes {
		d.Routes[i].Service, d.Routes[i].Splits = "", []config.Split{{Service: "desk", Weight: 3}, {Service: "spare", Weight: 1}}
	}
	moved := spare.instanceChange("surco")
	moved.Instance.Service, moved.Instance.Born = "spare", 2
	m.store.publish(&PublishedConfig{Version: 2, Document: d}, moved)
	node := m.nodes[0]
	waitFor(t, "version 2", func() bool { return node.snapshot.Load().Version == 2 })
	waitFor(t, "the second service", func() bool {
		for _, h := range node.chooser.HostStatuses() {
			if h.Service == "spare" {
				return true
			}
		}
		return false
	})
	const requests = 40
	status := map[int]int{}
	for i := range requests {
		status[m.send(t, 0, http.MethodPost, fmt.Sprintf("/entry/%d", i)).status]++
	}
	assert.Equal(t, status[http.StatusOK]+status[http.StatusServiceUnavailable], requests, "%v", status)
	assert.Assert(t, status[http.StatusServiceUnavailable] >= requests/5, "%v", status)
	assert.Equal(t, m.backends[0].count(), status[http.StatusOK])
	assert.Equal(t, len(node.directory.View().ByService["spare"]), 1)
	assert.Equal(t, node.directory.View().ByService["spare"][0].State, fleet.Ready)
}

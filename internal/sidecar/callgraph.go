package sidecar

import (
	"strconv"
	"strings"
	"sync"

	"quetzaldock.example/quetzaldock/internal/call"
)

// headerCalls is set in responses between nodes. It lists the services that the
// instance that ran the request calls, and the calls per run to each.
const headerCalls = call.HeaderPrefix + "Calls"

// callHistoryRuns is the number of runs after which older ones count half.
const callHistoryRuns = 1024

// A callGraph tracks how many calls to other services one run of a service makes.
// If a request is sent to a second instance, its calls are made again and count
// as retries at the services called.
type callGraph struct {
	mu   sync.Mutex
	runs float64
	// callsByService counts the calls of the local instance by service called.
	callsByService map[string]float64
	// callsPerRun holds what nodes, including this one, reported last, by calling
	// service and service called.
	callsPerRun map[string]map[string]float64
}

// recordRun counts one run at the local instance.
func (g *callGraph) recordRun() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runs++; g.runs >= 2*callHistoryRuns {
		g.runs /= 2
		for s := range g.callsByService {
			g.callsByService[s] /= 2
		}
	}
}

// recordCall counts one call of the local instance.
func (g *callGraph) recordCall(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.callsByService == nil {
		g.callsByService = map[string]float64{}
	}
	g.callsByService[service]++
}

// header formats the calls per run of the local instance. It is empty if there
// are none.
func (g *callGraph) header() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var b strings.Builder
	for s, n := range g.callsByService {
		if g.runs > 0 {
			b.WriteString(s + "=" + strconv.FormatFloat(n/g.runs, 'f', 2, 64) + ",")
		}
	}
	return strings.TrimSuffix(b.String(), ",")
}

// learnFromHeader stores what a node reported for its service. Malformed parts are
// ignored.
func (g *callGraph) learnFromHeader(service, header string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if header == "" {
		delete(g.callsPerRun, service)
		return
	}
	calls := map[string]float64{}
	for _, part := range strings.Split(header, ",") {
		callee, text, _ := strings.Cut(part, "=")
		if perRun, err := strconv.ParseFloat(text, 64); err == nil && perRun > 0 {
			calls[callee] = perRun
		}
	}
	if g.callsPerRun == nil {
		g.callsPerRun = map[string]map[string]float64{}
	}
	g.callsPerRun[service] = calls
}

// callsOf returns the calls per run of a service, by service called. The map must
// not be modified.
func (g *callGraph) callsOf(service string) map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.callsPerRun[service]
}

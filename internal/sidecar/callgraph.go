package sidecar

import (
	"strconv"
	"strings"
	"sync"

	"quetzaldock.example/quetzaldock/internal/call"
)

// headerCalls tells in an answer between nodes how many calls to which services
// one run at the answering instance makes.
const headerCalls = call.HeaderPrefix + "Calls"

// callsHalve is the number of runs after which older ones count half.
const callHistoryRuns = 1024

// A callGraph knows how many calls to other services one run of a service
// makes. A request that is sent to a second instance makes its calls again, and
// these count as repeats there.
type callGraph struct {
	mu   sync.Mutex
	runs float64
	// made counts the calls of the local instance by service.
	callsByService map[string]float64
	// others holds what nodes told of their services.
	callsPerRun map[string]map[string]float64
}

// ran records one run at the local instance.
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

// called records one call of the local instance.
func (g *callGraph) recordCall(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.callsByService == nil {
		g.callsByService = map[string]float64{}
	}
	g.callsByService[service]++
}

// header writes the calls of the local instance, empty if it makes none.
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

// learn reads what a node told of its service's calls. Parts that cannot be
// read are passed over.
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

// of returns how many calls to which services one run of a service makes. The
// map must not be changed.
func (g *callGraph) callsOf(service string) map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.callsPerRun[service]
}

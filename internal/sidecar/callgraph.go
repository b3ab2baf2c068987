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
const callsHalve = 1024

// A callGraph knows how many calls to other services one run of a service
// makes. A request that is sent to a second instance makes its calls again, and
// these count as repeats there.
type callGraph struct {
	mu   sync.Mutex
	runs float64
	// made counts the calls of the local instance by service.
	made map[string]float64
	// others holds what nodes told of their services.
	others map[string]map[string]float64
}

// ran records one run at the local instance.
func (g *callGraph) ran() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runs++; g.runs >= 2*callsHalve {
		g.runs /= 2
		for s := range g.made {
			g.made[s] /= 2
		}
	}
}

// called records one call of the local instance.
func (g *callGraph) called(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.made == nil {
		g.made = map[string]float64{}
	}
	g.made[service]++
}

// header writes the calls of the local instance, empty if it makes none.
func (g *callGraph) header() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var b strings.Builder
	for s, n := range g.made {
		if g.runs > 0 {
			b.WriteString(s + "=" + strconv.FormatFloat(n/g.runs, 'f', 2, 64) + ",")
		}
	}
	return strings.TrimSuffix(b.String(), ",")
}

// learn reads what a node told of its service's calls. Parts that cannot be
// read are passed over.
func (g *callGraph) learn(service, header string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if header == "" {
		delete(g.others, service)
		return
	}
	calls := map[string]float64{}
	for _, p := range strings.Split(header, ",") {
		s, n, _ := strings.Cut(p, "=")
		if x, err := strconv.ParseFloat(n, 64); err == nil && x > 0 {
			calls[s] = x
		}
	}
	if g.others == nil {
		g.others = map[string]map[string]float64{}
	}
	g.others[service] = calls
}

// of returns how many calls to which services one run of a service makes. The
// map must not be changed.
func (g *callGraph) of(service string) map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.others[service]
}

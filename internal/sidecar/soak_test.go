package sidecar

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/config"
)

var (
	soakSeed  = flag.Uint64("soak.seed", 1, "seed of the first run of TestSoak")
	soakSeeds = flag.Int("soak.seeds", 4, "number of runs of TestSoak")
)

const (
	soakNodes   = 3
	soakClients = 24
	soakSteps   = 24
	// soakConnections is the number of caller connections that a node allows. The
	// clients open more.
	soakConnections = 6
)

// A soak sends requests on kept connections while nodes stop, restart and reload
// their settings and configurations change, all in overlapping series.
type soak struct {
	mesh   *mesh
	hangup chan os.Signal
	// hosts holds the IP address of each host.
	hosts []string

	// random is used by the planned work only.
	random *rand.Rand

	mu sync.Mutex
	// addresses holds the caller address of the node on each host, or the empty
	// string while it stops or starts.
	addresses []string
	// statuses holds the status of each request by its ID, 0 for a connection that
	// ended without a response.
	statuses map[string]int
	runs     map[string]int
}

// address returns the address of a node that runs.
func (s *soak) address(r *rand.Rand) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range r.Perm(len(s.addresses)) {
		if s.addresses[i] != "" {
			return s.addresses[i]
		}
	}
	return ""
}

func (s *soak) setAddress(i int, a string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses[i] = a
}

// runClient sends requests until done is closed. It uses a connection until the
// node closes it.
func (s *soak) runClient(r *rand.Rand, name string, done <-chan struct{}) {
	for n := 0; ; {
		c, err := net.Dial("tcp", s.address(r))
		if err != nil {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
			continue
		}
		for in := bufio.NewReader(c); ; {
			select {
			case <-done:
				_ = c.Close()
				return
			case <-time.After(time.Duration(r.IntN(60)) * time.Millisecond):
			}
			n++
			if !s.exchange(c, in, r, fmt.Sprintf("%s-%d", name, n)) {
				_ = c.Close()
				break
			}
		}
	}
}

// exchange sends one request and records its status. It reports whether the
// connection can be used again.
func (s *soak) exchange(c net.Conn, in *bufio.Reader, r *rand.Rand, id string) bool {
	method, path := http.MethodGet, "/list/"
	if r.IntN(2) == 0 {
		method, path = http.MethodPost, "/entry/"
	}
	status, again := 0, false
	_, _ = fmt.Fprintf(c, "%s %s%s HTTP/1.1\r\nHost: mesh\r\n%s: %s\r\n%s: 1000\r\n%s: secret\r\n\r\n",
		method, path, id, testHeaders.RequestID, id, testHeaders.TimeLeft, testHeaders.Key)
	if a, err := http.ReadResponse(in, nil); err == nil {
		if _, err = io.Copy(io.Discard, a.Body); err == nil {
			status, again = a.StatusCode, !a.Close
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[method+" "+id] = status
	return again
}

// countRun is the handler of the backend servers.
func (s *soak) countRun(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.runs[r.Method+" "+r.Header.Get(testHeaders.RequestID)]++
	pause := time.NewTimer(time.Duration(len(s.runs)%40) * time.Millisecond)
	s.mu.Unlock()
	<-pause.C
	_, _ = io.WriteString(w, "done")
}

// configure gives each node few connections and settings that change.
func (s *soak) configure(n *Node) {
	n.Settings.MaxConnections = soakConnections
	n.Hangup = s.hangup
	n.LoadSettings = func() (*Settings, error) {
		changed := *n.settings()
		changed.MaxConnections = soakConnections + 1 - changed.MaxConnections%2
		return &changed, nil
	}
}

// runPlannedWork takes random steps without waiting for the end of earlier ones. At
// least one node runs all the time.
func (s *soak) runPlannedWork(t *testing.T) {
	stopped := make(chan int, soakNodes)
	running, version := soakNodes, uint64(1)
	stops := append([]func(){}, s.mesh.stops...)
	for range soakSteps {
		switch i := s.random.IntN(soakNodes); s.random.IntN(4) {
		case 0, 1:
			if running > 1 && s.takeAddress(i) {
				running--
				stop := stops[i]
				go func() {
					stop()
					stopped <- i
				}()
			}
		case 2:
			version++
			d := testDocument()
			d.CallerLimits = &config.CallerLimits{IdleMs: 30 + s.random.IntN(300)}
			s.mesh.store.publish(&PublishedConfig{Version: version, Document: d})
		case 3:
			select {
			case s.hangup <- syscall.SIGHUP:
			default:
			}
		}
		select {
		case i := <-stopped:
			stops[i] = s.mesh.start(t, s.hosts[i], s.mesh.backends[i])
			n := s.mesh.nodes[len(s.mesh.nodes)-1]
			waitFor(t, "ready", func() bool { return ready(n) })
			s.setAddress(i, n.Settings.CallerAddress)
			running++
		case <-time.After(time.Duration(20+s.random.IntN(150)) * time.Millisecond):
		}
	}
	for ; running < soakNodes; running++ {
		<-stopped
	}
}

// takeAddress keeps clients from opening connections to a node that is about to
// stop, and reports whether one ran. Those that are open stay in use.
func (s *soak) takeAddress(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ran := s.addresses[i] != ""
	s.addresses[i] = ""
	return ran
}

// check compares what clients received with what ran.
func (s *soak) check(t *testing.T) {
	counts := map[int]int{}
	for id, status := range s.statuses {
		counts[status]++
		runs := s.runs[id]
		assert.Check(t, status != 0 || runs == 0, "%s ran %d times and got no response", id, runs)
		assert.Check(t, !strings.HasPrefix(id, http.MethodPost) || runs <= 1, "%s ran %d times", id, runs)
		assert.Check(t, status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests || runs == 0, "%s was refused with status %d and ran", id, status)
	}
	t.Logf("%d requests by status: %v", len(s.statuses), counts)
	assert.Check(t, counts[http.StatusOK] > len(s.statuses)/2, "%v", counts)
}

// runSoak plays one seed.
func runSoak(t *testing.T, seed uint64) {
	s := &soak{random: rand.New(rand.NewPCG(seed, 1)), hangup: make(chan os.Signal), statuses: map[string]int{}, runs: map[string]int{}}
	s.mesh = newMeshWith(t, soakNodes, s.configure)
	for i, b := range s.mesh.backends {
		b.handle = s.countRun
		s.addresses = append(s.addresses, s.mesh.nodes[i].Settings.CallerAddress)
		host, _, err := net.SplitHostPort(s.mesh.nodes[i].Settings.CallAddress)
		assert.NilError(t, err)
		s.hosts = append(s.hosts, host)
	}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i := range soakClients {
		r := rand.New(rand.NewPCG(seed, uint64(2+i)))
		clients.Go(func() { s.runClient(r, fmt.Sprintf("c%d", i), done) })
	}
	s.runPlannedWork(t)
	close(done)
	clients.Wait()
	s.check(t)
}

// Guards against requests that ran and got no response, that ran twice, or that ran
// although they were refused, while clients use connections until they are closed.
func TestSoak(t *testing.T) {
	for seed := *soakSeed; seed < *soakSeed+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

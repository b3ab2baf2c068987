package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fleet"
)

const (
	configSoakNodes   = 3
	configSoakClients = 24
	configSoakSteps   = 40
	// configSoakTimeout is the shortest timeout of a route in a configSoak. A
	// response may be cut only after it.
	configSoakTimeout = 2 * time.Second
	// configSoakDownload is the size of a response that streams.
	configSoakDownload = 300 << 10
)

// A configSoak sends requests of several kinds on kept connections while the
// configuration changes.
type configSoak struct {
	mesh   *mesh
	random *rand.Rand
	seed   uint64
	// misbehave makes the backend servers answer early, without length or not at all.
	misbehave bool

	mu sync.Mutex
	// idle is the shortest idle limit that may be in force.
	idle time.Duration
	// accepted holds the requests that a node read, by ID.
	accepted map[string]RequestRecord
	results  map[string]configSoakResult
}

// A configSoakResult is what a client received.
type configSoakResult struct {
	// status is 0 if the connection ended without a complete response.
	status int
	err    error
	// took is the time from the last byte of the request to the end of the
	// response.
	took time.Duration
	// idle is an upper bound for the time in which the connection was idle before
	// the last byte of the request was sent. It is zero for the first request.
	idle time.Duration
}

// A slowReader reads in small parts with pauses.
type slowReader struct {
	in   io.Reader
	pace <-chan time.Time
}

// Read implements io.Reader.
func (s slowReader) Read(p []byte) (int, error) {
	<-s.pace
	return s.in.Read(p[:min(len(p), 8<<10)])
}

// parts returns one request, divided into the parts in which it is sent.
func (s *configSoak) parts(r *rand.Rand, id string) []string {
	head := func(method, path string) string {
		key := "secret"
		if r.IntN(20) == 0 {
			key = "wrong"
		}
		return fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: mesh\r\n%s: %s\r\n%s: 8000\r\n%s: %s\r\n",
			method, path, id, testHeaders.RequestID, id, testHeaders.TimeLeft, testHeaders.Key, key)
	}
	body := strings.Repeat("x", 1+r.IntN(12<<10))
	switch r.IntN(9) {
	case 7:
		return []string{head(http.MethodPost, "entry") + fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(body)), body}
	case 8:
		return []string{head(http.MethodPost, "entry") + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", len(body), body), 20), "0\r\n\r\n"}
	case 0:
		return []string{head(http.MethodGet, "list") + "\r\n"}
	case 1:
		return []string{head(http.MethodGet, "list") + "X-Long: " + strings.Repeat("y", 6000), "\r\n\r\n"}
	case 2:
		return []string{head(http.MethodPost, "entry") + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)}
	case 3:
		half := len(body) / 2
		return []string{head(http.MethodPost, "entry") + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body[:half], body[half:]}
	case 4:
		return []string{head(http.MethodPost, "entry") + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body), "0\r\n\r\n"}
	case 5:
		return []string{head(http.MethodPost, "entry") + "Content-Length: 100000\r\n\r\n" + strings.Repeat("z", 50_000), strings.Repeat("z", 50_000)}
	default:
		return []string{head(http.MethodGet, "pack") + "\r\n"}
	}
}

// runClient sends requests until done is closed. It uses a connection for up to
// four fifths of the idle limit after each response.
func (s *configSoak) runClient(t *testing.T, r *rand.Rand, name string, done <-chan struct{}) {
	pace := time.NewTicker(2 * time.Millisecond)
	defer pace.Stop()
	var c net.Conn
	var in *bufio.Reader
	var lastSent time.Time
	for n := 0; ; n++ {
		s.mu.Lock()
		pause := time.Duration(r.Float64() * 0.8 * float64(s.idle))
		s.mu.Unlock()
		if r.IntN(2) == 0 {
			pause /= 10
		}
		select {
		case <-done:
			if c != nil {
				_ = c.Close()
			}
			return
		case <-time.After(pause):
		}
		if c == nil {
			var err error
			c, err = net.Dial("tcp", s.mesh.nodes[r.IntN(configSoakNodes)].Settings.CallerAddress)
			assert.Check(t, err)
			in, lastSent = bufio.NewReader(c), time.Time{}
		}
		id := fmt.Sprintf("%s-%d", name, n)
		x, sent, again := exchangeInParts(c, in, r, s.parts(r, id), pace.C)
		if !lastSent.IsZero() {
			x.idle = sent.Sub(lastSent)
		}
		lastSent = sent
		s.mu.Lock()
		s.results[id] = x
		s.mu.Unlock()
		if !again {
			_ = c.Close()
			c = nil
		}
	}
}

// exchangeInParts sends a request and reads the response. It returns when the last
// byte was sent and whether the connection can be used again.
func exchangeInParts(c net.Conn, in *bufio.Reader, r *rand.Rand, parts []string, pace <-chan time.Time) (configSoakResult, time.Time, bool) {
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	var sendErr error
	for i, p := range parts {
		if i > 0 {
			<-time.After(time.Duration(r.IntN(80)) * time.Millisecond)
		}
		if _, err := io.WriteString(c, p); err != nil && sendErr == nil {
			sendErr = err
		}
	}
	sent := time.Now()
	a, err := http.ReadResponse(in, nil)
	for err == nil && a.StatusCode < 200 {
		a, err = http.ReadResponse(in, nil)
	}
	if err == nil {
		var content io.Reader = a.Body
		if a.ContentLength > 64<<10 && r.IntN(2) == 0 {
			content = slowReader{a.Body, pace}
		}
		if _, err = io.Copy(io.Discard, content); err == nil {
			return configSoakResult{status: a.StatusCode, took: time.Since(sent)}, sent, !a.Close && sendErr == nil
		}
	}
	return configSoakResult{err: errors.Join(err, sendErr), took: time.Since(sent)}, sent, false
}

// serve is the handler of the backend servers.
func (s *configSoak) serve(w http.ResponseWriter, r *http.Request) {
	if s.misbehave && misbehave(w, r, rand.New(rand.NewPCG(s.seed, uint64(crc32.ChecksumIEEE([]byte(r.URL.Path)))))) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if !strings.HasPrefix(r.URL.Path, "/pack/") {
		_, _ = io.WriteString(w, "done")
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(configSoakDownload))
	part := make([]byte, configSoakDownload/10)
	pace := time.NewTicker(5 * time.Millisecond)
	defer pace.Stop()
	for range 10 {
		<-pace.C
		_, _ = w.Write(part)
	}
}

// misbehave answers without reading the body, in one of several ways. It returns false
// if the backend server is to behave.
func misbehave(w http.ResponseWriter, r *http.Request, random *rand.Rand) bool {
	content := strings.Repeat("e", random.IntN(20<<10))
	switch random.IntN(12) {
	case 0:
		panic(http.ErrAbortHandler)
	case 1:
		w.Header().Set("Content-Length", fmt.Sprint(len(content)+1))
		_, _ = io.WriteString(w, content)
		panic(http.ErrAbortHandler)
	case 2:
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		_, _ = io.WriteString(w, content)
	case 3, 4:
		c, out, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return true
		}
		_, _ = fmt.Fprintf(out, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", echoedID(r), content)
		_ = out.Flush()
		_ = c.Close()
	default:
		return false
	}
	return true
}

// changeDocument makes a random change of each configuration.
func (s *configSoak) changeDocument(version int) config.Document {
	d, r := testDocument(), s.random
	d.Services = append(d.Services, config.Service{Name: "spare"})
	d.CallerLimits = &config.CallerLimits{IdleMs: 200 + r.IntN(1000)}
	for i := range d.Routes {
		d.Routes[i].TimeoutMs = int(configSoakTimeout.Milliseconds()) + r.IntN(6000)
	}
	switch version % 8 {
	case 0:
		d.Routes = append(d.Routes[:1:1], d.Routes[2:]...)
	case 1:
		for i := range 1400 {
			d.Routes = append(d.Routes, config.Route{VirtualHost: "mesh", Prefix: fmt.Sprintf("/list/x%d/", i), Service: "desk", Kind: config.RouteSafe, TimeoutMs: 3000})
		}
	case 2:
		d.Routes[0].Service, d.Routes[0].Splits = "", []config.Split{{Service: "desk", Weight: 1 + r.IntN(9)}, {Service: "spare", Weight: 1 + r.IntN(3)}}
	case 3:
		d.Accounts[0].Keys = []string{config.DigestOf([]byte("other"))}
	case 4:
		*d.Defaults.Rate, *d.Defaults.Burst = float64(5+r.IntN(100)), 5
	case 5:
		d.CallerLimits.BodyBytes = 2048
	case 6:
		d.Accounts[0].Name = "guild"
	}
	return d
}

// publish publishes configurations in a storm, and takes a zone out at times.
func (s *configSoak) publish() {
	for version := 2; version < 2+configSoakSteps; version++ {
		d := s.changeDocument(version)
		limit := time.Duration(d.CallerLimits.IdleMs) * time.Millisecond
		s.mu.Lock()
		// The limit counts from the sending of the change. A higher one counts once
		// no node has the former one.
		s.idle = min(s.idle, limit)
		s.mu.Unlock()
		zone := fleet.Change{Kind: fleet.ZoneIn, Zone: "surco"}
		if version%5 == 0 {
			zone.Kind = fleet.ZoneOut
		}
		s.mesh.store.publish(&PublishedConfig{Version: uint64(version), Document: d}, zone)
		<-time.After(time.Duration(20+s.random.IntN(260)) * time.Millisecond)
	}
}

// record notes that a node read a request.
func (s *configSoak) record(r *RequestRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted[r.ID] = *r
}

// check compares what the clients received with what the nodes read.
func (s *configSoak) check(t *testing.T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts, crossed := map[int]int{}, 0
	for id, r := range s.accepted {
		assert.Check(t, r.Cut != CutContextEnded && r.Cut != CutPanic && r.Cut != CutBrokeOff, "%s: %+v", id, r)
	}
	for id, x := range s.results {
		counts[x.status]++
		if x.status != 0 {
			continue
		}
		r, read := s.accepted[id]
		switch {
		case !read && x.idle > s.idle:
			crossed++
		case read && len(r.Instances) > 0 && x.took >= configSoakTimeout:
		default:
			t.Errorf("%s ended after %s without a response, idle %s of %s before, read %t, record %+v: %v", id, x.took, x.idle, s.idle, read, r, x.err)
		}
	}
	t.Logf("%d requests by status: %v, %d crossed the close of their connection", len(s.results), counts, crossed)
	ran := counts[http.StatusOK]
	if s.misbehave {
		ran += counts[http.StatusBadGateway]
	}
	assert.Check(t, ran > len(s.results)/4, "%v", counts)
}

func runConfigSoak(t *testing.T, seed uint64, misbehave bool) {
	s := &configSoak{seed: seed, misbehave: misbehave, random: rand.New(rand.NewPCG(seed, 1)), idle: time.Second, accepted: map[string]RequestRecord{}, results: map[string]configSoakResult{}}
	s.mesh = newMesh(t, configSoakNodes)
	for i, n := range s.mesh.nodes {
		s.mesh.backends[i].handle = s.serve
		record := n.callerHandler.recordRequest
		n.callerHandler.recordRequest = func(r *RequestRecord) {
			s.record(r)
			record(r)
		}
	}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i := range configSoakClients {
		r := rand.New(rand.NewPCG(seed, uint64(2+i)))
		clients.Go(func() { s.runClient(t, r, fmt.Sprintf("c%d", i), done) })
	}
	s.publish()
	close(done)
	clients.Wait()
	for _, n := range s.mesh.nodes {
		// A request is recorded after its response.
		waitFor(t, "end of all requests", func() bool { return n.callers.Open() == 0 })
	}
	s.check(t)
}

// Guards against requests that a node read and that got neither a response nor a
// refusal, beside changes of the configuration.
func TestRequestsDuringConfigurationChanges(t *testing.T) {
	for seed := *soakSeed; seed < *soakSeed+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runConfigSoak(t, seed, false) })
	}
}

// Guards against requests that a node read and that got neither a response nor a
// refusal, because their backend server answered early, without length or not at all.
func TestRequestsAtMisbehavingServersDuringConfigurationChanges(t *testing.T) {
	for seed := *soakSeed; seed < *soakSeed+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runConfigSoak(t, seed, true) })
	}
}

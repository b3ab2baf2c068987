package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// laggingReportAge is the minimum age of the state that the health and load
// endpoints report in the mode Lagging, if they were asked that long ago.
const laggingReportAge = 2 * time.Second

// A LoadReport is the JSON answer of the load endpoint, in requests and slots.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
}

// A loadSample is the state of a server at one request to its health or load
// endpoint.
type loadSample struct {
	at      time.Time
	load    LoadReport
	healthy bool
}

// A bootHandler handles the requests to a backend server from one start to its
// end. Requests of an earlier start may still return after a restart; they must
// not change the counts of the new one.
type bootHandler struct {
	server     *BackendServer
	ctx        context.Context // ends when the server stops
	slots      chan struct{}
	bootNumber int
}

// ServeHTTP answers the server's paths:
//
//	GET /healthz   200 or 503
//	GET /load      LoadReport as JSON
//	other paths    runs the request and answers with an Echo
//
// The other paths take these query parameters: size=BYTES sets the length of the
// filler in the answer, ms=N replaces the service time by N milliseconds,
// nest=/PATH,/PATH makes a nested call of the first path through the server's
// own node, with the remaining paths as nest parameter of that call, and
// crash=ACCOUNT crashes the server when the request begins to run, unless it is that
// of another account.
func (h *bootHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		h.serveHealth(w)
	case "/load":
		h.serveLoad(w)
	default:
		h.serveWork(w, r)
	}
}

// takeSample records the present state and returns the state to report in the
// server's health mode.
func (h *bootHandler) takeSample() loadSample {
	b := h.server
	b.mu.Lock()
	defer b.mu.Unlock()
	now := loadSample{time.Now(), LoadReport{b.running, b.waiting, b.Slots}, !b.draining}
	b.recentSamples = append(b.recentSamples, now)
	i := 0
	for i < len(b.recentSamples)-1 && now.at.Sub(b.recentSamples[i+1].at) >= laggingReportAge {
		i++
	}
	b.recentSamples = b.recentSamples[i:]
	switch b.healthMode {
	case AlwaysHealthy:
		return loadSample{now.at, LoadReport{Slots: b.Slots}, true}
	case AlwaysUnhealthy:
		return loadSample{now.at, LoadReport{b.Slots, b.MaxQueued, b.Slots}, false}
	case Lagging:
		return b.recentSamples[0]
	default:
		return now
	}
}

func (h *bootHandler) serveHealth(w http.ResponseWriter) {
	if !h.takeSample().healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (h *bootHandler) serveLoad(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(h.takeSample().load)
}

func (h *bootHandler) serveWork(w http.ResponseWriter, r *http.Request) {
	b := h.server
	b.Executions.CheckForSecrets(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ctx, cancel := withRequestDeadline(r)
	defer cancel()
	if !h.acquireSlot(ctx, w) {
		return
	}
	defer h.releaseSlot()
	b.Executions.RecordStart(r)
	b.mu.Lock()
	slowdown, fallsOver := b.recordStartLocked()
	b.mu.Unlock()
	defer h.recordEnd()
	if fallsOver {
		h.fallOver()
		return
	}
	if a := r.URL.Query().Get("crash"); a != "" && a == r.Header.Get(HeaderAccount) {
		h.crash()
		return
	}
	startedAt := time.Now()
	trialID := r.Header.Get(HeaderTrialID)
	d := b.serviceTime(trialID)
	if ms, err := strconv.Atoi(r.URL.Query().Get("ms")); err == nil {
		d = time.Duration(ms) * time.Millisecond
	}
	if !h.simulateWork(ctx, w, r, time.Duration(float64(d)*slowdown)) {
		return
	}
	e := Echo{TrialID: trialID, Account: r.Header.Get(HeaderAccount), Path: r.URL.Path, Host: b.ID}
	e.FillerBytes, _ = strconv.Atoi(r.URL.Query().Get("size"))
	e.FillerBytes += len(body)
	if nest := r.URL.Query().Get("nest"); nest != "" {
		e.NestedStatus = b.callNested(ctx, r, nest)
		if e.NestedStatus != http.StatusOK {
			http.Error(w, "nested call failed with "+strconv.Itoa(e.NestedStatus), http.StatusInternalServerError)
			return
		}
	}
	e.RunUs = time.Since(startedAt).Microseconds()
	out := e.Encode()
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = w.Write(out)
}

// withRequestDeadline returns the context of a request, bounded by its timeout
// header if there is one.
func withRequestDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	if ms, err := strconv.Atoi(r.Header.Get(HeaderTimeoutMs)); err == nil {
		return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	}
	return r.Context(), func() {}
}

// acquireSlot takes a slot and reports whether it could. It waits if the queue
// has room. If the queue is full or the server drains, it refuses the request
// with 503.
func (h *bootHandler) acquireSlot(ctx context.Context, w http.ResponseWriter) bool {
	b := h.server
	b.mu.Lock()
	b.stats.LastArrive = time.Now()
	b.stats.PeakConnections = max(b.stats.PeakConnections, b.listener.openCount())
	if b.draining {
		b.stats.AfterDrain++
	}
	acquired := false
	if !b.draining {
		select {
		case h.slots <- struct{}{}:
			acquired = true
		default:
		}
	}
	shed := !acquired && (b.draining || b.waiting >= b.MaxQueued)
	if shed {
		b.stats.Shed++
	} else if !acquired {
		b.waiting++
	}
	b.mu.Unlock()
	if acquired {
		return h.ctx.Err() == nil
	}
	if shed {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return false
	}
	select {
	case h.slots <- struct{}{}:
		acquired = true
	case <-ctx.Done():
	case <-h.ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stats.Boots == h.bootNumber {
		b.waiting--
	}
	return acquired && h.ctx.Err() == nil
}

func (h *bootHandler) releaseSlot() { <-h.slots }

// recordEnd counts down the running requests, unless a restart has reset their
// number.
func (h *bootHandler) recordEnd() {
	b := h.server
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stats.Boots == h.bootNumber {
		b.running--
	}
}

// simulateWork waits for the duration. It returns false if the client left, the
// request's deadline passed or the server stopped meanwhile, and answers the
// request in the case of the deadline.
func (h *bootHandler) simulateWork(ctx context.Context, w http.ResponseWriter, r *http.Request, duration time.Duration) bool {
	b := h.server
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-h.ctx.Done():
		return false
	case <-ctx.Done():
	}
	expired := r.Context().Err() == nil
	b.mu.Lock()
	if expired {
		b.stats.Expired++
	} else {
		b.stats.Cancelled++
	}
	b.mu.Unlock()
	if expired {
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
	}
	return false
}

// fallOver stops the server for FallOverDuration. It starts cold afterwards.
func (h *bootHandler) fallOver() {
	b := h.server
	b.mu.Lock()
	if !b.down {
		b.stats.FellOver++
	}
	b.mu.Unlock()
	go func() { _ = b.outage(b.FallOverDuration) }()
	<-h.ctx.Done()
}

// crash stops the server for RestartDuration, as a request that it can't stand does
// with a process that is started again.
func (h *bootHandler) crash() {
	b := h.server
	b.mu.Lock()
	if !b.down {
		b.stats.Crashed++
	}
	b.mu.Unlock()
	go func() { _ = b.Restart() }()
	<-h.ctx.Done()
}

// callNested calls the first of the comma-separated paths through the server's
// own node. It returns the status of the answer, or 502 if no complete answer
// to this call came.
func (b *BackendServer) callNested(ctx context.Context, r *http.Request, paths string) int {
	path, rest, _ := strings.Cut(paths, ",")
	if rest != "" {
		path += "?nest=" + url.QueryEscape(rest)
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.CallerAddress+path, nil)
	if err != nil {
		return http.StatusBadGateway
	}
	q.Header.Set(HeaderCallToken, r.Header.Get(HeaderCallToken))
	nestedTrialID := r.Header.Get(HeaderTrialID) + "/n"
	q.Header.Set(HeaderTrialID, nestedTrialID)
	a, err := b.nestedTransport.RoundTrip(q)
	if err != nil {
		return http.StatusBadGateway
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return http.StatusBadGateway
	}
	if a.StatusCode != http.StatusOK {
		return a.StatusCode
	}
	if e, ok := DecodeEcho(body); !ok || e.TrialID != nestedTrialID || e.Account != r.Header.Get(HeaderAccount) {
		return http.StatusBadGateway
	}
	return http.StatusOK
}

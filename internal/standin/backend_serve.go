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

// lagOfReports is the age of what a lagging health or load endpoint tells.
const lagOfReports = 2 * time.Second

// LoadReport is the JSON answer of the load endpoint.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
}

type sample struct {
	at   time.Time
	load LoadReport
	ok   bool
}

// A boot is one life of a backend server between two restarts.
type boot struct {
	server *BackendServer
	ctx    context.Context
	slots  chan struct{}
	number int
}

// ServeHTTP answers the server's paths:
//
//	GET /healthz   200 or 503
//	GET /load      LoadReport as JSON
//	other paths    runs the request and answers with an Echo
//
// Queries of other paths: size=BYTES is the size of the filler, ms=N replaces
// the service time, nest=/PATH,/PATH calls the first path through the server's
// own node and hands the rest on to that call.
func (t *boot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		t.serveHealth(w)
	case "/load":
		t.serveLoad(w)
	default:
		t.serveWork(w, r)
	}
}

func (t *boot) report() sample {
	b := t.server
	b.mu.Lock()
	defer b.mu.Unlock()
	now := sample{time.Now(), LoadReport{b.running, b.waiting, b.Slots}, !b.draining}
	b.samples = append(b.samples, now)
	i := 0
	for i < len(b.samples)-1 && now.at.Sub(b.samples[i+1].at) >= lagOfReports {
		i++
	}
	b.samples = b.samples[i:]
	switch b.health {
	case AlwaysHealthy:
		return sample{now.at, LoadReport{Slots: b.Slots}, true}
	case AlwaysUnhealthy:
		return sample{now.at, LoadReport{b.Slots, b.MaxQueued, b.Slots}, false}
	case Lagging:
		return b.samples[0]
	default:
		return now
	}
}

func (t *boot) serveHealth(w http.ResponseWriter) {
	if !t.report().ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (t *boot) serveLoad(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(t.report().load)
}

func (t *boot) serveWork(w http.ResponseWriter, r *http.Request) {
	b := t.server
	b.Executions.CheckForSecrets(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ctx, cancel := deadlineOf(r)
	defer cancel()
	if !t.enter(ctx, w) {
		return
	}
	defer t.leave()
	b.Executions.RecordStart(r)
	b.mu.Lock()
	slowdown, falls := b.startLocked()
	b.mu.Unlock()
	defer t.end()
	if falls {
		t.fallOver()
		return
	}
	began := time.Now()
	trial := r.Header.Get(HeaderTrialID)
	d := b.serviceTime(trial)
	if ms, err := strconv.Atoi(r.URL.Query().Get("ms")); err == nil {
		d = time.Duration(ms) * time.Millisecond
	}
	if !t.work(ctx, w, r, time.Duration(float64(d)*slowdown)) {
		return
	}
	e := Echo{TrialID: trial, Account: r.Header.Get(HeaderAccount), Path: r.URL.Path, Host: b.ID}
	e.FillerBytes, _ = strconv.Atoi(r.URL.Query().Get("size"))
	e.FillerBytes += len(body)
	if nest := r.URL.Query().Get("nest"); nest != "" {
		e.NestedStatus = b.call(ctx, r, nest)
		if e.NestedStatus != http.StatusOK {
			http.Error(w, "nested call failed with "+strconv.Itoa(e.NestedStatus), http.StatusInternalServerError)
			return
		}
	}
	e.RunUs = time.Since(began).Microseconds()
	out := e.Encode()
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = w.Write(out)
}

// deadlineOf bounds a request by its deadline header, in milliseconds.
func deadlineOf(r *http.Request) (context.Context, context.CancelFunc) {
	if ms, err := strconv.Atoi(r.Header.Get(HeaderTimeoutMs)); err == nil {
		return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	}
	return r.Context(), func() {}
}

// enter takes a slot, waiting in the short queue, or sheds the request.
func (t *boot) enter(ctx context.Context, w http.ResponseWriter) bool {
	b := t.server
	b.mu.Lock()
	b.stats.LastArrive = time.Now()
	b.stats.PeakConnections = max(b.stats.PeakConnections, b.listener.open())
	if b.draining {
		b.stats.AfterDrain++
	}
	entered := false
	if !b.draining {
		select {
		case t.slots <- struct{}{}:
			entered = true
		default:
		}
	}
	shed := !entered && (b.draining || b.waiting >= b.MaxQueued)
	if shed {
		b.stats.Shed++
	} else if !entered {
		b.waiting++
	}
	b.mu.Unlock()
	if entered {
		return t.ctx.Err() == nil
	}
	if shed {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return false
	}
	select {
	case t.slots <- struct{}{}:
		entered = true
	case <-ctx.Done():
	case <-t.ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stats.Boots == t.number {
		b.waiting--
	}
	return entered && t.ctx.Err() == nil
}

func (t *boot) leave() { <-t.slots }

// end accounts for a request that ended; a restart has set the count back.
func (t *boot) end() {
	b := t.server
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stats.Boots == t.number {
		b.running--
	}
}

// work lets the service time pass. It reports false, after answering where an
// answer is still possible, when the request was cancelled, its deadline
// passed or the server stopped.
func (t *boot) work(ctx context.Context, w http.ResponseWriter, r *http.Request, d time.Duration) bool {
	b := t.server
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.ctx.Done():
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

// fallOver stops the server for FallOver; it starts cold afterwards.
func (t *boot) fallOver() {
	b := t.server
	b.mu.Lock()
	if !b.down {
		b.stats.FellOver++
	}
	b.mu.Unlock()
	go func() { _ = b.outage(b.FallOverDuration) }()
	<-t.ctx.Done()
}

// call makes a nested call through the server's own node and returns its
// status, or 502 when no whole answer came.
func (b *BackendServer) call(ctx context.Context, r *http.Request, nest string) int {
	path, rest, _ := strings.Cut(nest, ",")
	if rest != "" {
		path += "?nest=" + url.QueryEscape(rest)
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.CallerAddress+path, nil)
	if err != nil {
		return http.StatusBadGateway
	}
	q.Header.Set(HeaderCallToken, r.Header.Get(HeaderCallToken))
	trial := r.Header.Get(HeaderTrialID) + "/n"
	q.Header.Set(HeaderTrialID, trial)
	a, err := b.nested.RoundTrip(q)
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
	if e, ok := DecodeEcho(body); !ok || e.TrialID != trial || e.Account != r.Header.Get(HeaderAccount) {
		return http.StatusBadGateway
	}
	return http.StatusOK
}

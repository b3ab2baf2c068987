package experiment

import (
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"quetzaldock.example/quetzaldock/internal/standin"
)

const (
	// callTimeoutMs is the deadline that callers ask for.
	callTimeoutMs = 2000
	// callerPatience is when a caller gives up on an answer; it is longer than
	// the deadline so that late answers are seen.
	callerPatience = callTimeoutMs*time.Millisecond + 500*time.Millisecond
	// maxOutstanding bounds the goroutines of a driver whose fleet has stopped
	// answering.
	maxOutstanding = 20_000
	idlePerHost    = 64
	// refusedAvoid and closeAvoid are how long callers stay away from a host
	// that took no connection, or that asked them to connect elsewhere.
	refusedAvoid = 2 * time.Second
	closeAvoid   = time.Minute
	intruderKey  = "trial-intruder"
	entryBody    = "fields=of,an,entry"
)

// A Driver sends scheduled calls as the callers of the mesh.
type Driver struct {
	Fleet      *Fleet
	Deployment *Deployment
	Arrivals   []Arrival
	Seed       uint64
	// Start is the start of the warm-up; set before Run.
	Start time.Time

	transport *http.Transport
	mu        sync.Mutex
	keys      map[string]string // by account
	barred    map[string]bool   // accounts without a valid key
	avoid     map[string]time.Time
	sent      atomic.Int64
	answered  atomic.Int64
	skipped   atomic.Int64
}

// NewDriver returns a driver whose accounts use the keys.
func NewDriver(f *Fleet, d *Deployment, arrivals []Arrival, seed uint64, keys map[string]string) *Driver {
	v := &Driver{
		Fleet: f, Deployment: d, Arrivals: arrivals, Seed: seed,
		transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost, DisableCompression: true, IdleConnTimeout: 30 * time.Second},
		keys:      map[string]string{}, barred: map[string]bool{}, avoid: map[string]time.Time{},
	}
	for a, k := range keys {
		v.keys[a] = k
	}
	return v
}

// SetKey makes an account use another key from now on.
func (v *Driver) SetKey(account, key string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.keys[account] = key
	delete(v.barred, account)
}

// Bar records that the account's key is withdrawn. The account goes on using
// it.
func (v *Driver) Bar(account string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.barred[account] = true
}

func (v *Driver) key(account string) (key string, barred bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.keys[account], v.barred[account]
}

// pick returns the host to call in place of index host: callers stay away for a
// while from hosts that asked them to connect elsewhere or took no connection.
func (v *Driver) pick(host int) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for i := range v.Fleet.Hosts {
		id := v.Fleet.Hosts[(host+i)%len(v.Fleet.Hosts)].ID
		if !now.Before(v.avoid[id]) {
			return id
		}
	}
	return v.Fleet.Hosts[host].ID
}

func (v *Driver) stayAway(host string, d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.avoid[host] = time.Now().Add(d)
}

// Return makes callers use all hosts again, as the lists they get their
// addresses from do once a zone or host is back in.
func (v *Driver) Return() {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.avoid)
}

// Since is the time since the start of the warm-up.
func (v *Driver) Since() time.Duration { return time.Since(v.Start) }

// Run sends every call at its time and returns the results once all calls
// have ended. Calls scheduled after ctx ends are not sent.
func (v *Driver) Run(ctx context.Context) []Result {
	defer v.transport.CloseIdleConnections()
	n := len(v.Arrivals)
	results := make([]Result, 2*n) // the second half is for repetitions
	var wg sync.WaitGroup
	for i := range v.Arrivals {
		a := &v.Arrivals[i]
		if !sleepUntil(ctx, v.Start.Add(a.At)) {
			break
		}
		if v.sent.Load()-v.answered.Load() > maxOutstanding {
			v.skipped.Add(1)
			continue
		}
		v.sent.Add(1)
		wg.Go(func() {
			defer v.answered.Add(1)
			v.send(a, a.Host, &results[i])
		})
		if a.RepeatHost >= 0 {
			wg.Go(func() {
				results[n+i].Repetition = true
				v.send(a, a.RepeatHost, &results[n+i])
			})
		}
	}
	wg.Wait()
	out := results[:0]
	for _, r := range results {
		if r.Arrival != nil {
			out = append(out, r)
		}
	}
	return out
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send makes one call and records what became of it.
func (v *Driver) send(a *Arrival, host int, r *Result) {
	d := v.Deployment
	route, account := &d.Routes[a.Route], d.Accounts[a.Account].Name
	key, barred := v.key(account)
	r.Arrival, r.Class, r.Account, r.Ingress = a, route.Class, account, v.pick(host)
	r.Charged, r.Keyed, r.Entitled = !route.Open, route.NeedsKey(), route.Open || !barred
	if a.Intruder {
		key, r.Charged, r.Entitled = intruderKey, false, false
	}
	r.Sent = v.Since()
	// A started call ends by its own deadline, not with the run: how it ends
	// is part of the measurement.
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, route.Method, "http://"+v.Fleet.Caller(r.Ingress)+a.Path(d), nil)
	if err != nil {
		r.Outcome = Failed
		return
	}
	// http.Transport sends a request again by itself only if it can read the
	// body again. Here it cannot, so every doubled run is the mesh's.
	q.Body = io.NopCloser(io.LimitReader(strings.NewReader(entryBody), 0))
	if route.Method == http.MethodPost {
		q.Body, q.ContentLength = io.NopCloser(strings.NewReader(entryBody)), int64(len(entryBody))
	}
	q.Header.Set(standin.HeaderTrialID, a.Trial)
	q.Header.Set(standin.HeaderTimeoutMs, strconv.Itoa(callTimeoutMs))
	if !route.Open {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	if r.Keyed {
		q.Header.Set(standin.HeaderIdempotencyKey, v.idempotencyKey(a))
	}
	v.exchange(q, r)
}

func (v *Driver) exchange(q *http.Request, r *Result) {
	a, err := v.transport.RoundTrip(q)
	if err != nil {
		r.Done = v.Since()
		r.classifyError(err)
		if r.Outcome == Refused {
			v.stayAway(r.Ingress, refusedAvoid)
		}
		return
	}
	if a.Close {
		v.stayAway(r.Ingress, closeAvoid)
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	r.Done = v.Since()
	if err != nil {
		r.classifyError(err)
		return
	}
	r.classify(a, body, q.URL.Path)
}

// idempotencyKey returns a UUIDv7 of the call's scheduled time whose other
// bits follow the seed, the same for a repetition.
func (v *Driver) idempotencyKey(a *Arrival) string {
	r := rand.New(rand.NewPCG(v.Seed, xxhash.Sum64String(a.Trial)))
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(v.Start.Add(a.At).UnixMilli())<<16|r.Uint64()&0xffff)
	binary.BigEndian.PutUint64(u[8:], r.Uint64())
	u[6] = u[6]&0x0f | 0x70
	u[8] = u[8]&0x3f | 0x80
	return u.String()
}

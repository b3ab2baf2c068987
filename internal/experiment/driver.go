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
	callerTimeout = callTimeoutMs*time.Millisecond + 500*time.Millisecond
	// maxOutstanding bounds the goroutines of a driver whose fleet has stopped
	// answering.
	maxRunningCalls     = 20_000
	maxIdleConnsPerHost = 64
	// refusedAvoid and closeAvoid are how long callers stay away from a host
	// that took no connection, or that asked them to connect elsewhere.
	avoidAfterRefusal = 2 * time.Second
	avoidAfterClose   = time.Minute
	intruderKey       = "trial-intruder"
	entryBody         = "fields=of,an,entry"
)

// A Driver sends scheduled calls as the callers of the mesh.
type Driver struct {
	Fleet      *Fleet
	Deployment *Deployment
	Calls      []ScheduledCall
	Seed       uint64
	// Start is the start of the warm-up; set before Run.
	Start time.Time

	transport    *http.Transport
	mu           sync.Mutex
	keys         map[string]string // by account
	withdrawn    map[string]bool   // accounts without a valid key
	avoidUntil   map[string]time.Time
	sentCalls    atomic.Int64
	endedCalls   atomic.Int64
	skippedCalls atomic.Int64
}

// NewDriver returns a driver whose accounts use the keys.
func NewDriver(f *Fleet, d *Deployment, calls []ScheduledCall, seed uint64, keys map[string]string) *Driver {
	v := &Driver{
		Fleet: f, Deployment: d, Calls: calls, Seed: seed,
		transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true, IdleConnTimeout: 30 * time.Second},
		keys:      map[string]string{}, withdrawn: map[string]bool{}, avoidUntil: map[string]time.Time{},
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
	delete(v.withdrawn, account)
}

// Bar records that the account's key is withdrawn. The account goes on using
// it.
func (v *Driver) MarkKeyWithdrawn(account string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.withdrawn[account] = true
}

func (v *Driver) key(account string) (key string, withdrawn bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.keys[account], v.withdrawn[account]
}

// pick returns the host to call in place of index host: callers stay away for a
// while from hosts that asked them to connect elsewhere or took no connection.
func (v *Driver) chooseHost(index int) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for i := range v.Fleet.Hosts {
		id := v.Fleet.Hosts[(index+i)%len(v.Fleet.Hosts)].ID
		if !now.Before(v.avoidUntil[id]) {
			return id
		}
	}
	return v.Fleet.Hosts[index].ID
}

func (v *Driver) avoidHost(host string, d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.avoidUntil[host] = time.Now().Add(d)
}

// Return makes callers use all hosts again, as the lists they get their
// addresses from do once a zone or host is back in.
func (v *Driver) ClearAvoidedHosts() {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.avoidUntil)
}

// Since is the time since the start of the warm-up.
func (v *Driver) Elapsed() time.Duration { return time.Since(v.Start) }

// Run sends every call at its time and returns the results once all calls
// have ended. Calls scheduled after ctx ends are not sent.
func (v *Driver) Run(ctx context.Context) []Result {
	defer v.transport.CloseIdleConnections()
	n := len(v.Calls)
	results := make([]Result, 2*n) // the second half is for repetitions
	var wg sync.WaitGroup
	for i := range v.Calls {
		c := &v.Calls[i]
		if !sleepUntil(ctx, v.Start.Add(c.At)) {
			break
		}
		if v.sentCalls.Load()-v.endedCalls.Load() > maxRunningCalls {
			v.skippedCalls.Add(1)
			continue
		}
		v.sentCalls.Add(1)
		wg.Go(func() {
			defer v.endedCalls.Add(1)
			v.send(c, c.HostIndex, &results[i])
		})
		if c.RepeatHostIndex >= 0 {
			wg.Go(func() {
				results[n+i].Repetition = true
				v.send(c, c.RepeatHostIndex, &results[n+i])
			})
		}
	}
	wg.Wait()
	out := results[:0]
	for _, r := range results {
		if r.Call != nil {
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
func (v *Driver) send(c *ScheduledCall, hostIndex int, r *Result) {
	d := v.Deployment
	route, account := &d.Routes[c.RouteIndex], d.Accounts[c.AccountIndex].Name
	key, withdrawn := v.key(account)
	r.Call, r.Class, r.Account, r.IngressHost = c, route.Class, account, v.chooseHost(hostIndex)
	r.UsesAccountKey, r.AtMostOnce, r.Authorized = !route.Open, route.NeedsIdempotencyKey(), route.Open || !withdrawn
	if c.Intruder {
		key, r.UsesAccountKey, r.Authorized = intruderKey, false, false
	}
	r.SentAt = v.Elapsed()
	// A started call ends by its own deadline, not with the run: how it ends
	// is part of the measurement.
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, route.Method, "http://"+v.Fleet.CallerAddressOf(r.IngressHost)+c.Path(d), nil)
	if err != nil {
		r.Outcome = OutcomeFailed
		return
	}
	// http.Transport sends a request again by itself only if it can read the
	// body again. Here it cannot, so every doubled run is the mesh's.
	q.Body = io.NopCloser(io.LimitReader(strings.NewReader(entryBody), 0))
	if route.Method == http.MethodPost {
		q.Body, q.ContentLength = io.NopCloser(strings.NewReader(entryBody)), int64(len(entryBody))
	}
	q.Header.Set(standin.HeaderTrialID, c.TrialID)
	q.Header.Set(standin.HeaderTimeoutMs, strconv.Itoa(callTimeoutMs))
	if !route.Open {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	if r.AtMostOnce {
		q.Header.Set(standin.HeaderIdempotencyKey, v.idempotencyKey(c))
	}
	v.exchange(q, r)
}

func (v *Driver) exchange(q *http.Request, r *Result) {
	a, err := v.transport.RoundTrip(q)
	if err != nil {
		r.DoneAt = v.Elapsed()
		r.classifyError(err)
		if r.Outcome == OutcomeRefused {
			v.avoidHost(r.IngressHost, avoidAfterRefusal)
		}
		return
	}
	if a.Close {
		v.avoidHost(r.IngressHost, avoidAfterClose)
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	r.DoneAt = v.Elapsed()
	if err != nil {
		r.classifyError(err)
		return
	}
	r.classify(a, body, q.URL.Path)
}

// idempotencyKey returns a UUIDv7 of the call's scheduled time whose other
// bits follow the seed, the same for a repetition.
func (v *Driver) idempotencyKey(c *ScheduledCall) string {
	r := rand.New(rand.NewPCG(v.Seed, xxhash.Sum64String(c.TrialID)))
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(v.Start.Add(c.At).UnixMilli())<<16|r.Uint64()&0xffff)
	binary.BigEndian.PutUint64(u[8:], r.Uint64())
	u[6] = u[6]&0x0f | 0x70
	u[8] = u[8]&0x3f | 0x80
	return u.String()
}

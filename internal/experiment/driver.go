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
	// callTimeoutMs is the timeout that callers request from the mesh.
	callTimeoutMs = 2000
	// callerTimeout is when a caller stops waiting for an answer. It exceeds
	// callTimeoutMs so that late answers are counted.
	callerTimeout = callTimeoutMs*time.Millisecond + 500*time.Millisecond
	// maxRunningCalls limits the goroutines when the fleet does not answer.
	maxRunningCalls     = 20_000
	maxIdleConnsPerHost = 64
	// avoidAfterRefusal and avoidAfterClose are how long callers do not call a
	// host that accepted no connection, or that asked them with
	// "Connection: close" to connect elsewhere.
	avoidAfterRefusal = 2 * time.Second
	avoidAfterClose   = time.Minute
	intruderKey       = "trial-intruder"
	entryBody         = "fields=of,an,entry"
)

// A Driver sends the scheduled calls to the fleet, as callers outside of the
// mesh do.
type Driver struct {
	Fleet      *Fleet
	Deployment *Deployment
	Calls      []ScheduledCall
	Seed       uint64
	// Start is the start of the warm-up; it must be set before Run.
	Start time.Time

	transport    *http.Transport
	mu           sync.Mutex
	keys         map[string]string    // by account
	withdrawn    map[string]bool      // by account
	avoidUntil   map[string]time.Time // by host
	sentCalls    atomic.Int64
	endedCalls   atomic.Int64
	skippedCalls atomic.Int64
}

// NewDriver returns a driver that uses the given account keys.
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

// MarkKeyWithdrawn records that the account's key is withdrawn. The account
// continues to use it, but its calls no longer count as authorized.
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

// chooseHost returns the first host from index on that is not avoided, or the
// host at index if all are.
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

// ClearAvoidedHosts makes callers use all hosts again. It imitates the address
// list of the callers, which contains a zone or host again once it is back in
// service.
func (v *Driver) ClearAvoidedHosts() {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.avoidUntil)
}

// Elapsed returns the time since the start of the warm-up.
func (v *Driver) Elapsed() time.Duration { return time.Since(v.Start) }

// Run sends every call at its scheduled time and returns the results once all
// calls have ended. Calls scheduled after the end of ctx are not sent.
func (v *Driver) Run(ctx context.Context) []Result {
	defer v.transport.CloseIdleConnections()
	n := len(v.Calls)
	results := make([]Result, 2*n) // the second half is for second sendings
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

// sleepUntil waits until t; it returns false if ctx ends before.
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

// send makes one call and fills in its result.
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
	// A call that was sent ends by its own timeout and not with the run, because
	// its outcome is part of the measurement.
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, route.Method, "http://"+v.Fleet.CallerAddressOf(r.IngressHost)+c.Path(d), nil)
	if err != nil {
		r.Outcome = OutcomeFailed
		return
	}
	// http.Transport retries a request only if it can read the body again. Here
	// it cannot, so a request that runs twice was repeated by the mesh.
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

// exchange sends the request, reads the whole answer and classifies it.
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

// idempotencyKey returns a UUIDv7 with the call's scheduled time and random bits
// derived from the seed, so that both sendings of a call have the same key.
func (v *Driver) idempotencyKey(c *ScheduledCall) string {
	r := rand.New(rand.NewPCG(v.Seed, xxhash.Sum64String(c.TrialID)))
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(v.Start.Add(c.At).UnixMilli())<<16|r.Uint64()&0xffff)
	binary.BigEndian.PutUint64(u[8:], r.Uint64())
	u[6] = u[6]&0x0f | 0x70
	u[8] = u[8]&0x3f | 0x80
	return u.String()
}

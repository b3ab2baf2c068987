package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/standin"
)

// traffic makes calls at a steady rate and records their results. A caller sends
// its request to another host, with the same Idempotency-Key, if the answer says
// that the request did not run or if no connection could be made.
type traffic struct {
	m       *mesh
	client  *http.Client
	account string

	mu           sync.Mutex
	random       *rand.Rand
	trials       []*trial
	trialCount   atomic.Int64
	idPrefix     string
	skippedHosts map[*meshHost]bool // hosts to which no trial is sent
}

// A trial is one request of a caller, with all its attempts at several hosts.
type trial struct {
	id, method, account, key string // key is the Idempotency-Key, if any
	// notRunAttempts counts the attempts refused as not run, unsentAttempts
	// those that got no connection.
	notRunAttempts, unsentAttempts, attemptCount int
	// status is the HTTP status of the last answer, 0 without one.
	status int
	// complete says that the last answer was complete and the trial's own.
	complete bool
	failure  string
	// startSecond is when the trial began, in whole seconds of the run.
	startSecond int
}

// An attempt is the result of sending a trial to one host.
type attempt struct {
	status       int
	notRunReason string
	unsent       bool
	complete     bool
	err          error
}

func newTraffic(m *mesh, seed uint64) *traffic {
	return &traffic{
		m: m, account: "club-a", random: rand.New(rand.NewPCG(seed, 1)), idPrefix: fmt.Sprintf("s%d", seed), skippedHosts: map[*meshHost]bool{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
}

func (c *traffic) newTrial(method, account string) *trial {
	t := &trial{id: fmt.Sprintf("%s-%d", c.idPrefix, c.trialCount.Add(1)), method: method, account: account}
	if method == http.MethodPost {
		k, err := uuid.NewV7()
		assert.Check(c.m.t, err)
		t.key = k.String()
	}
	return t
}

// attempt sends a trial to one host.
func (c *traffic) attempt(h *meshHost, t *trial) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, t.method, "http://"+h.settings.CallerAddress+"/entries/1", nil)
	assert.Check(c.m.t, err)
	r.Header.Set("Authorization", "Bearer "+c.m.accountKeys[t.account])
	r.Header.Set(standin.HeaderTrialID, t.id)
	if t.key != "" {
		r.Header.Set(standin.HeaderIdempotencyKey, t.key)
		// A body that net/http cannot rewind keeps it from resending the
		// request by itself.
		r.Body = io.NopCloser(http.NoBody)
	}
	connected := false
	r = r.WithContext(withConnectionTrace(ctx, &connected))
	a, err := c.client.Do(r)
	if err != nil {
		return attempt{unsent: !connected, err: err}
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	e, complete := standin.DecodeEcho(b)
	return attempt{
		status: a.StatusCode, notRunReason: a.Header.Get(standin.HeaderNotRun), err: err,
		complete: complete && err == nil && e.TrialID == t.id && e.Account == t.account,
	}
}

// call sends a trial to one host after another, in random order, until one
// answers or it is unknown whether the request ran.
func (c *traffic) call(t *trial) {
	c.mu.Lock()
	order := c.random.Perm(len(c.m.hosts))
	c.trials = append(c.trials, t)
	skipped := c.skippedHosts
	c.mu.Unlock()
	for _, i := range order {
		h := c.m.hosts[i]
		if skipped[h] {
			continue
		}
		a := c.attempt(h, t)
		t.attemptCount++
		t.status, t.complete = a.status, a.complete
		if a.err != nil {
			t.failure = a.err.Error()
		}
		switch {
		case a.unsent:
			t.unsentAttempts++
		case a.notRunReason != "":
			t.notRunAttempts++
			t.failure = a.notRunReason
		default:
			return
		}
	}
}

// run makes calls for the duration, half of them non-idempotent, and returns the
// trials once all have ended.
func (c *traffic) run(perSecond int, duration time.Duration) []*trial {
	c.mu.Lock()
	c.trials = nil
	c.mu.Unlock()
	var w sync.WaitGroup
	end := time.Now().Add(duration)
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for i := 0; time.Now().Before(end); i++ {
		<-tick.C
		method := http.MethodGet
		if i%2 == 0 {
			method = http.MethodPost
		}
		t := c.newTrial(method, c.account)
		t.startSecond = int(time.Since(end.Add(-duration)).Seconds())
		w.Go(func() { c.call(t) })
	}
	w.Wait()
	return c.trials
}

// checkPromises checks the promises that hold for every trial during any fault.
func (c *traffic) checkPromises(trials []*trial) {
	t := c.m.t
	t.Helper()
	for _, x := range trials {
		n := c.m.executions.CountForTrial(x.id)
		if x.method == http.MethodPost {
			assert.Check(t, n <= 1, "P12: non-idempotent trial %s ran %d times", x.id, n)
		}
		if x.notRunAttempts+x.unsentAttempts == x.attemptCount && x.notRunAttempts > 0 {
			assert.Check(t, n == 0, "P11: trial %s ran %d times though all attempts say not run (%s)", x.id, n, x.failure)
		}
		if x.status == http.StatusOK {
			assert.Check(t, x.complete, "P10: trial %s got an incomplete answer or that of another request", x.id)
			assert.Check(t, n >= 1, "P10: trial %s was answered without having run", x.id)
		}
	}
	assert.Check(t, c.m.executions.LeakedRequestCount() == 0, "P7: a key reached a backend server")
}

// countServed returns the number of trials with a complete answer of status 200.
func countServed(trials []*trial) int {
	n := 0
	for _, x := range trials {
		if x.status == http.StatusOK && x.complete {
			n++
		}
	}
	return n
}

// countFailures counts the trials without status 200 by method, status, failure
// and second.
func countFailures(trials []*trial) map[string]int {
	f := map[string]int{}
	for _, x := range trials {
		if x.status != http.StatusOK {
			f[fmt.Sprintf("%s %d %.60s at %d s", x.method, x.status, x.failure, x.startSecond)]++
		}
	}
	return f
}

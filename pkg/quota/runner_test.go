package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// A runnerNetwork connects runners by direct calls.
type runnerNetwork struct {
	mu      sync.Mutex
	runners map[string]*Runner
	down    map[string]bool
}

func (f *runnerNetwork) call(from string) func(context.Context, hosts.Host, Report) (Reply, error) {
	return func(ctx context.Context, to hosts.Host, r Report) (Reply, error) {
		f.mu.Lock()
		t, down := f.runners[to.ID], f.down[to.ID] || f.down[from]
		f.mu.Unlock()
		if down {
			return Reply{}, ErrNoParent.New("%s is down", to.ID)
		}
		return t.HandleReport(ctx, from, r)
	}
}

// Guards against runners that do not move quota to the host where requests come
// in. With a burst of 5 over 6 hosts, no share holds a whole token. The hosts'
// clocks start 20 s in the past so that the wait after a start ends at once.
func TestRunnersAssembleWholeTokens(t *testing.T) {
	defer goleak.VerifyNone(t)
	s := snapshot(1, hostIDs(6), map[string]accountLimit{"club": {50, 5}})
	l := &hosts.List{Revision: 1}
	for id := range s.Hosts {
		l.Hosts = append(l.Hosts, hosts.Host{ID: id, Zone: "z", State: hosts.Live})
	}
	p := hosts.NewPlacement(l)
	f := &runnerNetwork{runners: map[string]*Runner{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	past := time.Now().Add(-20 * time.Second)
	var started atomic.Bool
	now := func() time.Time {
		if !started.Load() {
			return past
		}
		return time.Now()
	}
	for _, h := range l.Hosts {
		r := &Runner{
			Self:      h,
			Limiter:   &Limiter{Now: now},
			Broker:    &Broker{Now: now},
			Call:      f.call(h.ID),
			Placement: func() *hosts.Placement { return p },
			Snapshot:  func() *config.Snapshot { return s },
		}
		r.Init()
		r.Limiter.Configure(s, h.ID)
		f.runners[h.ID] = r
	}
	started.Store(true)
	for _, r := range f.runners {
		wg.Go(func() { r.Run(ctx) })
	}
	admitted := 0
	for i := 0; i < 8000 && admitted < 20; i++ {
		if f.runners["h-0000"].Limiter.TakeWait(ctx, "club", time.Now().Add(time.Second)) {
			admitted++
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	wg.Wait()
	assert.Equal(t, admitted, 20)
}

// Guards against admissions that rely on the confirmation of a version that the
// Limiter does not have yet, and against a Runner that ignores the MayAdmit that
// the Limiter had before.
func TestRunnerAllowsOnlyTheSnapshotInForce(t *testing.T) {
	current := snapshot(1, hostIDs(1), map[string]accountLimit{"club": {50, 5}})
	past := time.Now().Add(-20 * time.Second)
	now := past
	fresh := true
	r := &Runner{
		Self:      hosts.Host{ID: "h-0000"},
		Limiter:   &Limiter{Now: func() time.Time { return now }, MayAdmit: func(time.Time) bool { return fresh }},
		Broker:    &Broker{Now: func() time.Time { return now }},
		Placement: func() *hosts.Placement { return nil },
		Snapshot:  func() *config.Snapshot { return current },
	}
	r.Init()
	r.configure()
	now = past.Add(20 * time.Second)
	r.Limiter.Tick()
	now = now.Add(time.Second)
	assert.Assert(t, r.Limiter.Take("club"))
	fresh = false
	assert.Assert(t, !r.Limiter.Take("club"))
	fresh = true
	current = snapshot(2, hostIDs(1), map[string]accountLimit{"club": {50, 5}})
	assert.Assert(t, !r.Limiter.Take("club"))
	r.configure()
	assert.Assert(t, r.Limiter.Take("club"))
}

// Guards against quota that is lost for seconds at a planned stop of a broker.
func TestLeavingBrokerGivesDepositsBack(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	clock := func() time.Time { return now }
	s := snapshot(1, hostIDs(2), map[string]accountLimit{"club": {100, 50}, "vets": {10, 10}})
	b := &Broker{Now: clock}
	l := &Limiter{Now: clock}
	exchange := func() Reply {
		r, ok := l.NextReport("p")
		assert.Assert(t, ok)
		reply, _ := b.HandleReport("h-0000", r)
		l.HandleReply("p", reply)
		return reply
	}
	l.Start()
	l.Configure(s, "h-0000")
	now = now.Add(20 * time.Second)
	l.Tick()
	now = now.Add(time.Second)
	for range 3 {
		exchange()
		now = now.Add(time.Second)
	}
	capacity := func() float64 { return l.States()[0].Capacity + l.States()[1].Capacity }
	assert.Equal(t, capacity(), 0.0)
	b.Leave()
	for range leavingReports {
		assert.Assert(t, exchange().Leaving)
	}
	assert.Equal(t, capacity(), 30.0)
}

// Guards against tokens of a late reply that are added after its loan has ended.
func TestLateReplyBringsNoTokens(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	clock := func() time.Time { return now }
	s := snapshot(1, hostIDs(2), map[string]accountLimit{"club": {50, 5}})
	b := &Broker{Now: clock}
	lender, borrower := &Limiter{Now: clock}, &Limiter{Now: clock}
	exchange := func(l *Limiter, id string) Reply {
		r, ok := l.NextReport("p")
		assert.Assert(t, ok)
		reply, _ := b.HandleReport(id, r)
		return reply
	}
	lender.Start()
	borrower.Start()
	lender.Configure(s, "h-0000")
	now = now.Add(20 * time.Second)
	lender.Tick()
	now = now.Add(time.Second)
	borrower.Configure(s, "h-0009")
	for range 2 {
		lender.HandleReply("p", exchange(lender, "h-0000"))
	}
	borrower.HandleReply("p", exchange(borrower, "h-0009"))
	assert.Assert(t, !borrower.Take("club"))
	late := exchange(borrower, "h-0009")
	assert.Equal(t, late.Entries[0].Tokens, OneToken)
	now = now.Add(TokenLoanTerm)
	borrower.HandleReply("p", late)
	a := borrower.allAccounts()["club"]
	assert.Equal(t, a.bucket.tokens, 0.0)
	assert.Assert(t, !borrower.Take("club"))
}

package fairadmission

import (
	"context"
	"errors"
	"flag"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

// TestMain fixes the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	os.Exit(m.Run())
}

// clock is a fake clock.
type clock struct{ t time.Time }

func newClock() *clock { return &clock{time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)} }

func (c *clock) now() time.Time { return c.t }

func (c *clock) add(d time.Duration) time.Time {
	c.t = c.t.Add(d)
	return c.t
}

// newGate returns a gate with a fake clock that is warm unless cold is less
// than slots.
func newGate(slots, cold int) (*Controller, *clock) {
	c := newClock()
	g := New()
	g.Now = c.now
	g.Configure(Limits{Slots: slots, ColdSlots: cold, ConnectionsPerSecond: 100, QueuePerAccount: 64})
	g.ServerRestarted("test")
	return g, c
}

func reason(t *testing.T, err error) Reason {
	t.Helper()
	var r *Refusal
	assert.Assert(t, errors.As(err, &r), "%v is no refusal", err)
	assert.Assert(t, errorx.IsOfType(errors.Unwrap(err), NotRun))
	return r.Reason
}

// Guards against waiting calls that are lost, or run late, when the gate
// closes or the caller gives up.
func TestWaitingCallsAreRefusedAsNotRun(t *testing.T) {
	for _, c := range []struct {
		want Reason
		end  func(g *Controller, c *clock, cancel func())
	}{
		{ZoneOut, func(g *Controller, _ *clock, _ func()) { g.SetState(StateZoneOut) }},
		{Leaving, func(g *Controller, _ *clock, _ func()) { g.SetState(StateLeaving) }},
		{Canceled, func(_ *Controller, _ *clock, cancel func()) { cancel() }},
		{Late, func(g *Controller, c *clock, _ func()) { g.Tick(c.t.Add(time.Hour)) }},
	} {
		g, clk := newGate(1, 1)
		running, _, err := g.Offer(Request{Account: "a"})
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		got := make(chan error, 1)
		go func() {
			_, err := g.Admit(ctx, Request{Account: "a", Deadline: clk.t.Add(time.Hour)})
			got <- err
		}()
		for g.Load().Queued == 0 {
			time.Sleep(time.Millisecond)
		}
		c.end(g, clk, cancel)
		assert.Equal(t, reason(t, <-got), c.want)
		assert.Equal(t, g.Load().Queued, 0)
		running.Release(Succeeded)
		assert.Equal(t, g.Load().Running, 0)
		cancel()
	}
}

// Guards against slots that are lost, and goroutines that stay, when callers
// give up at the same time as slots become free.
func TestEnterLosesNoSlot(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := New()
	g.Configure(Limits{Slots: 3, ColdSlots: 3, QueuePerAccount: 1000})
	var running, over atomic.Int64
	var all sync.WaitGroup
	for i := range 64 {
		all.Go(func() {
			r := rand.New(rand.NewPCG(1, uint64(i)))
			for range 50 {
				ctx, cancel := context.WithCancel(context.Background())
				wait := time.Duration(r.IntN(300)) * time.Microsecond
				timer := time.AfterFunc(wait, cancel)
				c := Request{Account: string(rune('a' + i%4))}
				if r.IntN(2) == 0 {
					c.Deadline = time.Now().Add(wait)
				}
				if ticket, err := g.Admit(ctx, c); err == nil {
					if running.Add(1) > 3 {
						over.Add(1)
					}
					running.Add(-1)
					ticket.Release(Succeeded)
				}
				timer.Stop()
				cancel()
			}
		})
	}
	all.Wait()
	assert.Equal(t, over.Load(), int64(0))
	assert.DeepEqual(t, g.Load(), Load{Permits: 3})
}

// Guards against a gate that starts below what a cold server bears, or that
// changes a warm limit with each configuration.
func TestConfigureKeepsTheLimit(t *testing.T) {
	g := New()
	assert.Equal(t, g.Load().Permits, 1)
	for _, c := range []struct{ slots, cold, want int }{{12, 2, 2}, {18, 3, 3}, {2, 1, 2}, {12, 1, 2}, {0, 0, 1}} {
		g.Configure(Limits{Slots: c.slots, ColdSlots: c.cold})
		assert.Equal(t, g.Load().Permits, c.want)
	}
}

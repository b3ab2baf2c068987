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

// A clock is a fake clock.
type clock struct{ t time.Time }

func newClock() *clock { return &clock{time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)} }

func (c *clock) now() time.Time { return c.t }

func (c *clock) advance(d time.Duration) time.Time {
	c.t = c.t.Add(d)
	return c.t
}

// newController returns a controller on a fake clock. It starts at the limit of
// cold requests.
func newController(slots, cold int) (*Controller, *clock) {
	c := newClock()
	ctl := New()
	ctl.Now = c.now
	ctl.Configure(Limits{Slots: slots, ColdSlots: cold, ConnectionsPerSecond: 100, QueuePerAccount: 64})
	ctl.ServerRestarted("test")
	return ctl, c
}

func refusalReason(t *testing.T, err error) Reason {
	t.Helper()
	var r *Refusal
	assert.Assert(t, errors.As(err, &r), "%v is no refusal", err)
	assert.Assert(t, errorx.IsOfType(errors.Unwrap(err), NotRun))
	return r.Reason
}

// Guards against waiting requests that are lost, or run late, after the
// controller closes, the caller cancels or the deadline passes.
func TestWaitingCallsAreRefusedAsNotRun(t *testing.T) {
	for _, c := range []struct {
		want Reason
		end  func(ctl *Controller, c *clock, cancel func())
	}{
		{ZoneOut, func(ctl *Controller, _ *clock, _ func()) { ctl.SetState(StateZoneOut) }},
		{Leaving, func(ctl *Controller, _ *clock, _ func()) { ctl.SetState(StateLeaving) }},
		{Canceled, func(_ *Controller, _ *clock, cancel func()) { cancel() }},
		{Late, func(ctl *Controller, c *clock, _ func()) { ctl.Tick(c.t.Add(time.Hour)) }},
	} {
		ctl, clk := newController(1, 1)
		running, _, err := ctl.Offer(Request{Account: "a"})
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		got := make(chan error, 1)
		go func() {
			_, err := ctl.Admit(ctx, Request{Account: "a", Deadline: clk.t.Add(time.Hour)})
			got <- err
		}()
		for ctl.Load().Queued == 0 {
			time.Sleep(time.Millisecond)
		}
		c.end(ctl, clk, cancel)
		assert.Equal(t, refusalReason(t, <-got), c.want)
		assert.Equal(t, ctl.Load().Queued, 0)
		running.Release(Succeeded)
		assert.Equal(t, ctl.Load().Running, 0)
		cancel()
	}
}

// Guards against lost slots and leaked goroutines when callers cancel at the same
// time as slots become free.
func TestAdmitLosesNoSlot(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctl := New()
	ctl.Configure(Limits{Slots: 3, ColdSlots: 3, QueuePerAccount: 1000})
	var running, over atomic.Int64
	var all sync.WaitGroup
	for i := range 64 {
		all.Go(func() {
			r := rand.New(rand.NewPCG(1, uint64(i)))
			for range 50 {
				ctx, cancel := context.WithCancel(context.Background())
				wait := time.Duration(r.IntN(300)) * time.Microsecond
				timer := time.AfterFunc(wait, cancel)
				req := Request{Account: string(rune('a' + i%4))}
				if r.IntN(2) == 0 {
					req.Deadline = time.Now().Add(wait)
				}
				if slot, err := ctl.Admit(ctx, req); err == nil {
					if running.Add(1) > 3 {
						over.Add(1)
					}
					running.Add(-1)
					slot.Release(Succeeded)
				}
				timer.Stop()
				cancel()
			}
		})
	}
	all.Wait()
	assert.Equal(t, over.Load(), int64(0))
	assert.DeepEqual(t, ctl.Load(), Load{Permits: 3})
}

// Guards against a controller that starts below ColdSlots, and against a
// configuration that changes the current limit without need.
func TestConfigureKeepsTheLimit(t *testing.T) {
	ctl := New()
	assert.Equal(t, ctl.Load().Permits, 1)
	for _, c := range []struct{ slots, cold, want int }{{12, 2, 2}, {18, 3, 3}, {2, 1, 2}, {12, 1, 2}, {0, 0, 1}} {
		ctl.Configure(Limits{Slots: c.slots, ColdSlots: c.cold})
		assert.Equal(t, ctl.Load().Permits, c.want)
	}
}

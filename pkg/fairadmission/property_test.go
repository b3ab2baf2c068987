package fairadmission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against lost, duplicated and late requests in any order of events: every
// request gets one slot or one refusal, none starts while the controller is closed
// or past its deadline, and none waits while a slot is free.
func TestControllerInvariantsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		ctl, c := newController(4, 1)
		var waiting []*PendingRequest
		var running []*Slot
		state := StateOpen
		collectAdmitted := func() {
			var stillWaiting []*PendingRequest
			for _, p := range waiting {
				select {
				case <-p.Ready():
					slot, err := p.Result()
					assert.Assert(r, (slot == nil) != (err == nil))
					if slot != nil {
						assert.Assert(r, state == StateOpen && c.t.Before(p.request.Deadline))
						running = append(running, slot)
					}
				default:
					stillWaiting = append(stillWaiting, p)
				}
			}
			waiting = stillWaiting
		}
		r.Repeat(map[string]func(*rapid.T){
			"offer": func(r *rapid.T) {
				a := fmt.Sprint(rapid.IntRange(0, 3).Draw(r, "account"))
				d := time.Duration(rapid.IntRange(-10, 300).Draw(r, "timeout ms")) * time.Millisecond
				slot, p, err := ctl.Offer(Request{Account: a, Deadline: c.t.Add(d)})
				switch {
				case slot != nil:
					assert.Assert(r, p == nil && err == nil && state == StateOpen && d > 0)
					assert.Assert(r, ctl.Load().Running <= ctl.Load().Permits)
					running = append(running, slot)
				case p != nil:
					assert.Assert(r, err == nil && state == StateOpen && d > 0)
					waiting = append(waiting, p)
				default:
					assert.Assert(r, err != nil)
				}
			},
			"done": func(r *rapid.T) {
				if len(running) > 0 {
					o := Outcome(rapid.IntRange(0, int(CallerCanceled)).Draw(r, "outcome"))
					running[0].Release(o)
					running[0].Release(o)
					running = running[1:]
				}
			},
			"cancel": func(r *rapid.T) {
				if len(waiting) > 0 {
					waiting[rapid.IntRange(0, len(waiting)-1).Draw(r, "which")].Cancel(Canceled)
				}
			},
			"state": func(r *rapid.T) {
				state = State(rapid.IntRange(0, int(StateLeaving)).Draw(r, "state"))
				ctl.SetState(state)
			},
			"tick": func(r *rapid.T) {
				ctl.Tick(c.advance(time.Duration(rapid.IntRange(0, 900).Draw(r, "ms")) * time.Millisecond))
			},
			"configure": func(r *rapid.T) {
				ctl.Configure(Limits{
					Slots:     rapid.IntRange(0, 6).Draw(r, "slots"),
					ColdSlots: rapid.IntRange(0, 6).Draw(r, "cold"), QueuePerAccount: rapid.IntRange(0, 9).Draw(r, "queue"),
					Weights: map[string]float64{"0": rapid.Float64Range(0, 9).Draw(r, "weight")},
				})
			},
			"": func(r *rapid.T) {
				collectAdmitted()
				l := ctl.Load()
				assert.Equal(r, l.Running, len(running))
				assert.Equal(r, l.Queued, len(waiting))
				assert.Assert(r, l.Permits >= 1 && l.Permits <= ctl.limits.Slots)
				assert.Assert(r, l.Queued == 0 || l.Running >= l.Permits, "%+v", l)
			},
		})
	})
}

// Guards against a request that runs because the process did not detect its own
// pause: a request that arrived during the pause may have been abandoned by its
// sender.
func TestCallsThatArrivedInAPauseAreRefused(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		ctl, c := newController(4, 4)
		ctl.Tick(c.t)
		slept := c.t
		woke := c.advance(time.Duration(rapid.IntRange(601, 60_000).Draw(r, "pause ms")) * time.Millisecond)
		if rapid.Bool().Draw(r, "tick first") {
			ctl.Tick(woke)
		}
		arrived := slept.Add(time.Duration(rapid.Int64Range(1, int64(woke.Sub(slept))).Draw(r, "arrived")))
		_, _, err := ctl.Offer(Request{ArrivedAt: arrived})
		assert.Assert(r, err != nil)
		assert.Equal(r, err.(*Refusal).Reason, Paused)
		_, _, err = ctl.Offer(Request{ArrivedAt: c.advance(pauseGrace + 1)})
		assert.NilError(r, err)
	})
}

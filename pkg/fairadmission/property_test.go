package fairadmission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against lost, doubled and late calls in any order of events: every
// call ends with one ticket or one refusal, no call starts while the gate is
// closed or past its deadline, none waits while there is a free slot.
func TestGateKeepsItsPromisesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g, c := newGate(4, 1)
		var waiting []*PendingRequest
		var running []*Slot
		state := StateOpen
		settle := func() {
			var left []*PendingRequest
			for _, p := range waiting {
				select {
				case <-p.Ready():
					ticket, err := p.Result()
					assert.Assert(r, (ticket == nil) != (err == nil))
					if ticket != nil {
						assert.Assert(r, state == StateOpen && c.t.Before(p.call.Deadline))
						running = append(running, ticket)
					}
				default:
					left = append(left, p)
				}
			}
			waiting = left
		}
		r.Repeat(map[string]func(*rapid.T){
			"offer": func(r *rapid.T) {
				a := fmt.Sprint(rapid.IntRange(0, 3).Draw(r, "account"))
				d := time.Duration(rapid.IntRange(-10, 300).Draw(r, "timeout ms")) * time.Millisecond
				ticket, p, err := g.Offer(Request{Account: a, Deadline: c.t.Add(d)})
				switch {
				case ticket != nil:
					assert.Assert(r, p == nil && err == nil && state == StateOpen && d > 0)
					assert.Assert(r, g.Load().Running <= g.Load().Permits)
					running = append(running, ticket)
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
				g.SetState(state)
			},
			"tick": func(r *rapid.T) {
				g.Tick(c.add(time.Duration(rapid.IntRange(0, 900).Draw(r, "ms")) * time.Millisecond))
			},
			"configure": func(r *rapid.T) {
				g.Configure(Limits{
					Slots:     rapid.IntRange(0, 6).Draw(r, "slots"),
					ColdSlots: rapid.IntRange(0, 6).Draw(r, "cold"), QueuePerAccount: rapid.IntRange(0, 9).Draw(r, "queue"),
					Weights: map[string]float64{"0": rapid.Float64Range(0, 9).Draw(r, "weight")},
				})
			},
			"": func(r *rapid.T) {
				settle()
				l := g.Load()
				assert.Equal(r, l.Running, len(running))
				assert.Equal(r, l.Queued, len(waiting))
				assert.Assert(r, l.Permits >= 1 && l.Permits <= g.limits.Slots)
				assert.Assert(r, l.Queued == 0 || l.Running >= l.Permits, "%+v", l)
			},
		})
	})
}

// Guards against a call that ran because the process did not notice its own
// pause: what arrived during the pause may have been given up by its sender.
func TestCallsThatArrivedInAPauseAreRefused(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g, c := newGate(4, 4)
		g.Tick(c.t)
		slept := c.t
		woke := c.add(time.Duration(rapid.IntRange(601, 60_000).Draw(r, "pause ms")) * time.Millisecond)
		if rapid.Bool().Draw(r, "tick first") {
			g.Tick(woke)
		}
		arrived := slept.Add(time.Duration(rapid.Int64Range(1, int64(woke.Sub(slept))).Draw(r, "arrived")))
		_, _, err := g.Offer(Request{ArrivedAt: arrived})
		assert.Assert(r, err != nil)
		assert.Equal(r, err.(*Refusal).Reason, Paused)
		_, _, err = g.Offer(Request{ArrivedAt: c.add(pauseGrace + 1)})
		assert.NilError(r, err)
	})
}

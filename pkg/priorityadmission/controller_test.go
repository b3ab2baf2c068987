package priorityadmission

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A bench drives a door by a clock of its own.
type bench struct {
	door   *Controller
	now    time.Time
	timers map[int]timer
	next   int
}

type timer struct {
	at time.Time
	do func()
}

func newBench() *bench {
	b := &bench{door: New(), now: time.Unix(1000, 0), timers: map[int]timer{}}
	b.door.Now = func() time.Time { return b.now }
	b.door.AfterFunc = func(d time.Duration, f func()) func() bool {
		b.next++
		id := b.next
		b.timers[id] = timer{b.now.Add(d), f}
		return func() bool {
			_, ok := b.timers[id]
			delete(b.timers, id)
			return ok
		}
	}
	return b
}

// advance moves the clock and runs the timers that are due, in their order.
func (b *bench) advance(d time.Duration) {
	end := b.now.Add(d)
	for {
		first, found := 0, false
		for id, t := range b.timers {
			if !t.at.After(end) && (!found || t.at.Before(b.timers[first].at)) {
				first, found = id, true
			}
		}
		if !found {
			break
		}
		t := b.timers[first]
		delete(b.timers, first)
		if t.at.After(b.now) {
			b.now = t.at
		}
		t.do()
	}
	b.now = end
}

func (b *bench) call(objective, deadline time.Duration) Request {
	return Request{Objective: b.now.Add(objective), Deadline: b.now.Add(deadline)}
}

// Guards against a cold server that gets more in some second than it bears,
// with requests that wait for their turn and others that come all the time.
func TestColdServerGetsNoMoreThanItBears(t *testing.T) {
	const perSecond = 20
	b := newBench()
	b.door.SetSlots(50)
	b.door.SetColdLimit(b.now.Add(10*time.Second), perSecond)
	var starts []time.Time
	var waiting []*waiter
	for range 1000 {
		w, p, err := b.door.offer(b.call(time.Second, 3*time.Second))
		if p != nil {
			starts = append(starts, b.now)
			p.Release(true)
		}
		if err == nil && w != nil {
			waiting = append(waiting, w)
		}
		b.advance(5 * time.Millisecond)
		kept := waiting[:0]
		for _, w := range waiting {
			if w.pass != nil {
				starts = append(starts, b.now)
				w.pass.Release(true)
			} else if w.refusal == nil {
				kept = append(kept, w)
			}
		}
		waiting = kept
	}
	assert.Assert(t, len(starts) >= 4*perSecond, "%d starts", len(starts))
	for i := range starts {
		n := 0
		for _, s := range starts[i:] {
			if s.Sub(starts[i]) < time.Second-5*time.Millisecond {
				n++
			}
		}
		assert.Assert(t, n <= perSecond, "%d starts within a second", n)
	}
}

// Guards against requests that wait at a door that closes, and against a
// refusal of what was admitted.
func TestClosedDoorRefusesWhatWaits(t *testing.T) {
	b := newBench()
	b.door.SetSlots(1)
	_, p, err := b.door.offer(b.call(time.Second, time.Second))
	assert.NilError(t, err)
	w, _, err := b.door.offer(b.call(time.Second, time.Second))
	assert.NilError(t, err)
	b.door.SetClosed(Draining)
	assert.Equal(t, w.refusal.Reason, Draining)
	_, _, err = b.door.offer(b.call(time.Second, time.Second))
	assert.Error(t, err, "not run: Draining")
	p.Release(true)
	assert.Equal(t, b.door.Load(), Load{Permits: 1})
	b.door.SetClosed("")
	_, p, err = b.door.offer(b.call(time.Second, time.Second))
	assert.NilError(t, err)
	p.Release(true)
}

// Guards against an order in which the calls of running requests, the more
// urgent, or those that can still meet their objective wait behind others.
func TestOrderOfWaitingRequests(t *testing.T) {
	b := newBench()
	b.door.SetSlots(1)
	_, p, err := b.door.offer(b.call(time.Second, 3*time.Second))
	assert.NilError(t, err)
	wait := func(priority int, objective time.Duration, nested bool) *waiter {
		c := b.call(objective, 3*time.Second)
		c.Priority, c.Nested = priority, nested
		w, _, err := b.door.offer(c)
		assert.NilError(t, err)
		return w
	}
	late := wait(0, -time.Millisecond, false)
	low := wait(2, 2*time.Second, false)
	urgent := wait(1, 2*time.Second, false)
	nested := wait(1, 2*time.Second, true)
	for i, w := range []*waiter{nested, urgent, low, late} {
		p.Release(true)
		assert.Assert(t, w.pass != nil, "place %d", i)
		p = w.pass
	}
}

// Guards against a caller that has left and still gets a slot, and against a
// request that waits beyond the time in which it could be answered.
func TestNoSlotForThoseWhoCannotUseIt(t *testing.T) {
	b := newBench()
	b.door.SetSlots(1)
	_, p, err := b.door.offer(b.call(time.Second, 3*time.Second))
	assert.NilError(t, err)
	gone, _, err := b.door.offer(b.call(time.Second, 3*time.Second))
	assert.NilError(t, err)
	b.door.cancel(gone, Canceled)
	late, _, err := b.door.offer(b.call(250*time.Millisecond, 300*time.Millisecond))
	assert.NilError(t, err)
	b.advance(290 * time.Millisecond)
	p.Release(true)
	assert.Equal(t, gone.refusal.Reason, Canceled)
	assert.Equal(t, late.refusal.Reason, Late)
	assert.Equal(t, b.door.Load().Running, 0)
}

// Guards against Enter that hangs where the caller leaves while it waits.
func TestEnterEndsWithItsContext(t *testing.T) {
	d := New()
	d.SetSlots(1)
	p, err := d.Admit(context.Background(), Request{Deadline: time.Now().Add(time.Minute)})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, err = d.Admit(ctx, Request{Deadline: time.Now().Add(time.Minute)})
	assert.Error(t, err, "not run: Canceled")
	p.Release(false)
	p.Release(false)
	assert.Equal(t, d.Load().Running, 0)
}

// An outcome counts what became of the requests of a load.
type outcome struct{ asked, met, late, refused int }

// drive offers requests at a rate per second, each running about as long as
// the others, and counts how they end. Refused ones do not come back.
func (b *bench) drive(rate float64, length time.Duration, r *rand.Rand) outcome {
	type running struct {
		p    *Slot
		ends time.Time
		due  time.Time
	}
	var o outcome
	var runs []running
	var waiting []*waiter
	run := func(p *Slot, due time.Time) {
		work := time.Duration((0.5 + r.Float64()) * float64(100*time.Millisecond))
		runs = append(runs, running{p, b.now.Add(work), due})
	}
	for end := b.now.Add(length); b.now.Before(end); b.advance(time.Millisecond) {
		kept := runs[:0]
		for _, x := range runs {
			if x.ends.After(b.now) {
				kept = append(kept, x)
				continue
			}
			if x.ends.After(x.due) {
				o.late++
			} else {
				o.met++
			}
			x.p.Release(true)
		}
		runs = kept
		if r.Float64() < rate/1000 {
			o.asked++
			w, p, err := b.door.offer(b.call(400*time.Millisecond, 2500*time.Millisecond))
			switch {
			case err != nil:
				o.refused++
			case p != nil:
				run(p, b.now.Add(400*time.Millisecond))
			default:
				waiting = append(waiting, w)
			}
		}
		left := waiting[:0]
		for _, w := range waiting {
			if !b.now.Before(w.latest) {
				// Enter's own timer, which offer does not set.
				b.door.cancel(w, Late)
			}
			switch {
			case w.pass != nil:
				run(w.pass, w.call.Objective)
			case w.refusal != nil:
				o.refused++
			default:
				left = append(left, w)
			}
		}
		waiting = left
	}
	for _, w := range waiting {
		b.door.cancel(w, Canceled)
	}
	for _, x := range runs {
		x.p.Release(false)
	}
	return o
}

// Guards against an overload in which all requests wait until all are late:
// demand beyond all slots must leave what the server can do in time.
func TestDemandBeyondAllSlotsIsServedInTime(t *testing.T) {
	b := newBench()
	b.door.SetSlots(10)
	r := rand.New(rand.NewPCG(1, 2))
	b.drive(50, 5*time.Second, r)
	o := b.drive(200, 20*time.Second, r)
	able := 0.5 * float64(o.asked)
	assert.Assert(t, float64(o.met) >= 0.9*able, "%+v", o)
	assert.Assert(t, float64(o.late) <= 0.1*able, "%+v", o)
}

// Guards against refusals where there is room for all.
func TestDemandBelowAllSlotsIsNotRefused(t *testing.T) {
	b := newBench()
	b.door.SetSlots(10)
	o := b.drive(70, 20*time.Second, rand.New(rand.NewPCG(3, 4)))
	assert.Equal(t, o.refused, 0)
	assert.Assert(t, o.met >= o.asked*98/100-10, "%+v", o)
}

// Guards against an overload in which nearly every running request gets one of
// the calls that it needs and few get all of them.
func TestCallsOfOneRequestAreServedTogether(t *testing.T) {
	b := newBench()
	const slots, work = 8, 100 * time.Millisecond
	b.door.SetSlots(slots)
	r := rand.New(rand.NewPCG(5, 6))
	served := map[uint32]int{}
	asked := 0
	offer := func(root uint32) {
		c := b.call(150*time.Millisecond, 400*time.Millisecond)
		c.Nested, c.RootHash = true, root
		w, p, err := b.door.offer(c)
		if err != nil {
			return
		}
		done := func(p *Slot) {
			served[root]++
			b.door.AfterFunc(work, func() { p.Release(true) })
		}
		if p != nil {
			done(p)
			return
		}
		var poll func()
		poll = func() {
			switch {
			case w.pass != nil:
				done(w.pass)
			case w.refusal == nil && !b.now.Before(w.latest):
				b.door.cancel(w, Late)
			case w.refusal == nil:
				b.door.AfterFunc(time.Millisecond, poll)
			}
		}
		poll()
	}
	const seconds, rate = 20, 120 // requests a second with two calls each, three times what the door bears
	for range seconds * 1000 {
		if r.Float64() < rate/1000.0 {
			asked++
			root := r.Uint32()
			offer(root)
			b.door.AfterFunc(time.Duration(r.IntN(20))*time.Millisecond, func() { offer(root) })
		}
		b.advance(time.Millisecond)
	}
	whole := 0
	for _, n := range served {
		if n == 2 {
			whole++
		}
	}
	able := seconds * slots * int(time.Second/work) / 2
	assert.Assert(t, whole >= able*6/10, "%d of %d whole, able to serve %d", whole, asked, able)
}

// Guards against a cold server whose requests of a second all start at its
// beginning: an urgent one that comes later then waits for the next second.
func TestColdServerGetsItsRequestsEvenly(t *testing.T) {
	b := newBench()
	b.door.SetSlots(16)
	b.door.SetColdLimit(b.now.Add(10*time.Second), 30)
	for range 200 {
		c := b.call(20*time.Second, 60*time.Second)
		c.Priority = 2
		w, p, err := b.door.offer(c)
		assert.NilError(t, err)
		if p != nil {
			p.Release(true)
			continue
		}
		done := func() {}
		done = func() {
			if w.pass != nil {
				w.pass.Release(true)
				return
			}
			b.door.AfterFunc(time.Millisecond, done)
		}
		done()
	}
	b.advance(500 * time.Millisecond)
	c := b.call(400*time.Millisecond, 2*time.Second)
	urgent, _, err := b.door.offer(c)
	assert.NilError(t, err)
	b.advance(time.Second / 4)
	assert.Assert(t, urgent.pass != nil, "the urgent request waits")
	urgent.pass.Release(true)
	count := 0
	for _, s := range b.door.starts {
		if b.now.Sub(s) < time.Second {
			count++
		}
	}
	assert.Assert(t, count > 20 && count <= 30, "%d in the last second", count)
}

// Guards against requests that a server which has turned slow takes from quicker
// ones, against such a server that is never tried again, and against a refusal
// where no other server has room.
func TestSlowServerLeavesRequestsToQuickerOnes(t *testing.T) {
	b := newBench()
	b.door.SetSlots(10)
	run := func(took time.Duration) {
		_, p, err := b.door.offer(b.call(400*time.Millisecond, 2*time.Second))
		assert.NilError(t, err)
		b.advance(took)
		p.Release(true)
	}
	for range 30 {
		run(time.Second)
	}
	const usual = 100 * time.Millisecond
	ask := func(noWait bool, objective time.Duration) (*Slot, error) {
		c := b.call(objective, 2*time.Second)
		c.NoWait, c.TypicalDuration = noWait, usual
		_, p, err := b.door.offer(c)
		return p, err
	}
	first, err := ask(true, 400*time.Millisecond)
	assert.NilError(t, err, "an idle server is tried")
	_, err = ask(true, 400*time.Millisecond)
	var slow *Refusal
	assert.Assert(t, errors.As(err, &slow) && slow.Reason == Slow, "%v", err)
	assert.Assert(t, slow.RetryAfter > 500*time.Millisecond && slow.RetryAfter < time.Second-usual/2, "%s more than usual", slow.RetryAfter)
	for _, c := range []struct {
		noWait    bool
		objective time.Duration
	}{{false, 400 * time.Millisecond}, {true, 1500 * time.Millisecond}, {true, -time.Millisecond}} {
		p, err := ask(c.noWait, c.objective)
		assert.NilError(t, err)
		p.Release(false)
	}
	first.Release(true)
	for range 60 {
		run(50 * time.Millisecond)
	}
	first, err = ask(true, 400*time.Millisecond)
	assert.NilError(t, err)
	_, err = ask(true, 400*time.Millisecond)
	assert.NilError(t, err, "a server that is quick again")
	first.Release(true)
}

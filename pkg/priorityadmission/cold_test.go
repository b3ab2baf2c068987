package priorityadmission

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A checkedServer is a server that states that it is warm or cold in health checks only.
type checkedServer struct {
	*simulation
	coldSince time.Time
	// failChecks makes health checks fail.
	failChecks bool
}

const (
	checkedColdRate = 33
	checkedColdTime = 3 * time.Second
	checkLag        = 10 * time.Millisecond
)

// newCheckedServer returns a server that is warm and has just been confirmed.
func newCheckedServer() *checkedServer {
	s := &checkedServer{simulation: newSimulation()}
	s.controller.SetSlots(12)
	s.controller.SetColdLimit(time.Time{}, checkedColdRate)
	s.controller.WantConfirmation = func() { s.controller.AfterFunc(0, s.check) }
	s.controller.ConfirmWarm(s.now)
	return s
}

// check runs one health check, whose answer arrives after checkLag.
func (s *checkedServer) check() {
	began := s.now
	cold := !s.coldSince.IsZero() && s.now.Before(s.coldSince.Add(checkedColdTime))
	s.controller.AfterFunc(checkLag, func() {
		switch {
		case s.failChecks:
		case cold:
			s.controller.SetColdLimit(s.coldSince.Add(checkedColdTime), checkedColdRate)
		default:
			s.controller.ConfirmWarm(began)
		}
	})
}

// offer offers perSecond requests that do not wait, each of which runs for 20 ms, and
// returns the times of those that started.
func (s *checkedServer) offer(perSecond int, length time.Duration) (starts []time.Time) {
	for end := s.now.Add(length); s.now.Before(end); s.advance(time.Second / time.Duration(perSecond)) {
		slot, err := s.controller.Admit(context.Background(), Request{Deadline: s.now.Add(time.Second), NoWait: true})
		if err == nil {
			starts = append(starts, s.now)
			s.controller.AfterFunc(20*time.Millisecond, func() { slot.Release(true) })
		}
	}
	return starts
}

// Guards against a server that becomes cold without any other sign than its health checks
// and gets the load of a warm one until the next of them.
func TestServerThatBecomesColdUnannouncedIsNotOverloaded(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		s := newCheckedServer()
		warm := s.offer(400, time.Second+time.Duration(r.Int64N(int64(time.Second))))
		assert.Assert(t, len(warm) > 300, "a warm server gets %d requests", len(warm))
		s.coldSince = s.now
		starts := s.offer(400, checkedColdTime)
		for i, at := range starts {
			if i >= checkedColdRate {
				assert.Assert(t, at.Sub(starts[i-checkedColdRate]) >= time.Second, "more than %d requests in a second", checkedColdRate)
			}
		}
	}
}

// Guards against a warm server that gets fewer requests because of its health checks.
func TestConfirmedServerGetsItsFullLoad(t *testing.T) {
	s := newCheckedServer()
	assert.Equal(t, len(s.offer(500, 2*time.Second)), 1000)
}

// Guards against a server without answers to health checks that gets the load of a warm
// one, and against one that stays limited once it answers again.
func TestUnconfirmedServerGetsTheLoadOfAColdOne(t *testing.T) {
	s := newCheckedServer()
	s.failChecks = true
	s.offer(400, 2*time.Second)
	assert.Assert(t, s.controller.WantsConfirmation())
	assert.Assert(t, len(s.offer(400, time.Second)) <= checkedColdRate)
	s.failChecks = false
	s.check()
	s.advance(checkLag)
	assert.Equal(t, len(s.offer(400, time.Second)), 400)
}

// Guards against requests that wait on a server that has been confirmed as warm.
func TestConfirmationStartsWaitingRequests(t *testing.T) {
	s := newCheckedServer()
	s.controller.WantConfirmation = func() {}
	s.offer(400, 500*time.Millisecond)
	w, _, err := s.controller.admitOrQueue(Request{Deadline: s.now.Add(time.Second)})
	assert.NilError(t, err)
	assert.Assert(t, w != nil, "the request waits")
	s.controller.ConfirmWarm(s.now)
	assert.Assert(t, w.granted != nil)
}

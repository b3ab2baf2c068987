package quota

import (
	"context"
	"sync"
	"time"
)

// An exchanger has at most one report in flight and counts rounds, so that a
// caller can wait for a report that was composed after its demand.
type exchanger struct {
	poke  chan struct{}
	mu    sync.Mutex
	begun uint64
	ended uint64
	last  time.Time     // when the last round began
	done  chan struct{} // closed at the end of each round
}

func (e *exchanger) wake() {
	select {
	case e.poke <- struct{}{}:
	default:
	}
}

// idle reports whether no round began for d.
func (e *exchanger) idle(d time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.last) >= d
}

func (e *exchanger) begin() {
	e.mu.Lock()
	e.begun++
	e.last = time.Now()
	e.mu.Unlock()
}

func (e *exchanger) end() {
	e.mu.Lock()
	e.ended = e.begun
	close(e.done)
	e.done = make(chan struct{})
	e.mu.Unlock()
}

// round waits for a round that begins after the call.
func (e *exchanger) round(ctx context.Context) bool {
	e.mu.Lock()
	want := e.begun + 1
	done := e.done
	e.mu.Unlock()
	e.wake()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-done:
		}
		e.mu.Lock()
		ended := e.ended
		done = e.done
		e.mu.Unlock()
		if ended >= want {
			return true
		}
	}
}

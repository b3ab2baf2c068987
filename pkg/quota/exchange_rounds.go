package quota

import (
	"context"
	"sync"
	"time"
)

// exchangeRounds counts the rounds of a loop that exchanges one report per
// round. A caller can request a round and wait for one whose report is composed
// after the call.
type exchangeRounds struct {
	wakeups     chan struct{} // requests a round; capacity 1
	mu          sync.Mutex
	roundsBegun uint64
	roundsEnded uint64
	lastBegunAt time.Time     // when the last round began
	roundEnded  chan struct{} // closed at the end of each round
}

// wake requests a round. It does not block.
func (e *exchangeRounds) wake() {
	select {
	case e.wakeups <- struct{}{}:
	default:
	}
}

// idleFor reports whether no round began within the last d.
func (e *exchangeRounds) idleFor(d time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.lastBegunAt) >= d
}

func (e *exchangeRounds) beginRound() {
	e.mu.Lock()
	e.roundsBegun++
	e.lastBegunAt = time.Now()
	e.mu.Unlock()
}

func (e *exchangeRounds) endRound() {
	e.mu.Lock()
	e.roundsEnded = e.roundsBegun
	close(e.roundEnded)
	e.roundEnded = make(chan struct{})
	e.mu.Unlock()
}

// waitForRound requests a round and waits until a round that began after the
// call has ended. It returns false if the context ends first.
func (e *exchangeRounds) waitForRound(ctx context.Context) bool {
	e.mu.Lock()
	targetRound := e.roundsBegun + 1
	done := e.roundEnded
	e.mu.Unlock()
	e.wake()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-done:
		}
		e.mu.Lock()
		ended := e.roundsEnded
		done = e.roundEnded
		e.mu.Unlock()
		if ended >= targetRound {
			return true
		}
	}
}

package quota

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waiting returns a ledger of one account with an empty bucket that gets 50
// tokens per second, and the hand of its clock.
func waiting(t *testing.T) (*Limiter, *account, *time.Time) {
	t.Helper()
	now := time.Unix(1_000_000, 0)
	l := &Limiter{Now: func() time.Time { return now }}
	l.Start()
	l.Configure(snapshot(1, hostIDs(1), map[string]limit{"club": {50, 5}}), "h-0000")
	now = now.Add(ActivationDelay)
	l.Tick()
	return l, l.all()["club"], &now
}

// Guards against a request that overtakes those that wait, and against one
// that is served after its wait is over.
func TestWaitersAreServedInOrderAndInTime(t *testing.T) {
	l, a, now := waiting(t)
	var ws []*waiter
	for range 3 {
		at := l.instant()
		assert.Assert(t, !a.take(at))
		w, _ := a.enqueue(at, at+MaxTokenWait)
		ws = append(ws, w)
	}
	*now = now.Add(20 * time.Millisecond) // one token
	assert.Assert(t, !l.Take("club"))
	_, over := l.look(a, ws[2])
	assert.Assert(t, !over)
	assert.Assert(t, ws[0].done && !ws[1].done && !ws[2].done)
	*now = now.Add(MaxTokenWait)
	_, over = l.look(a, ws[1])
	assert.Assert(t, over && !ws[1].done && !ws[2].done)
	assert.Assert(t, !a.leave(ws[1]) && !a.leave(ws[2]) && a.leave(ws[0]))
	// What the late ones did not take is there for others.
	assert.Assert(t, l.Take("club"))
}

// Guards against a wait beyond the deadline or the context, and against a wait
// where no token can come in time.
func TestTakeWaitEndsWithItsDeadline(t *testing.T) {
	l, a, now := waiting(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Assert(t, !l.TakeWait(ctx, "club", now.Add(time.Second)))
	assert.Equal(t, len(a.queue), 0)
	assert.Assert(t, !l.TakeWait(context.Background(), "club", *now))
	assert.Assert(t, !l.TakeWait(context.Background(), "nobody", now.Add(time.Second)))
	// The broker said that it has none for 200 ms, and the own rate is too
	// slow for the queue.
	a.retryAt = l.instant() + lastBackoff
	a.book.setOwn(volume{OneToken, 5 * OneToken}, l.instant())
	w, wake := a.enqueue(l.instant(), l.instant()+MaxTokenWait)
	assert.Assert(t, w == nil && !wake)
}

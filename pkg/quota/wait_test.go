package quota

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// limiterWithEmptyBucket returns a Limiter with one account, whose bucket is
// empty and refills by 50 tokens per second, and the time of its clock.
func limiterWithEmptyBucket(t *testing.T) (*Limiter, *account, *time.Time) {
	t.Helper()
	now := time.Unix(1_000_000, 0)
	l := &Limiter{Now: func() time.Time { return now }}
	l.Start()
	l.Configure(snapshot(1, hostIDs(1), map[string]accountLimit{"club": {50, 5}}), "h-0000")
	now = now.Add(ActivationDelay)
	l.Tick()
	return l, l.allAccounts()["club"], &now
}

// Guards against a request that is served before earlier ones that wait, and
// against one that is served after its deadline.
func TestWaitersAreServedInOrderAndInTime(t *testing.T) {
	l, a, now := limiterWithEmptyBucket(t)
	var ws []*waiter
	for range 3 {
		at := l.instant()
		assert.Assert(t, !a.take(at))
		w, _ := a.enqueue(at, at+MaxTokenWait)
		ws = append(ws, w)
	}
	*now = now.Add(20 * time.Millisecond) // one token
	assert.Assert(t, !l.Take("club"))
	_, over := l.checkWaiter(a, ws[2])
	assert.Assert(t, !over)
	assert.Assert(t, ws[0].served && !ws[1].served && !ws[2].served)
	*now = now.Add(MaxTokenWait)
	_, over = l.checkWaiter(a, ws[1])
	assert.Assert(t, over && !ws[1].served && !ws[2].served)
	assert.Assert(t, !a.stopWaiting(ws[1]) && !a.stopWaiting(ws[2]) && a.stopWaiting(ws[0]))
	// The tokens that the late waiters did not take are left for others.
	assert.Assert(t, l.Take("club"))
}

// Guards against a wait beyond the deadline or the context, and against a wait
// where no token can come in time.
func TestTakeWaitEndsWithItsDeadline(t *testing.T) {
	l, a, now := limiterWithEmptyBucket(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Assert(t, !l.TakeWait(ctx, "club", now.Add(time.Second)))
	assert.Equal(t, len(a.queue), 0)
	assert.Assert(t, !l.TakeWait(context.Background(), "club", *now))
	assert.Assert(t, !l.TakeWait(context.Background(), "nobody", now.Add(time.Second)))
	// The broker has no tokens for 200 ms, and the node refills too slowly for
	// the queue.
	a.retryAt = l.instant() + maxBackoff
	a.bucket.setOwned(portion{OneToken, 5 * OneToken}, l.instant())
	w, wake := a.enqueue(l.instant(), l.instant()+MaxTokenWait)
	assert.Assert(t, w == nil && !wake)
}

package quota

import (
	"context"
	"time"
)

// maxQueuedPerAccount is the maximum number of requests of one account that
// wait on one node.
const maxQueuedPerAccount = 1024

// The range of the time after which a node asks again for tokens that its
// broker did not have. It doubles with each reply without tokens.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// A waiter is a request that waits for a token.
type waiter struct {
	granted  chan struct{} // closed when the request gets a token
	served   bool
	deadline time.Duration
	// requestedForRetryAt is the account's retryAt for which this waiter last
	// requested a report, -1 if it did not. It requests one per retryAt.
	requestedForRetryAt time.Duration
}

// TakeWait spends a token of the account and reports whether it got one. It
// waits for up to MaxTokenWait, and never beyond the deadline, until a token is
// refilled or lent. Requests of an account are served in the order in which
// they came. It returns false at once if no token can come in time.
func (l *Limiter) TakeWait(ctx context.Context, name string, deadline time.Time) bool {
	a := l.allAccounts()[name]
	if a == nil {
		return false
	}
	now := l.instant()
	until := min(now+MaxTokenWait, deadline.Sub(l.clock.start))
	if !l.mayAdmit(now) || until <= now {
		return false
	}
	a.mu.Lock()
	if a.take(now) {
		needsReport := a.isLow() && now >= a.retryAt
		a.mu.Unlock()
		if needsReport {
			l.requestReport()
		}
		return true
	}
	w, needsReport := a.enqueue(now, until)
	if w == nil {
		a.mu.Unlock()
		return false
	}
	pause := a.nextCheckDelay(now, until)
	a.mu.Unlock()
	if needsReport {
		l.requestReport()
	}
	return l.await(ctx, a, w, pause)
}

// enqueue adds a waiter. It returns nil if the queue is full or no token can
// come in time. It also reports whether the broker should be asked for tokens.
func (a *account) enqueue(now, deadline time.Duration) (*waiter, bool) {
	needsReport := now >= a.retryAt
	if len(a.queue) >= maxQueuedPerAccount || (!needsReport && a.retryAt >= deadline && a.tokensReadyAt(now, len(a.queue)+1) > deadline) {
		a.refusedSinceReport++
		return nil, false
	}
	w := &waiter{granted: make(chan struct{}), deadline: deadline, requestedForRetryAt: -1}
	if needsReport {
		w.requestedForRetryAt = a.retryAt
	}
	a.queue = append(a.queue, w)
	return w, needsReport
}

// tokensReadyAt returns when refilling at the usable rate yields n tokens.
func (a *account) tokensReadyAt(now time.Duration, n int) time.Duration {
	need := float64(n)*float64(OneToken) - a.bucket.tokens
	if need <= 0 {
		return now
	}
	if a.bucket.usable.rate <= 0 || float64(a.bucket.usable.capacity) < float64(OneToken) {
		return never
	}
	s := need / float64(a.bucket.usable.rate)
	if s > time.Hour.Seconds() {
		return never
	}
	return now + time.Duration(s*float64(time.Second)) + 1
}

// nextCheckDelay returns how long a waiter sleeps before it checks again: until
// its deadline, the next refilled token or the next time to ask the broker.
func (a *account) nextCheckDelay(now, deadline time.Duration) time.Duration {
	at := min(deadline, a.tokensReadyAt(now, 1))
	if a.retryAt > now {
		at = min(at, a.retryAt)
	}
	return max(at-now, time.Millisecond)
}

// await waits until the waiter is served or its wait ends, and reports whether
// it was served.
func (l *Limiter) await(ctx context.Context, a *account, w *waiter, pause time.Duration) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	for {
		select {
		case <-w.granted:
			return true
		case <-ctx.Done():
			return a.stopWaiting(w)
		case <-t.C:
		}
		pause, ended := l.checkWaiter(a, w)
		if ended {
			return a.stopWaiting(w)
		}
		t.Reset(pause)
	}
}

// checkWaiter serves the queue of the account. It returns how long the waiter
// sleeps next and whether its wait ended.
func (l *Limiter) checkWaiter(a *account, w *waiter) (pause time.Duration, ended bool) {
	now := l.instant()
	allowed := l.mayAdmit(now)
	a.mu.Lock()
	a.serveQueue(now, allowed)
	needsReport := !w.served && now >= a.retryAt && w.requestedForRetryAt != a.retryAt
	if needsReport {
		w.requestedForRetryAt = a.retryAt
	}
	pause = a.nextCheckDelay(now, w.deadline)
	ended = w.served || now >= w.deadline
	a.mu.Unlock()
	if needsReport && !ended {
		l.requestReport()
	}
	return pause, ended
}

// serveQueue gives tokens to waiters in order and drops waiters whose deadline
// has passed.
func (a *account) serveQueue(now time.Duration, allowed bool) {
	a.bucket.advance(now)
	for len(a.queue) > 0 {
		w := a.queue[0]
		if now < w.deadline {
			if !allowed || !a.bucket.spend(OneToken) {
				return
			}
			w.served = true
			close(w.granted)
		}
		a.queue = a.queue[1:]
	}
	a.queue = nil
}

// stopWaiting removes a waiter from the queue and reports whether it was served
// meanwhile. A token that it got stays spent.
func (a *account) stopWaiting(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, q := range a.queue {
		if q == w {
			a.queue = append(a.queue[:i:i], a.queue[i+1:]...)
			break
		}
	}
	return w.served
}

// applyReplyEntry applies a reply entry and serves waiters from its tokens.
func (a *account) applyReplyEntry(link *parentLink, entry *ReplyEntry, process string, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.advance(now)
	link.applyReplyEntry(a.bucket, entry, process)
	switch {
	case entry.Tokens > 0:
		a.retryAt, a.backoff = 0, 0
	case entry.RetryMs > 0:
		a.backoff = min(max(a.backoff*2, minBackoff), maxBackoff)
		a.retryAt = now + max(a.backoff, min(time.Duration(entry.RetryMs)*time.Millisecond, maxBackoff))
	}
	a.serveQueue(now, true)
}

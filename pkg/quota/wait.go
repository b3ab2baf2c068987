package quota

import (
	"context"
	"time"
)

// maxQueue bounds the requests of one account that wait on one node.
const maxQueue = 1024

// The wait before a node asks again for tokens that its broker did not have.
const (
	firstBackoff = 20 * time.Millisecond
	lastBackoff  = 200 * time.Millisecond
)

// A waiter is a request that waits for a token.
type waiter struct {
	granted chan struct{}
	done    bool
	until   time.Duration
	asked   time.Duration // the retryAt at which the broker was asked
}

// TakeWait spends a token of the account, waiting up to MaxWait and never
// beyond the deadline for one to be lent. Requests of an account are served
// in the order they came. It returns false at once when no token can come in
// time.
func (l *Limiter) TakeWait(ctx context.Context, name string, deadline time.Time) bool {
	a := l.all()[name]
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
		wake := a.low() && now >= a.retryAt
		a.mu.Unlock()
		if wake {
			l.requestReport()
		}
		return true
	}
	w, wake := a.enqueue(now, until)
	if w == nil {
		a.mu.Unlock()
		return false
	}
	pause := a.pause(now, until)
	a.mu.Unlock()
	if wake {
		l.requestReport()
	}
	return l.await(ctx, a, w, pause)
}

// enqueue adds a waiter, or returns nil when no token can come in time. It
// also reports whether the broker should be asked.
func (a *account) enqueue(now, until time.Duration) (*waiter, bool) {
	wake := now >= a.retryAt
	if len(a.queue) >= maxQueue || (!wake && a.retryAt >= until && a.tokenAt(now, len(a.queue)+1) > until) {
		a.missed++
		return nil, false
	}
	w := &waiter{granted: make(chan struct{}), until: until, asked: -1}
	if wake {
		w.asked = a.retryAt
	}
	a.queue = append(a.queue, w)
	return w, wake
}

// tokenAt returns when the node's own rate has made n tokens.
func (a *account) tokenAt(now time.Duration, n int) time.Duration {
	need := float64(n)*float64(OneToken) - a.book.k
	if need <= 0 {
		return now
	}
	if a.book.v.r <= 0 || float64(a.book.v.c) < float64(OneToken) {
		return never
	}
	s := need / float64(a.book.v.r)
	if s > time.Hour.Seconds() {
		return never
	}
	return now + time.Duration(s*float64(time.Second)) + 1
}

// pause returns how long the waiter sleeps before it looks again: until its
// end, the next token of the node's own rate or the next time to ask.
func (a *account) pause(now, until time.Duration) time.Duration {
	at := min(until, a.tokenAt(now, 1))
	if a.retryAt > now {
		at = min(at, a.retryAt)
	}
	return max(at-now, time.Millisecond)
}

func (l *Limiter) await(ctx context.Context, a *account, w *waiter, pause time.Duration) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	for {
		select {
		case <-w.granted:
			return true
		case <-ctx.Done():
			return a.leave(w)
		case <-t.C:
		}
		pause, over := l.look(a, w)
		if over {
			return a.leave(w)
		}
		t.Reset(pause)
	}
}

// look serves the queue of a waiter and returns how long the waiter sleeps
// next, or that its wait is over.
func (l *Limiter) look(a *account, w *waiter) (pause time.Duration, over bool) {
	now := l.instant()
	allowed := l.mayAdmit(now)
	a.mu.Lock()
	a.serve(now, allowed)
	ask := !w.done && now >= a.retryAt && w.asked != a.retryAt
	if ask {
		w.asked = a.retryAt
	}
	pause = a.pause(now, w.until)
	over = w.done || now >= w.until
	a.mu.Unlock()
	if ask && !over {
		l.requestReport()
	}
	return pause, over
}

// serve gives tokens to waiters in order.
func (a *account) serve(now time.Duration, allowed bool) {
	a.book.advance(now)
	for len(a.queue) > 0 {
		w := a.queue[0]
		if now < w.until {
			if !allowed || !a.book.spend(OneToken) {
				return
			}
			w.done = true
			close(w.granted)
		}
		a.queue = a.queue[1:]
	}
	a.queue = nil
}

// leave ends a waiter's wait and reports whether it was served meanwhile. A
// token that was granted stays spent.
func (a *account) leave(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, q := range a.queue {
		if q == w {
			a.queue = append(a.queue[:i:i], a.queue[i+1:]...)
			break
		}
	}
	return w.done
}

// settle books a grant and serves waiters from it.
func (a *account) settle(x *uplink, g *ReplyEntry, party string, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.book.advance(now)
	x.settle(a.book, g, party)
	switch {
	case g.Tokens > 0:
		a.retryAt, a.backoff = 0, 0
	case g.RetryMs > 0:
		a.backoff = min(max(a.backoff*2, firstBackoff), lastBackoff)
		a.retryAt = now + max(a.backoff, min(time.Duration(g.RetryMs)*time.Millisecond, lastBackoff))
	}
	a.serve(now, true)
}

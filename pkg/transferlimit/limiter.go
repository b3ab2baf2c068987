// Package transferlimit limits how many large request bodies arrive at a host at the
// same time.
//
// Bodies that arrive together share the host's link. All of them then take longer, and
// so does every small message that waits in the same queue at the link. The host
// therefore asks for a few bodies at a time, in the order of priority, and refuses those
// that would arrive too late before any of their bytes were sent. The package opens no
// socket.
package transferlimit

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// defaultMaxActive is the number of bodies that arrive at the same time. With one,
	// the link would be idle for a round trip between two bodies; each further one adds
	// its length to the queue at the link.
	defaultMaxActive = 2
	// defaultMaxBytes limits the bodies that are held until their requests end.
	defaultMaxBytes = 16 << 20
	// newRateWeight is the weight of a new transfer in the average rate.
	newRateWeight = 1.0 / 8
	// maxWaitDivisor limits the wait for a transfer to this part of the time until the
	// deadline of the request.
	maxWaitDivisor = 3
	// minRate, in bytes per second, keeps one stalled transfer from making all later
	// ones look hopeless.
	minRate = 64 << 10
)

// A Request describes a body that is to be received.
type Request struct {
	// Bytes is the size of the body.
	Bytes int64
	// Priority orders waiting requests; 0 is the most urgent.
	Priority int
	// Deadline is the time after which the caller no longer waits.
	Deadline time.Time
	// NoWait refuses the request if its transfer cannot begin at once.
	NoWait bool
}

// A Refusal is the error of a request whose body was not asked for.
type Refusal struct {
	// RetryAfter is the time after which the transfer may begin.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "not run: too many request bodies are arriving" }

// A Limiter decides which bodies arrive now. Its exported fields are set before the
// first call. It is safe for concurrent use.
type Limiter struct {
	Now func() time.Time
	// MaxActive is the number of bodies that arrive at the same time.
	MaxActive int
	// MaxBytes is the total size of the bodies that are held, those that arrive or
	// wait included.
	MaxBytes int64

	mu sync.Mutex
	// active counts the running transfers, activeBytes is the size of their bodies, and
	// heldBytes that of all bodies that arrive, wait or are held.
	active                 int
	activeBytes, heldBytes int64
	// rate is the average rate of transfers in bytes per second over the whole link,
	// zero before the first one has ended.
	rate    float64
	waiting []*Transfer
	stats   Stats
}

// Stats counts what a Limiter decided.
type Stats struct {
	Received, Refused uint64
	// HeldBytes is the size of the bodies that are held now.
	HeldBytes int64
}

// New returns a Limiter with default limits.
func New() *Limiter {
	return &Limiter{Now: time.Now, MaxActive: defaultMaxActive, MaxBytes: defaultMaxBytes}
}

// A Transfer is the right to receive one body and to hold it.
type Transfer struct {
	limiter *Limiter
	request Request
	// ready is closed when the transfer may begin.
	ready     chan struct{}
	startedAt time.Time
	// sharing is the ratio of the bodies that were arriving when this one began to this
	// one, by size. All of them share the link.
	sharing float64
	// held is the memory that is reserved for the body.
	held int64
	// started is set when the transfer begins, yielded when the next one may begin.
	started, yielded bool
}

// Begin returns once the body may be received. The error is a *Refusal, or that of ctx;
// the body must then not be asked for.
func (l *Limiter) Begin(ctx context.Context, req Request) (*Transfer, error) {
	t, err := l.admit(req)
	if err != nil {
		return nil, err
	}
	select {
	case <-t.ready:
		return t, nil
	case <-ctx.Done():
		t.Release()
		return nil, ctx.Err()
	}
}

// admit starts, queues or refuses a transfer.
func (l *Limiter) admit(req Request) (*Transfer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	t := &Transfer{limiter: l, request: req, ready: make(chan struct{})}
	free := l.active < l.MaxActive && len(l.waiting) == 0
	wait := l.wait(req)
	late := !free && wait > req.Deadline.Sub(now)/maxWaitDivisor
	full := l.heldBytes+req.Bytes > l.MaxBytes
	if full || late || req.NoWait && !free {
		l.stats.Refused++
		return nil, &Refusal{RetryAfter: wait}
	}
	l.heldBytes += req.Bytes
	t.held = req.Bytes
	if free {
		l.start(t, now)
		return t, nil
	}
	l.enqueue(t)
	return t, nil
}

// wait estimates how long a request waits until its transfer begins. The caller holds
// the mutex.
func (l *Limiter) wait(req Request) time.Duration {
	if l.rate == 0 {
		return 0
	}
	ahead := l.activeBytes
	for _, o := range l.waiting {
		if o.request.Priority <= req.Priority {
			ahead += o.request.Bytes
		}
	}
	return time.Duration(float64(ahead) / max(l.rate, minRate) * float64(time.Second))
}

// enqueue adds a transfer behind those of its priority. The caller holds the mutex.
func (l *Limiter) enqueue(t *Transfer) {
	i := len(l.waiting)
	for i > 0 && l.waiting[i-1].request.Priority > t.request.Priority {
		i--
	}
	l.waiting = append(l.waiting, nil)
	copy(l.waiting[i+1:], l.waiting[i:])
	l.waiting[i] = t
}

// start begins a transfer. The caller holds the mutex.
func (l *Limiter) start(t *Transfer, now time.Time) {
	l.active++
	l.activeBytes += t.request.Bytes
	t.started, t.startedAt, t.sharing = true, now, float64(l.activeBytes)/float64(max(1, t.request.Bytes))
	close(t.ready)
}

// startNext begins waiting transfers while there is room. The caller holds the mutex.
func (l *Limiter) startNext(now time.Time) {
	for l.active < l.MaxActive && len(l.waiting) > 0 {
		t := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.start(t, now)
	}
}

// Yield lets the next body be asked for although this one is still arriving. Further calls
// have no effect.
func (t *Transfer) Yield() {
	t.limiter.mu.Lock()
	defer t.limiter.mu.Unlock()
	t.yield(t.limiter.Now())
}

// yield is Yield for a caller that holds the mutex.
func (t *Transfer) yield(now time.Time) {
	if !t.started || t.yielded {
		return
	}
	t.yielded = true
	t.limiter.active--
	t.limiter.activeBytes -= t.request.Bytes
	t.limiter.startNext(now)
}

// End records that this much of the body has arrived. The memory for the rest is given up,
// and the next body is asked for. It is called at most once, after Begin.
func (t *Transfer) End(received int64) {
	l := t.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if received >= t.request.Bytes {
		l.stats.Received++
	}
	if took := now.Sub(t.startedAt); took > 0 && received > 0 {
		l.recordRate(float64(received) * t.sharing / took.Seconds())
	}
	t.yield(now)
	l.heldBytes -= t.held - received
	t.held = received
}

// recordRate adds the rate of one transfer. The caller holds the mutex.
func (l *Limiter) recordRate(rate float64) {
	if l.rate == 0 {
		l.rate = rate
		return
	}
	l.rate += newRateWeight * (rate - l.rate)
}

// Release ends the transfer and gives up the memory of its body. Further calls have no
// effect.
func (t *Transfer) Release() {
	l := t.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = slices.DeleteFunc(l.waiting, func(o *Transfer) bool { return o == t })
	l.heldBytes -= t.held
	t.held = 0
	t.yield(l.Now())
}

// Stats returns the counts so far.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.HeldBytes = l.heldBytes
	return s
}

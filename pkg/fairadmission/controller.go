// Package fairadmission is the admission control that a node puts in front of
// its backend server. It shares the server's slots fairly among client accounts
// and adapts the number of concurrent requests to the latency of the server.
//
// All requests to the server pass through one Controller. It can therefore
// guarantee that a freshly started server gets no more load than it can take,
// that a refused request has not run, and that no account uses the slots of the
// others. It opens no socket and starts no goroutine; the goroutine that calls
// Admit waits.
//
// Package priorityadmission does the same job for the sidecar: it orders requests
// by priority and deadline, whatever their account, and its number of slots is
// set from outside.
package fairadmission

import (
	"maps"
	"sync"
	"time"
)

// Limits configures a Controller.
type Limits struct {
	// Slots is the maximum number of requests that the server runs at once.
	Slots int
	// ColdSlots is the number of concurrent requests that a freshly started
	// server can take.
	ColdSlots int
	// ConnectionsPerSecond limits new connections to the server.
	ConnectionsPerSecond int
	// QueuePerAccount limits the waiting requests of one account.
	QueuePerAccount int
	// Weights holds each account's share relative to the others, usually
	// its rate. An account that is not listed has the lowest weight.
	Weights map[string]float64
}

// A Request describes a request to be admitted.
type Request struct {
	Account string
	// Deadline is the time after which the caller no longer waits; zero means
	// no deadline.
	Deadline time.Time
	// ArrivedAt is the time at which the request was read from its
	// connection; zero means now.
	ArrivedAt time.Time
}

// A State says whether a Controller accepts new requests.
type State int

// The states of a Controller. All but StateOpen refuse new and waiting requests.
// Running requests are not affected.
const (
	StateOpen State = iota
	StateDraining
	StateZoneOut
	StateHostOut
	StateLeaving
)

var stateReasons = map[State]Reason{
	StateDraining: Draining, StateZoneOut: ZoneOut, StateHostOut: HostOut, StateLeaving: Leaving,
}

// A Load is what a node reports in the header Quetzaldock-Load, in requests.
type Load struct {
	Running int
	// Permits is the number of requests that may run at once.
	Permits int
	Queued  int
}

// A Controller admits requests to one backend server. Its exported fields must
// be set before the first call. It is safe for concurrent use.
type Controller struct {
	Now func() time.Time
	// WarmUp is the time in which a cold server warms up. The concurrency
	// limit takes at least this long to rise from ColdSlots to Slots.
	WarmUp time.Duration
	// ColdAfterIdle is the time without any request after which the state of
	// the server is unknown and it counts as cold again. Idle connections must
	// be kept open for longer than this.
	ColdAfterIdle time.Duration

	mu        sync.Mutex
	limits    Limits
	state     State
	running   int
	limiter   concurrencyLimiter
	fairQueue fairQueue
	pause     pauseDetector
	dialPacer dialPacer
}

// New returns an open Controller for a cold server, with the limits of a small
// one.
func New() *Controller {
	c := &Controller{Now: time.Now, WarmUp: 5 * time.Second, ColdAfterIdle: 10 * time.Second}
	c.fairQueue = fairQueue{accounts: map[string]*accountQueue{}, burst: burstRequests}
	c.Configure(Limits{Slots: 4, ColdSlots: 1, ConnectionsPerSecond: 100, QueuePerAccount: 64})
	return c
}

// Configure changes the limits. Integers below 1 count as 1, and ColdSlots above
// Slots as Slots. Running and waiting requests are kept even if they exceed the
// new limits. The map of weights must not be changed afterwards.
func (c *Controller) Configure(l Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.Slots = max(1, l.Slots)
	l.ColdSlots = min(max(1, l.ColdSlots), l.Slots)
	l.ConnectionsPerSecond = max(1, l.ConnectionsPerSecond)
	l.QueuePerAccount = max(1, l.QueuePerAccount)
	if !maps.Equal(l.Weights, c.limits.Weights) {
		c.fairQueue.setWeights(l.Weights)
	}
	c.limits = l
	c.limiter.permits = min(max(c.limiter.permits, l.ColdSlots), l.Slots)
	c.dispatch(c.Now())
}

// SetState changes whether new requests are accepted. Any state but StateOpen
// also refuses the waiting requests, since none of them has run.
func (c *Controller) SetState(s State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
	if s == StateOpen {
		return
	}
	for _, p := range c.fairQueue.drain() {
		p.refuse(stateReasons[s])
	}
}

// Load returns the current load.
func (c *Controller) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Load{Running: c.running, Permits: c.limiter.permits, Queued: c.fairQueue.queued}
}

// Tick must be called every 100 ms by one goroutine. It refuses waiting requests
// whose deadline has passed and detects pauses of the process.
func (c *Controller) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detectPause(now)
	c.pause.lastTick = now
	c.limiter.becomeColdIfIdle(c, now)
	for _, p := range c.fairQueue.removeExpired(now) {
		p.refuse(Late)
	}
	c.dispatch(now)
}

// Offer admits, queues or refuses a request without blocking. Exactly one result
// is set: a Slot if the request may run now, a PendingRequest if it waits, or a
// *Refusal.
func (c *Controller) Offer(req Request) (*Slot, *PendingRequest, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	c.detectPause(now)
	if req.ArrivedAt.IsZero() {
		req.ArrivedAt = now
	}
	if r := c.refusalReason(&req, now); r != "" {
		return nil, nil, NewRefusal(r)
	}
	c.limiter.becomeColdIfIdle(c, now)
	if c.fairQueue.queued == 0 && c.running < c.limiter.permits {
		return c.start(req.Account, now), nil, nil
	}
	a := c.fairQueue.accountQueue(req.Account)
	if len(a.requests) >= c.limits.QueuePerAccount {
		return nil, nil, NewRefusal(QueueFull)
	}
	if !req.Deadline.IsZero() && c.missesDeadline(a, &req, req.Deadline.Sub(now)) {
		return nil, nil, NewRefusal(Overloaded)
	}
	p := &PendingRequest{controller: c, request: req, accountQueue: a, ready: make(chan struct{})}
	c.fairQueue.push(p)
	return nil, p, nil
}

// refusalReason returns why a request is refused regardless of the load; empty
// if it is not.
func (c *Controller) refusalReason(req *Request, now time.Time) Reason {
	switch {
	case c.state != StateOpen:
		return stateReasons[c.state]
	case c.pause.covers(req.ArrivedAt):
		return Paused
	case !req.Deadline.IsZero() && !now.Before(req.Deadline):
		return Late
	}
	return ""
}

// start takes a slot. The caller holds the mutex.
func (c *Controller) start(account string, now time.Time) *Slot {
	c.running++
	c.limiter.recordStart(c.running, now)
	return &Slot{controller: c, account: account, startedAt: now, atLimit: c.running >= c.limiter.permits, epoch: c.limiter.epoch}
}

// dispatch starts waiting requests while slots are free.
func (c *Controller) dispatch(now time.Time) {
	for c.running < c.limiter.permits && c.fairQueue.queued > 0 {
		p := c.fairQueue.popNext()
		if r := c.refusalReason(&p.request, now); r != "" {
			p.refuse(r)
			continue
		}
		s := c.start(p.request.Account, now)
		s.chargedTime = p.chargedTime
		p.slot = s
		close(p.ready)
	}
}

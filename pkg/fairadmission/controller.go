// Package fairadmission admits calls to the backend server beside the node.
//
// The gate is the only path to that server, so it can promise that a fresh
// server gets no more load than it bears, that a call which was refused was
// not run, and that no account takes the slots of the others. It opens no
// socket and starts no goroutine; the caller's own goroutine waits.
package fairadmission

import (
	"maps"
	"sync"
	"time"
)

// Limits configures a Gate.
type Limits struct {
	// Slots is the largest number of calls the server runs at once.
	Slots int
	// ColdSlots is the number of calls that a freshly started server bears.
	ColdSlots int
	// ConnectionsPerSecond limits new connections to the server.
	ConnectionsPerSecond int
	// QueuePerAccount limits the calls that one account may have waiting.
	QueuePerAccount int
	// Weights holds each account's share relative to the others, usually
	// its rate. An account that is not listed has the least weight.
	Weights map[string]float64
}

// A Call is what the gate needs to know of a request.
type Request struct {
	Account string
	// Deadline is the time after which no one waits for the answer; zero
	// means none.
	Deadline time.Time
	// ArrivedAt is the time at which the request was read from its
	// connection; zero means now.
	ArrivedAt time.Time
}

// A State says whether the gate takes new work.
type State int

// The states of a gate. All but Open refuse new and waiting calls; calls
// that run are finished.
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

// A Load is what a gate reports in the header Quetzaldock-Load.
type Load struct {
	Running int
	Permits int
	Queued  int
}

// A Gate admits calls to one backend server. Its exported fields are set
// before the first call. It is safe for concurrent use.
type Controller struct {
	Now func() time.Time
	// WarmUp is the time in which a cold server warms up. The concurrency
	// limit takes at least as long from ColdSlots to Slots.
	WarmUp time.Duration
	// IdleReset is the time without any call after which the server's state
	// is unknown and the gate is cold again. Idle connections must be kept
	// open for longer than this.
	ColdAfterIdle time.Duration

	mu      sync.Mutex
	limits  Limits
	state   State
	running int
	limit   limiter
	queues  queues
	pause   pauses
	dials   dials
}

// New returns a cold, open gate with the limits of a small server.
func New() *Controller {
	g := &Controller{Now: time.Now, WarmUp: 5 * time.Second, ColdAfterIdle: 10 * time.Second}
	g.queues = queues{accounts: map[string]*account{}, burst: burstCalls}
	g.Configure(Limits{Slots: 4, ColdSlots: 1, ConnectionsPerSecond: 100, QueuePerAccount: 64})
	return g
}

// Configure changes the limits. Calls that run or wait are kept even where
// the new limits would have refused them. The map of weights must not be
// changed afterwards.
func (g *Controller) Configure(l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l.Slots = max(1, l.Slots)
	l.ColdSlots = min(max(1, l.ColdSlots), l.Slots)
	l.ConnectionsPerSecond = max(1, l.ConnectionsPerSecond)
	l.QueuePerAccount = max(1, l.QueuePerAccount)
	if !maps.Equal(l.Weights, g.limits.Weights) {
		g.queues.reweigh(l.Weights)
	}
	g.limits = l
	g.limit.permits = min(max(g.limit.permits, l.ColdSlots), l.Slots)
	g.dispatch(g.Now())
}

// SetState opens or closes the gate for new work. A closed gate refuses the
// calls that wait, since none of them has been run.
func (g *Controller) SetState(s State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = s
	if s == StateOpen {
		return
	}
	for _, p := range g.queues.drain() {
		p.refuse(stateReasons[s])
	}
}

// Load returns the present load.
func (g *Controller) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{Running: g.running, Permits: g.limit.permits, Queued: g.queues.queued}
}

// Tick must be called every 100 ms by one goroutine. It refuses waiting
// calls whose deadline has passed and notices pauses of the process.
func (g *Controller) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(now)
	g.pause.lastTick = now
	g.limit.idle(g, now)
	for _, p := range g.queues.expired(now) {
		p.refuse(Late)
	}
	g.dispatch(now)
}

// Offer admits a call without blocking. Exactly one result is set: a Ticket
// for a call that may run now, a Pending for one that waits, or a *Refusal.
func (g *Controller) Offer(c Request) (*Slot, *PendingRequest, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	g.wake(now)
	if c.ArrivedAt.IsZero() {
		c.ArrivedAt = now
	}
	if r := g.refusal(&c, now); r != "" {
		return nil, nil, NewRefusal(r)
	}
	g.limit.idle(g, now)
	if g.queues.queued == 0 && g.running < g.limit.permits {
		return g.start(c.Account, now), nil, nil
	}
	a := g.queues.account(c.Account)
	if len(a.calls) >= g.limits.QueuePerAccount {
		return nil, nil, NewRefusal(QueueFull)
	}
	if !c.Deadline.IsZero() && g.tooLate(a, &c, c.Deadline.Sub(now)) {
		return nil, nil, NewRefusal(Overloaded)
	}
	p := &PendingRequest{gate: g, call: c, account: a, ready: make(chan struct{})}
	g.queues.push(p)
	return nil, p, nil
}

func (g *Controller) refusal(c *Request, now time.Time) Reason {
	switch {
	case g.state != StateOpen:
		return stateReasons[g.state]
	case g.pause.covers(c.ArrivedAt):
		return Paused
	case !c.Deadline.IsZero() && !now.Before(c.Deadline):
		return Late
	}
	return ""
}

// start takes a slot. The caller holds the mutex.
func (g *Controller) start(account string, now time.Time) *Slot {
	g.running++
	g.limit.started(g.running, now)
	return &Slot{gate: g, account: account, start: now, limited: g.running >= g.limit.permits, epoch: g.limit.epoch}
}

// dispatch starts waiting calls while there are free slots.
func (g *Controller) dispatch(now time.Time) {
	for g.running < g.limit.permits && g.queues.queued > 0 {
		p := g.queues.next()
		if r := g.refusal(&p.call, now); r != "" {
			p.refuse(r)
			continue
		}
		t := g.start(p.call.Account, now)
		t.charged = p.charged
		p.ticket = t
		close(p.ready)
	}
}

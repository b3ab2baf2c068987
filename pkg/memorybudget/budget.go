// Package memorybudget divides the memory of a process among the connections of
// clients, and decides which connections are closed when it is used up.
//
// Each connection holds a Share. What is to be read or buffered for it is reserved
// from the Budget before. If the budget is nearly used up, idle connections are closed
// first and then those whose peer makes the least progress. If that does not suffice,
// the reservation fails.
package memorybudget

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shedAbove and shedTo are the parts of what a reservation may fill, in percent,
	// above which connections are closed and down to which they are. The rest is room
	// while the closed ones end.
	shedAbove = 90
	shedTo    = 80
	// sharedPart is the part of the budget, in percent, that is not kept for groups with
	// KeepRoom. bulkPart is the part that large headers and bodies may fill, so that
	// short requests are served beside them.
	sharedPart = 94
	bulkPart   = 70
	percent    = 100
	// connectionShedAbove and connectionShedTo are the same for the number of connections.
	connectionShedAbove = 94
	connectionShedTo    = 70
	// hardInterval and softInterval are the times between two searches for connections
	// to close, which visit all connections.
	hardInterval = 2 * time.Millisecond
	softInterval = 50 * time.Millisecond
	// softGrace and hardGrace are how far a peer may lag behind the minimum rate
	// while the budget is nearly used up and while it is used up. silentGrace replaces
	// hardGrace for a connection without a byte: clients that only connect, again and
	// again, would otherwise hold all connections.
	softGrace   = 500 * time.Millisecond
	hardGrace   = 50 * time.Millisecond
	silentGrace = 5 * time.Millisecond
	// maxWaiting is the number of reservations that wait for memory at a time. What has
	// been reserved for their requests before stays in use meanwhile.
	maxWaiting = 32
)

// A Budget is the memory that connections may use together. It is safe for concurrent
// use.
type Budget struct {
	now   func() time.Time
	epoch time.Time

	limit, maxConnections atomic.Int64
	used                  atomic.Int64
	open                  atomic.Int64
	// shedBytes and shedOpen count the closed connections whose shares have not ended.
	shedBytes, shedOpen atomic.Int64
	// memoryPace and openPace limit the searches for memory and for descriptors.
	memoryPace, openPace pace

	mu     sync.Mutex
	shares map[*Share]struct{}
	// waiting counts the reservations that wait for freed to be closed.
	waiting atomic.Int64
	freed   chan struct{}
}

// New returns a budget of limit bytes for at most maxConnections connections.
func New(limit int64, maxConnections int, now func() time.Time) *Budget {
	b := &Budget{now: now, epoch: now(), shares: map[*Share]struct{}{}, freed: make(chan struct{})}
	b.SetLimit(limit, maxConnections)
	return b
}

// SetLimit changes the limits.
func (b *Budget) SetLimit(limit int64, maxConnections int) {
	b.limit.Store(limit)
	b.maxConnections.Store(int64(maxConnections))
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit.Load() }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Open returns the number of shares.
func (b *Budget) Open() int { return int(b.open.Load()) }

// A pace limits how often connections are searched. Its fields are the times of the next
// searches, in nanoseconds since epoch.
type pace struct{ hard, soft atomic.Int64 }

// due reports whether a search may begin now.
func (p *pace) due(now int64, grace time.Duration) bool {
	t, interval := &p.soft, softInterval
	if grace == hardGrace {
		t, interval = &p.hard, hardInterval
	}
	next := t.Load()
	return now >= next && t.CompareAndSwap(next, now+int64(interval))
}

// clock returns the time since epoch in nanoseconds, at least 1.
func (b *Budget) clock() int64 { return max(1, int64(b.now().Sub(b.epoch))) }

// A Group is the connections of one listener.
type Group struct {
	Budget *Budget
	// MaxConnections is the number of connections above which others are closed or
	// new ones refused.
	MaxConnections func() int
	// ConnectionBytes is what an open connection takes.
	ConnectionBytes int64
	// KeepRoom is set for listeners that stay usable while callers use up the budget.
	KeepRoom bool
	// Grace is added to how far a peer may lag behind the minimum rate before it is closed
	// for lack of memory.
	Grace time.Duration
	// MinIdle is how long a connection is idle before it is closed for lack of memory.
	MinIdle time.Duration

	open, shedOpen atomic.Int64
	pace           pace
}

// limit returns how many bytes are used at most after a reservation of the group.
func (g *Group) limit(bulk bool) int64 {
	l := g.Budget.limit.Load()
	switch {
	case bulk:
		return l / percent * bulkPart
	case g.KeepRoom:
		return l
	}
	return l / percent * sharedPart
}

// Join returns the share of a new connection, or nil and the limit that refuses it.
func (g *Group) Join(c Connection) (*Share, Limit) {
	b := g.Budget
	if !b.makeRoom(g.unshed, int64(g.MaxConnections()), g, &g.pace) {
		return nil, ListenerConnections
	}
	if !b.makeRoom(b.unshed, b.maxConnections.Load(), nil, &b.openPace) {
		return nil, ProcessConnections
	}
	s := &Share{group: g, conn: c}
	s.in.begin(b.clock())
	if !s.Reserve(g.ConnectionBytes, 0) {
		return nil, Memory
	}
	g.open.Add(1)
	b.open.Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares[s] = struct{}{}
	return s, ""
}

// unshed returns the number of connections that are not being closed.
func (g *Group) unshed() int64 { return g.open.Load() - g.shedOpen.Load() }

func (b *Budget) unshed() int64 { return b.open.Load() - b.shedOpen.Load() }

// makeRoom reports whether there is room for one more connection, for which it closes
// others, of one group unless it is nil.
func (b *Budget) makeRoom(open func() int64, limit int64, g *Group, p *pace) bool {
	n := open()
	if n*percent < limit*connectionShedAbove {
		return true
	}
	grace := softGrace
	if n >= limit {
		grace = hardGrace
	}
	if p.due(b.clock(), grace) {
		b.shed(grace, g, func() bool { return open()*percent <= limit*connectionShedTo })
	}
	return open() < limit
}

// tryReserve adds n to the reserved bytes unless they exceed limit then.
func (b *Budget) tryReserve(n, limit int64) bool {
	if b.used.Add(n) <= limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// release takes n from the reserved bytes.
func (b *Budget) release(n int64) {
	b.used.Add(-n)
	if b.waiting.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.freed)
	b.freed = make(chan struct{})
}

// reserve reserves n bytes unless more than limit are used then. If that needs
// connections to be closed, it waits for their end for at most wait.
func (b *Budget) reserve(n, limit int64, wait time.Duration) bool {
	if b.tryReserve(n, limit) {
		if above := limit / percent * shedAbove; b.used.Load()-b.shedBytes.Load() > above {
			b.shedDown(softGrace, limit, n)
		}
		return true
	}
	b.shedDown(hardGrace, limit, n)
	if b.tryReserve(n, limit) {
		return true
	}
	return wait > 0 && b.waiting.Load() < maxWaiting && b.awaitRoom(n, limit, wait)
}

// awaitRoom reserves n bytes once there is room for them.
func (b *Budget) awaitRoom(n, limit int64, wait time.Duration) bool {
	b.waiting.Add(1)
	defer b.waiting.Add(-1)
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		b.mu.Lock()
		freed := b.freed
		b.mu.Unlock()
		if b.tryReserve(n, limit) {
			return true
		}
		select {
		case <-freed:
		case <-t.C:
			return false
		}
	}
}

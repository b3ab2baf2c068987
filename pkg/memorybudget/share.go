package memorybudget

import (
	"sync/atomic"
	"time"
)

// A Limit names what a connection was refused or closed for.
type Limit string

// The limits that this package decides about.
const (
	// ListenerConnections and ProcessConnections are the numbers of connections of a
	// listener and of the process.
	ListenerConnections Limit = "ListenerConnections"
	ProcessConnections  Limit = "ProcessConnections"
	// Memory is the size of the budget.
	Memory Limit = "Memory"
	// Idle connections are closed for lack of memory.
	Idle Limit = "MemoryIdle"
	// StalledHeader, StalledBody and StalledReader are peers that send a header or a
	// body or read a response too slowly while memory is short.
	StalledHeader Limit = "MemoryStalledHeader"
	StalledBody   Limit = "MemoryStalledBody"
	StalledReader Limit = "MemoryStalledReader"
	// HeaderTime, BodyTime and ReadTime are the time limits that always apply.
	HeaderTime Limit = "HeaderTime"
	BodyTime   Limit = "BodyTime"
	ReadTime   Limit = "ReadTime"
)

// A Connection is a connection that can be closed.
type Connection interface {
	// Shed closes the connection. It reports false if the connection stays open since
	// a request has arrived on it.
	Shed(reason Limit) bool
}

// The phases of a connection.
const (
	// phaseNew lasts until the first byte.
	phaseNew int32 = iota
	phaseIdle
	phaseHeader
	phaseRunning
	// phaseShed is set for a connection that is closed before a request was read.
	phaseShed
)

// nanosPerByte is the inverse of the rate, 16 KiB a second, below which a peer falls
// behind. Peers that do are closed only while memory is short.
const nanosPerByte = int64(time.Second) / (16 << 10)

// A track measures the progress of one direction of a connection.
type track struct {
	// since is when the present wait for the peer began, zero between waits.
	since atomic.Int64
	// waited is the sum of the earlier waits.
	waited atomic.Int64
	bytes  atomic.Int64
}

func (t *track) begin(now int64) { t.since.Store(now) }

func (t *track) end(now, n int64) {
	if since := t.since.Swap(0); since > 0 {
		t.waited.Add(now - since)
	}
	t.bytes.Add(n)
}

func (t *track) reset() {
	t.since.Store(0)
	t.waited.Store(0)
	t.bytes.Store(0)
}

// wait returns how long the present wait has lasted.
func (t *track) wait(now int64) int64 {
	if since := t.since.Load(); since > 0 {
		return now - since
	}
	return 0
}

// lag returns how long the peer has made no progress, or by how much longer it was
// waited for than it may take at the minimum rate. It is zero between waits.
func (t *track) lag(now int64) int64 {
	w := t.wait(now)
	if w == 0 {
		return 0
	}
	return max(w, w+t.waited.Load()-t.bytes.Load()*nanosPerByte)
}

// A Share is the memory of one connection and the progress of its peer.
type Share struct {
	group *Group
	conn  Connection
	bytes atomic.Int64
	phase atomic.Int32
	// idleSince is when the connection became idle last.
	idleSince atomic.Int64
	// in measures the header or body that arrives, out the response.
	in, out track
	// shedBytes is what the share held when its connection was closed, zero before.
	shedBytes atomic.Int64
	left      atomic.Bool
}

// Reserve reserves n bytes for a connection, a short header or a request. It may wait for
// other connections to close.
func (s *Share) Reserve(n int64, wait time.Duration) bool { return s.reserve(n, false, wait) }

// ReserveBulk is Reserve for a long header, a body or a response.
func (s *Share) ReserveBulk(n int64, wait time.Duration) bool { return s.reserve(n, true, wait) }

func (s *Share) reserve(n int64, bulk bool, wait time.Duration) bool {
	if n > 0 && !s.group.Budget.reserve(n, s.group.limit(bulk), wait) {
		return false
	}
	s.bytes.Add(n)
	return true
}

// Release returns n reserved bytes.
func (s *Share) Release(n int64) {
	if n > 0 {
		s.bytes.Add(-n)
		s.group.Budget.release(n)
	}
}

// Idle records that the connection waits for its next request.
func (s *Share) Idle() {
	s.in.reset()
	s.out.reset()
	s.idleSince.Store(s.group.Budget.clock())
	s.phase.CompareAndSwap(phaseRunning, phaseIdle)
}

// HeaderArrived records n bytes of a header.
func (s *Share) HeaderArrived(n int) {
	if p := s.phase.Load(); p == phaseNew || p == phaseIdle {
		s.in.reset()
		s.in.begin(s.group.Budget.clock())
		s.phase.CompareAndSwap(p, phaseHeader)
	}
	s.in.bytes.Add(int64(n))
}

// Start records that a header has been read. It reports false if the connection was
// closed before.
func (s *Share) Start() bool {
	for {
		p := s.phase.Load()
		if p == phaseShed {
			return false
		}
		if s.phase.CompareAndSwap(p, phaseRunning) {
			s.in.reset()
			s.out.reset()
			return true
		}
	}
}

// AwaitBody records that a part of a body is waited for.
func (s *Share) AwaitBody() { s.in.begin(s.group.Budget.clock()) }

// BodyArrived ends AwaitBody with n bytes.
func (s *Share) BodyArrived(n int) { s.in.end(s.group.Budget.clock(), int64(n)) }

// AwaitWrite records that a part of a response is written.
func (s *Share) AwaitWrite() { s.out.begin(s.group.Budget.clock()) }

// Written ends AwaitWrite with n bytes.
func (s *Share) Written(n int) { s.out.end(s.group.Budget.clock(), int64(n)) }

// Leave ends the share when its connection has closed.
func (s *Share) Leave() {
	if s.left.Swap(true) {
		return
	}
	g, b := s.group, s.group.Budget
	b.mu.Lock()
	delete(b.shares, s)
	if n := s.shedBytes.Load(); n > 0 {
		b.shedBytes.Add(-n)
		b.shedOpen.Add(-1)
		g.shedOpen.Add(-1)
	}
	b.mu.Unlock()
	g.open.Add(-1)
	b.open.Add(-1)
	b.release(s.bytes.Swap(0))
}

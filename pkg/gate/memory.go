package gate

import (
	"sync"
	"time"

	"github.com/google/uuid"
)

const (
	// MemoryWindow is the time for which a key is remembered. Callers must
	// not repeat a request with a key that is older.
	MemoryWindow = 10 * time.Minute
	// MemoryKeys is the default limit of remembered keys.
	MemoryKeys = 100_000
	// KeySkew is how far a caller's clock may be ahead of this host's.
	KeySkew = 2 * time.Second
)

// A Key identifies a non-idempotent request.
type Key struct {
	Service string
	Account string
	// Value is the header Idempotency-Key.
	Value string
}

// A Verdict is what to do with a request that carries a key.
type Verdict int

// The verdicts of Memory.Begin.
const (
	// Run: the request was never run; Finish must follow.
	Run Verdict = iota
	// Running: the request runs now; this repeat must not run.
	Running
	// Done: the request ran; Answer.Status is its status.
	Done
	// Unknown: the request may have run here or elsewhere, and must not run.
	Unknown
	// Full: no more keys can be remembered, so the request must not run.
	Full
	// Elsewhere: another host owns the key, so the request must not run here.
	Elsewhere
)

// An Answer is the result of Memory.Begin.
type Answer struct {
	Verdict Verdict
	// Status is the HTTP status of the finished request, for Done only.
	Status int
}

// A Result says how a request that began with Run ended.
type Result int

// The results of a request with a key.
const (
	// Answered: the server answered; the status is remembered.
	Answered Result = iota
	// NotStarted: the request was provably not run; the key is forgotten.
	NotStarted
	// Lost: the request may have run, and its answer is lost.
	Lost
)

type entry struct {
	answer Answer
	// until is the time to forget the key; zero while the request runs.
	until time.Time
}

// Memory remembers the keys of non-idempotent requests, so that repeats
// never run twice. Invariant: a key is forgotten only when Begin would
// refuse it for its age, or when its request provably did not run.
// It is safe for concurrent use. Times are wall clock times of the host.
type Memory struct {
	// Limit is the largest number of remembered keys.
	Limit int
	// Since returns from when on this host alone runs requests with the key,
	// and false if another host owns it.
	Since func(Key) (time.Time, bool)

	mu      sync.Mutex
	entries map[Key]*entry
	// order holds finished keys in the order in which they are forgotten.
	order []Key
}

// NewMemory returns an empty Memory for a process that may have lost what it
// knew before.
func NewMemory(since func(Key) (time.Time, bool)) *Memory {
	return &Memory{Limit: MemoryKeys, Since: since, entries: map[Key]*entry{}}
}

// Begin decides about a request with the key k at the time now.
func (m *Memory) Begin(k Key, now time.Time) Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget(now)
	if e := m.entries[k]; e != nil {
		return e.answer
	}
	since, owner := m.Since(k)
	if !owner {
		return Answer{Verdict: Elsewhere}
	}
	if !fresh(k.Value, since, now) {
		return Answer{Verdict: Unknown}
	}
	if len(m.entries) >= m.Limit {
		return Answer{Verdict: Full}
	}
	m.entries[k] = &entry{answer: Answer{Verdict: Running}}
	return Answer{Verdict: Run}
}

// fresh reports whether no request with the key can have run before since,
// or so long ago that it was forgotten.
func fresh(value string, since, now time.Time) bool {
	made, ok := keyTime(value)
	if !ok {
		// The key's age is unknown: it is fresh only if any earlier request
		// would still be remembered.
		return now.Sub(since) >= MemoryWindow
	}
	return !made.Before(since) && now.Sub(made) < MemoryWindow && made.Sub(now) <= KeySkew
}

// keyTime returns the time at which a UUIDv7 was made.
func keyTime(value string) (time.Time, bool) {
	u, err := uuid.Parse(value)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	ms := int64(0)
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// Finish records how a request ended that Begin let run.
func (m *Memory) Finish(k Key, r Result, status int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entries[k]
	if e == nil || e.answer.Verdict != Running {
		return
	}
	switch r {
	case NotStarted:
		delete(m.entries, k)
		return
	case Answered:
		e.answer = Answer{Verdict: Done, Status: status}
	default:
		e.answer = Answer{Verdict: Unknown}
	}
	// A key's own time may be ahead by KeySkew.
	e.until = now.Add(MemoryWindow + KeySkew)
	m.order = append(m.order, k)
}

// forget drops keys whose time has come. Finish appends in order of time, so
// the oldest come first.
func (m *Memory) forget(now time.Time) {
	n := 0
	for n < len(m.order) && now.After(m.entries[m.order[n]].until) {
		delete(m.entries, m.order[n])
		n++
	}
	m.order = m.order[n:]
}

// Len returns the number of remembered keys.
func (m *Memory) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.entries)
}

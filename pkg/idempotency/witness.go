package idempotency

import (
	"sync"
	"time"
)

// A Verdict is a witness's decision on a claim.
type Verdict int

// Verdicts. The numbers are sent to other hosts.
const (
	// VerdictNoAnswer: the witness did not answer.
	VerdictNoAnswer Verdict = iota
	// VerdictGranted: the witness granted the key to the holder.
	VerdictGranted
	// VerdictInProgress: another holder may be running the request.
	VerdictInProgress
	// VerdictAnswered: another holder's request was answered with Answer.Status.
	VerdictAnswered
	// VerdictOutcomeUnknown: another holder's request may have run, but its
	// answer was lost.
	VerdictOutcomeUnknown
	// VerdictAbstained: the witness cannot know whether the request has run.
	VerdictAbstained
	// VerdictMemoryFull: the witness already remembers MaxKeys keys.
	VerdictMemoryFull
)

// An Answer is a witness's answer to a claim.
type Answer struct {
	Verdict Verdict
	// Status is the HTTP status of the earlier request. It is set only with
	// VerdictAnswered.
	Status int
}

// An Outcome is how a claimed request ended.
type Outcome int

// Outcomes of a claimed request. The numbers are sent to other hosts.
const (
	// OutcomeNotRun: the request certainly did not run, so the key is free again.
	OutcomeNotRun Outcome = iota
	// OutcomeAnswered: the request was answered.
	OutcomeAnswered
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown
)

// A record is what a witness remembers of a key.
type record struct {
	holder string
	answer Answer
	// until is when the record is removed. After that every claim of the key is
	// refused because of its age.
	until time.Time
}

// A Witness grants keys to holders and remembers them. Its invariant: a key
// that was granted is not granted to another holder for KeyRetention, unless the
// holder reported that the request did not run. It is safe for concurrent use.
// Its times are wall clock times.
type Witness struct {
	// Self is this host's ID.
	Self string
	// MaxKeys is the maximum number of keys; set before first use.
	MaxKeys int

	mu        sync.Mutex
	selectors []selectorSince
	records   map[Key]*record
	// expiries holds the granted keys in the order in which they are removed.
	expiries []expiry
}

// A selectorSince is a selector and the time at which its configuration was
// accepted.
type selectorSince struct {
	selector *WitnessSelector
	since    time.Time
}

// An expiry is a key and the time at which its record is removed.
type expiry struct {
	key   Key
	until time.Time
}

// NewWitness returns the witness of a process that has just started and
// remembers no key. self is the host's ID.
func NewWitness(self string) *Witness {
	return &Witness{Self: self, MaxKeys: MaxKeys, records: map[Key]*record{}}
}

// Configure sets the selector of a newly accepted configuration.
func (w *Witness) Configure(selector *WitnessSelector, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// The memory for a selector counts from ActivationDelay after it was set, see
	// witnessSince. Once that is KeyRetention ago, earlier selectors do not
	// matter: keys of their time are refused because of their age.
	for len(w.selectors) > 1 && now.Sub(w.selectors[1].since) > KeyRetention+ActivationDelay {
		w.selectors = w.selectors[1:]
	}
	if n := len(w.selectors); n > 0 && w.selectors[n-1].selector.equal(selector) {
		return
	}
	w.selectors = append(w.selectors, selectorSince{selector, now})
}

// equal reports whether both selectors have the same hosts.
func (s *WitnessSelector) equal(other *WitnessSelector) bool {
	if len(s.hostIDs) != len(other.hostIDs) {
		return false
	}
	for service, zones := range s.hostIDs {
		if len(zones) != len(other.hostIDs[service]) {
			return false
		}
		for zone, ids := range zones {
			if !sameIDs(ids, other.hostIDs[service][zone]) {
				return false
			}
		}
	}
	return true
}

// sameIDs reports whether a and b hold the same IDs in any order.
func sameIDs(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for _, id := range a {
		if !contains(b, id) {
			return false
		}
	}
	return true
}

// Claim grants the key to the holder or returns why not. A holder is identified
// by a random string. If it repeats its claim before Finish, it gets the same
// answer.
func (w *Witness) Claim(k Key, holder string, now time.Time) Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeExpired(now)
	if r := w.records[k]; r != nil {
		if r.holder == holder && r.answer.Verdict == VerdictInProgress {
			return Answer{Verdict: VerdictGranted}
		}
		return r.answer
	}
	if !w.hasFullHistory(k, now) {
		return Answer{Verdict: VerdictAbstained}
	}
	if len(w.expiries) >= w.MaxKeys {
		return Answer{Verdict: VerdictMemoryFull}
	}
	until := now.Add(KeyRetention + MaxClockSkew)
	w.records[k] = &record{holder: holder, answer: Answer{Verdict: VerdictInProgress}, until: until}
	w.expiries = append(w.expiries, expiry{k, until})
	return Answer{Verdict: VerdictGranted}
}

// hasFullHistory reports whether this witness would remember every earlier
// claim of the key.
func (w *Witness) hasFullHistory(k Key, now time.Time) bool {
	since, ok := w.witnessSince(k)
	if !ok {
		return false
	}
	createdAt, ok := k.createdAt()
	if !ok {
		return now.Sub(since) >= KeyRetention
	}
	return !createdAt.Before(since) && now.Sub(createdAt) < KeyRetention && createdAt.Sub(now) <= MaxClockSkew
}

// witnessSince returns from when on this host remembers every claim of the key:
// ActivationDelay after it became a witness of the key. It returns false if the
// host is not a witness of the key.
func (w *Witness) witnessSince(k Key) (time.Time, bool) {
	var since time.Time
	isWitness := false
	for i := len(w.selectors) - 1; i >= 0 && contains(w.selectors[i].selector.Witnesses(k), w.Self); i-- {
		since, isWitness = w.selectors[i].since, true
	}
	return since.Add(ActivationDelay), isWitness
}

// Finish records how the holder's request ended. It has no effect if the key
// was not granted to the holder.
func (w *Witness) Finish(k Key, holder string, o Outcome, status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.records[k]
	if r == nil || r.holder != holder || r.answer.Verdict != VerdictInProgress {
		return
	}
	switch o {
	case OutcomeNotRun:
		delete(w.records, k)
	case OutcomeAnswered:
		r.answer = Answer{Verdict: VerdictAnswered, Status: status}
	default:
		r.answer = Answer{Verdict: VerdictOutcomeUnknown}
	}
}

// removeExpired removes the records whose time has passed.
func (w *Witness) removeExpired(now time.Time) {
	expired := 0
	for expired < len(w.expiries) && now.After(w.expiries[expired].until) {
		e := w.expiries[expired]
		if r := w.records[e.key]; r != nil && r.until.Equal(e.until) {
			delete(w.records, e.key)
		}
		expired++
	}
	w.expiries = w.expiries[expired:]
}

// Len returns the number of remembered keys.
func (w *Witness) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.records)
}

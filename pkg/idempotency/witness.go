package idempotency

import (
	"sync"
	"time"
)

// A Verdict is a witness's answer to a claim.
type Verdict int

// The verdicts. No answer at all counts as Absent.
const (
	// Absent: the witness did not answer.
	VerdictNoAnswer Verdict = iota
	// Granted: the holder may run the request as far as this witness knows.
	VerdictGranted
	// Held: another holder may be running the request.
	VerdictInProgress
	// Done: another holder's request was answered, see Answer.Status.
	VerdictAnswered
	// Lost: another holder's request may have run; its answer is lost.
	VerdictOutcomeUnknown
	// Abstained: the witness cannot know whether the request has run.
	VerdictAbstained
	// Full: the witness remembers as many keys as it can.
	VerdictMemoryFull
)

// An Answer is a witness's answer to a claim.
type Answer struct {
	Verdict Verdict
	// Status is the HTTP status of the earlier request, for Done only.
	Status int
}

// An Outcome says how a claimed request ended.
type Outcome int

// The outcomes of a claimed request.
const (
	// NotRun: the request provably did not run; the key is free again.
	OutcomeNotRun Outcome = iota
	// Answered: the request was answered.
	OutcomeAnswered
	// Unknown: the request may have run.
	OutcomeUnknown
)

// A record is what a witness remembers of a key.
type record struct {
	holder string
	answer Answer
	// until is when the record is forgotten. By then every claim with the key
	// is refused for its age.
	until time.Time
}

// A Witness remembers which holder a key was granted to. Its invariant: a key
// that was granted is granted to no other holder for Window, unless the
// holder reported that the request did not run. It is safe for concurrent
// use; times are wall clock times.
type Witness struct {
	// Self is this host's ID.
	Self string
	// MaxKeys bounds the records; set before first use.
	MaxKeys int

	mu      sync.Mutex
	panels  []panelSince
	records map[Key]*record
	// order holds granted keys in the order in which they are forgotten.
	order []expiry
}

// A panelSince is a panel with the time of its acceptance.
type panelSince struct {
	panel *WitnessSelector
	since time.Time
}

type expiry struct {
	key   Key
	until time.Time
}

// NewWitness returns the witness of a process that has just started and knows
// of no key.
func NewWitness(self string) *Witness {
	return &Witness{Self: self, MaxKeys: MaxKeys, records: map[Key]*record{}}
}

// Configure takes over the panel of a newly accepted configuration.
func (w *Witness) Configure(p *WitnessSelector, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// A panel that was replaced before the window no longer matters: keys of
	// that time are refused for their age.
	for len(w.panels) > 1 && now.Sub(w.panels[1].since) > KeyRetention+ActivationDelay {
		w.panels = w.panels[1:]
	}
	if n := len(w.panels); n > 0 && w.panels[n-1].panel.equal(p) {
		return
	}
	w.panels = append(w.panels, panelSince{p, now})
}

// equal reports whether both panels name the same hosts.
func (p *WitnessSelector) equal(q *WitnessSelector) bool {
	if len(p.zones) != len(q.zones) {
		return false
	}
	for s, zones := range p.zones {
		if len(zones) != len(q.zones[s]) {
			return false
		}
		for z, ids := range zones {
			if !sameIDs(ids, q.zones[s][z]) {
				return false
			}
		}
	}
	return true
}

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

// Claim grants the key to the holder or says why not. Holders are named by
// random strings. A repeated claim of the same holder has the same answer.
func (w *Witness) Claim(k Key, holder string, now time.Time) Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forget(now)
	if r := w.records[k]; r != nil {
		if r.holder == holder && r.answer.Verdict == VerdictInProgress {
			return Answer{Verdict: VerdictGranted}
		}
		return r.answer
	}
	if !w.knows(k, now) {
		return Answer{Verdict: VerdictAbstained}
	}
	if len(w.order) >= w.MaxKeys {
		return Answer{Verdict: VerdictMemoryFull}
	}
	until := now.Add(KeyRetention + MaxClockSkew)
	w.records[k] = &record{holder: holder, answer: Answer{Verdict: VerdictInProgress}, until: until}
	w.order = append(w.order, expiry{k, until})
	return Answer{Verdict: VerdictGranted}
}

// knows reports whether any earlier claim of the key would be on record here.
func (w *Witness) knows(k Key, now time.Time) bool {
	since, ok := w.since(k)
	if !ok {
		return false
	}
	made, ok := k.made()
	if !ok {
		return now.Sub(since) >= KeyRetention
	}
	return !made.Before(since) && now.Sub(made) < KeyRetention && made.Sub(now) <= MaxClockSkew
}

// since returns from when on this host has been a witness of the key.
func (w *Witness) since(k Key) (time.Time, bool) {
	var since time.Time
	is := false
	for i := len(w.panels) - 1; i >= 0 && contains(w.panels[i].panel.Witnesses(k), w.Self); i-- {
		since, is = w.panels[i].since, true
	}
	return since.Add(ActivationDelay), is
}

// Finish records how the holder's request ended. Reports of other holders
// have no effect.
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

// forget drops the records whose time has come.
func (w *Witness) forget(now time.Time) {
	n := 0
	for n < len(w.order) && now.After(w.order[n].until) {
		e := w.order[n]
		if r := w.records[e.key]; r != nil && r.until.Equal(e.until) {
			delete(w.records, e.key)
		}
		n++
	}
	w.order = w.order[n:]
}

// Len returns the number of remembered keys.
func (w *Witness) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.records)
}

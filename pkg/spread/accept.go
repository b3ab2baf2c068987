package spread

import (
	"slices"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// nextWhole claims a complete target for judgement.
func (r *Replica) nextWhole() *target {
	for _, t := range r.targets {
		if !t.judging && t.complete() {
			t.judging = true
			return t
		}
	}
	return nil
}

// judge accepts or refuses a complete target. Accept runs without the lock
// because it may take tens of milliseconds.
func (r *Replica) judge(t *target, a *Action) error {
	s, err := r.Accept(t.manifest, t.parts)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.refuse(t.version, t.digest, err, a)
		return Rejected.Wrap(err, "version %d", t.version)
	}
	r.install(t, s, a)
	return nil
}

// install makes an accepted version the held one. It never replaces a version
// by an older one.
func (r *Replica) install(t *target, s *config.Snapshot, a *Action) {
	if r.held != nil && s.Version <= r.held.snapshot.Version {
		if s.Version == r.held.snapshot.Version && s.Digest != r.held.snapshot.Digest {
			r.conflict(s.Version, s.Digest, "", a)
		}
		r.dropTargets()
		return
	}
	parts := map[string][]byte{}
	for _, d := range t.refs {
		parts[d] = t.parts[d]
	}
	r.held = &heldVersion{snapshot: s, manifest: t.manifest, parts: parts}
	// A confirmation of an older version still counts: at that time there was
	// nothing newer, so nothing newer than this version either.
	r.confirm(t.askedAt)
	r.dropTargets()
	now := r.Now()
	if r.ready {
		r.putInForce(now, a)
	}
	a.Push = r.pushTo()
	r.settle(now, a)
}

func (r *Replica) dropTargets() {
	r.targets = slices.DeleteFunc(r.targets, func(t *target) bool {
		return t.version <= r.held.snapshot.Version
	})
}

// refuse remembers the digest of an invalid version and reports it once.
func (r *Replica) refuse(v uint64, digest string, err error, a *Action) {
	r.targets = slices.DeleteFunc(r.targets, func(t *target) bool { return t.digest == digest })
	if remember(r.refused, digest) {
		r.refusals++
		r.note(Refusal{Version: v, Digest: digest, Reason: err.Error()})
		a.event(VersionRefused, v, digest, "", err)
	}
}

// A Refusal is a version that was not accepted.
type Refusal struct {
	Version uint64
	Digest  string
	Reason  string
}

// shownRefusals is the number of refusals kept for operators.
const shownRefusals = 8

func (r *Replica) note(f Refusal) {
	r.lastRefusals = append(r.lastRefusals, f)
	if n := len(r.lastRefusals); n > shownRefusals {
		r.lastRefusals = slices.Clone(r.lastRefusals[n-shownRefusals:])
	}
}

// Refusals returns the latest refused versions, the newest last.
func (r *Replica) Refusals() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.lastRefusals)
}

// conflict reports once that the held version's number came with another
// digest. The digest accepted first stays in force.
func (r *Replica) conflict(v uint64, digest, host string, a *Action) {
	if remember(r.conflicts, digest) {
		r.refusals++
		r.note(Refusal{Version: v, Digest: digest, Reason: "another digest of the same version was accepted first"})
		a.event(DigestConflict, v, digest, host, nil)
	}
}

// remember adds a digest to a bounded set and reports whether it is new.
func remember(set map[string]bool, digest string) bool {
	if set[digest] {
		return false
	}
	if len(set) >= maxRemembered {
		clear(set)
	}
	set[digest] = true
	return true
}

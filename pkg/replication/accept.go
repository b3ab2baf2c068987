package replication

import (
	"slices"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// claimComplete returns a completely fetched version and marks it as being
// validated, or returns nil if there is none.
func (r *Replica) claimComplete() *versionTransfer {
	for _, t := range r.versionTransfers {
		if !t.validating && t.complete() {
			t.validating = true
			return t
		}
	}
	return nil
}

// validate accepts or refuses a completely fetched version. Accept runs without
// the lock because it may take tens of milliseconds.
func (r *Replica) validate(t *versionTransfer, a *Action) error {
	s, err := r.Accept(t.manifest, t.parts)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.refuseVersion(t.version, t.digest, err, a)
		return Rejected.Wrap(err, "version %d", t.version)
	}
	r.install(t, s, a)
	return nil
}

// install stores a version that Accept accepted and puts it in force if the
// start has finished. It never replaces a version by an older one.
func (r *Replica) install(t *versionTransfer, s *config.Snapshot, a *Action) {
	if r.accepted != nil && s.Version <= r.accepted.snapshot.Version {
		if s.Version == r.accepted.snapshot.Version && s.Digest != r.accepted.snapshot.Digest {
			r.reportConflict(s.Version, s.Digest, "", a)
		}
		r.dropOldTransfers()
		return
	}
	parts := map[string][]byte{}
	for _, d := range t.partDigests {
		parts[d] = t.parts[d]
	}
	r.accepted = &acceptedVersion{snapshot: s, manifest: t.manifest, parts: parts}
	// An earlier confirmation of an older version stays valid: at that time the
	// source had nothing newer than that version, and so nothing newer than
	// this one.
	r.recordConfirmation(t.manifestReadAt)
	r.dropOldTransfers()
	now := r.Now()
	if r.ready {
		r.putInForce(now, a)
	}
	a.Push = r.pushTargets()
	r.updateState(now, a)
}

func (r *Replica) dropOldTransfers() {
	r.versionTransfers = slices.DeleteFunc(r.versionTransfers, func(t *versionTransfer) bool {
		return t.version <= r.accepted.snapshot.Version
	})
}

// refuseVersion remembers the digest of an invalid version, so that it is
// reported once and not fetched again.
func (r *Replica) refuseVersion(v uint64, digest string, err error, a *Action) {
	r.versionTransfers = slices.DeleteFunc(r.versionTransfers, func(t *versionTransfer) bool { return t.digest == digest })
	if addToBoundedSet(r.refusedDigests, digest) {
		r.refusalCount++
		r.recordRefusal(Refusal{Version: v, Digest: digest, Reason: err.Error()})
		a.addEvent(VersionRefused, v, digest, "", err)
	}
}

// A Refusal describes a version that the node refused, and the reason.
type Refusal struct {
	// Version is 0 for a malformed manifest of the source.
	Version uint64
	// Digest is the digest of the manifest.
	Digest string
	Reason string
}

// maxListedRefusals is the number of refusals kept for operators.
const maxListedRefusals = 8

func (r *Replica) recordRefusal(f Refusal) {
	r.lastRefusals = append(r.lastRefusals, f)
	if n := len(r.lastRefusals); n > maxListedRefusals {
		r.lastRefusals = slices.Clone(r.lastRefusals[n-maxListedRefusals:])
	}
}

// Refusals returns the latest refusals, the newest last.
func (r *Replica) Refusals() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.lastRefusals)
}

// reportConflict reports once that the number of the accepted version came with
// another digest. The digest that was accepted first stays in force.
func (r *Replica) reportConflict(v uint64, digest, host string, a *Action) {
	if addToBoundedSet(r.conflictingDigests, digest) {
		r.refusalCount++
		r.recordRefusal(Refusal{Version: v, Digest: digest, Reason: "another digest of the same version was accepted first"})
		a.addEvent(DigestConflict, v, digest, host, nil)
	}
}

// addToBoundedSet adds a digest to a set and reports whether it is new. A full
// set is emptied first, so that its memory is bounded.
func addToBoundedSet(set map[string]bool, digest string) bool {
	if set[digest] {
		return false
	}
	if len(set) >= maxRememberedDigests {
		clear(set)
	}
	set[digest] = true
	return true
}

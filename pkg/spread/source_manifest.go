package spread

import (
	"slices"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// ConfirmSource takes the manifest that the source answered to a read that was
// sent at askedAt. A version whose parts are all held is judged at once.
func (r *Replica) ObserveSourceManifest(manifest []byte, manifestReadAt time.Time) Action {
	var a Action
	r.observeSourceManifest(manifest, manifestReadAt, &a)
	_ = r.validateComplete(&a) // A refusal is among the action's events.
	return a
}

func (r *Replica) observeSourceManifest(manifest []byte, manifestReadAt time.Time, a *Action) {
	digest := config.DigestOf(manifest)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sourceAnswered = true
	switch {
	case r.accepted != nil && r.accepted.snapshot.Digest == digest:
		r.recordConfirmation(manifestReadAt)
		r.lastStaleDigest = ""
	case r.refusedDigests[digest]:
		// Every node refuses these bytes, so the version in force is still
		// the newest valid one.
		r.recordConfirmation(manifestReadAt)
	default:
		m, err := config.ParseManifest(manifest)
		if err != nil {
			r.refuseVersion(0, digest, err, a)
			r.recordConfirmation(manifestReadAt)
			break
		}
		r.observeOtherManifest(m, manifest, digest, manifestReadAt, a)
	}
	r.updateState(r.Now(), a)
}

// confirmOther takes a valid manifest that is not the held one.
func (r *Replica) observeOtherManifest(m *config.Manifest, manifest []byte, digest string, manifestReadAt time.Time, a *Action) {
	if r.accepted != nil && m.Version < r.accepted.snapshot.Version {
		if r.lastStaleDigest != digest {
			r.lastStaleDigest = digest
			a.addEvent(SourceStale, m.Version, digest, "", nil)
		}
		return
	}
	if r.accepted != nil && m.Version == r.accepted.snapshot.Version {
		r.reportConflict(m.Version, digest, "", a)
		r.conflictAt = manifestReadAt
		return
	}
	t := r.transferFor(m.Version, digest, false, a)
	t.manifestReadAt = manifestReadAt
	if t.readPartsFrom.IsZero() {
		t.readPartsFrom = r.Now().Add(r.partReadDelay(digest))
	}
	r.setManifest(t, manifest, m)
}

// readDelay ranks the leaders by the digest, so that a few of them read the
// parts at the source and the others get them from peers.
func (r *Replica) partReadDelay(digest string) time.Duration {
	if r.topology.placement == nil {
		return 0
	}
	var ids []string
	for _, l := range r.topology.placement.Leaders {
		for _, h := range l {
			ids = append(ids, h.ID)
		}
	}
	rank := slices.Index(hosts.Rank(digest, ids), r.Self.ID)
	if rank < 0 {
		rank = len(ids)
	}
	return time.Duration(rank/sourceReadersPerStep) * sourceStep
}

// NextReads returns the digests of parts that are to be read at the source now.
func (r *Replica) NextPartReads(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, t := range r.versionTransfers {
		if t.validating || t.readPartsFrom.IsZero() || now.Before(t.readPartsFrom) {
			continue
		}
		for _, d := range t.missingParts() {
			p := t.partReads[d]
			if now.Before(p.nextReadAt) {
				continue
			}
			p.interval = min(maxPartReadInterval, max(minPartReadInterval, 2*p.interval))
			p.nextReadAt = now.Add(r.jitter(p.interval))
			t.partReads[d] = p
			out = append(out, d)
		}
	}
	return out
}

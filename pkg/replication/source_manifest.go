package replication

import (
	"slices"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// ObserveSourceManifest handles the manifest that the source returned to a read
// sent at manifestReadAt. A version whose parts the node already has is
// validated at once.
func (r *Replica) ObserveSourceManifest(manifest []byte, manifestReadAt time.Time) Action {
	var a Action
	r.observeSourceManifest(manifest, manifestReadAt, &a)
	_ = r.validateComplete(&a) // A refusal is also an event in a.
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
		// Every node refuses this manifest, so the version in force is still
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

// observeOtherManifest handles a well-formed manifest other than that of the
// accepted version.
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

// partReadDelay returns how long this node waits before it reads the parts of a
// new version at the source. The digest determines the order of the leaders, so
// that a few of them read first and the others get the parts from peers.
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

// NextPartReads returns the digests of the parts to read at the source now.
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

package spread

import (
	"slices"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// ConfirmSource takes the manifest that the source answered to a read that was
// sent at askedAt. A version whose parts are all held is judged at once.
func (r *Replica) ObserveSourceManifest(manifest []byte, askedAt time.Time) Action {
	var a Action
	r.confirmSource(manifest, askedAt, &a)
	_ = r.judgeWhole(&a) // A refusal is among the action's events.
	return a
}

func (r *Replica) confirmSource(manifest []byte, askedAt time.Time, a *Action) {
	digest := config.DigestOf(manifest)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sourceAnswered = true
	switch {
	case r.held != nil && r.held.snapshot.Digest == digest:
		r.confirm(askedAt)
		r.staleSeen = ""
	case r.refused[digest]:
		// Every node refuses these bytes, so the version in force is still
		// the newest valid one.
		r.confirm(askedAt)
	default:
		m, err := config.ParseManifest(manifest)
		if err != nil {
			r.refuse(0, digest, err, a)
			r.confirm(askedAt)
			break
		}
		r.confirmOther(m, manifest, digest, askedAt, a)
	}
	r.settle(r.Now(), a)
}

// confirmOther takes a valid manifest that is not the held one.
func (r *Replica) confirmOther(m *config.Manifest, manifest []byte, digest string, askedAt time.Time, a *Action) {
	if r.held != nil && m.Version < r.held.snapshot.Version {
		if r.staleSeen != digest {
			r.staleSeen = digest
			a.event(SourceStale, m.Version, digest, "", nil)
		}
		return
	}
	if r.held != nil && m.Version == r.held.snapshot.Version {
		r.conflict(m.Version, digest, "", a)
		r.conflictAt = askedAt
		return
	}
	t := r.want(m.Version, digest, false, a)
	t.askedAt = askedAt
	if t.readFrom.IsZero() {
		t.readFrom = r.Now().Add(r.readDelay(digest))
	}
	r.setManifest(t, manifest, m)
}

// readDelay ranks the leaders by the digest, so that a few of them read the
// parts at the source and the others get them from peers.
func (r *Replica) readDelay(digest string) time.Duration {
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
	return time.Duration(rank/sourceReaders) * sourceStep
}

// NextReads returns the digests of parts that are to be read at the source now.
func (r *Replica) NextPartReads(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, t := range r.targets {
		if t.judging || t.readFrom.IsZero() || now.Before(t.readFrom) {
			continue
		}
		for _, d := range t.missing() {
			p := t.reads[d]
			if now.Before(p.after) {
				continue
			}
			p.wait = min(maxReadAgain, max(readAgain, 2*p.wait))
			p.after = now.Add(r.jitter(p.wait))
			t.reads[d] = p
			out = append(out, d)
		}
	}
	return out
}

package replication

import (
	"slices"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

const (
	// MaxPartsBytes is the maximum size of all parts of a version together. It
	// bounds the memory of a node, which holds one version and fetches two.
	MaxPartsBytes = 16 << 20
	// pullRetryInterval is the time after which bytes are pulled again, from
	// another peer if possible, while a pull is unanswered.
	pullRetryInterval = 500 * time.Millisecond
	// pullFailurePause is the time to the next pull after a peer was busy or
	// lacked the bytes.
	pullFailurePause = 50 * time.Millisecond
	// minPartReadInterval and maxPartReadInterval bound the growing time
	// between reads of the same part, which the source may not have yet.
	minPartReadInterval = time.Second
	maxPartReadInterval = 8 * time.Second
	// sourceReadersPerStep is the number of leaders that read the parts of a
	// new version at the source at the same time. As many more start after each
	// sourceStep, unless they got the parts from peers before. Without these
	// steps every leader would read every part.
	sourceReadersPerStep = 8
	sourceStep           = 300 * time.Millisecond
	// maxRequestDigests bounds the digests of each list in a pull request.
	maxRequestDigests = 1024
	// maxHolders bounds the remembered peers that have the bytes of one
	// version or host list.
	maxHolders = 8
	// maxRememberedDigests bounds the remembered digests of refused versions,
	// and those of conflicting versions.
	maxRememberedDigests = 64
)

// Part returns the bytes of the part with the given digest, or nil if the node
// does not have them.
func (r *Replica) Part(digest string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partLocked(digest)
}

func (r *Replica) partLocked(digest string) []byte {
	if r.accepted != nil {
		if b := r.accepted.parts[digest]; b != nil {
			return b
		}
	}
	for _, t := range r.versionTransfers {
		if b := t.parts[digest]; b != nil {
			return b
		}
	}
	return nil
}

// Manifest returns the bytes of the manifest with the given digest, or nil if
// the node does not have them.
func (r *Replica) Manifest(digest string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.accepted != nil && r.accepted.snapshot.Digest == digest {
		return r.accepted.manifest
	}
	if t := r.findTransfer(digest); t != nil {
		return t.manifest
	}
	return nil
}

// AnswerPull returns the requested bytes that the node has. It stops before the
// part that would take the payload over config.MaxValueBytes, unless that is the
// first value.
func (r *Replica) AnswerPull(q PullRequest) PullReply {
	var out PullReply
	if q.MinHostListRevision > 0 {
		out.HostList = r.HostListBytes(q.MinHostListRevision)
	}
	wanted := slices.Clone(q.Parts)
	if q.Manifest != "" {
		out.Manifest = r.Manifest(q.Manifest)
		wanted = append(wanted, r.partsExcept(q.Manifest, q.HeldParts)...)
	}
	size := out.PayloadBytes()
	for _, digest := range wanted {
		b := r.Part(digest)
		if b == nil {
			continue
		}
		if size += len(b); size > config.MaxValueBytes && size > len(b) {
			break
		}
		if out.Parts == nil {
			out.Parts = map[string][]byte{}
		}
		out.Parts[digest] = b
	}
	return out
}

// heldDigests returns up to maxRequestDigests digests of parts of the accepted
// version.
func (r *Replica) heldDigests() []Digest {
	var out []Digest
	if r.accepted != nil {
		for d := range r.accepted.parts {
			if len(out) < maxRequestDigests {
				out = append(out, Digest(d))
			}
		}
	}
	return out
}

// partsExcept returns the digests of the accepted version's parts that are not
// in heldParts, if the version has the given manifest. With them one pull brings
// the manifest and the parts.
func (r *Replica) partsExcept(manifest string, heldParts []Digest) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.accepted == nil || r.accepted.snapshot.Digest != manifest {
		return nil
	}
	var out []string
	for d := range r.accepted.parts {
		if !slices.Contains(heldParts, Digest(d)) {
			out = append(out, d)
		}
	}
	slices.Sort(out)
	return out
}

// A Pull is a pull request and the peer to send it to.
type Pull struct {
	To      hosts.Host
	Request PullRequest
}

// NextPull returns the next pull that is due, or false if there is none. The
// bytes of the reply go to Deliver and OfferHostList; a reply without bytes, or
// no reply, is reported with PullFailed.
func (r *Replica) NextPull(now time.Time) (Pull, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.hostListTransfer.nextPull(now); ok {
		return p, true
	}
	for _, t := range r.versionTransfers {
		if t.validating || len(t.holders) == 0 || now.Before(t.nextPullAt) {
			continue
		}
		t.nextPullAt = now.Add(pullRetryInterval)
		// The peer goes to the end of the list, so that the next pull goes to
		// another one.
		h := t.holders[0]
		t.holders = append(t.holders[1:], h)
		q := PullRequest{}
		if t.manifest == nil {
			q.Manifest, q.HeldParts = t.digest, r.heldDigests()
		} else {
			q.Parts = t.missingParts()
			q.Parts = q.Parts[:min(len(q.Parts), maxRequestDigests)]
		}
		return Pull{To: h, Request: q}, true
	}
	return Pull{}, false
}

// PullFailed reports that a pull brought no bytes. The peer is no longer asked
// for the versions being fetched, unless it was only busy.
func (r *Replica) PullFailed(p Pull, busy bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	retryAt := r.Now().Add(pullFailurePause)
	if p.Request.MinHostListRevision > 0 {
		r.hostListTransfer.pullFailed(p.To.ID, retryAt)
	}
	for _, t := range r.versionTransfers {
		i := slices.IndexFunc(t.holders, func(h hosts.Host) bool { return h.ID == p.To.ID })
		if i < 0 {
			continue
		}
		t.nextPullAt = retryAt
		if !busy {
			t.holders = slices.Delete(t.holders, i, i+1)
		}
	}
}

// Deliver stores fetched bytes: a manifest or nil, and parts by digest. Parts
// that do not match their digest are dropped. A version that becomes complete is
// validated as a whole. The error is of type Rejected if that refuses a version,
// else of type BadDigest if a part was dropped.
func (r *Replica) Deliver(manifest []byte, parts map[string][]byte) (Action, error) {
	good, bad := verifyParts(parts)
	r.mu.Lock()
	var a Action
	if manifest != nil {
		r.deliverManifest(manifest, &a)
	}
	for _, t := range slices.Clone(r.versionTransfers) {
		r.deliverParts(t, good, &a)
	}
	r.mu.Unlock()
	if err := r.validateComplete(&a); err != nil {
		bad = err
	}
	return a, bad
}

// validateComplete validates every completely fetched version. It returns the
// error of the last one that was refused.
func (r *Replica) validateComplete(a *Action) error {
	var refused error
	for {
		r.mu.Lock()
		t := r.claimComplete()
		r.mu.Unlock()
		if t == nil {
			return refused
		}
		if err := r.validate(t, a); err != nil {
			refused = err
		}
	}
}

// verifyParts returns the parts that match their digest, and an error for the
// others.
func verifyParts(parts map[string][]byte) (map[string][]byte, error) {
	good := make(map[string][]byte, len(parts))
	var bad error
	for d, b := range parts {
		if config.DigestOf(b) == d {
			good[d] = b
		} else {
			bad = BadDigest.New("part %s: bytes do not match the digest", d)
		}
	}
	return good, bad
}

func (r *Replica) deliverParts(t *versionTransfer, parts map[string][]byte, a *Action) {
	for _, d := range t.missingParts() {
		if b := parts[d]; b != nil {
			t.parts[d] = b
			t.nextPullAt = time.Time{}
		}
	}
	// More parts cannot bring the size below the limit again, so every node
	// refuses the version.
	if t.partsBytes() > MaxPartsBytes {
		r.refuseVersion(t.version, t.digest, Rejected.New("parts have more than %d bytes together", MaxPartsBytes), a)
	}
}

func (r *Replica) deliverManifest(manifest []byte, a *Action) {
	t := r.findTransfer(config.DigestOf(manifest))
	if t == nil {
		return
	}
	m, err := config.ParseManifest(manifest)
	if err != nil {
		r.refuseVersion(t.version, t.digest, err, a)
		return
	}
	t.version = m.Version
	t.nextPullAt = time.Time{}
	r.setManifest(t, manifest, m)
}

// OfferVersion stores and validates a version whose manifest and parts are
// already at hand. The error is of type Rejected if the manifest is invalid, else
// that of Deliver.
func (r *Replica) OfferVersion(manifest []byte, parts map[string][]byte) (Action, error) {
	m, err := config.ParseManifest(manifest)
	if err != nil {
		return Action{}, Rejected.Wrap(err, "the manifest is invalid")
	}
	var a Action
	r.mu.Lock()
	if r.accepted == nil || m.Version > r.accepted.snapshot.Version {
		r.setManifest(r.transferFor(m.Version, config.DigestOf(manifest), false, &a), manifest, m)
	}
	r.mu.Unlock()
	b, err := r.Deliver(nil, parts)
	b.Events = append(a.Events, b.Events...)
	return b, err
}

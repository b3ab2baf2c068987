package spread

import (
	"slices"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

const (
	// MaxConfiguration is the most bytes of parts that a version may have. It
	// bounds the memory of a node, which holds one version and fetches two.
	MaxPartsBytes = 16 << 20
	// pullAgain is how long an unanswered pull keeps others from being sent.
	pullRetryInterval = 500 * time.Millisecond
	// pullPause spaces pulls after a peer was busy or lacked the bytes.
	pullFailurePause = 50 * time.Millisecond
	// readAgain and maxReadAgain bound the growing time between reads of the
	// same part, which the source may not have yet.
	minPartReadInterval = time.Second
	maxPartReadInterval = 8 * time.Second
	// sourceReaders is the number of nodes that read the parts of a new
	// version at once; others follow in steps of sourceStep unless a peer was
	// faster. Without it every leader would read every part.
	sourceReadersPerStep = 8
	sourceStep           = 300 * time.Millisecond
	// maxAsked bounds the digests in one request.
	maxRequestDigests = 1024
	// maxHolders bounds the peers remembered for one target.
	maxHolders = 8
	// maxRemembered bounds the remembered digests of refused versions.
	maxRememberedDigests = 64
)

// Part returns the bytes of a part that the node holds, or nil.
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

// Manifest returns the bytes of a manifest that the node holds, or nil.
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

// Answer returns what the node holds of a request. It stops before the payload
// passes one value of the platform, unless that is the first one.
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

// have returns the digests of the held parts.
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

// partsBut returns the digests of the held version's parts that a peer lacks,
// so that one pull brings manifest and parts.
func (r *Replica) partsExcept(manifest string, have []Digest) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.accepted == nil || r.accepted.snapshot.Digest != manifest {
		return nil
	}
	var out []string
	for d := range r.accepted.parts {
		if !slices.Contains(have, Digest(d)) {
			out = append(out, d)
		}
	}
	slices.Sort(out)
	return out
}

// A Pull is a request to send to a peer.
type Pull struct {
	To      hosts.Host
	Request PullRequest
}

// NextPull returns the next pull that is due. Its outcome goes to Deliver,
// OfferHosts or PullFailed.
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
		// Rotating keeps the next pull from the peer that has not answered.
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

// PullFailed takes note that a pull brought nothing. A peer that was only busy
// is asked again.
func (r *Replica) PullFailed(p Pull, busy bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	again := r.Now().Add(pullFailurePause)
	if p.Request.MinHostListRevision > 0 {
		r.hostListTransfer.pullFailed(p.To.ID, again)
	}
	for _, t := range r.versionTransfers {
		i := slices.IndexFunc(t.holders, func(h hosts.Host) bool { return h.ID == p.To.ID })
		if i < 0 {
			continue
		}
		t.nextPullAt = again
		if !busy {
			t.holders = slices.Delete(t.holders, i, i+1)
		}
	}
}

// Deliver takes fetched bytes: a manifest or nil, and parts by digest. Bytes
// that do not have their digest are dropped and reported. A version that
// becomes complete is judged as a whole.
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

// judgeWhole judges every complete target. It returns the last refusal.
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

// verified returns the parts that have their digest.
func verifyParts(parts map[string][]byte) (map[string][]byte, error) {
	good := make(map[string][]byte, len(parts))
	var bad error
	for d, b := range parts {
		if config.DigestOf(b) == d {
			good[d] = b
		} else {
			bad = BadDigest.New("part %s has other bytes", d)
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
	// Parts beyond the limit would only ever grow, so every node refuses.
	if t.partsBytes() > MaxPartsBytes {
		r.refuseVersion(t.version, t.digest, Rejected.New("parts have over %d bytes", MaxPartsBytes), a)
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

// Offer hands the Replica a whole version at once.
func (r *Replica) OfferVersion(manifest []byte, parts map[string][]byte) (Action, error) {
	m, err := config.ParseManifest(manifest)
	if err != nil {
		return Action{}, Rejected.Wrap(err, "manifest")
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

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
	MaxConfiguration = 16 << 20
	// pullAgain is how long an unanswered pull keeps others from being sent.
	pullAgain = 500 * time.Millisecond
	// pullPause spaces pulls after a peer was busy or lacked the bytes.
	pullPause = 50 * time.Millisecond
	// readAgain and maxReadAgain bound the growing time between reads of the
	// same part, which the source may not have yet.
	readAgain    = time.Second
	maxReadAgain = 8 * time.Second
	// sourceReaders is the number of nodes that read the parts of a new
	// version at once; others follow in steps of sourceStep unless a peer was
	// faster. Without it every leader would read every part.
	sourceReaders = 8
	sourceStep    = 300 * time.Millisecond
	// maxHolders bounds the peers remembered for one target.
	maxHolders = 8
	// maxRefused bounds the remembered digests of refused versions.
	maxRefused = 64
)

// A target is a version that is being fetched.
type target struct {
	version  uint64
	digest   string
	since    time.Time
	manifest []byte // nil until fetched
	refs     []string
	parts    map[string][]byte // by digest
	holders  []hosts.Host
	// askedAt is the time of the source read that showed the version.
	askedAt time.Time
	// readFrom is the time from which parts are read at the source; zero means
	// never.
	readFrom  time.Time
	pulledAt  time.Time // no pull before this
	reads     map[string]partRead
	fromPeers bool
	judging   bool
}

// A partRead is the state of the reads of one part at the source.
type partRead struct {
	after time.Time     // no read before this
	wait  time.Duration // time to the next read
}

func (t *target) addHolder(h hosts.Host) {
	for i := range t.holders {
		if t.holders[i].ID == h.ID {
			t.holders[i] = h
			return
		}
	}
	if len(t.holders) < maxHolders {
		t.holders = append(t.holders, h)
	}
}

func (t *target) missing() []string {
	var m []string
	for _, d := range t.refs {
		if t.parts[d] == nil {
			m = append(m, d)
		}
	}
	return m
}

func (t *target) complete() bool { return t.manifest != nil && len(t.missing()) == 0 }

// want returns the target for a version, adding it if needed. One target is
// kept for the newest version heard of from peers and one for the newest at
// the source, so that a version whose parts the source lacks cannot keep the
// node from one that its peers have in force.
func (r *Replica) want(v uint64, digest string, peers bool, a *Action) *target {
	a.Fetch = true
	for _, t := range r.targets {
		if t.digest == digest {
			t.fromPeers = t.fromPeers || peers
			return t
		}
	}
	t := &target{
		version: v, digest: digest, since: r.Now(), fromPeers: peers,
		parts: map[string][]byte{}, reads: map[string]partRead{},
	}
	for i, o := range r.targets {
		if o.fromPeers == peers && !o.judging {
			if o.version > v && peers {
				return t
			}
			r.targets = slices.Delete(r.targets, i, i+1)
			break
		}
	}
	r.targets = append(r.targets, t)
	return t
}

func (r *Replica) find(digest string) *target {
	for _, t := range r.targets {
		if t.digest == digest {
			return t
		}
	}
	return nil
}

// ConfirmSource takes the manifest that the source answered to a read that was
// sent at askedAt.
func (r *Replica) ConfirmSource(manifest []byte, askedAt time.Time) Action {
	digest := config.DigestOf(manifest)
	m, err := config.ParseManifest(manifest)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	var a Action
	r.sourceAnswered = true
	switch {
	case r.refused[digest]:
		// Every node refuses these bytes, so the version in force is still
		// the newest valid one.
		r.confirm(askedAt)
	case err != nil:
		r.refuse(0, digest, "", Refused, err, &a)
		r.confirm(askedAt)
	case r.held != nil && r.held.snapshot.Digest == digest:
		r.confirm(askedAt)
		r.staleSeen = ""
	case r.held != nil && m.Version < r.held.snapshot.Version:
		if r.staleSeen != digest {
			r.staleSeen = digest
			a.event(SourceStale, m.Version, digest, "", nil)
		}
	case r.held != nil && m.Version == r.held.snapshot.Version:
		r.refuse(m.Version, digest, "", Conflict, nil, &a)
	default:
		t := r.want(m.Version, digest, false, &a)
		t.askedAt = askedAt
		if t.readFrom.IsZero() {
			t.readFrom = now.Add(r.readDelay(digest))
		}
		r.setManifest(t, manifest, m)
	}
	r.settle(now, &a)
	return a
}

// readDelay ranks the leaders by the digest, so that a few of them read the
// parts at the source and the others get them from peers.
func (r *Replica) readDelay(digest string) time.Duration {
	if r.placement == nil {
		return 0
	}
	var ids []string
	for _, l := range r.placement.Leaders {
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

func (r *Replica) setManifest(t *target, manifest []byte, m *config.Manifest) {
	if t.manifest != nil {
		return
	}
	t.manifest = manifest
	for _, p := range m.Parts {
		t.refs = append(t.refs, p.Digest)
		if b := r.partLocked(p.Digest); b != nil {
			t.parts[p.Digest] = b
		}
	}
}

// Part returns the bytes of a part that the node holds, or nil.
func (r *Replica) Part(digest string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partLocked(digest)
}

func (r *Replica) partLocked(digest string) []byte {
	if r.held != nil {
		if b := r.held.parts[digest]; b != nil {
			return b
		}
	}
	for _, t := range r.targets {
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
	if r.held != nil && r.held.snapshot.Digest == digest {
		return r.held.manifest
	}
	if t := r.find(digest); t != nil {
		return t.manifest
	}
	return nil
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
	if p, ok := r.hostsTarget.next(now); ok {
		return p, true
	}
	for _, t := range r.targets {
		if t.judging || len(t.holders) == 0 || now.Before(t.pulledAt) {
			continue
		}
		t.pulledAt = now.Add(pullAgain)
		h := t.holders[r.Rand.IntN(len(t.holders))]
		q := PullRequest{}
		if t.manifest == nil {
			q.Manifest = t.digest
		} else {
			q.Parts = t.missing()
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
	again := r.Now().Add(pullPause)
	if p.Request.HostsRevision > 0 {
		r.hostsTarget.failed(p.To.ID, again)
	}
	for _, t := range r.targets {
		i := slices.IndexFunc(t.holders, func(h hosts.Host) bool { return h.ID == p.To.ID })
		if i < 0 {
			continue
		}
		t.pulledAt = again
		if !busy {
			t.holders = slices.Delete(t.holders, i, i+1)
		}
	}
}

// NextReads returns the digests of parts that are to be read at the source now.
func (r *Replica) NextReads(now time.Time) []string {
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

// Deliver takes fetched bytes: a manifest or nil, and parts by digest. Bytes
// that do not have their digest are dropped and reported. A version that
// becomes complete is judged as a whole.
func (r *Replica) Deliver(manifest []byte, parts map[string][]byte) (Action, error) {
	var bad error
	for d, b := range parts {
		if config.DigestOf(b) != d {
			bad = BadDigest.New("part %s has other bytes", d)
		}
	}
	var whole *target
	r.mu.Lock()
	var a Action
	if manifest != nil {
		r.deliverManifest(manifest, &a)
	}
	for _, t := range r.targets {
		for _, d := range t.missing() {
			if b := parts[d]; b != nil && (bad == nil || config.DigestOf(b) == d) {
				t.parts[d] = b
				t.pulledAt = time.Time{}
			}
		}
	}
	whole = r.nextWhole()
	r.mu.Unlock()
	for whole != nil {
		if err := r.judge(whole, &a); err != nil {
			bad = err
		}
		r.mu.Lock()
		whole = r.nextWhole()
		r.mu.Unlock()
	}
	return a, bad
}

func (r *Replica) deliverManifest(manifest []byte, a *Action) {
	t := r.find(config.DigestOf(manifest))
	if t == nil {
		return
	}
	m, err := config.ParseManifest(manifest)
	if err != nil {
		r.refuse(t.version, t.digest, "", Refused, err, a)
		return
	}
	t.version = m.Version
	t.pulledAt = time.Time{}
	r.setManifest(t, manifest, m)
}

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
	size := 0
	for _, b := range t.parts {
		size += len(b)
	}
	var s *config.Snapshot
	var err error
	if size > MaxConfiguration {
		err = Rejected.New("parts have %d bytes, the limit is %d", size, MaxConfiguration)
	} else {
		s, err = r.Accept(t.manifest, t.parts)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.refuse(t.version, t.digest, "", Refused, err, a)
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
			r.refuse(s.Version, s.Digest, "", Conflict, nil, a)
		}
		r.dropTargets()
		return
	}
	parts := map[string][]byte{}
	for _, d := range t.refs {
		parts[d] = t.parts[d]
	}
	r.held = &heldVersion{snapshot: s, manifest: t.manifest, parts: parts}
	// The confirmation of the former version says nothing about this one.
	r.confirmedAt = t.askedAt
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

// refuse remembers a refused digest and reports it once.
func (r *Replica) refuse(v uint64, digest, host string, k EventKind, err error, a *Action) {
	r.targets = slices.DeleteFunc(r.targets, func(t *target) bool { return t.digest == digest })
	if r.refused[digest] {
		return
	}
	if len(r.refused) >= maxRefused {
		clear(r.refused)
	}
	r.refused[digest] = true
	r.refusals++
	a.event(k, v, digest, host, err)
}

// Offer hands the Replica a whole version at once.
func (r *Replica) Offer(manifest []byte, parts map[string][]byte) (Action, error) {
	m, err := config.ParseManifest(manifest)
	if err != nil {
		return Action{}, Rejected.Wrap(err, "manifest")
	}
	var a Action
	r.mu.Lock()
	if r.held == nil || m.Version > r.held.snapshot.Version {
		r.setManifest(r.want(m.Version, config.DigestOf(manifest), false, &a), manifest, m)
	}
	r.mu.Unlock()
	b, err := r.Deliver(nil, parts)
	b.Events = append(a.Events, b.Events...)
	return b, err
}

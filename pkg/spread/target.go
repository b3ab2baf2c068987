package spread

import (
	"slices"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
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

// size is the number of bytes of the fetched parts.
func (t *target) size() int {
	n := 0
	for _, b := range t.parts {
		n += len(b)
	}
	return n
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

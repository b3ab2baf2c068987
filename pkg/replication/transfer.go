package replication

import (
	"slices"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// A versionTransfer is the state of fetching one version from peers and from
// the source.
type versionTransfer struct {
	version     uint64
	digest      string
	startedAt   time.Time
	manifest    []byte            // nil until fetched
	partDigests []string          // from the manifest
	parts       map[string][]byte // by digest
	holders     []hosts.Host      // peers that have the version
	// manifestReadAt is the time at which the source read that returned the
	// manifest was sent; zero if there was none.
	manifestReadAt time.Time
	// readPartsFrom is the time from which parts are read at the source; zero
	// means never.
	readPartsFrom time.Time
	nextPullAt    time.Time // no pull before this
	partReads     map[string]partRead
	fromPeers     bool // whether a peer announced the version
	validating    bool
}

// A partRead is the state of the reads of one part at the source.
type partRead struct {
	nextReadAt time.Time     // no read before this
	interval   time.Duration // last time between reads, without jitter
}

func (t *versionTransfer) addHolder(h hosts.Host) {
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

// partsBytes returns the size of the fetched parts together.
func (t *versionTransfer) partsBytes() int {
	n := 0
	for _, b := range t.parts {
		n += len(b)
	}
	return n
}

func (t *versionTransfer) missingParts() []string {
	var m []string
	for _, d := range t.partDigests {
		if t.parts[d] == nil {
			m = append(m, d)
		}
	}
	return m
}

func (t *versionTransfer) complete() bool { return t.manifest != nil && len(t.missingParts()) == 0 }

// transferFor returns the transfer of a version, and adds one if needed. One
// transfer is kept for the newest version announced by peers and one for the
// latest at the source, so that a version whose parts the source lacks cannot
// keep the node from one that its peers have in force.
func (r *Replica) transferFor(v uint64, digest string, viaPeers bool, a *Action) *versionTransfer {
	a.Fetch = true
	for _, t := range r.versionTransfers {
		if t.digest == digest {
			t.fromPeers = t.fromPeers || viaPeers
			return t
		}
	}
	t := &versionTransfer{
		version: v, digest: digest, startedAt: r.Now(), fromPeers: viaPeers,
		parts: map[string][]byte{}, partReads: map[string]partRead{},
	}
	for i, o := range r.versionTransfers {
		if o.fromPeers == viaPeers && !o.validating {
			if o.version > v && viaPeers {
				return t
			}
			r.versionTransfers = slices.Delete(r.versionTransfers, i, i+1)
			break
		}
	}
	r.versionTransfers = append(r.versionTransfers, t)
	return t
}

func (r *Replica) findTransfer(digest string) *versionTransfer {
	for _, t := range r.versionTransfers {
		if t.digest == digest {
			return t
		}
	}
	return nil
}

func (r *Replica) setManifest(t *versionTransfer, manifest []byte, m *config.Manifest) {
	if t.manifest != nil {
		return
	}
	t.manifest = manifest
	for _, p := range m.Parts {
		t.partDigests = append(t.partDigests, p.Digest)
		if b := r.partLocked(p.Digest); b != nil {
			t.parts[p.Digest] = b
		}
	}
}

package spread

import (
	"crypto/sha256"
	"encoding/hex"

	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// A Summary is what a node tells its peers in every exchange. The field keys
// are numbers because summaries are most of the control traffic.
type Summary struct {
	// Version and Digest identify the accepted version; Version 0 means none.
	// Digest is left out of requests.
	Version uint64 `cbor:"1,keyasint,omitempty"`
	Digest  Digest `cbor:"2,keyasint,omitempty"`
	// Floor is the highest version known to be in force at some node, left out
	// when that is Version. It makes Reach causal: whoever learns that a zone was reached also learns
	// the versions that were reported on that path.
	Floor uint64 `cbor:"3,keyasint,omitempty"`
	// HostsRevision is the revision of the held host list; 0 means none.
	HostsRevision uint64 `cbor:"4,keyasint,omitempty"`
	// ConfirmedAgeMs is the age of the source's last confirmation of Digest,
	// or -1 if there was none. Only answers carry ages.
	ConfirmedAgeMs int64 `cbor:"5,keyasint,omitempty"`
	// Reach holds the ages at which information from each zone last arrived:
	// one byte per zone of the host list in the order of their names, in units
	// of reachUnit, 255 for none. Zones is the hash of these names. Answers
	// carry both while the source is unconfirmed.
	ZoneAges  []byte `cbor:"6,keyasint,omitempty"`
	ZonesHash uint64 `cbor:"10,keyasint,omitempty"`
	// Serving states that the node is ready and Version is in force there.
	Serving bool `cbor:"7,keyasint,omitempty"`
	// Refused counts the versions that the node refused since its start.
	Refused uint64 `cbor:"8,keyasint,omitempty"`
	// Leaving states that the node is on its way out.
	Leaving bool `cbor:"9,keyasint,omitempty"`
}

// A Digest is a SHA-256 in lower-case hexadecimal. It travels as 32 bytes.
type Digest string

// MarshalBinary returns the bytes of the digest.
func (d Digest) MarshalBinary() ([]byte, error) {
	b, err := hex.DecodeString(string(d))
	if err != nil {
		return nil, BadDigest.Wrap(err, "encode")
	}
	return b, nil
}

// UnmarshalBinary reads the bytes of a digest.
func (d *Digest) UnmarshalBinary(b []byte) error {
	if len(b) != sha256.Size && len(b) != 0 {
		return BadDigest.New("digest has %d bytes", len(b))
	}
	*d = Digest(hex.EncodeToString(b))
	return nil
}

// A Message is a Summary with its sender, as it travels in Exchange and Push.
type Message struct {
	// From is the sender's ID. Zone and Address, its control address, are left
	// out when the sender's host list has them.
	From    string  `cbor:"1,keyasint"`
	Zone    string  `cbor:"2,keyasint,omitempty"`
	Address string  `cbor:"3,keyasint,omitempty"`
	Summary Summary `cbor:"4,keyasint"`
}

// Host returns the sender as far as the message describes it.
func (m *Message) Host() hosts.Host {
	return hosts.Host{ID: m.From, Zone: m.Zone, ControlAddress: m.Address, State: hosts.Live}
}

// A PullRequest asks for bytes by content.
type PullRequest struct {
	// Manifest is the digest of the wanted manifest, or "". The parts of that
	// version are wanted too, except those in Have.
	Manifest  string   `cbor:"1,keyasint,omitempty"`
	HeldParts []Digest `cbor:"4,keyasint,omitempty"`
	// Parts are the digests of the wanted parts.
	Parts []string `cbor:"2,keyasint,omitempty"`
	// HostsRevision asks for a host list of at least this revision; 0 for none.
	MinHostListRevision uint64 `cbor:"3,keyasint,omitempty"`
}

// A PullReply holds what the answering node has of a PullRequest. Absent
// entries are not held or did not fit.
type PullReply struct {
	// Busy states that the node sends too many bulk answers already.
	Busy     bool              `cbor:"1,keyasint,omitempty"`
	Manifest []byte            `cbor:"2,keyasint,omitempty"`
	Parts    map[string][]byte `cbor:"3,keyasint,omitempty"`
	HostList []byte            `cbor:"4,keyasint,omitempty"`
}

// Size is the number of payload bytes of the reply.
func (p *PullReply) PayloadBytes() int {
	n := len(p.Manifest) + len(p.HostList)
	for _, b := range p.Parts {
		n += len(b)
	}
	return n
}

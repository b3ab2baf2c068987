package replication

import (
	"crypto/sha256"
	"encoding/hex"

	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// A Summary is the state that a node sends its peers in every exchange and
// push. The field keys are numbers because summaries are most of the control
// traffic.
type Summary struct {
	// Version and Digest identify the accepted version; Version 0 means none.
	// Digest is left out of requests.
	Version uint64 `cbor:"1,keyasint,omitempty"`
	Digest  Digest `cbor:"2,keyasint,omitempty"`
	// Floor is the highest version known to be in force at any node, left out
	// when that is Version. It travels with ZoneAges, so that a node that learns
	// of fresh information from a zone also learns of the versions in it.
	Floor uint64 `cbor:"3,keyasint,omitempty"`
	// HostsRevision is the revision of the node's host list; 0 means none.
	HostsRevision uint64 `cbor:"4,keyasint,omitempty"`
	// ConfirmedAgeMs is the age of the source's last confirmation of Digest in
	// milliseconds, or -1 if there was none. Only replies carry ages.
	ConfirmedAgeMs int64 `cbor:"5,keyasint,omitempty"`
	// ZoneAges holds the age of the latest information from each zone: one byte
	// per zone of the host list in the order of their names, in units of
	// zoneAgeUnit, zoneNotReached for none. ZonesHash is the hash of these
	// names: ages from a node with other zones are not used. Replies carry both
	// when the last confirmation is older than zoneAgesAfter.
	ZoneAges  []byte `cbor:"6,keyasint,omitempty"`
	ZonesHash uint64 `cbor:"10,keyasint,omitempty"`
	// Serving states that the node has finished its start and Version is in
	// force there.
	Serving bool `cbor:"7,keyasint,omitempty"`
	// Refused is the number of versions that the node refused since its start.
	Refused uint64 `cbor:"8,keyasint,omitempty"`
	// Leaving states that the node is shutting down.
	Leaving bool `cbor:"9,keyasint,omitempty"`
}

// A Digest is a SHA-256 hash in lower-case hexadecimal. It is encoded as 32
// bytes.
type Digest string

// MarshalBinary returns the hash as bytes.
func (d Digest) MarshalBinary() ([]byte, error) {
	b, err := hex.DecodeString(string(d))
	if err != nil {
		return nil, BadDigest.Wrap(err, "digest is not hexadecimal")
	}
	return b, nil
}

// UnmarshalBinary sets the digest from the bytes of a hash; no bytes give "".
func (d *Digest) UnmarshalBinary(b []byte) error {
	if len(b) != sha256.Size && len(b) != 0 {
		return BadDigest.New("digest has %d bytes, must have 32 or none", len(b))
	}
	*d = Digest(hex.EncodeToString(b))
	return nil
}

// A Message is a Summary with its sender. Exchange requests, exchange replies
// and pushes carry one.
type Message struct {
	// From is the host ID of the sender. Zone is its zone and Address its
	// control address; both are left out when the sender's host list has them,
	// except in pushes.
	From    string  `cbor:"1,keyasint"`
	Zone    string  `cbor:"2,keyasint,omitempty"`
	Address string  `cbor:"3,keyasint,omitempty"`
	Summary Summary `cbor:"4,keyasint"`
}

// Host returns the sender as a host, with the fields that the message has.
func (m *Message) Host() hosts.Host {
	return hosts.Host{ID: m.From, Zone: m.Zone, ControlAddress: m.Address, State: hosts.Live}
}

// A PullRequest asks a peer for a manifest and parts by digest, and for a host
// list by revision.
type PullRequest struct {
	// Manifest is the digest of the requested manifest, or "" for none. The
	// parts of that version are requested too, except those with a digest in
	// HeldParts.
	Manifest  string   `cbor:"1,keyasint,omitempty"`
	HeldParts []Digest `cbor:"4,keyasint,omitempty"`
	// Parts are the digests of the requested parts.
	Parts []string `cbor:"2,keyasint,omitempty"`
	// MinHostListRevision is the minimum revision of the requested host list; 0
	// requests none.
	MinHostListRevision uint64 `cbor:"3,keyasint,omitempty"`
}

// A PullReply holds the bytes that the answering node has of a PullRequest.
// Absent entries are those that the node does not have or that did not fit.
type PullReply struct {
	// Busy states that the node already sends maxBulkReplies large replies.
	Busy     bool              `cbor:"1,keyasint,omitempty"`
	Manifest []byte            `cbor:"2,keyasint,omitempty"`
	Parts    map[string][]byte `cbor:"3,keyasint,omitempty"`
	HostList []byte            `cbor:"4,keyasint,omitempty"`
}

// PayloadBytes returns the size of the manifest, host list and parts together.
func (p *PullReply) PayloadBytes() int {
	n := len(p.Manifest) + len(p.HostList)
	for _, b := range p.Parts {
		n += len(b)
	}
	return n
}

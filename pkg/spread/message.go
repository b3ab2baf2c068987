package spread

import "quetzaldock.example/quetzaldock/pkg/hosts"

// A Summary is what a node tells its peers in every exchange. The field keys
// are numbers because summaries are most of the control traffic.
type Summary struct {
	// Version and Digest identify the accepted version; Version 0 means none.
	Version uint64 `cbor:"1,keyasint,omitempty"`
	Digest  string `cbor:"2,keyasint,omitempty"`
	// Floor is the highest version known to be in force at some node. It
	// makes Reach causal: whoever learns that a zone was reached also learns
	// the versions that were reported on that path.
	Floor uint64 `cbor:"3,keyasint,omitempty"`
	// HostsRevision is the revision of the held host list; 0 means none.
	HostsRevision uint64 `cbor:"4,keyasint,omitempty"`
	// ConfirmedAgeMs is the age of the source's last confirmation of Digest,
	// or -1 if there was none.
	ConfirmedAgeMs int64 `cbor:"5,keyasint"`
	// Reach holds the ages, in milliseconds, at which information from each
	// zone last arrived. It is sent only while the source is unconfirmed.
	Reach map[string]int64 `cbor:"6,keyasint,omitempty"`
	// Serving states that the node is ready and Version is in force there.
	Serving bool `cbor:"7,keyasint,omitempty"`
	// Refused counts the versions that the node refused since its start.
	Refused uint64 `cbor:"8,keyasint,omitempty"`
	// Leaving states that the node is on its way out.
	Leaving bool `cbor:"9,keyasint,omitempty"`
}

// A Message is a Summary with its sender, as it travels in Exchange and Push.
type Message struct {
	// From, Zone and Address are the sender's ID, zone and control address.
	From    string  `cbor:"1,keyasint"`
	Zone    string  `cbor:"2,keyasint"`
	Address string  `cbor:"3,keyasint"`
	Summary Summary `cbor:"4,keyasint"`
}

// Host returns the sender as far as the message describes it.
func (m *Message) Host() hosts.Host {
	return hosts.Host{ID: m.From, Zone: m.Zone, ControlAddress: m.Address, State: hosts.Live}
}

// A PullRequest asks for bytes by content.
type PullRequest struct {
	// Manifest is the digest of the wanted manifest, or "".
	Manifest string `cbor:"1,keyasint,omitempty"`
	// Parts are the digests of the wanted parts.
	Parts []string `cbor:"2,keyasint,omitempty"`
	// HostsRevision asks for a host list of at least this revision; 0 for none.
	HostsRevision uint64 `cbor:"3,keyasint,omitempty"`
}

// A PullReply holds what the answering node has of a PullRequest. Absent
// entries are not held or did not fit.
type PullReply struct {
	// Busy states that the node sends too many bulk answers already.
	Busy     bool              `cbor:"1,keyasint,omitempty"`
	Manifest []byte            `cbor:"2,keyasint,omitempty"`
	Parts    map[string][]byte `cbor:"3,keyasint,omitempty"`
	Hosts    []byte            `cbor:"4,keyasint,omitempty"`
}

// Size is the number of payload bytes of the reply.
func (p *PullReply) Size() int {
	n := len(p.Manifest) + len(p.Hosts)
	for _, b := range p.Parts {
		n += len(b)
	}
	return n
}

package peer

import "time"

// UpdatesTimeoutMargin is the time that an Updates call may take beyond
// UpdatesRequest.WaitMs. A full reply takes a few hundred milliseconds on a busy
// host.
const UpdatesTimeoutMargin = 450 * time.Millisecond

// An UpdatesRequest asks a node for the updates that it received from the
// platform's store.
type UpdatesRequest struct {
	// AfterRevision is the revision up to which the asking node has everything of
	// the era AfterEra.
	AfterRevision uint64 `cbor:"1,keyasint,omitempty"`
	// Whole asks for the complete state, whatever AfterRevision is.
	Whole bool `cbor:"2,keyasint,omitempty"`
	// WaitMs is how long the node may wait for an update, in milliseconds.
	WaitMs int64 `cbor:"3,keyasint,omitempty"`
	// AfterEra is nil in requests of nodes that know only revisions. Such nodes
	// take AfterRevision to be of any era.
	AfterEra *uint64 `cbor:"4,keyasint,omitempty"`
	// Reader is the control address of the asking node. It is empty in requests of
	// nodes of earlier builds.
	Reader string `cbor:"5,keyasint,omitempty"`
	// InstancesRevision is the revision up to which the asking node has the changes of
	// instances, if that is above AfterRevision.
	InstancesRevision uint64 `cbor:"6,keyasint,omitempty"`
	// TakesInstances states that the asking node takes UpdatesReply.Instances. Nodes of
	// earlier builds would ask again at once.
	TakesInstances bool `cbor:"7,keyasint,omitempty"`
}

// An UpdatesReply holds updates in the order in which they were published.
type UpdatesReply struct {
	// Revision is the revision of the store up to which the reply goes.
	Revision uint64 `cbor:"1,keyasint"`
	// Whole states that EncodedUpdates is the complete state, not what came after
	// AfterRevision.
	Whole bool `cbor:"2,keyasint,omitempty"`
	// StoreRead states that the node has read the store; without it the reply
	// has no updates.
	StoreRead bool `cbor:"3,keyasint,omitempty"`
	// ConfirmedAgeMs is how long before the reply the store confirmed the
	// revision, in milliseconds.
	ConfirmedAgeMs int64 `cbor:"4,keyasint,omitempty"`
	// WaitedMs is how long the request waited for an update, in milliseconds.
	WaitedMs int64 `cbor:"6,keyasint,omitempty"`
	// EncodedUpdates are the updates, encoded by the package that sends them.
	EncodedUpdates [][]byte `cbor:"5,keyasint,omitempty"`
	// Era is the era of Revision. It is 0 in replies of nodes that know only
	// revisions.
	Era uint64 `cbor:"7,keyasint,omitempty"`
	// Origin is the control address of the node that read the state from the store.
	Origin string `cbor:"8,keyasint,omitempty"`
	// Receiving states that an answer of the store is arriving at the node, or at the one
	// that it reads. Nodes of earlier builds ignore it.
	Receiving bool `cbor:"9,keyasint,omitempty"`
	// Instances, if not empty, are changes of instances that were read ahead of other
	// updates, encoded as these, up to InstancesRevision. The store confirmed that
	// InstancesAgeMs before the reply. Nodes of earlier builds ignore them.
	Instances         []byte `cbor:"10,keyasint,omitempty"`
	InstancesRevision uint64 `cbor:"11,keyasint,omitempty"`
	InstancesAgeMs    int64  `cbor:"12,keyasint,omitempty"`
}

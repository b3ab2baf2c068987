package peer

import "time"

// UpdatesTimeoutMargin is the time that an Updates call may take beyond
// UpdatesRequest.WaitMs. A full reply takes a few hundred milliseconds on a busy
// host.
const UpdatesTimeoutMargin = 300 * time.Millisecond

// An UpdatesRequest asks a node for what it received of the store.
type UpdatesRequest struct {
	// After is the revision up to which the asker has everything.
	AfterRevision uint64 `cbor:"1,keyasint,omitempty"`
	// Whole asks for everything.
	Whole bool `cbor:"2,keyasint,omitempty"`
	// WaitMs is how long the node may wait for something new, in milliseconds.
	WaitMs int64 `cbor:"3,keyasint,omitempty"`
}

// An UpdatesReply holds what was published, in the order of publication.
type UpdatesReply struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Whole states that Bodies is everything, not what came after a revision.
	Whole bool `cbor:"2,keyasint,omitempty"`
	// Known is false if the node has not read the store yet.
	StoreRead bool `cbor:"3,keyasint,omitempty"`
	// AgeMs is how long ago the store confirmed the revision, in milliseconds.
	ConfirmedAgeMs int64 `cbor:"4,keyasint,omitempty"`
	// HeldMs is how long the question waited for something new, in milliseconds.
	WaitedMs int64 `cbor:"6,keyasint,omitempty"`
	// Bodies are updates, each encoded by its sender.
	EncodedUpdates [][]byte `cbor:"5,keyasint,omitempty"`
}

package peer

import (
	"context"

	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/quarantine"
)

const rpcReports = "Reports"

// A ReportsRequest tells a node of crash reports, and may ask for those that the
// sender lacks. See package quarantine.
type ReportsRequest struct {
	// Reports are merged before the request is answered.
	Reports []quarantine.WireReport `cbor:"1,keyasint,omitempty"`
	Want    ReportsWanted           `cbor:"2,keyasint,omitempty"`
	// Hash is the hash of the sender's table. It is set with WantDigests.
	Hash uint64 `cbor:"3,keyasint,omitempty"`
	// Digests describe the sender's table. They are set with WantReports.
	Digests []quarantine.Digest `cbor:"4,keyasint,omitempty"`
}

// ReportsWanted is what the sender of a ReportsRequest asks for.
type ReportsWanted uint8

const (
	// WantNothing asks for an empty reply.
	WantNothing ReportsWanted = iota
	// WantDigests asks whether the tables differ, and for the digests if they do.
	WantDigests
	// WantReports asks for the reports that the sender lacks.
	WantReports
)

// A ReportsReply answers a ReportsRequest. It is zero if nothing was asked for or the
// tables are equal.
type ReportsReply struct {
	Differs bool                    `cbor:"1,keyasint,omitempty"`
	Digests []quarantine.Digest     `cbor:"2,keyasint,omitempty"`
	Reports []quarantine.WireReport `cbor:"3,keyasint,omitempty"`
}

// Reports tells a node of crash reports or asks for them.
func (c *Client) Reports(ctx context.Context, to hosts.Host, in ReportsRequest) (ReportsReply, error) {
	var out ReportsReply
	err := c.call(ctx, to, rpcReports, CallTimeout, &in, &out)
	return out, err
}

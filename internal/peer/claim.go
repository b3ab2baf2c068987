package peer

import (
	"context"
	"time"

	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/idempotency"
)

const (
	rpcClaim = "Claim"
	// ClaimTimeout is the deadline of Claim. A call waits for it, and a claim
	// can be repeated, so it is short.
	ClaimTimeout = 200 * time.Millisecond
)

// A ClaimRequest asks a witness for an idempotency key, or reports how the
// request that holds it has ended.
type ClaimRequest struct {
	Key    idempotency.Key `cbor:"1,keyasint"`
	Holder string          `cbor:"2,keyasint"`
	// Ended is set in a report; Outcome and Status are then set as well.
	Ended   bool                `cbor:"3,keyasint,omitempty"`
	Outcome idempotency.Outcome `cbor:"4,keyasint,omitempty"`
	Status  int                 `cbor:"5,keyasint,omitempty"`
}

// A ClaimReply is the witness's answer; it is empty for a report.
type ClaimReply struct {
	Answer idempotency.Answer `cbor:"1,keyasint"`
}

// Claim sends a claim or a report to a witness.
func (c *Client) Claim(ctx context.Context, to hosts.Host, in ClaimRequest) (ClaimReply, error) {
	var out ClaimReply
	return out, c.call(ctx, to, rpcClaim, ClaimTimeout, &in, &out)
}

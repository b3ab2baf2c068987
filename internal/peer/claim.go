package peer

import (
	"context"
	"time"

	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/idempotency"
)

const (
	rpcClaim = "Claim"
	// ClaimTimeout is the time limit of Claim. It is short because a caller's
	// request waits for the claim, and a claim can be repeated.
	ClaimTimeout = 200 * time.Millisecond
)

// A ClaimRequest asks a witness (see package idempotency) to grant an
// idempotency key to Holder, or reports how the request that holds the key has
// ended.
type ClaimRequest struct {
	Key    idempotency.Key `cbor:"1,keyasint"`
	Holder string          `cbor:"2,keyasint"`
	// Ended marks a report; Outcome and Status are set in reports only.
	Ended   bool                `cbor:"3,keyasint,omitempty"`
	Outcome idempotency.Outcome `cbor:"4,keyasint,omitempty"`
	Status  int                 `cbor:"5,keyasint,omitempty"`
}

// A ClaimReply is the witness's answer to a claim. It is zero for a report.
type ClaimReply struct {
	Answer idempotency.Answer `cbor:"1,keyasint"`
}

// Claim sends a claim or a report to a witness.
func (c *Client) Claim(ctx context.Context, to hosts.Host, in ClaimRequest) (ClaimReply, error) {
	var out ClaimReply
	return out, c.call(ctx, to, rpcClaim, ClaimTimeout, &in, &out)
}

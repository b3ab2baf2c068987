package peer

// A TokensRequest asks the node that holds the shared part of an account's limit
// for tokens.
type TokensRequest struct {
	Account string `cbor:"1,keyasint"`
}

// A TokensReply grants tokens, or states after how many milliseconds it is worth
// asking again.
type TokensReply struct {
	Tokens       int   `cbor:"1,keyasint,omitempty"`
	RetryAfterMs int64 `cbor:"2,keyasint,omitempty"`
}

package peer

// A TokensRequest asks an account's deciding node for tokens of its limit.
type TokensRequest struct {
	Account string `cbor:"1,keyasint"`
}

// A TokensReply lends tokens, or says after how many milliseconds there may be
// some.
type TokensReply struct {
	Tokens       int   `cbor:"1,keyasint,omitempty"`
	RetryAfterMs int64 `cbor:"2,keyasint,omitempty"`
}

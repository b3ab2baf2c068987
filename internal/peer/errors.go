// Package peer carries control messages between nodes: replication of the
// configuration, quota, claims of idempotency keys, updates, tokens and crash
// reports. It uses drpc over mutual TLS 1.3 with CBOR as the encoding.
//
// It only transports: other packages decide what is sent and how a message is
// answered. Package internal/peercall carries the requests of callers between
// nodes, over HTTP.
package peer

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("peer")

var (
	// Unreachable means that a call got no reply, or an error instead of one. Its
	// connection is closed.
	Unreachable = namespace.NewType("unreachable", errorx.Temporary())
	// Timeout is the subtype of Unreachable for a call whose deadline passed.
	Timeout = Unreachable.NewSubtype("timeout", errorx.Timeout())
	// WrongIdentity means that a peer's certificate does not name the host that
	// the peer's message names as its sender.
	WrongIdentity = namespace.NewType("identity")
	// BadMessage means that a message cannot be encoded or decoded.
	BadMessage = namespace.NewType("bad_message")
	// UnknownMethod means that a call names a method that the server does not
	// serve.
	UnknownMethod = namespace.NewType("unknown_method")
)

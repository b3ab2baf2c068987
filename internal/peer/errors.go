// Package peer carries control messages between nodes: drpc over mutual TLS
// 1.3, with CBOR as the encoding.
package peer

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("peer")

var (
	// Unreachable means that a call got no answer; its connection is closed.
	Unreachable = namespace.NewType("unreachable", errorx.Temporary())
	// Timeout is an Unreachable failure: the call's deadline passed.
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

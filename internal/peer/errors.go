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
	// Identity means that a peer's certificate does not name the host that it
	// claims or was asked to be.
	WrongIdentity = namespace.NewType("identity")
	// BadMessage means that a message cannot be encoded or decoded.
	BadMessage = namespace.NewType("bad_message")
	// Unknown means that a call names no method of the server.
	UnknownMethod = namespace.NewType("unknown_method")
)

// Package http1 is an HTTP/1.1 client with a connection pool that never sends a
// request twice. A connection carries one request at a time.
//
// The Transport of net/http resends some requests when a reused connection
// turns out to be dead. The mesh must run a non-idempotent request at most
// once, so it needs to know whether any byte of a request may have been sent.
// This package therefore manages its own connections and says so in the type of
// its errors. Requests and responses are still encoded and parsed by net/http.
package http1

import "github.com/joomcode/errorx"

// The errors carry no stack trace, since they are frequent in normal operation.
var namespace = errorx.NewNamespace("http1").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

var (
	// NotSent means that no byte of the request was sent.
	NotSent = namespace.NewType("not_sent")
	// DialRefused is a NotSent error: the peer refused or reset the connection
	// attempt.
	DialRefused = NotSent.NewSubtype("refused")
	// NotListening is a DialRefused error: nothing listens at the peer's address.
	NotListening = DialRefused.NewSubtype("not_listening")
	// Interrupted means that the request may have reached the peer, but no
	// complete response was received.
	Interrupted = namespace.NewType("interrupted")
	// ClosedByPeer is an Interrupted error: the peer closed or reset the
	// connection.
	ClosedByPeer = Interrupted.NewSubtype("reset")
	// Malformed is an Interrupted error: the peer sent bytes that are no HTTP
	// response, switched protocols, or sent a header of over maxHeaderBytes.
	Malformed = Interrupted.NewSubtype("malformed")
	// Expired means that the deadline passed or the caller canceled the request
	// after a byte of it may have been sent.
	Expired = namespace.NewType("expired")
)

// Package http1 is a client for HTTP/1.1 that runs one request per connection
// at a time and never sends a request twice.
//
// The standard library's Transport resends some requests by itself when a
// reused connection turns out to be dead. A mesh that must run a
// non-idempotent request at most once has to know whether the first byte of a
// request may have left, so this package keeps its own connections. Requests
// and responses are encoded and parsed by net/http.
package http1

import "github.com/joomcode/errorx"

// Failures are part of normal work in a mesh, so they carry no stack trace.
var namespace = errorx.NewNamespace("http1").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

var (
	// NotSent means that no byte of the request left this process.
	NotSent = namespace.NewType("not_sent")
	// Refused is a NotSent failure: the peer refused or reset the connection
	// attempt.
	DialRefused = NotSent.NewSubtype("refused")
	// Interrupted means that the request may have reached the peer and that
	// no whole answer came back.
	Interrupted = namespace.NewType("interrupted")
	// Reset is an Interrupted failure: the peer closed or reset the connection.
	ClosedByPeer = Interrupted.NewSubtype("reset")
	// Malformed is an Interrupted failure: the peer sent what is no answer to
	// a request of this package, or a header beyond maxHeaderBytes.
	Malformed = Interrupted.NewSubtype("malformed")
	// Expired means that the deadline passed or the caller went away after the
	// first byte may have left.
	Expired = namespace.NewType("expired")
)

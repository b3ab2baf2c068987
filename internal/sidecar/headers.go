package sidecar

import "github.com/cespare/xxhash/v2"

// Headers names the headers that callers and backend servers of a deployment
// use. Each name is in canonical form.
type HeaderNames struct {
	// RequestID names one try of a caller. Backend servers echo it.
	RequestID string
	// ParentOf returns the ID of the request for which a backend server made
	// the one with the ID, empty if the ID does not tell.
	ParentID func(id string) string
	// TimeLeft is the milliseconds for which the sender still waits.
	TimeLeft string
	// Key is the caller's key and nothing else. It goes no further than the
	// node that reads it.
	Key string
	// Account is the name of the client account that holds the key, set by
	// the node.
	Account string
	// CallerService is the service beside whose backend server the request
	// began, set by the node.
	CallerService string
	// Expected is the ID of the instance that the request is meant for, set
	// by the node. Any other instance refuses it.
	ExpectedInstance string
	// NotExecuted marks an answer of a backend server that did not run the
	// request.
	NotExecuted string
	// ColdLeft is the milliseconds for which a backend server stays cold, in
	// its health answers.
	ColdTimeLeft string
}

// root returns a hash of the ID of the request from which a chain of calls
// comes, as far as the ID of one of them tells.
func (h *HeaderNames) rootHash(id string) uint32 {
	if h.ParentID != nil {
		if p := h.ParentID(id); p != "" {
			id = p
		}
	}
	return uint32(xxhash.Sum64String(id))
}

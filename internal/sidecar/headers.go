package sidecar

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// HeaderNames holds the names of the HTTP headers that the callers and backend
// servers of a deployment use. Each name is in canonical form.
type HeaderNames struct {
	// RequestID identifies one attempt of a caller or one health check. Backend servers
	// echo it; some do not in responses to health checks.
	RequestID string
	// ParentID returns the ID of the request for which a backend server made the
	// request with the given ID. It returns the empty string if the ID does not
	// contain it. The result is shorter than the ID and may name a parent in turn.
	ParentID func(id string) string
	// TimeLeft is how long the sender still waits, in milliseconds.
	TimeLeft string
	// Key is the caller's secret key, without a scheme. The node that reads it does
	// not forward it.
	Key string
	// Account is the name of the client account that holds the key. The node sets
	// it.
	Account string
	// CallerService is the service of the host on which the request began. The
	// node sets it.
	CallerService string
	// ExpectedInstance is the ID of the instance that is to run the request. The
	// node sets it, and any other instance refuses the request with status 421.
	ExpectedInstance string
	// NotExecuted marks a response of a backend server that did not run the
	// request.
	NotExecuted string
	// ColdTimeLeft is how long a backend server stays cold, in milliseconds. It
	// appears in responses to health checks.
	ColdTimeLeft string
	// InstanceLoad is the load that a backend server states in its responses, see
	// pace.ParseReport. Responses are forwarded with it. Empty if no backend server
	// of the deployment sends one.
	InstanceLoad string
}

// parentID returns the result of ParentID, or the empty string if the deployment
// has no IDs that contain others.
func (h *HeaderNames) parentID(id string) string {
	if h.ParentID == nil {
		return ""
	}
	return h.ParentID(id)
}

// rootHash returns a hash of the ID of the root request, which is id itself if that
// contains no other, so that all requests made for one root share a hash.
func (h *HeaderNames) rootHash(id string) uint32 {
	for range maxNesting {
		p := h.parentID(id)
		if p == "" {
			break
		}
		id = p
	}
	return uint32(xxhash.Sum64String(id))
}

// isAnswerTo reports whether a backend server's response belongs to the request with the
// given ID. A response without an ID may belong to another one.
func (h *HeaderNames) isAnswerTo(a *http.Response, id string) bool {
	return a.Header.Get(h.RequestID) == id
}

// isHealthAnswerTo reports whether a response may belong to the health check with the
// given ID. One with another ID belongs to an earlier request.
func (h *HeaderNames) isHealthAnswerTo(a *http.Response, id string) bool {
	return a.Header.Get(h.RequestID) == "" || h.isAnswerTo(a, id)
}

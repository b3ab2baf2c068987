package sidecar

import (
	"net/http"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/pkg/quarantine"
)

// identity returns what identifies a request with these forwarded headers besides
// its body. It is the same at the node of the caller and at the node beside the
// instance.
func (h *HeaderNames) identity(r *http.Request, forwarded http.Header) *quarantine.Request {
	return &quarantine.Request{
		Account: forwarded.Get(h.Account), Service: forwarded.Get(h.CallerService),
		Method: r.Method, Host: r.Host, Target: requestTarget(r),
	}
}

// fingerprint sets the fingerprint of an accepted request. That of a streamed body
// stays unknown, unless a request that differs in nothing but the body is suspected
// of a crash. It is then known by its prefix alone if its first part does not arrive
// soon. The error is a *call.IncompleteBody.
func (s *callerHandler) fingerprint(j *job) error {
	q := s.names.identity(j.original, j.header)
	if !j.body.IsBuffered() {
		if s.dispatch.crashes.Table.Empty() || !s.dispatch.crashes.Table.SuspectsPrefix(q.Prefix()) {
			return nil
		}
		known, err := j.body.BufferStart(quarantine.MaxBodyBytes)
		if err != nil {
			return err
		}
		if !known {
			j.fingerprint = q.Prefix()
			return nil
		}
	}
	j.fingerprint = q.Fingerprint(j.body.Start())
	return nil
}

// fingerprint sets the fingerprint of a request that another node sent without one,
// where it can be known before the request is sent: without a body, or if a request
// that differs in nothing but the body is suspected of a crash, as at the other node.
func (l *localBackend) fingerprint(r *InstanceRequest) error {
	if !r.Fingerprint.IsZero() {
		return nil
	}
	q := l.names.identity(r.Original, r.Header)
	switch {
	case r.BodyLength == 0:
		r.Fingerprint = q.Fingerprint(nil)
	case !l.crashes.Table.Empty() && l.crashes.Table.SuspectsPrefix(q.Prefix()):
		start, err := call.ReadStart(r.Body, quarantine.MaxBodyBytes)
		if err != nil {
			return &call.OutcomeUnknown{Reason: "the request body is incomplete", Cause: err}
		}
		r.Fingerprint = q.Prefix()
		if start.Content != nil {
			r.Fingerprint = q.Fingerprint(start.Content)
		}
		r.Body = &bufferedBody{start.Body, r.Body}
	}
	return nil
}

package backend

import (
	"io"
	"net/http"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/crash"
	"quetzaldock.example/quetzaldock/pkg/quarantine"
)

// fingerprint sets the fingerprint of a call that was sent without one, where it can
// be known before the request is sent: without a body, or if a request that differs in
// nothing but the body is suspected of a crash. In the latter case it is the prefix if
// the first part of the body does not arrive soon. It returns the body to send.
func (p *Proxy) fingerprint(c *call.Call, r *http.Request) (io.ReadCloser, error) {
	if !c.Fingerprint.IsZero() {
		return r.Body, nil
	}
	q := c.Identity(r)
	switch {
	case r.ContentLength == 0:
		c.Fingerprint = q.Fingerprint(nil)
	case !p.Crashes.Table.Empty() && p.Crashes.Table.SuspectsPrefix(q.Prefix()):
		start, err := call.ReadStart(r.Body, quarantine.MaxBodyBytes)
		if err != nil {
			return nil, &call.OutcomeUnknown{Reason: "the request body is incomplete", Cause: err}
		}
		c.Fingerprint = q.Prefix()
		if start.Content != nil {
			c.Fingerprint = q.Fingerprint(start.Content)
		}
		return &startedBody{start.Body, r.Body}, nil
	}
	return r.Body, nil
}

// A startedBody is a body whose start has been read before.
type startedBody struct {
	io.Reader
	io.Closer
}

// quarantineError returns the refusal of a call that is quarantined, or nil.
func quarantineError(d *crash.Detector, c *call.Call, r *http.Request) error {
	if after, refused := d.Refuse(c.Fingerprint, c.ID, r.URL.EscapedPath()); refused {
		return &call.NotRun{Reason: crash.Quarantined, Final: true, RetryAfter: after}
	}
	return nil
}

// crashRequest describes a call for crash reports.
func (p *Proxy) crashRequest(c *call.Call, r *http.Request) crash.Request {
	return crash.Request{
		ID: c.ID, Instance: p.Host, Fingerprint: c.Fingerprint, HasBody: r.ContentLength != 0, Deadline: c.Deadline,
		Identity: func() *quarantine.Request { return c.Identity(r) },
	}
}

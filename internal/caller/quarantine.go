package caller

import (
	"errors"
	"net/http"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/crash"
	"quetzaldock.example/quetzaldock/pkg/quarantine"
)

// fingerprint sets the fingerprint of a call. That of a streamed body stays unknown,
// unless a request that differs in nothing but the body is suspected of a crash. It is
// then known by its prefix alone if its first part does not arrive soon. The error is a
// *call.IncompleteBody.
func (d *Dispatcher) fingerprint(c *call.Call, r *http.Request, b *call.RetryBody) error {
	q := c.Identity(r)
	if !b.IsBuffered() {
		if d.Crashes.Table.Empty() || !d.Crashes.Table.SuspectsPrefix(q.Prefix()) {
			return nil
		}
		known, err := b.BufferStart(quarantine.MaxBodyBytes)
		if err != nil {
			return err
		}
		if !known {
			c.Fingerprint = q.Prefix()
			return nil
		}
	}
	c.Fingerprint = q.Fingerprint(b.Start())
	return nil
}

// quarantineError returns the refusal of a call that is quarantined, or nil.
func (d *Dispatcher) quarantineError(c *call.Call, r *http.Request) error {
	if after, refused := d.Crashes.Refuse(c.Fingerprint, c.ID, r.URL.EscapedPath()); refused {
		return &call.NotRun{Reason: crash.Quarantined, Final: true, RetryAfter: after}
	}
	return nil
}

// isSuspected reports whether a call whose last attempt failed with err was running in
// so many crashes that this node must not send it again. It counts the attempts that
// ended in a crash.
func (d *Dispatcher) isSuspected(err error, c call.Call, crashes *int) bool {
	var u *call.OutcomeUnknown
	if !errors.As(err, &u) {
		return false
	}
	if u.Crashes > 0 {
		*crashes++
	}
	return max(*crashes, u.Crashes, d.Crashes.Table.Crashes(c.Fingerprint)) >= crash.MaxResendCrashes
}

package fairadmission

import (
	"context"
	"errors"
	"time"
)

// An Outcome says how a request that held a Slot ended.
type Outcome int

// The outcomes of a request at the backend server.
const (
	// Succeeded: the server answered, and not with an error of its own.
	Succeeded Outcome = iota
	// Shed: the server refused the request with status 503.
	Shed
	// Failed: the server answered with another error, or the answer broke off
	// at the deadline.
	Failed
	// ConnectionReset: the connection was closed or reset during the request.
	ConnectionReset
	// ConnectionRefused: the server refused the connection.
	ConnectionRefused
	// CallerCanceled: the caller canceled the request.
	CallerCanceled
)

// A Slot is the right to run one request. Release must be called exactly once;
// further calls have no effect.
type Slot struct {
	controller *Controller
	account    string
	startedAt  time.Time
	// chargedTime is the estimated service time that was charged to the account;
	// zero for a request that did not wait.
	chargedTime time.Duration
	// atLimit is set if all permits were in use once the request had started.
	atLimit  bool
	released bool
	epoch    uint64
}

// Release frees the slot and records how the request ended.
func (s *Slot) Release(o Outcome) {
	c := s.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	now := c.Now()
	c.running--
	d := now.Sub(s.startedAt)
	if o == Succeeded || o == Failed {
		c.fairQueue.recordService(s.account, s.chargedTime, d)
	}
	c.limiter.recordEnd(c, s, o, d, now)
	c.dispatch(now)
}

// A PendingRequest is a request that waits for a slot.
type PendingRequest struct {
	controller   *Controller
	request      Request
	accountQueue *accountQueue
	chargedTime  time.Duration
	// heapIndex is the index in the account's heap; -1 once removed.
	heapIndex int
	ready     chan struct{}
	slot      *Slot
	err       error
}

// Ready returns a channel that is closed once Result has a slot or a refusal.
func (p *PendingRequest) Ready() <-chan struct{} { return p.ready }

// Result returns the slot or the *Refusal. It may be called only after Ready was
// closed.
func (p *PendingRequest) Result() (*Slot, error) { return p.slot, p.err }

// Cancel refuses the request for the given reason. A request that was started in
// the meantime keeps its slot.
func (p *PendingRequest) Cancel(r Reason) {
	p.controller.mu.Lock()
	defer p.controller.mu.Unlock()
	if p.slot == nil && p.err == nil {
		p.controller.fairQueue.remove(p)
		p.refuse(r)
	}
}

func (p *PendingRequest) refuse(r Reason) {
	p.err = NewRefusal(r)
	close(p.ready)
}

// Admit admits a request and blocks until it may run, its deadline passes or ctx
// ends. The error is a *Refusal; the request has then not run.
func (c *Controller) Admit(ctx context.Context, req Request) (*Slot, error) {
	s, p, err := c.Offer(req)
	if p == nil {
		return s, err
	}
	var late <-chan time.Time
	if d, ok := ctx.Deadline(); !req.Deadline.IsZero() && (!ok || d.After(req.Deadline)) {
		timer := time.NewTimer(req.Deadline.Sub(c.Now()))
		defer timer.Stop()
		late = timer.C
	}
	select {
	case <-p.ready:
	case <-late:
		p.Cancel(Late)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			p.Cancel(Late)
		} else {
			p.Cancel(Canceled)
		}
	}
	return p.Result()
}

package fairadmission

import (
	"context"
	"errors"
	"time"
)

// An Outcome says how a call that held a Ticket ended.
type Outcome int

// The outcomes of a call at the backend server.
const (
	// Good: the server answered, and not with an error of its own.
	Succeeded Outcome = iota
	// Shed: the server refused the call with status 503.
	Shed
	// Failed: the server answered with another error, or the answer broke off
	// at the deadline.
	Failed
	// Reset: the connection was closed or reset during the call.
	ConnectionReset
	// Refused: the server refused the connection.
	ConnectionRefused
	// CallerGone: the caller canceled the call.
	CallerCanceled
)

// A Ticket is the right to run one call. Done must be called exactly once;
// further calls have no effect.
type Slot struct {
	gate    *Controller
	account string
	start   time.Time
	charged time.Duration
	limited bool
	done    bool
	epoch   uint64
}

// Done gives the slot back and reports how the call ended.
func (t *Slot) Release(o Outcome) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	now := g.Now()
	g.running--
	d := now.Sub(t.start)
	if o == Succeeded || o == Failed {
		g.queues.measured(t.account, t.charged, d)
	}
	g.limit.ended(g, t, o, d, now)
	g.dispatch(now)
}

// A Pending is a call that waits for a slot.
type PendingRequest struct {
	gate    *Controller
	call    Request
	account *account
	charged time.Duration
	// index is the place in the account's heap, -1 once taken out.
	index  int
	ready  chan struct{}
	ticket *Slot
	err    error
}

// Ready is closed once Result has a ticket or a refusal.
func (p *PendingRequest) Ready() <-chan struct{} { return p.ready }

// Result returns the ticket or the *Refusal. It may be called only after
// Ready was closed.
func (p *PendingRequest) Result() (*Slot, error) { return p.ticket, p.err }

// Cancel stops waiting for the given reason. A call that was started in the
// meantime keeps its ticket.
func (p *PendingRequest) Cancel(r Reason) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	if p.ticket == nil && p.err == nil {
		p.gate.queues.remove(p)
		p.refuse(r)
	}
}

func (p *PendingRequest) refuse(r Reason) {
	p.err = NewRefusal(r)
	close(p.ready)
}

// Enter admits a call and blocks until it may run, its deadline passes or
// ctx ends. The error is a *Refusal; the call was then not run.
func (g *Controller) Admit(ctx context.Context, c Request) (*Slot, error) {
	t, p, err := g.Offer(c)
	if p == nil {
		return t, err
	}
	var late <-chan time.Time
	if d, ok := ctx.Deadline(); !c.Deadline.IsZero() && (!ok || d.After(c.Deadline)) {
		timer := time.NewTimer(c.Deadline.Sub(g.Now()))
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

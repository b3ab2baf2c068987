package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/peercall"
	"quetzaldock.example/quetzaldock/pkg/balance"
	"quetzaldock.example/quetzaldock/pkg/gate"
	"quetzaldock.example/quetzaldock/pkg/once"
)

// silentAfter is how long an idempotent attempt may go without an answer
// before another host is tried: long beside the calls of the mesh, short
// beside their deadlines. The share of such calls is bounded by the budget.
const silentAfter = 750 * time.Millisecond

// A Dispatcher has a call run at a backend server of its service. Its
// exported fields are set before first use.
type Dispatcher struct {
	// Self is the ID of this host.
	Self    string
	Chooser *balance.Chooser
	Budget  *balance.RetryBudget
	// Claims makes sure that a key's request runs at most once.
	Claims *Claims
	// Local runs a call at this host's own backend server.
	Local func(ctx context.Context, c call.Call, r *http.Request) (*http.Response, error)
	// LocalLoad returns the load of this host's own gate.
	LocalLoad func() peercall.Load
	Peers     *peercall.Client
	Now       func() time.Time
}

// Do runs the call and returns the answer's header; its body streams. It
// fails with *call.NotRun only if no attempt can have run. A non-idempotent
// request with a key runs only with the consent of the key's witnesses.
func (d *Dispatcher) Do(ctx context.Context, c call.Call, r *http.Request) (*http.Response, error) {
	if c.Key == "" || c.Idempotent {
		return d.run(ctx, c, r)
	}
	x, err := d.Claims.Begin(ctx, once.Key{Service: c.Service, Account: c.Account, Value: c.Key})
	if err != nil {
		return nil, err
	}
	a, err := d.run(ctx, c, r)
	switch {
	case err == nil:
		x.End(once.Answered, a.StatusCode)
	case isNotRun(err):
		x.End(once.NotRun, 0)
	default:
		x.End(once.Unknown, 0)
	}
	return a, err
}

// run makes attempts until one is answered or no further one is allowed.
func (d *Dispatcher) run(ctx context.Context, c call.Call, r *http.Request) (*http.Response, error) {
	d.Budget.Earned(c.Service)
	b, err := newReplay(r)
	if err != nil {
		return nil, err
	}
	var tried []string
	unknown := false
	for n := 1; ; n++ {
		t, ok := d.Chooser.Pick(c.Service, tried)
		if !ok {
			return nil, d.last(&call.NotRun{Reason: "NoHost"}, unknown)
		}
		a, err := d.attempt(ctx, t, c, r, b)
		if err == nil && !d.shouldRetryAnswer(a, c, n, b) {
			return a, nil
		}
		if err == nil {
			discard(a)
			unknown = true
			tried = append(tried, t.ID)
			continue
		}
		switch d.decide(err, c, n, unknown, b) {
		case balance.Retry:
			tried = append(tried, t.ID)
			unknown = unknown || !isNotRun(err)
		case balance.GiveUpNotRun:
			return nil, err
		default:
			return nil, d.last(err, true)
		}
	}
}

// last makes sure that a call of which an attempt may have run is not
// reported as not run.
func (d *Dispatcher) last(err error, unknown bool) error {
	var n *call.NotRun
	if unknown && errors.As(err, &n) {
		return &call.Unknown{Reason: "an earlier attempt may have run; the last was refused: " + n.Reason}
	}
	return err
}

// attempt runs the call at one host.
func (d *Dispatcher) attempt(ctx context.Context, t balance.Target, c call.Call, r *http.Request, b *replay) (*http.Response, error) {
	d.Chooser.Started(t.ID)
	q := r.WithContext(ctx)
	q.Body = b.next()
	var a *http.Response
	var l peercall.Load
	var err error
	if t.ID == d.Self {
		a, err = d.Local(ctx, c, q)
		l = d.LocalLoad()
	} else {
		a, l, err = d.remote(ctx, t, c, q)
	}
	d.Chooser.Finished(t.ID, result(ctx, err), balance.Load{Running: l.Running, Permits: l.Permits, Queued: l.Queued})
	return a, err
}

// remote sends the call to another host. An idempotent attempt that gets no
// answer for silentAfter is given up in favour of another host.
func (d *Dispatcher) remote(ctx context.Context, t balance.Target, c call.Call, r *http.Request) (*http.Response, peercall.Load, error) {
	peer := peercall.Peer{Host: t.ID, Address: t.CallAddress}
	if !c.Idempotent {
		return d.Peers.Do(ctx, peer, c, r, r.Body)
	}
	q, cancel := context.WithCancel(ctx)
	silent := time.AfterFunc(silentAfter, func() {
		d.Peers.Silent(peer)
		cancel()
	})
	a, l, err := d.Peers.Do(q, peer, c, r, r.Body)
	if !silent.Stop() && err == nil {
		// The answer came just as the attempt was given up.
		discard(a)
		err = &call.Unknown{Reason: "no answer in time"}
	}
	if err != nil {
		cancel()
		return nil, l, err
	}
	a.Body = &cancelBody{a.Body, cancel}
	return a, l, nil
}

// A cancelBody releases the attempt's context when the answer is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

func (d *Dispatcher) decide(err error, c call.Call, n int, unknown bool, b *replay) balance.Decision {
	var nr *call.NotRun
	var u *call.Unknown
	var rep *call.Repeat
	if errors.As(err, &rep) {
		return balance.GiveUpUnknown
	}
	notRun := errors.As(err, &nr)
	final := (notRun && nr.Final) || (errors.As(err, &u) && u.Deeper) || !b.canRepeat()
	return balance.Decide(balance.Attempt{
		Service: c.Service, Number: n, NotRun: notRun, Sent: !notRun, EarlierUnknown: unknown,
		Idempotent: c.Idempotent, NoRetry: final, Now: d.Now(), Deadline: c.Deadline, Allow: d.Budget.Allow,
	})
}

// shouldRetryAnswer reports whether an answer is a failure of the backend
// server that another one may not have. Only idempotent calls are repeated.
func (d *Dispatcher) shouldRetryAnswer(a *http.Response, c call.Call, n int, b *replay) bool {
	switch a.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
	default:
		return false
	}
	return balance.Decide(balance.Attempt{
		Service: c.Service, Number: n, Sent: true, Idempotent: c.Idempotent,
		NoRetry: !b.canRepeat() || a.Header.Get(call.HeaderRetry) == "no",
		Now:     d.Now(), Deadline: c.Deadline, Allow: d.Budget.Allow,
	}) == balance.Retry
}

// result says what an attempt tells about the host.
func result(ctx context.Context, err error) balance.Result {
	var n *call.NotRun
	var u *call.Unknown
	switch {
	case err == nil:
		return balance.Good
	case errors.As(err, &n):
		return refusalResult(n.Reason)
	case errors.Is(ctx.Err(), context.Canceled):
		return balance.Canceled
	case errors.As(err, &u):
		return balance.Failed
	default:
		return balance.Good
	}
}

// refusalResult tells refusals for load from those of a closed or unreachable
// host.
func refusalResult(reason string) balance.Result {
	switch gate.Reason(reason) {
	case gate.Draining, gate.ZoneOut, gate.HostOut, gate.Leaving, gate.Behind:
		return balance.Closed
	}
	switch reason {
	case "Unreachable", "ServerUnreachable":
		return balance.Failed
	case "Starting":
		return balance.Closed
	}
	return balance.NotRun
}

func isNotRun(err error) bool {
	var n *call.NotRun
	return errors.As(err, &n)
}

func discard(a *http.Response) {
	if a != nil {
		_ = a.Body.Close()
	}
}

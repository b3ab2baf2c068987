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
	"quetzaldock.example/quetzaldock/pkg/fairadmission"
	"quetzaldock.example/quetzaldock/pkg/idempotency"
)

// silentAfter is how long an idempotent attempt may go without an answer
// before another host is tried: long beside the calls of the mesh, short
// beside their deadlines. The share of such calls is bounded by the budget.
const firstAttemptTimeout = 750 * time.Millisecond

// A Dispatcher has a call run at a backend server of its service. Its
// exported fields are set before first use.
type Dispatcher struct {
	// Self is the ID of this host.
	HostID  string
	Chooser *balance.Chooser
	Budget  *balance.RetryBudget
	// Claims makes sure that a key's request runs at most once.
	KeyClaimer *KeyClaimer
	// Local runs a call at this host's own backend server.
	RunLocal func(ctx context.Context, c call.Call, r *http.Request) (*http.Response, error)
	// LocalLoad returns the load of this host's own gate.
	LocalLoad  func() peercall.Load
	PeerClient *peercall.Client
	Now        func() time.Time
}

// Do runs the call and returns the answer's header; its body streams. It
// fails with *call.NotRun only if no attempt can have run. A non-idempotent
// request with a key runs only with the consent of the key's witnesses.
func (d *Dispatcher) Do(ctx context.Context, c call.Call, r *http.Request) (*http.Response, error) {
	// A short body is complete before the key is claimed. A body that breaks
	// off would otherwise leave its key behind as possibly run.
	b, err := call.NewRetryBody(r)
	if err != nil {
		return nil, err
	}
	if c.IdempotencyKey == "" || c.Idempotent {
		return d.runAttempts(ctx, c, r, b)
	}
	x, err := d.KeyClaimer.ClaimKey(ctx, idempotency.Key{Service: c.Service, Account: c.Account, Value: c.IdempotencyKey})
	if err != nil {
		return nil, err
	}
	a, err := d.runAttempts(ctx, c, r, b)
	switch {
	case err == nil:
		x.ReportOutcome(idempotency.OutcomeAnswered, a.StatusCode)
	case isNotRun(err):
		x.ReportOutcome(idempotency.OutcomeNotRun, 0)
	default:
		x.ReportOutcome(idempotency.OutcomeUnknown, 0)
	}
	return a, err
}

// run makes attempts until one is answered or no further one is allowed.
func (d *Dispatcher) runAttempts(ctx context.Context, c call.Call, r *http.Request, b *call.RetryBody) (*http.Response, error) {
	d.Budget.RecordCall(c.Service)
	t, ok := d.Chooser.Pick(c.Service, nil)
	if !ok {
		return nil, &call.NotRun{Reason: "NoHost"}
	}
	var tried []string
	mayHaveRun := false
	for n := 1; ; n++ {
		p := &attempt{Target: t, number: n, body: b}
		a, err := d.runAttempt(ctx, p, c, r)
		if err == nil && !mayRetryAnswer(a) {
			return a, nil
		}
		// Without another host the answer or refusal of this one stands.
		tried = append(tried, t.ID)
		t, ok = d.Chooser.Pick(c.Service, tried)
		p.noHostLeft = !ok
		if err == nil {
			if !d.shouldRetryAnswer(a, c, p) {
				return a, nil
			}
			closeBody(a)
			mayHaveRun = true
			continue
		}
		switch d.decideRetry(err, c, p, mayHaveRun) {
		case balance.Retry:
			mayHaveRun = mayHaveRun || !isNotRun(err)
		case balance.GiveUpNotRun:
			return nil, err
		default:
			return nil, d.finalError(err, true)
		}
	}
}

// An attempt is one try of a call at one host.
type attempt struct {
	balance.Target
	// number is 1 for the first attempt.
	number int
	body   *call.RetryBody
	// paid is set when the retry that follows was already taken from the
	// budget.
	retryReserved bool
	// final is set when no other host is left.
	noHostLeft bool
}

// last makes sure that a call of which an attempt may have run is not
// reported as not run.
func (d *Dispatcher) finalError(err error, mayHaveRun bool) error {
	var n *call.NotRun
	if mayHaveRun && errors.As(err, &n) {
		return &call.OutcomeUnknown{Reason: "an earlier attempt may have run; the last was refused: " + n.Reason}
	}
	return err
}

// attempt runs the call at one host.
func (d *Dispatcher) runAttempt(ctx context.Context, t *attempt, c call.Call, r *http.Request) (*http.Response, error) {
	d.Chooser.CallStarted(t.ID)
	q := r.WithContext(ctx)
	q.Body = t.body.Next()
	var a *http.Response
	var l peercall.Load
	var err error
	if t.ID == d.HostID {
		a, err = d.RunLocal(ctx, c, q)
		l = d.LocalLoad()
	} else {
		a, l, err = d.runRemote(ctx, t, c, q)
	}
	d.Chooser.CallFinished(t.ID, attemptResult(ctx, err), balance.Load{Running: l.Running, Permits: l.Permits, Queued: l.Queued})
	return a, err
}

// remote sends the call to another host. The first attempt of an idempotent
// call that gets no answer for silentAfter is given up in favour of another
// host, if the budget allows that. Later attempts wait until the deadline, or
// a call that takes longer than silentAfter could never be answered.
func (d *Dispatcher) runRemote(ctx context.Context, t *attempt, c call.Call, r *http.Request) (*http.Response, peercall.Load, error) {
	peer := peercall.Peer{HostID: t.ID, Address: t.CallAddress}
	if !c.Idempotent || t.number > 1 {
		return d.PeerClient.Do(ctx, peer, c, r, r.Body)
	}
	q, cancel := context.WithCancel(ctx)
	decided := make(chan bool, 1)
	timer := time.AfterFunc(firstAttemptTimeout, func() {
		_, otherHost := d.Chooser.Pick(c.Service, []string{t.ID})
		giveUp := otherHost && t.body.IsBuffered() && d.Budget.Allow(c.Service, d.Now())
		if giveUp {
			d.PeerClient.DropConnections(peer)
			cancel()
		}
		decided <- giveUp
	})
	a, l, err := d.PeerClient.Do(q, peer, c, r, r.Body)
	if !timer.Stop() {
		t.retryReserved = <-decided
	}
	if t.retryReserved {
		if err == nil {
			// The answer came just as the attempt was given up.
			closeBody(a)
		}
		err = abandonedError(err)
	}
	if err != nil {
		cancel()
		return nil, l, err
	}
	a.Body = &cancelOnClose{a.Body, cancel}
	return a, l, nil
}

// givenUp returns the error of an attempt that was given up as silent.
func abandonedError(err error) error {
	if isNotRun(err) {
		return &call.NotRun{Reason: "Unreachable"}
	}
	return &call.OutcomeUnknown{Reason: "no answer in time"}
}

// A cancelBody releases the attempt's context when the answer is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelOnClose) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

func (d *Dispatcher) decideRetry(err error, c call.Call, t *attempt, mayHaveRun bool) balance.RetryDecision {
	var nr *call.NotRun
	var u *call.OutcomeUnknown
	var rep *call.DuplicateRequest
	if errors.As(err, &rep) {
		return balance.GiveUpUnknown
	}
	notRun := errors.As(err, &nr)
	final := t.noHostLeft || (notRun && nr.Final) || (errors.As(err, &u) && u.NestedCallRetried) || !t.body.CanResend()
	return balance.DecideRetry(balance.Attempt{
		Service: c.Service, Number: t.number, NotRun: notRun, Sent: !notRun, EarlierMayHaveRun: mayHaveRun,
		Idempotent: c.Idempotent, NoRetry: final, Now: d.Now(), Deadline: c.Deadline, Allow: d.retryAllowance(t),
	})
}

// allow takes a retry from the budget unless the attempt has done so.
func (d *Dispatcher) retryAllowance(t *attempt) func(string, time.Time) bool {
	if t.retryReserved {
		return nil
	}
	return d.Budget.Allow
}

// mayRetryAnswer reports whether an answer is a failure of the backend server
// that another one may not have.
func mayRetryAnswer(a *http.Response) bool {
	switch a.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// shouldRetryAnswer decides about an answer that may be retried. Only
// idempotent calls are repeated.
func (d *Dispatcher) shouldRetryAnswer(a *http.Response, c call.Call, t *attempt) bool {
	return balance.DecideRetry(balance.Attempt{
		Service: c.Service, Number: t.number, Sent: true, Idempotent: c.Idempotent,
		NoRetry: t.noHostLeft || !t.body.IsBuffered() || a.Header.Get(call.HeaderRetry) == "no",
		Now:     d.Now(), Deadline: c.Deadline, Allow: d.retryAllowance(t),
	}) == balance.Retry
}

// result says what an attempt tells about the host.
func attemptResult(ctx context.Context, err error) balance.Result {
	var n *call.NotRun
	var u *call.OutcomeUnknown
	switch {
	case err == nil:
		return balance.Answered
	case errors.Is(ctx.Err(), context.Canceled):
		return balance.Canceled
	case errors.As(err, &n):
		return refusalResult(n.Reason)
	case errors.As(err, &u):
		return balance.Failed
	default:
		return balance.Answered
	}
}

// refusalResult tells refusals for load from those of a closed or unreachable
// host.
func refusalResult(reason string) balance.Result {
	switch fairadmission.Reason(reason) {
	case fairadmission.Draining, fairadmission.ZoneOut, fairadmission.HostOut, fairadmission.Leaving, fairadmission.Behind:
		return balance.NotAccepting
	}
	switch reason {
	case "Unreachable", "ServerUnreachable":
		return balance.Failed
	case "Starting":
		return balance.NotAccepting
	}
	return balance.Overloaded
}

func isNotRun(err error) bool {
	var n *call.NotRun
	return errors.As(err, &n)
}

func closeBody(a *http.Response) {
	if a != nil {
		_ = a.Body.Close()
	}
}

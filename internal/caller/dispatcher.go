package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/crash"
	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/internal/peercall"
	"quetzaldock.example/quetzaldock/pkg/balance"
	"quetzaldock.example/quetzaldock/pkg/fairadmission"
	"quetzaldock.example/quetzaldock/pkg/idempotency"
)

// firstAttemptTimeout is how long the first attempt of an idempotent call waits
// for the response of another host before a further host is tried. It is long
// compared with the usual latency of a call and short compared with the time
// limits of calls. The retry budget bounds the share of such retries.
const firstAttemptTimeout = 750 * time.Millisecond

// A Dispatcher runs a call at a backend server of its service, on this host or
// on another one, and retries it where that cannot run a non-idempotent request
// twice. Its exported fields are set before first use.
type Dispatcher struct {
	// HostID is the ID of this host.
	HostID  string
	Chooser *balance.Chooser
	Budget  *balance.RetryBudget
	// KeyClaimer claims the idempotency key of a non-idempotent request.
	KeyClaimer *KeyClaimer
	// RunLocal runs a call at this host's own backend server.
	RunLocal func(ctx context.Context, c call.Call, r *http.Request) (*http.Response, error)
	// LocalLoad returns the load of this host's own backend server.
	LocalLoad func() peercall.Load
	// PeerClient sends calls to other nodes.
	PeerClient *peercall.Client
	// Crashes knows the requests that are quarantined.
	Crashes *crash.Detector
	Now     func() time.Time
}

// Do runs the call and returns the response, whose body is still to be read.
// It fails with *call.NotRun only if no attempt can have run. A non-idempotent
// request with an idempotency key runs only if a majority of the key's
// witnesses grant the key.
func (d *Dispatcher) Do(ctx context.Context, c call.Call, r *http.Request) (*http.Response, error) {
	if !http1.Reserve(r.Context(), call.BodyMemory(r)) {
		return nil, &call.NotRun{Reason: string(fairadmission.Overloaded)}
	}
	// A short body is read before the key is claimed. Otherwise the witnesses
	// would remember the key of a request with an incomplete body as one that
	// may have run.
	b, err := call.NewRetryBody(r)
	if err != nil {
		return nil, err
	}
	if err := d.fingerprint(&c, r, b); err != nil {
		return nil, err
	}
	if err := d.quarantineError(&c, r); err != nil {
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

// runAttempts makes attempts until one gets a response that is final or no
// further attempt is allowed.
func (d *Dispatcher) runAttempts(ctx context.Context, c call.Call, r *http.Request, b *call.RetryBody) (*http.Response, error) {
	d.Budget.RecordCall(c.Service)
	t, ok := d.Chooser.Pick(c.Service, nil)
	if !ok {
		return nil, &call.NotRun{Reason: "NoHost"}
	}
	var tried []string
	mayHaveRun := false
	crashes := 0
	for n := 1; ; n++ {
		if err := d.quarantineError(&c, r); err != nil {
			return nil, d.finalError(err, mayHaveRun)
		}
		current := &attempt{Target: t, number: n, body: b}
		a, err := d.runAttempt(ctx, current, c, r)
		if err == nil && !isRetryableResponse(a) {
			return a, nil
		}
		// If no other host is left, the response or the error of this host is
		// returned.
		tried = append(tried, t.ID)
		t, ok = d.Chooser.Pick(c.Service, tried)
		current.noHostLeft = !ok
		if err == nil {
			if !d.shouldRetryResponse(a, c, current) {
				return a, nil
			}
			closeBody(a)
			mayHaveRun = true
			continue
		}
		current.suspected = d.isSuspected(err, c, &crashes)
		switch d.decideRetry(err, c, current, mayHaveRun) {
		case balance.Retry:
			mayHaveRun = mayHaveRun || !isNotRun(err)
		case balance.GiveUpNotRun:
			return nil, err
		default:
			return nil, d.finalError(err, true)
		}
	}
}

// An attempt is one attempt to run a call, at the host Target.
type attempt struct {
	balance.Target
	// number is 1 for the first attempt.
	number int
	body   *call.RetryBody
	// retryReserved is set when the retry that follows this attempt is already
	// charged to the retry budget.
	retryReserved bool
	// noHostLeft is set when all hosts of the service have been tried.
	noHostLeft bool
	// suspected is set when the request was running in too many crashes to be sent
	// again.
	suspected bool
}

// finalError returns the error of a call whose last attempt failed with err.
// If an attempt may have run, the call is not reported as not run.
func (d *Dispatcher) finalError(err error, mayHaveRun bool) error {
	var n *call.NotRun
	if mayHaveRun && errors.As(err, &n) {
		return &call.OutcomeUnknown{Reason: "an earlier attempt may have run; the last was refused: " + n.Reason}
	}
	return err
}

// runAttempt runs the call at the host of the attempt and reports the result
// to the Chooser.
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
	d.Chooser.CallFinished(t.ID, resultForHost(ctx, err), balance.Load{Running: l.Running, Permits: l.Permits, Queued: l.Queued})
	return a, err
}

// runRemote sends the call to another host. If the call is idempotent, its
// first attempt is canceled after firstAttemptTimeout without a response,
// provided that another host is left, the body can be sent again and the retry
// budget allows a retry. Later attempts wait until the deadline: otherwise a
// call that takes longer than firstAttemptTimeout would never be answered.
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
			// The response came just as the attempt was canceled.
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

// abandonedError returns the error of an attempt that was canceled after
// firstAttemptTimeout. err is the error of the exchange, or nil.
func abandonedError(err error) error {
	if isNotRun(err) {
		return &call.NotRun{Reason: "Unreachable"}
	}
	return &call.OutcomeUnknown{Reason: "no answer in time"}
}

// A cancelOnClose is the body of a response. Close also cancels the context of
// the attempt.
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

// decideRetry decides whether to retry a call after an attempt that failed with
// err. mayHaveRun states that an earlier attempt may have run.
func (d *Dispatcher) decideRetry(err error, c call.Call, t *attempt, mayHaveRun bool) balance.RetryDecision {
	var nr *call.NotRun
	var u *call.OutcomeUnknown
	var rep *call.DuplicateRequest
	if errors.As(err, &rep) {
		return balance.GiveUpUnknown
	}
	notRun := errors.As(err, &nr)
	final := t.noHostLeft || t.suspected || (notRun && nr.Final) || (errors.As(err, &u) && u.NestedCallRetried) || !t.body.CanResend()
	return balance.DecideRetry(balance.Attempt{
		Service: c.Service, Number: t.number, NotRun: notRun, Sent: !notRun, EarlierMayHaveRun: mayHaveRun,
		Idempotent: c.Idempotent, NoRetry: final, Now: d.Now(), Deadline: c.Deadline, Allow: d.retryAllowance(t),
	})
}

// retryAllowance returns the function that charges a retry to the retry budget,
// or nil if the retry is already charged.
func (d *Dispatcher) retryAllowance(t *attempt) func(string, time.Time) bool {
	if t.retryReserved {
		return nil
	}
	return d.Budget.Allow
}

// isRetryableResponse reports whether the status is a failure that another
// backend server may not have.
func isRetryableResponse(a *http.Response) bool {
	switch a.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// shouldRetryResponse decides whether to retry a call after a response for
// which isRetryableResponse holds. Only idempotent calls are retried.
func (d *Dispatcher) shouldRetryResponse(a *http.Response, c call.Call, t *attempt) bool {
	return balance.DecideRetry(balance.Attempt{
		Service: c.Service, Number: t.number, Sent: true, Idempotent: c.Idempotent,
		NoRetry: t.noHostLeft || !t.body.IsBuffered() || a.Header.Get(call.HeaderRetry) == "no",
		Now:     d.Now(), Deadline: c.Deadline, Allow: d.retryAllowance(t),
	}) == balance.Retry
}

// resultForHost returns the result that an attempt counts as for its host.
func resultForHost(ctx context.Context, err error) balance.Result {
	var n *call.NotRun
	var u *call.OutcomeUnknown
	switch {
	case err == nil:
		return balance.Answered
	case errors.Is(ctx.Err(), context.Canceled):
		return balance.Canceled
	case errors.As(err, &n):
		return resultOfRefusal(n.Reason)
	case errors.As(err, &u):
		return balance.Failed
	default:
		return balance.Answered
	}
}

// resultOfRefusal returns the result that a refusal with the given reason
// counts as for its host. It tells refusals because of load from those of a
// host that is unreachable or accepts no calls.
func resultOfRefusal(reason string) balance.Result {
	switch fairadmission.Reason(reason) {
	case fairadmission.Draining, fairadmission.ZoneOut, fairadmission.HostOut, fairadmission.Leaving, fairadmission.Behind:
		return balance.NotAccepting
	}
	switch reason {
	case "Unreachable", "ServerUnreachable":
		return balance.Failed
	case crash.Quarantined:
		return balance.Answered
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

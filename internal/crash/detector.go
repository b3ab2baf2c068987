// Package crash notices that the backend server of a node has crashed, tells the other
// nodes which requests were running, and refuses those that package quarantine holds
// responsible. Both kinds of node use it: those of package sidecar and those of package
// node.
package crash

import (
	"context"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/pkg/quarantine"
)

const (
	// Quarantined is the reason for a request that was not sent because it has
	// crashed several backend servers.
	Quarantined = "Quarantined"
	// MaxResendCrashes is the number of crashes from which on a node does not send
	// the request again by itself.
	MaxResendCrashes = 2
	// interruptionWindow is how long a closed connection is remembered. A crash is
	// noticed by the next health check of the sidecar, each second, at the latest.
	interruptionWindow = 1500 * time.Millisecond
	// maxCheckWait is how long a failed request waits for a connection attempt. A server
	// that has crashed refuses at once. Without an answer until then something listens
	// there and accepts nothing.
	maxCheckWait = 500 * time.Millisecond
	// reportDelay is how long after a crash its report may arrive.
	reportDelay = 3 * time.Second
	// maxAnswered limits the recently answered requests that are remembered.
	maxAnswered = 2048
	// maxLoggedRequests limits the requests in the log line of a crash.
	maxLoggedRequests = 20
)

// A Detector finds out that the local backend server has crashed, and which
// requests were running then. It has crashed if it closed the connection of a request
// before the end of its answer and then accepts no connection. One of the two alone
// is no crash. Requests that were given up count as running for some time, in which a
// connection of the Detector takes the place of theirs. Its exported fields are set
// before first use.
type Detector struct {
	Table *quarantine.Table
	Log   *slog.Logger
	Now   func() time.Time
	// Reconnect opens a connection to the backend server. The error is one of package
	// http1.
	Reconnect func(ctx context.Context) error
	// Dial opens a connection that carries no request. If it is nil, a crash is noticed
	// only if it closes the connection of a request that was not given up.
	Dial func(ctx context.Context) (net.Conn, error)
	// Expected reports whether the backend server may be ended on purpose.
	Expected func() bool
	// Zone returns the availability zone of this host.
	Zone func() string
	// OnChange is called when other nodes have something to learn.
	OnChange func()

	mu      sync.Mutex
	running map[*Running]struct{}
	// interrupted holds the requests of recently closed connections, the latest last.
	interrupted []*Running
	// check is closed at the end of a connection attempt in progress. It is nil if
	// there is none.
	check chan struct{}
	// givenUp holds the requests that were given up, the latest last. watching is set
	// while watch runs.
	givenUp  []givenUpRequest
	watching bool
	// ctx is the context of tasks. Close ends it. It is nil before the first one.
	ctx    context.Context
	cancel context.CancelFunc
	closed bool
	// tasks are the connection attempts in progress and watch.
	tasks sync.WaitGroup
	// answered is a ring of recently answered requests, and nextAnswered the place of
	// the next one. A report may arrive after a request in it was answered.
	answered     []answeredRequest
	nextAnswered int
	// clearedVersion is the version of the table when answered was last compared.
	clearedVersion uint64
	// examples names requests for log lines and the status.
	examples examples
	// logged holds the quarantined requests whose log line was written. Only Review
	// uses it.
	logged map[quarantine.Fingerprint]bool
	// refusals counts the requests that were refused as quarantined.
	refusals atomic.Uint64
}

// An answeredRequest is a request that the local backend server has answered in full.
type answeredRequest struct {
	fingerprint quarantine.Fingerprint
	at          time.Time
}

// A Request is a request for the local backend server.
type Request struct {
	// ID identifies the request in log lines.
	ID string
	// Instance is the instance of the backend server.
	Instance string
	// Fingerprint is zero if the body streams.
	Fingerprint quarantine.Fingerprint
	// Identity returns what identifies the request besides its body.
	Identity func() *quarantine.Request
	// Deadline is when the backend server was told to end the request at the latest.
	Deadline time.Time
	// HasBody is set unless the request has no body.
	HasBody bool
}

// A Running is a request that was sent to the local backend server.
type Running struct {
	request Request
	// body is nil if the fingerprint of the request is known.
	body *hashedBody
	// beganAt is when the request was sent, interruptedAt when its connection was
	// closed.
	beganAt, interruptedAt time.Time
	// reported is set once the request is part of a crash report.
	reported bool
}

// fingerprint returns the zero fingerprint if it is not known yet.
func (x *Running) fingerprint() quarantine.Fingerprint {
	if x.body != nil {
		return x.body.fingerprint()
	}
	return x.request.Fingerprint
}

// Begin records a request that is about to be sent. It replaces the body if that has
// to be observed to know the fingerprint.
func (d *Detector) Begin(r Request, body *io.ReadCloser) *Running {
	x := &Running{request: r, beganAt: d.Now()}
	if r.Fingerprint.IsZero() {
		x.body = &hashedBody{ReadCloser: *body, hasher: r.Identity().NewHasher()}
		*body = x.body
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running == nil {
		d.running = map[*Running]struct{}{}
	}
	d.running[x] = struct{}{}
	return x
}

// End records the end of a request that the backend server no longer runs. answered
// states that it ran it and that its answer is complete.
func (d *Detector) End(x *Running, answered bool) {
	f := x.fingerprint()
	d.mu.Lock()
	delete(d.running, x)
	if answered && !f.IsZero() {
		d.addAnswered(f)
		d.forgetGivenUp(f)
	}
	d.mu.Unlock()
	if answered && !d.Table.Empty() && d.Table.RecordServed(f) {
		d.OnChange()
	}
}

// addAnswered adds a request to the ring. The caller holds the mutex.
func (d *Detector) addAnswered(f quarantine.Fingerprint) {
	a := answeredRequest{f, d.Now()}
	if len(d.answered) < maxAnswered {
		d.answered = append(d.answered, a)
		return
	}
	d.answered[d.nextAnswered] = a
	d.nextAnswered = (d.nextAnswered + 1) % maxAnswered
}

// Refuse reports whether a request is to be refused because it is quarantined, and
// the time until it may run. Its ID and target are an example for log lines.
func (d *Detector) Refuse(f quarantine.Fingerprint, id, target string) (retryAfter time.Duration, refused bool) {
	until, ok := d.Table.Quarantined(f)
	if !ok {
		return 0, false
	}
	d.refusals.Add(1)
	d.examples.add(f, id, target)
	return until.Sub(d.Table.Now()), true
}

// clearAnswered clears the requests that were answered after a crash whose report has
// arrived since. It is called regularly, from one goroutine.
func (d *Detector) clearAnswered() {
	version := d.Table.Version()
	if version == d.clearedVersion {
		return
	}
	d.clearedVersion = version
	oldest := d.Now().Add(-reportDelay)
	d.mu.Lock()
	all := slices.Clone(d.answered)
	d.mu.Unlock()
	for _, a := range all {
		if a.at.After(oldest) && d.Table.RecordServedAt(a.fingerprint, a.at) {
			d.OnChange()
		}
	}
}

// Failed records the error of a request. If the backend server has crashed, it
// returns in how many crashes the request was running, this one included; otherwise 0.
func (d *Detector) Failed(ctx context.Context, x *Running, err error) (crashes int) {
	switch {
	case errorx.IsOfType(err, http1.NotListening):
		d.End(x, false)
		d.ServerDown()
		return 0
	case errorx.IsOfType(err, http1.ClosedByPeer):
		wait, cancel := context.WithTimeout(ctx, maxCheckWait)
		d.checkServer(wait, x)
		cancel()
	case errorx.IsOfType(err, http1.NotSent):
		d.End(x, false)
	default:
		// A crash may have been noticed before, as by CutShort.
		d.GiveUp(x)
	}
	d.mu.Lock()
	reported := x.reported
	d.mu.Unlock()
	if !reported {
		return 0
	}
	return d.Table.Crashes(x.fingerprint())
}

// CutShort records that a connection was closed where the answer of its request may
// end, and reports whether the backend server has crashed, so that the answer is not
// whole. It tries to connect. If that takes longer than ctx, the answer counts as cut
// short.
func (d *Detector) CutShort(ctx context.Context, x *Running) bool {
	known := d.checkServer(ctx, x)
	d.mu.Lock()
	defer d.mu.Unlock()
	if known {
		d.interrupted = slices.DeleteFunc(d.interrupted, func(y *Running) bool { return x == y })
	}
	// A server that ends on purpose stops listening before its last answers.
	return (x.reported || !known) && !d.Expected()
}

// checkServer records that the connection of a request was closed, and waits until a
// connection attempt shows whether the server has crashed. It reports false if ctx ends
// before; the attempt goes on.
func (d *Detector) checkServer(ctx context.Context, x *Running) (known bool) {
	check := d.startCheck(x)
	if check == nil {
		return true
	}
	select {
	case <-check:
		return true
	case <-ctx.Done():
		return false
	}
}

// startCheck records that the connection of a request was closed, and begins a
// connection attempt unless one is in progress. The channel is closed at its end. It is
// nil if the crash is known.
func (d *Detector) startCheck(x *Running) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, x)
	if x.reported || d.closed {
		return nil
	}
	x.interruptedAt = d.Now()
	d.interrupted = append(d.recentlyInterrupted(), x)
	if d.check != nil {
		return d.check
	}
	check := make(chan struct{})
	d.check = check
	d.start(func() {
		if err := d.Reconnect(d.ctx); errorx.IsOfType(err, http1.NotListening) {
			d.ServerDown()
		}
		d.mu.Lock()
		d.check = nil
		d.mu.Unlock()
		close(check)
	})
	return check
}

// start runs a task until Close at the latest. The caller holds the mutex.
func (d *Detector) start(task func()) {
	if d.ctx == nil {
		d.ctx, d.cancel = context.WithCancel(context.Background())
	}
	d.tasks.Go(task)
}

// Close ends the tasks and waits for their end. No crash is noticed afterwards.
func (d *Detector) Close() {
	d.mu.Lock()
	d.closed = true
	if d.cancel != nil {
		d.cancel()
	}
	d.mu.Unlock()
	d.tasks.Wait()
}

// recentlyInterrupted returns the requests that were interrupted within
// interruptionWindow. The caller holds the mutex.
func (d *Detector) recentlyInterrupted() []*Running {
	oldest := d.Now().Add(-interruptionWindow)
	return slices.DeleteFunc(d.interrupted, func(x *Running) bool { return x.interruptedAt.Before(oldest) })
}

// forgetInterrupted drops the requests that were interrupted too long ago.
func (d *Detector) forgetInterrupted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.interrupted = d.recentlyInterrupted(); len(d.interrupted) == 0 {
		d.interrupted = nil
	}
}

// ServerDown records that nothing listens at the backend server's address. It reports
// a crash if connections of requests were closed before.
func (d *Detector) ServerDown() { d.serverDown(time.Time{}) }

// serverDown is ServerDown. openUntil is when the connection of watch was open for the
// last time, zero if the connection of a request must have been closed.
func (d *Detector) serverDown(openUntil time.Time) {
	all := d.takeCrashed(openUntil)
	if len(all) == 0 || d.Expected() {
		return
	}
	running := make([]quarantine.Running, 0, len(all))
	var ids, fingerprints []string
	for _, x := range all {
		r := quarantine.Running{Fingerprint: x.fingerprint(), BeganAt: x.beganAt}
		q := x.request.Identity()
		if x.request.HasBody {
			r.Prefix = q.Prefix()
		}
		running = append(running, r)
		d.examples.add(r.Fingerprint, x.request.ID, q.Target)
		ids, fingerprints = append(ids, x.request.ID), append(fingerprints, r.Fingerprint.String())
	}
	instance := all[0].request.Instance
	d.Log.Warn("backend server crashed", "instance", instance, "running", len(all),
		"requests", ids[:min(len(ids), maxLoggedRequests)], "fingerprints", fingerprints[:min(len(ids), maxLoggedRequests)])
	if d.Table.RecordCrash(instance, d.Zone(), running) != nil {
		d.OnChange()
	}
}

// takeCrashed returns the requests that were running at a crash, and marks them as
// reported. A request that was sent after the first connection was closed counts only
// if its own connection was closed: others were never read. That does not hold for one
// that was given up, since it got no answer while the server was up. openUntil is that
// of serverDown.
func (d *Detector) takeCrashed(openUntil time.Time) []*Running {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.recentlyInterrupted()
	d.interrupted = nil
	givenUp := d.runningGivenUp()
	first := openUntil
	switch {
	case len(all) > 0:
		first = all[0].interruptedAt
	case openUntil.IsZero() || len(givenUp) == 0:
		return nil
	}
	for x := range d.running {
		if !x.reported && !x.beganAt.After(first) {
			all = append(all, x)
		}
	}
	for _, x := range givenUp {
		all = append(all, x.Running)
	}
	d.givenUp = nil
	for _, x := range all {
		x.reported = true
	}
	return all
}

package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/internal/peercall"
	"quetzaldock.example/quetzaldock/pkg/balance"
	"quetzaldock.example/quetzaldock/pkg/pace"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
)

const (
	// dialTimeout limits a connection attempt to another node. It is a hundred
	// round trips between zones.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection is closed. A host without power sends no reset.
	unackedTimeout = 800 * time.Millisecond
	// maxIdlePerNode limits the idle connections to one node.
	maxIdlePerNode = 16
	// idleNodeTimeout is how long an unused connection to another node is kept.
	idleNodeTimeout = 20 * time.Second
	// maxRefusalBytes limits how much of a refusal's body is read.
	maxRefusalBytes = 1 << 10
)

// DialTCP opens a connection that fails soon after its peer has vanished.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockoptErr error
			err := c.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			return errors.Join(err, sockoptErr)
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// remoteNodes sends requests to the nodes beside other instances.
type remoteNodes struct {
	names *HeaderNames
	pools http1.PoolMap[string]
	now   func() time.Time
	calls *callGraph
	// silence gives up repeatable requests at nodes that answer nothing.
	silence silenceDetector
}

func newRemoteNodes(names *HeaderNames, calls *callGraph, now func() time.Time) *remoteNodes {
	p := &remoteNodes{names: names, calls: calls, now: now}
	p.pools.NewPool = func(address string) *http1.Pool {
		return &http1.Pool{
			MaxIdle: maxIdlePerNode, ProbeIdle: true,
			Dial: func(ctx context.Context) (net.Conn, error) { return DialTCP(ctx, address) },
		}
	}
	p.silence.answers = func(ctx context.Context, address string) bool { return p.pools.Pool(address).Answers(ctx) }
	return p
}

// do sends a request to the node of a target. Its errors are those of
// localBackend.do, a *priorityadmission.Refusal with the reason Unreachable if nothing
// was sent, and a *silentNode if the node answers nothing.
func (p *remoteNodes) do(ctx context.Context, to balance.Target, r *InstanceRequest) (*http.Response, balance.Load, error) {
	if !r.Repeatable {
		return p.exchange(ctx, to, r)
	}
	silent, stop := p.silence.watch(ctx, to.CallAddress, r.TypicalLatency)
	defer stop()
	x := &pendingExchange{ended: make(chan exchangeResult, 1)}
	ctx, x.cancel = context.WithCancel(ctx)
	go func() {
		a, l, err := p.exchange(ctx, to, r)
		x.ended <- exchangeResult{a, l, err}
	}()
	select {
	case e := <-x.ended:
		return e.response, e.load, e.err
	case <-silent:
		return nil, balance.Load{}, &silentNode{x}
	}
}

// exchange sends a request to the node of a target and returns its response.
func (p *remoteNodes) exchange(ctx context.Context, to balance.Target, r *InstanceRequest) (*http.Response, balance.Load, error) {
	pool := p.pools.Pool(to.CallAddress)
	send := pool.DoNonIdempotent
	if r.Repeatable {
		send = pool.Do
	}
	h := r.headersForNode(p.names, p.now())
	if r.isUpload() {
		http1.ExpectContinue(h)
	}
	a, err := send(ctx, r.httpRequest(h))
	if err != nil {
		return nil, balance.Load{}, p.classifyError(ctx, pool, err)
	}
	p.silence.heard(to.CallAddress)
	l, ok := parseLoad(a.Header[call.HeaderLoad])
	if !ok {
		_ = a.Body.Close()
		return nil, l, &call.OutcomeUnknown{Reason: "status " + strconv.Itoa(a.StatusCode) + " is not the answer of a node"}
	}
	p.calls.learnFromHeader(to.Service, a.Header.Get(headerCalls))
	if err := nodeError(a); err != nil {
		peercall.DrainBody(a, maxRefusalBytes)
		return nil, l, err
	}
	call.StripHopByHop(a.Header)
	strained, unserved := a.Header[headerStrained], a.Header[headerUnserved]
	stripNodeHeaders(a.Header)
	if strained != nil {
		a.Header[headerStrained] = strained
	}
	if unserved != nil {
		a.Header[headerUnserved] = unserved
	}
	return a, l, nil
}

func (p *remoteNodes) classifyError(ctx context.Context, pool *http1.Pool, err error) error {
	switch {
	case errorx.IsOfType(err, http1.NotSent):
		if ctx.Err() != nil {
			return &priorityadmission.Refusal{Reason: priorityadmission.Canceled}
		}
		return &priorityadmission.Refusal{Reason: priorityadmission.Unreachable}
	case ctx.Err() != nil:
		return &call.OutcomeUnknown{Reason: "no answer in time", Cause: context.Cause(ctx)}
	}
	pool.Invalidate()
	return &call.OutcomeUnknown{Reason: "the connection to the node broke", Cause: err}
}

// nodeError returns the error in a node's own response, or nil for a response of
// the backend server.
func nodeError(a *http.Response) error {
	if reason := a.Header.Get(call.HeaderNotRun); reason != "" {
		ms, _ := strconv.Atoi(a.Header.Get(headerRetryAfter))
		return &priorityadmission.Refusal{Reason: priorityadmission.Reason(reason), RetryAfter: time.Duration(ms) * time.Millisecond}
	}
	if reason := a.Header.Get(call.HeaderOutcome); reason != "" {
		crashes, _ := strconv.Atoi(a.Header.Get(headerCrashes))
		return &call.OutcomeUnknown{Reason: reason, Crashes: crashes}
	}
	return nil
}

// writeLoadHeaders sets the load of the backend server and its calls per run in a
// response to a node. The pace is a second value of call.HeaderLoad. Earlier builds
// read only the first value of a header and drop the others.
func writeLoadHeaders(h http.Header, l priorityadmission.Load, calls string) {
	if calls != "" {
		h[headerCalls] = []string{calls}
	}
	values := []string{strconv.Itoa(l.Running) + "/" + strconv.Itoa(l.Permits) + "/" + strconv.Itoa(l.Queued)}
	if l.PaceStated || l.Pace > 0 {
		values = append(values, strconv.FormatFloat(l.Pace, 'f', 3, 64))
	}
	h[call.HeaderLoad] = values
}

// parseLoad parses the values of call.HeaderLoad. A pace that is missing, invalid or
// implausible is unknown.
func parseLoad(values []string) (balance.Load, bool) {
	if len(values) == 0 {
		return balance.Load{}, false
	}
	running, rest, _ := strings.Cut(values[0], "/")
	permits, queued, _ := strings.Cut(rest, "/")
	var l balance.Load
	for _, f := range []struct {
		to   *int
		from string
	}{{&l.Running, running}, {&l.Permits, permits}, {&l.Queued, queued}} {
		n, err := strconv.Atoi(f.from)
		if err != nil || n < 0 {
			return balance.Load{}, false
		}
		*f.to = n
	}
	if len(values) == 2 {
		p, err := strconv.ParseFloat(values[1], 64)
		switch {
		case err != nil:
		case p == 0:
			// The instance states its pace, but it is not known at present.
			l.PaceStated = true
		case pace.Plausible(p):
			l.Pace, l.PaceStated = p, true
		}
	}
	return l, true
}

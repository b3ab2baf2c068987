package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/caller"
	"quetzaldock.example/quetzaldock/pkg/config"
)

// Guards against bad requests that reach a backend server or are charged, and
// against refusals that are not marked as not run.
func TestHandlerRefusesBadRequests(t *testing.T) {
	x := newTestHandler(t)
	x.addLocalHost(respondOK)
	for _, c := range []struct {
		name, method, path string
		headers            []string
		status             int
		reason             string
	}{
		{"no route", "GET", "/other", nil, 404, "NoRoute"},
		{"path that climbs out of an open route", "GET", "/public/../entries", nil, 404, "NoRoute"},
		{"tunnel", "CONNECT", "/entries", nil, 405, "MethodNotAllowed"},
		{"zero time limit", "GET", "/entries", []string{"Quetzaldock-Timeout-Ms: 0"}, 400, "BadTimeout"},
		{"negative time limit", "GET", "/entries", []string{"Quetzaldock-Timeout-Ms: -5"}, 400, "BadTimeout"},
		{"time limit beyond 32 bits", "GET", "/entries", []string{"Quetzaldock-Timeout-Ms: 99999999999"}, 400, "BadTimeout"},
		{"time limit of words", "GET", "/entries", []string{"Quetzaldock-Timeout-Ms: soon"}, 400, "BadTimeout"},
		{"long header", "GET", "/entries", []string{"X-Long: " + strings.Repeat("x", 5000)}, 431, "HeaderTooLarge"},
		{"long query", "GET", "/entries?" + strings.Repeat("x", 5000), nil, 431, "HeaderTooLarge"},
		{"long idempotency key", "POST", "/entries", []string{"Idempotency-Key: " + strings.Repeat("x", 300)}, 400, "IdempotencyKeyTooLong"},
		{"token of no running call", "GET", "/entries", []string{"Quetzaldock-Call: made-up"}, 401, "UnknownCall"},
	} {
		a, body := x.do(c.method, c.path, c.headers...)
		assert.Equal(t, a.StatusCode, c.status, "%s: %s", c.name, body)
		assert.Equal(t, a.Header.Get("Quetzaldock-Not-Run"), c.reason, c.name)
		assert.Equal(t, body, "not run: "+c.reason+"\n", c.name)
	}
	assert.Equal(t, x.callCount("self"), 0)
	assert.Equal(t, len(x.charged), 0)
}

// Guards against a caller's time limit that is ignored, or that lets a call run
// for longer than the witnesses remember its key.
func TestHandlerBoundsTheTimeLimit(t *testing.T) {
	x := newTestHandler(t)
	x.addLocalHost(respondOK)
	for i, c := range []struct {
		header string
		limit  time.Duration
	}{
		{"X-None: 1", 3 * time.Second},
		{"Quetzaldock-Timeout-Ms: 400", 400 * time.Millisecond},
		{"Quetzaldock-Timeout-Ms: 2147483647", 5 * time.Minute},
	} {
		a, body := x.do("GET", "/entries", c.header)
		assert.Equal(t, a.StatusCode, 200, body)
		k := x.calls["self"][i]
		assert.Equal(t, k.Deadline.Sub(k.ArrivedAt), c.limit)
	}
}

// Guards against nested calls that run for another account or beyond the
// deadline of the call that they belong to, are nested too deep, or are charged
// again.
func TestHandlerBindsNestedCallsToTheirCall(t *testing.T) {
	x := newTestHandler(t)
	x.addLocalHost(respondOK)
	end := time.Now().Add(time.Second)
	token, _ := x.RunningCalls.Add(call.Call{Account: "club", Depth: call.MaxDepth - 1, Deadline: end})
	a, body := x.sendRaw("GET /entries HTTP/1.1\r\nHost: x\r\nQuetzaldock-Call: " + token +
		"\r\nQuetzaldock-Timeout-Ms: 60000\r\nQuetzaldock-Account: other\r\nAuthorization: Bearer stolen\r\n\r\n")
	assert.Equal(t, a.StatusCode, 200, body)
	k := x.calls["self"][0]
	assert.Equal(t, k.Account, "club")
	assert.Equal(t, k.Depth, call.MaxDepth)
	assert.Assert(t, k.Deadline.Equal(end))
	assert.Equal(t, len(x.charged), 0)

	refused := func(want int, reason string, c call.Call, path string) {
		t.Helper()
		c.Deadline = end
		token, _ := x.RunningCalls.Add(c)
		a, body := x.sendRaw("GET " + path + " HTTP/1.1\r\nHost: x\r\nQuetzaldock-Call: " + token + "\r\n\r\n")
		assert.Equal(t, a.StatusCode, want, body)
		assert.Equal(t, a.Header.Get("Quetzaldock-Not-Run"), reason)
	}
	refused(503, "TooDeep", call.Call{Account: "club", Depth: call.MaxDepth}, "/entries")
	refused(401, "AccountWithdrawn", call.Call{Account: "left"}, "/public")
	refused(401, "KeyMissing", call.Call{}, "/entries")
	x.RunningCalls.Remove(token)
	a, _ = x.sendRaw("GET /entries HTTP/1.1\r\nHost: x\r\nQuetzaldock-Call: " + token + "\r\n\r\n")
	assert.Equal(t, a.Header.Get("Quetzaldock-Not-Run"), "UnknownCall")
	assert.Equal(t, x.callCount("self"), 1)
}

// Guards against calls that are retried because of a nested call that was
// already retried. With 3 attempts at each of 8 levels, a failing service would
// get 3^8 times the load.
func TestHandlerNotesFailuresOfNestedCalls(t *testing.T) {
	x := newTestHandler(t)
	x.addLocalHost(failWith(&call.NotRun{Reason: "QueueFull"}))
	token, e := x.RunningCalls.Add(call.Call{Account: "club", Deadline: time.Now().Add(time.Second)})
	a, _ := x.sendRaw("GET /entries HTTP/1.1\r\nHost: x\r\nQuetzaldock-Call: " + token + "\r\n\r\n")
	assert.Equal(t, a.StatusCode, 503)
	assert.Assert(t, e.HasNestedFailure())
}

// Guards against calls that are accepted without a configuration, with one that
// is older than the version floor, above the account's rate, or with a key that
// may have been withdrawn.
func TestHandlerRefusesByItsOwnState(t *testing.T) {
	for _, c := range []struct {
		reason string
		status int
		change func(h *caller.Handler)
		open   int
	}{
		{"Behind", 503, func(h *caller.Handler) { h.WaitForVersion = func(context.Context) bool { return false } }, 503},
		{"Starting", 503, func(h *caller.Handler) { h.Snapshot = func() *config.Snapshot { return nil } }, 503},
		{"KeysNotFresh", 503, func(h *caller.Handler) { h.KeyedAllowed = func() bool { return false } }, 200},
		{"ZoneOut", 503, func(h *caller.Handler) { h.RefusalReason = func() string { return "ZoneOut" } }, 503},
		{"KeyUnknown", 401, func(h *caller.Handler) {
			s := newSnapshot(t, "other")
			h.Snapshot = func() *config.Snapshot { return s }
		}, 200},
		{"RateExceeded", 429, func(h *caller.Handler) {
			h.Charge = func(context.Context, string, time.Time) bool { return false }
		}, 429},
	} {
		x := newTestHandler(t)
		x.addLocalHost(respondOK)
		c.change(x.Handler)
		a, body := x.do("GET", "/entries")
		assert.Equal(t, a.StatusCode, c.status, "%s: %s", c.reason, body)
		assert.Equal(t, a.Header.Get("Quetzaldock-Not-Run"), c.reason)
		assert.Equal(t, x.callCount("self"), 0)
		a, body = x.do("GET", "/public")
		assert.Equal(t, a.StatusCode, c.open, "%s, open route: %s", c.reason, body)
	}
}

// Guards against a handler that waits for the rest of the body of a refused
// request. The refusal would not arrive, and the connection would stay open.
func TestHandlerRefusesWithoutWaitingForTheBody(t *testing.T) {
	x := newTestHandler(t)
	x.addLocalHost(respondOK)
	for _, framing := range []string{"Content-Length: 1000", "Transfer-Encoding: chunked"} {
		a, _ := x.sendRaw("POST /entries HTTP/1.1\r\nHost: x\r\n" + framing + "\r\n\r\n")
		assert.Equal(t, a.StatusCode, 401)
	}
	// A caller that expects 100 Continue is refused without it.
	a, body := x.sendRaw("POST /entries HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1000\r\n\r\n")
	assert.Equal(t, a.StatusCode, 401, body)
}

// Guards against the body of a refused request that arrives after the response and
// is served as a request of its own.
func TestHandlerDoesNotServeLateBodies(t *testing.T) {
	x := newTestHandler(t)
	x.addLocalHost(respondOK)
	states := make(chan http.ConnState, 8)
	s := httptest.NewUnstartedServer(x.Handler)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateIdle || state == http.StateClosed {
			states <- state
		}
	}
	s.Start()
	defer s.Close()
	const late = "GET /public HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, framing := range []string{fmt.Sprintf("Content-Length: %d", len(late)), "Transfer-Encoding: chunked"} {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "POST /entries HTTP/1.1\r\nHost: x\r\n"+framing+"\r\n\r\n")
		assert.NilError(t, err)
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		in := bufio.NewReader(c)
		a, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, a.Body)
		assert.Equal(t, a.StatusCode, 401)
		state := <-states
		_, _ = io.WriteString(c, late)
		if a, err := http.ReadResponse(in, nil); err == nil {
			t.Errorf("%s: the body was answered with status %d", framing, a.StatusCode)
		}
		assert.Equal(t, state, http.StateClosed, framing)
	}
}

// Guards against an incomplete body that reaches a backend server, and against
// a stalled body that occupies its handler past the deadline.
func TestHandlerRefusesIncompleteBodies(t *testing.T) {
	x := newTestHandler(t)
	x.addLocalHost(respondOK)
	head := "POST /entries HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + clientKey + "\r\nContent-Length: 10\r\n"
	c := x.dial()
	_, err := io.WriteString(c, head+"\r\nhalf")
	assert.NilError(t, err)
	assert.NilError(t, c.(interface{ CloseWrite() error }).CloseWrite())
	a, body := x.readResponse(c)
	assert.Equal(t, a.StatusCode, 400, body)
	assert.Equal(t, a.Header.Get("Quetzaldock-Not-Run"), "BodyIncomplete")

	a, body = x.sendRaw(head + "Quetzaldock-Timeout-Ms: 100\r\n\r\nhalf")
	assert.Equal(t, a.StatusCode, 408, body)
	assert.Equal(t, a.Header.Get("Quetzaldock-Not-Run"), "BodyLate")
	assert.Equal(t, x.callCount("self"), 0)

	// A complete body is accepted.
	c = x.dial()
	_, err = io.WriteString(c, head+"\r\n0123456789")
	assert.NilError(t, err)
	a, body = x.readResponse(c)
	assert.Equal(t, a.StatusCode, 200, body)
}

// Guards against more concurrent calls than the memory of a node allows, and
// against nested calls that are refused because of the calls that they belong
// to.
func TestHandlerBoundsCallsAtOnce(t *testing.T) {
	x := newTestHandler(t)
	x.MaxConcurrentCalls = 1
	entered, release := make(chan struct{}, 2), make(chan struct{})
	x.addLocalHost(func(ctx context.Context, c call.Call, r *http.Request) (*http.Response, error) {
		entered <- struct{}{}
		<-release
		return respondOK(ctx, c, r)
	})
	first, second := x.dial(), x.dial()
	text := "GET /entries HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n"
	_, _ = fmt.Fprintf(first, text, "Authorization: Bearer "+clientKey)
	<-entered
	a, _ := x.do("GET", "/entries")
	assert.Equal(t, a.StatusCode, 503)
	assert.Equal(t, a.Header.Get("Quetzaldock-Not-Run"), "Overloaded")
	token, _ := x.RunningCalls.Add(call.Call{Account: "club", Deadline: time.Now().Add(time.Minute)})
	_, _ = fmt.Fprintf(second, text, "Quetzaldock-Call: "+token)
	<-entered
	close(release)
	a, _ = x.readResponse(first)
	assert.Equal(t, a.StatusCode, 200)
	a, _ = x.readResponse(second)
	assert.Equal(t, a.StatusCode, 200)
	a, _ = x.do("GET", "/entries")
	assert.Equal(t, a.StatusCode, 200)
}

// Guards against callers that keep a connection to a stopping node because the
// node began to stop during their call.
func TestHandlerAsksToLeaveWithTheAnswer(t *testing.T) {
	x := newTestHandler(t)
	var closing atomic.Bool
	x.CloseConnections = closing.Load
	x.addLocalHost(func(ctx context.Context, c call.Call, r *http.Request) (*http.Response, error) {
		closing.Store(true)
		return respondOK(ctx, c, r)
	})
	a, body := x.do("GET", "/entries")
	assert.Equal(t, a.StatusCode, 200, body)
	assert.Assert(t, a.Close)
}

package caller_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/call"
)

var (
	errQueueFull = &call.NotRun{Reason: "QueueFull"}
	errReset     = &call.OutcomeUnknown{Reason: "broken", Cause: errors.New("reset")}
)

// Guards against a non-idempotent request that runs twice (promise P12), a
// request that is reported as not run although it may have run (promise P11),
// and calls that fail although another host could have served them.
func TestDispatcherRetriesOnlyWhereItIsSafe(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		firstHost          runFunc
		status             int
		notRun, outcome    string
		secondHostCalls    int
	}{
		{"not run", "POST", "/entries", failWith(errQueueFull), 200, "", "", 1},
		{"not run, final", "POST", "/entries", failWith(&call.NotRun{Reason: "Late", Final: true}), 503, "Late", "", 0},
		{"unknown", "POST", "/entries", failWith(errReset), 502, "", "unknown", 0},
		{"unknown, idempotent method", "PUT", "/entries", failWith(errReset), 200, "", "", 1},
		{"unknown, idempotent route", "POST", "/again", failWith(errReset), 200, "", "", 1},
		{"unknown, nested call retried", "GET", "/entries", failWith(&call.OutcomeUnknown{NestedCallRetried: true}), 502, "", "unknown", 0},
		{"server's 503", "POST", "/entries", respondWith(503), 503, "", "", 0},
		{"server's 503, idempotent", "GET", "/entries", respondWith(503), 200, "", "", 1},
		{"server's 500, idempotent", "GET", "/entries", respondWith(500), 500, "", "", 0},
		{"server's 503, nested call retried", "GET", "/entries", func(context.Context, call.Call, *http.Request) (*http.Response, error) {
			a := newResponse(503)
			a.Header.Set("Quetzaldock-Retry", "no")
			return a, nil
		}, 503, "", "", 0},
		{"repeat of a key", "POST", "/entries", failWith(&call.DuplicateRequest{Status: 201}), 409, "", "done", 0},
	} {
		x := newTestHandler(t)
		x.addLocalHost(c.firstHost)
		x.addRemoteHost("far-1", respondOK)
		a, body := x.do(c.method, c.path)
		assert.Equal(t, a.StatusCode, c.status, "%s: %s", c.name, body)
		assert.Equal(t, a.Header.Get("Quetzaldock-Not-Run"), c.notRun, c.name)
		assert.Equal(t, a.Header.Get("Quetzaldock-Outcome"), c.outcome, c.name)
		assert.Equal(t, x.callCount("self"), 1, c.name)
		assert.Equal(t, x.callCount("far-1"), c.secondHostCalls, c.name)
	}
}

// Guards against a call that is reported as not run although an earlier attempt
// may have run (promise P11).
func TestDispatcherNeverForgetsAnUnknownAttempt(t *testing.T) {
	for _, first := range []runFunc{failWith(errReset), respondWith(503)} {
		x := newTestHandler(t)
		x.addLocalHost(first)
		x.addRemoteHost("far-1", failWith(errQueueFull))
		x.addRemoteHost("far-2", nil)
		a, body := x.do("GET", "/entries")
		assert.Equal(t, a.StatusCode, 502, body)
		assert.Equal(t, a.Header.Get("Quetzaldock-Not-Run"), "")
		assert.Equal(t, a.Header.Get("Quetzaldock-Outcome"), "unknown")
		assert.Equal(t, x.callCount("far-1"), 1)
	}
}

// Guards against "NoHost" or an unknown outcome in place of the response or the
// refusal of the only host.
func TestDispatcherPassesOnWhatTheOnlyHostSays(t *testing.T) {
	x := newTestHandler(t)
	x.addLocalHost(failWith(errQueueFull))
	a, _ := x.do("GET", "/entries")
	assert.Equal(t, a.Header.Get("Quetzaldock-Not-Run"), "QueueFull")

	x = newTestHandler(t)
	x.addLocalHost(respondWith(503))
	a, body := x.do("GET", "/entries")
	assert.Equal(t, a.StatusCode, 503)
	assert.Equal(t, a.Header.Get("Quetzaldock-Outcome"), "")
	assert.Equal(t, body, "done")

	x = newTestHandler(t)
	a, _ = x.do("GET", "/entries")
	assert.Equal(t, a.Header.Get("Quetzaldock-Not-Run"), "NoHost")
}

// Guards against a retry that sends only the rest of a long body, and against a
// missing retry although nothing of the body was sent yet.
func TestDispatcherSendsLongBodiesOnce(t *testing.T) {
	long := strings.Repeat("x", 200_000)
	text := "PUT /entries HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + clientKey + "\r\nContent-Length: 200000\r\n\r\n" + long
	x := newTestHandler(t)
	x.addLocalHost(func(_ context.Context, _ call.Call, r *http.Request) (*http.Response, error) {
		_, _ = io.CopyN(io.Discard, r.Body, 1)
		return nil, errQueueFull
	})
	x.addRemoteHost("far-1", respondOK)
	a, body := x.sendRaw(text)
	assert.Equal(t, a.StatusCode, 503, body)
	assert.Equal(t, x.callCount("far-1"), 0)

	x = newTestHandler(t)
	x.addLocalHost(failWith(errQueueFull))
	got := make(chan string, 1)
	x.addRemoteHost("far-1", func(_ context.Context, _ call.Call, r *http.Request) (*http.Response, error) {
		b, err := io.ReadAll(r.Body)
		got <- string(b)
		return newResponse(200), err
	})
	a, body = x.sendRaw(text)
	assert.Equal(t, a.StatusCode, 200, body)
	assert.Equal(t, len(<-got), len(long))
}

// Guards against idempotent calls that never get a response because each of
// their attempts is canceled after the time limit of the first one.
func TestDispatcherWaitsForSlowCalls(t *testing.T) {
	slow := func(ctx context.Context, c call.Call, r *http.Request) (*http.Response, error) {
		select {
		case <-time.After(1200 * time.Millisecond):
			return respondOK(ctx, c, r)
		case <-ctx.Done():
			return nil, &call.OutcomeUnknown{Reason: "ended", Cause: ctx.Err()}
		}
	}
	for _, hosts := range [][]string{{"far-1"}, {"far-1", "far-2"}} {
		x := newTestHandler(t)
		for _, id := range hosts {
			x.addRemoteHost(id, slow)
		}
		a, body := x.do("GET", "/entries")
		assert.Equal(t, a.StatusCode, 200, body)
	}
}

// Guards against a passed deadline that is reported as a failure of the host,
// with status 502 instead of 504.
func TestDispatcherReportsThePassedDeadline(t *testing.T) {
	late := func(ctx context.Context, _ call.Call, _ *http.Request) (*http.Response, error) {
		<-ctx.Done()
		return nil, &call.OutcomeUnknown{Reason: "no whole answer", Cause: ctx.Err()}
	}
	for _, place := range []string{"local", "remote"} {
		x := newTestHandler(t)
		if place == "local" {
			x.addLocalHost(late)
		} else {
			x.addRemoteHost("far-1", late)
		}
		a, body := x.do("POST", "/entries", "Quetzaldock-Timeout-Ms: 100", "Content-Length: 0")
		assert.Equal(t, a.StatusCode, 504, "%s: %s", place, body)
		assert.Equal(t, a.Header.Get("Quetzaldock-Outcome"), "unknown")
	}
}

package peercall

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/http1"
)

// failure says what a failed exchange with another node means for the call.
func failure(ctx context.Context, err error) error {
	switch {
	case errorx.IsOfType(err, http1.NotSent):
		if n := call.Ended(ctx); n != nil {
			return n
		}
		return &call.NotRun{Reason: "Unreachable"}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &call.Unknown{Reason: "no answer in time", Cause: ctx.Err()}
	case errorx.IsOfType(err, http1.Expired):
		return &call.Unknown{Reason: "no answer in time", Cause: err}
	default:
		return &call.Unknown{Reason: "connection to the host broke", Cause: err}
	}
}

// answer turns the other node's refusals into errors. Only a node sets these
// headers: it removes them from what its backend server sends.
func answer(a *http.Response) (*http.Response, error) {
	if a.Header.Get(call.HeaderVersion) == "" {
		// A node states its version in each answer. This one was made before
		// a node's handler ran, or by something else.
		drain(a)
		return nil, &call.Unknown{Reason: "status " + strconv.Itoa(a.StatusCode) + " is not the answer of a node"}
	}
	final := a.Header.Get(call.HeaderRetry) == "no"
	if reason := a.Header.Get(call.HeaderNotRun); reason != "" {
		drain(a)
		return nil, &call.NotRun{Reason: reason, Final: final}
	}
	switch a.Header.Get(call.HeaderOutcome) {
	case "running":
		drain(a)
		return nil, &call.Repeat{}
	case "done":
		n, _ := strconv.Atoi(a.Header.Get(call.HeaderStatus))
		drain(a)
		return nil, &call.Repeat{Status: n}
	case "unknown":
		drain(a)
		u := &call.Unknown{Reason: "the host got no answer from its backend server", Deeper: final}
		if a.StatusCode == http.StatusGatewayTimeout {
			u.Cause = context.DeadlineExceeded
		}
		return nil, u
	}
	call.StripHop(a.Header)
	call.StripInternal(a.Header)
	if final {
		a.Header.Set(call.HeaderRetry, "no")
	}
	return a, nil
}

func drain(a *http.Response) { Drain(a, refusalBytes) }

// Drain reads the rest of a short answer, at most limit bytes, so that its
// connection can be used again.
func Drain(a *http.Response, limit int64) {
	_, _ = io.CopyN(io.Discard, a.Body, limit)
	_ = a.Body.Close()
}

// parseLoad reads running/permits/queued.
func parseLoad(v string) Load {
	f := strings.Split(v, "/")
	if len(f) != 3 {
		return Load{}
	}
	var n [3]int
	for i := range f {
		x, err := strconv.Atoi(f[i])
		if err != nil || x < 0 {
			return Load{}
		}
		n[i] = x
	}
	return Load{Running: n[0], Permits: n[1], Queued: n[2], Known: true}
}

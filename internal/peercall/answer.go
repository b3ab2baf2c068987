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
func exchangeError(ctx context.Context, err error) error {
	switch {
	case errorx.IsOfType(err, http1.NotSent):
		if n := call.NotRunFromContext(ctx); n != nil {
			return n
		}
		return &call.NotRun{Reason: "Unreachable"}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &call.OutcomeUnknown{Reason: "no answer in time", Cause: ctx.Err()}
	case errorx.IsOfType(err, http1.Expired):
		return &call.OutcomeUnknown{Reason: "no answer in time", Cause: err}
	default:
		return &call.OutcomeUnknown{Reason: "connection to the host broke", Cause: err}
	}
}

// answer turns the other node's refusals into errors. Only a node sets these
// headers: it removes them from what its backend server sends.
func parseResponse(a *http.Response) (*http.Response, error) {
	if a.Header.Get(call.HeaderConfigVersion) == "" {
		// A node states its version in each answer. This one was made before
		// a node's handler ran, or by something else.
		drainRefusal(a)
		return nil, &call.OutcomeUnknown{Reason: "status " + strconv.Itoa(a.StatusCode) + " is not the answer of a node"}
	}
	final := a.Header.Get(call.HeaderRetry) == "no"
	if reason := a.Header.Get(call.HeaderNotRun); reason != "" {
		drainRefusal(a)
		return nil, &call.NotRun{Reason: reason, Final: final}
	}
	switch a.Header.Get(call.HeaderOutcome) {
	case "running":
		drainRefusal(a)
		return nil, &call.DuplicateRequest{}
	case "done":
		n, _ := strconv.Atoi(a.Header.Get(call.HeaderEarlierStatus))
		drainRefusal(a)
		return nil, &call.DuplicateRequest{Status: n}
	case "unknown":
		drainRefusal(a)
		u := &call.OutcomeUnknown{Reason: "the host got no answer from its backend server", NestedCallRetried: final}
		if a.StatusCode == http.StatusGatewayTimeout {
			u.Cause = context.DeadlineExceeded
		}
		return nil, u
	}
	call.StripHopByHop(a.Header)
	call.StripMeshHeaders(a.Header)
	if final {
		a.Header.Set(call.HeaderRetry, "no")
	}
	return a, nil
}

func drainRefusal(a *http.Response) { DrainBody(a, maxRefusalBytes) }

// Drain reads the rest of a short answer, at most limit bytes, so that its
// connection can be used again.
func DrainBody(a *http.Response, limit int64) {
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

package peercall

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/pkg/quarantine"
)

// exchangeError returns the error of a call whose exchange with another node
// failed with err, an error of package http1.
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

// parseResponse returns the response of the backend server, or the error that
// the other node reports in the headers of the mesh. Nodes remove these headers
// from the responses of their backend servers.
func parseResponse(a *http.Response) (*http.Response, error) {
	if a.Header.Get(call.HeaderConfigVersion) == "" {
		// A node sends its configuration version with each response. This
		// response comes from the HTTP server of a node before the handler ran,
		// or from a program that is not a node.
		drainRefusal(a)
		return nil, &call.OutcomeUnknown{Reason: "status " + strconv.Itoa(a.StatusCode) + " is not the answer of a node"}
	}
	noRetry := a.Header.Get(call.HeaderRetry) == "no"
	if reason := a.Header.Get(call.HeaderNotRun); reason != "" {
		drainRefusal(a)
		return nil, &call.NotRun{Reason: reason, Final: noRetry, RetryAfter: parseRetryAfter(a.Header.Get(call.HeaderRetryAfter))}
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
		u := &call.OutcomeUnknown{Reason: "the host got no answer from its backend server", NestedCallRetried: noRetry}
		if n, err := strconv.Atoi(a.Header.Get(call.HeaderCrashes)); err == nil {
			u.Crashes = max(0, n)
		}
		if a.StatusCode == http.StatusGatewayTimeout {
			u.Cause = context.DeadlineExceeded
		}
		return nil, u
	}
	call.StripHopByHop(a.Header)
	call.StripMeshHeaders(a.Header)
	if noRetry {
		a.Header.Set(call.HeaderRetry, "no")
	}
	return a, nil
}

// parseRetryAfter parses the value of call.HeaderRetryAfter. It returns 0 if the value
// is missing, malformed or longer than any quarantine.
func parseRetryAfter(v string) time.Duration {
	ms, err := strconv.ParseInt(v, 10, 32)
	after := time.Duration(ms) * time.Millisecond
	if err != nil || after < 0 || after > quarantine.MaxRefuseFor {
		return 0
	}
	return after
}

// drainRefusal drains a response whose body is at most a short text.
func drainRefusal(a *http.Response) { DrainBody(a, maxRefusalBytes) }

// DrainBody reads up to limit bytes of the body and closes it. If the body ends
// within the limit, its connection can be reused.
func DrainBody(a *http.Response, limit int64) {
	_, _ = io.CopyN(io.Discard, a.Body, limit)
	_ = a.Body.Close()
}

// parseLoad parses the value of call.HeaderLoad. It returns the zero Load if the
// value is malformed.
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

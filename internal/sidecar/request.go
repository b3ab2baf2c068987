package sidecar

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/pkg/quarantine"
)

// An InstanceRequest is a request on its way to one instance. The node of the
// caller builds it, and the node beside the instance reads it back from the
// headers.
type InstanceRequest struct {
	// Original is the request as received. Its header is not modified.
	Original *http.Request
	// Header is the header to forward.
	Header     http.Header
	Body       io.ReadCloser
	BodyLength int64
	// Instance is the ID of the instance that is to run the request.
	Instance string
	Deadline time.Time
	// Objective is the time by which the response should be complete. Zero means
	// the deadline.
	Objective time.Time
	// Priority orders requests; 0 is the most urgent.
	Priority int
	// StartBy is the time until which the request may wait in the queue. It is then
	// returned as not run. Zero means as long as the deadline allows.
	StartBy time.Time
	// NoWait asks for an immediate refusal instead of a place in the queue.
	NoWait bool
	// TypicalLatency is how long requests take at the service's other instances,
	// zero if unknown. It is sent only with NoWait.
	TypicalLatency time.Duration
	// Nested marks a request that a backend server makes for one that it runs.
	Nested bool
	// Repeatable requests may run more than once.
	Repeatable bool
	// Fingerprint identifies the request in crash reports. It is zero if the body
	// streams.
	Fingerprint quarantine.Fingerprint
}

// Headers between nodes, in addition to those of package call.
const (
	headerPriority = call.HeaderPrefix + "Priority"
	// headerNoWait is set for requests that must not wait in a queue. Its value
	// is the typical latency at other instances in milliseconds, 0 if unknown.
	headerNoWait = call.HeaderPrefix + "No-Wait"
	// headerStartBy is the time left until InstanceRequest.StartBy in milliseconds.
	headerStartBy = call.HeaderPrefix + "Start-By-Ms"
	// headerObjective is the time left until the objective in milliseconds,
	// negative once it has passed.
	headerObjective  = call.HeaderPrefix + "Objective-Ms"
	headerNested     = call.HeaderPrefix + "Nested"
	headerRepeatable = call.HeaderPrefix + "Repeatable"
	// headerRetryAfter is the time in milliseconds after which a refused request
	// may be admitted.
	headerRetryAfter = call.HeaderRetryAfter
	// headerFingerprint is InstanceRequest.Fingerprint in its text form.
	headerFingerprint = call.HeaderFingerprint
	// headerCrashes is call.OutcomeUnknown.Crashes in a response.
	headerCrashes = call.HeaderCrashes
	flagSet       = "1"
)

// nodeHeaders lists the headers that only nodes set. If callers or backend
// servers send them, they are dropped.
var nodeHeaders = []string{
	headerPriority, headerObjective, headerStartBy, headerNoWait, headerNested, headerRepeatable, headerRetryAfter, headerCalls,
	headerStrained, headerUnserved,
	headerFingerprint, headerCrashes,
	call.HeaderNotRun, call.HeaderOutcome, call.HeaderLoad,
}

func stripNodeHeaders(h http.Header) {
	for _, k := range nodeHeaders {
		delete(h, k)
	}
}

// forwardedHeaders returns the headers of a caller's request that are forwarded,
// with capacity for extra more.
func forwardedHeaders(h http.Header, extra int, names *HeaderNames) http.Header {
	out := make(http.Header, len(h)+extra)
	for k, v := range h {
		out[k] = v
	}
	call.StripHopByHop(out)
	stripNodeHeaders(out)
	for _, k := range []string{names.Key, names.Account, names.ExpectedInstance, names.CallerService} {
		delete(out, k)
	}
	if _, ok := out["User-Agent"]; !ok {
		// Without this header net/http would send its own name.
		out["User-Agent"] = []string{""}
	}
	return out
}

// httpRequest returns the HTTP request to send. The request target is forwarded
// byte by byte.
func (r *InstanceRequest) httpRequest(header http.Header) *http.Request {
	return &http.Request{
		Method: r.Original.Method, Host: r.Original.Host, Header: header, Body: r.Body, ContentLength: r.BodyLength,
		URL: &url.URL{Scheme: "http", Host: r.Original.Host, Opaque: requestTarget(r.Original)},
	}
}

// requestTarget returns the path and query of a request as they were sent.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// requestPath returns the escaped path of a request as it was sent.
func requestPath(r *http.Request) string {
	p, _, _ := strings.Cut(requestTarget(r), "?")
	return p
}

// headersForNode returns the headers of the request to another node.
func (r *InstanceRequest) headersForNode(names *HeaderNames, now time.Time) http.Header {
	h := make(http.Header, len(r.Header)+8)
	for k, v := range r.Header {
		h[k] = v
	}
	h[names.ExpectedInstance] = []string{r.Instance}
	h[names.TimeLeft] = []string{formatMs(r.Deadline.Sub(now))}
	h[headerPriority] = []string{strconv.Itoa(r.Priority)}
	if !r.Objective.IsZero() {
		h[headerObjective] = []string{strconv.FormatInt(r.Objective.Sub(now).Milliseconds(), 10)}
	}
	if !r.StartBy.IsZero() {
		h[headerStartBy] = []string{formatMs(r.StartBy.Sub(now))}
	}
	if r.NoWait {
		h[headerNoWait] = []string{formatMs(r.TypicalLatency)}
	}
	if !r.Fingerprint.IsZero() {
		h[headerFingerprint] = []string{r.Fingerprint.String()}
	}
	for _, f := range []struct {
		name string
		set  bool
	}{{headerNested, r.Nested}, {headerRepeatable, r.Repeatable}} {
		if f.set {
			h[f.name] = []string{flagSet}
		}
	}
	return h
}

// parseNodeRequest reads a request that another node sent.
func parseNodeRequest(in *http.Request, names *HeaderNames, now time.Time) (*InstanceRequest, error) {
	timeLeftMs, err := strconv.ParseInt(in.Header.Get(names.TimeLeft), 10, 32)
	if err != nil || timeLeftMs < 0 {
		return nil, &call.NotRun{Reason: "BadHeader"}
	}
	priority, err := strconv.Atoi(in.Header.Get(headerPriority))
	if err != nil {
		return nil, &call.NotRun{Reason: "BadHeader"}
	}
	// No node sends more. A client that is none must not hold a request for longer.
	timeLeftMs = min(timeLeftMs, maxRequestTimeout.Milliseconds())
	r := &InstanceRequest{
		Original: in, Body: in.Body, BodyLength: in.ContentLength,
		Instance: in.Header.Get(names.ExpectedInstance), Priority: priority,
		Deadline:   now.Add(time.Duration(timeLeftMs) * time.Millisecond),
		Nested:     in.Header.Get(headerNested) != "",
		Repeatable: in.Header.Get(headerRepeatable) != "",
	}
	if v := in.Header.Get(headerNoWait); v != "" {
		ms, err := strconv.ParseInt(v, 10, 32)
		if err != nil || ms < 0 {
			return nil, &call.NotRun{Reason: "BadHeader"}
		}
		r.NoWait, r.TypicalLatency = true, time.Duration(ms)*time.Millisecond
	}
	if v := in.Header.Get(headerObjective); v != "" {
		ms, err := strconv.ParseInt(v, 10, 32)
		if err != nil {
			return nil, &call.NotRun{Reason: "BadHeader"}
		}
		r.Objective = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if v := in.Header.Get(headerStartBy); v != "" {
		ms, err := strconv.ParseInt(v, 10, 32)
		if err != nil || ms < 0 {
			return nil, &call.NotRun{Reason: "BadHeader"}
		}
		r.StartBy = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if v := in.Header.Get(headerFingerprint); v != "" {
		if r.Fingerprint, err = quarantine.ParseFingerprint(v); err != nil {
			return nil, &call.NotRun{Reason: "BadHeader"}
		}
	}
	r.Header = make(http.Header, len(in.Header))
	for k, v := range in.Header {
		r.Header[k] = v
	}
	call.StripHopByHop(r.Header)
	stripNodeHeaders(r.Header)
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = []string{""}
	}
	return r, nil
}

// formatMs formats a remaining time in whole milliseconds, rounded down and at
// least 0.
func formatMs(d time.Duration) string {
	return strconv.FormatInt(max(0, d.Milliseconds()), 10)
}

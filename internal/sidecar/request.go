package sidecar

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"quetzaldock.example/quetzaldock/internal/call"
)

// A Request is one request on its way to one instance. The node beside that
// instance receives what the node of the caller has made of it.
type InstanceRequest struct {
	// In is the request as it came; its header is not changed.
	Original *http.Request
	// Header is what is passed on.
	Header     http.Header
	Body       io.ReadCloser
	BodyLength int64
	// Instance is the ID of the instance that is to run the request.
	Instance string
	Deadline time.Time
	// Objective is the time until which the answer is worth most; zero means
	// until the deadline.
	Objective time.Time
	// Priority ranks the request, 0 first.
	Priority int
	// NoWait asks for a refusal in place of a place in the queue.
	NoWait bool
	// Usual is how long requests take at the service's other instances, zero if
	// that is not known. It goes with NoWait.
	TypicalLatency time.Duration
	// Nested: the request was made by a backend server for one that it runs.
	Nested bool
	// Repeatable requests may run more than once.
	Repeatable bool
}

// The headers between nodes, besides those of package call.
const (
	headerPriority = call.HeaderPrefix + "Priority"
	// headerNoWait is set for requests that may not wait, to the milliseconds
	// that requests usually take at other instances, zero if unknown.
	headerNoWait = call.HeaderPrefix + "No-Wait"
	// headerObjective is the milliseconds to the objective, negative once it
	// has passed.
	headerObjective  = call.HeaderPrefix + "Objective-Ms"
	headerNested     = call.HeaderPrefix + "Nested"
	headerRepeatable = call.HeaderPrefix + "Repeatable"
	// headerAfter is the milliseconds after which a refused request may find
	// room.
	headerRetryAfter = call.HeaderPrefix + "After-Ms"
	flagSet          = "1"
)

// betweenNodes lists the headers that only nodes set. What callers and backend
// servers send under these names is dropped.
var nodeHeaders = []string{
	headerPriority, headerObjective, headerNoWait, headerNested, headerRepeatable, headerRetryAfter, headerCalls,
	call.HeaderNotRun, call.HeaderOutcome, call.HeaderLoad,
}

func stripNodeHeaders(h http.Header) {
	for _, k := range nodeHeaders {
		delete(h, k)
	}
}

// passedOn returns the headers of a caller's request that are passed on, with
// room for n more.
func forwardedHeaders(h http.Header, extra int, names *HeaderNames) http.Header {
	out := make(http.Header, len(h)+extra)
	for k, v := range h {
		out[k] = v
	}
	call.StripHop(out)
	stripNodeHeaders(out)
	for _, k := range []string{names.Key, names.Account, names.ExpectedInstance, names.CallerService} {
		delete(out, k)
	}
	if _, ok := out["User-Agent"]; !ok {
		// Without the header net/http would send its own name.
		out["User-Agent"] = []string{""}
	}
	return out
}

// outgoing returns the request to send. The target is passed on byte by byte.
func (r *InstanceRequest) httpRequest(header http.Header) *http.Request {
	return &http.Request{
		Method: r.Original.Method, Host: r.Original.Host, Header: header, Body: r.Body, ContentLength: r.BodyLength,
		URL: &url.URL{Scheme: "http", Host: r.Original.Host, Opaque: requestTarget(r.Original)},
	}
}

// target returns the path and query of a request as they were sent.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// path returns the escaped path of a request as it was sent.
func requestPath(r *http.Request) string {
	p, _, _ := strings.Cut(requestTarget(r), "?")
	return p
}

// toNode returns the headers of the request to another node.
func (r *InstanceRequest) headersForNode(names *HeaderNames, now time.Time) http.Header {
	h := make(http.Header, len(r.Header)+6)
	for k, v := range r.Header {
		h[k] = v
	}
	h[names.ExpectedInstance] = []string{r.Instance}
	h[names.TimeLeft] = []string{formatMs(r.Deadline.Sub(now))}
	h[headerPriority] = []string{strconv.Itoa(r.Priority)}
	if !r.Objective.IsZero() {
		h[headerObjective] = []string{strconv.FormatInt(r.Objective.Sub(now).Milliseconds(), 10)}
	}
	if r.NoWait {
		h[headerNoWait] = []string{formatMs(r.TypicalLatency)}
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

// fromNode reads a request that another node sent.
func parseNodeRequest(in *http.Request, names *HeaderNames, now time.Time) (*InstanceRequest, error) {
	timeLeftMs, err := strconv.ParseInt(in.Header.Get(names.TimeLeft), 10, 32)
	if err != nil || timeLeftMs < 0 {
		return nil, &call.NotRun{Reason: "BadHeader"}
	}
	priority, err := strconv.Atoi(in.Header.Get(headerPriority))
	if err != nil {
		return nil, &call.NotRun{Reason: "BadHeader"}
	}
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
	r.Header = make(http.Header, len(in.Header))
	for k, v := range in.Header {
		r.Header[k] = v
	}
	call.StripHop(r.Header)
	stripNodeHeaders(r.Header)
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = []string{""}
	}
	return r, nil
}

// milliseconds writes what is left of a time, whole milliseconds rounded down.
func formatMs(d time.Duration) string {
	return strconv.FormatInt(max(0, d.Milliseconds()), 10)
}

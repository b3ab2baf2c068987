package operator

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"unicode"
)

// ErrBadQuery means that a question about a request is not valid.
var ErrBadQuery = namespace.NewType("bad_query")

// headerRouteKey carries the caller's key of RouteQuery, which must not be in a URL.
const headerRouteKey = "Quetzaldock-Route-Key"

// maxLeftMs bounds RouteQuery.LeftMs to a day, far above the time that any route allows.
const maxLeftMs = 24 * 60 * 60 * 1000

// A RouteQuery describes a request whose routing is to be explained.
type RouteQuery struct {
	Method string
	// Path is the request target: the path, and the query if there is one.
	Path string
	// VirtualHost is the value of the request's Host header.
	VirtualHost string `json:",omitempty"`
	// Key is the caller's key. It is not part of answers.
	Key string `json:"-"`
	// LeftMs is the time that the caller states to have left, in milliseconds; 0 if it
	// states none.
	LeftMs float64 `json:",omitempty"`
	// BodyBytes is the length of the body.
	BodyBytes int64 `json:",omitempty"`
	// Nested marks a request that an instance makes for one that it runs.
	Nested bool `json:",omitempty"`
}

// Check returns an error of type ErrBadQuery if the query is not valid.
func (q *RouteQuery) Check() error {
	if _, err := url.ParseRequestURI(q.Path); err != nil || !strings.HasPrefix(q.Path, "/") || strings.ContainsFunc(q.Path, isSpaceOrControl) {
		return ErrBadQuery.New("the path must begin with a slash and be escaped as in a request")
	}
	if _, err := http.NewRequest(q.Method, "/", nil); err != nil || q.Method == "" {
		return ErrBadQuery.New("the method %q is not valid", q.Method)
	}
	switch {
	case strings.ContainsFunc(q.VirtualHost, isSpaceOrControl) || strings.ContainsAny(q.VirtualHost, "/?#@"):
		return ErrBadQuery.New("the virtual host %q is not valid", q.VirtualHost)
	case strings.ContainsFunc(q.Key, unicode.IsControl) || strings.TrimSpace(q.Key) != q.Key:
		return ErrBadQuery.New("the key contains characters that a header cannot carry")
	case !(q.LeftMs >= 0 && q.LeftMs <= maxLeftMs):
		return ErrBadQuery.New("the time left must be from 0 to %d milliseconds", int64(maxLeftMs))
	case q.BodyBytes < 0:
		return ErrBadQuery.New("the body length must not be negative")
	}
	return nil
}

func isSpaceOrControl(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }

// values returns the query without the key as parameters of a URL.
func (q *RouteQuery) values() url.Values {
	return url.Values{
		"method": {q.Method}, "path": {q.Path}, "host": {q.VirtualHost}, "left-ms": {strconv.FormatFloat(q.LeftMs, 'g', -1, 64)},
		"body-bytes": {strconv.FormatInt(q.BodyBytes, 10)}, "nested": {strconv.FormatBool(q.Nested)},
	}
}

// parseRouteQuery reads a query from a request. Missing parameters have the value that a
// plain GET request has. The error is of type ErrBadQuery.
func parseRouteQuery(r *http.Request) (*RouteQuery, error) {
	v := r.URL.Query()
	q := &RouteQuery{Method: v.Get("method"), Path: v.Get("path"), VirtualHost: v.Get("host"), Key: r.Header.Get(headerRouteKey)}
	if q.Method == "" {
		q.Method = http.MethodGet
	}
	var err error
	if s := v.Get("left-ms"); s != "" {
		if q.LeftMs, err = strconv.ParseFloat(s, 64); err != nil {
			return nil, ErrBadQuery.New("left-ms must be a number")
		}
	}
	if s := v.Get("body-bytes"); s != "" {
		if q.BodyBytes, err = strconv.ParseInt(s, 10, 64); err != nil {
			return nil, ErrBadQuery.New("body-bytes must be a whole number")
		}
	}
	if s := v.Get("nested"); s != "" {
		if q.Nested, err = strconv.ParseBool(s); err != nil {
			return nil, ErrBadQuery.New("nested must be true or false")
		}
	}
	return q, q.Check()
}

// A RouteAnswer says where a node would send a request now. Times are left from now,
// in milliseconds.
type RouteAnswer struct {
	// Host and Zone are those of the node, Version is that of its configuration.
	Host    string
	Zone    string
	Version uint64
	Request RouteQuery
	// Status and Reason are the response of the node if it refuses the request before it
	// asks an instance; 0 and empty if it does not.
	Status int    `json:",omitempty"`
	Reason string `json:",omitempty"`
	// Route is nil if no route matches.
	Route   *RouteMatch   `json:",omitempty"`
	Account *RouteAccount `json:",omitempty"`
	// Nested is set if the request counts as nested.
	Nested   bool
	Priority int
	// DeadlineMs is 0 if the request is refused. ObjectiveMs is 0 if there is no objective
	// and negative if it has passed.
	DeadlineMs  int64
	ObjectiveMs int64
	// CrossZoneCost is the additional cost of another zone, in units of the typical
	// latency.
	CrossZoneCost float64
	Services      []RouteService `json:",omitempty"`
	// Local is nil if no instance of the services is beside the node.
	Local *RouteLocal `json:",omitempty"`
	// Notes says what is random and what was not checked.
	Notes []string
}

// A RouteMatch is the route of a request.
type RouteMatch struct {
	VirtualHost string
	Prefix      string
	Kind        string
	Open        bool
	// Repeatable is set if the request may run more than once, Attempts times at most.
	Repeatable bool
	Attempts   int
}

// A RouteAccount is the account that holds the key of a request.
type RouteAccount struct {
	Name string
	// Limited is set if the account has a limit, and Tokens is the content of the account's token bucket at this node.
	Limited bool
	Tokens  float64
}

// A RouteService is one of the services of a route.
type RouteService struct {
	Service string
	Weight  int
	// Share is the part of the requests that the service gets.
	Share float64
	// TypicalMs is the typical latency of the instances; 0 if unknown.
	TypicalMs float64
	// ZoneLoads holds the load of each zone with instances, in calls per permit.
	ZoneLoads map[string]float64
	Hosts     []RouteHost
}

// A RouteHost is an instance in the order of tries.
type RouteHost struct {
	ID      string
	Zone    string
	Address string
	// State is Ready, Draining, ZoneOut, Ejected, NotAccepting or Ramp.
	State string
	// Considered is set if the host can be chosen now, WhyNot says why it is not.
	Considered bool
	WhyNot     string `json:",omitempty"`
	// FirstShare estimates how often the host would be asked first.
	FirstShare float64
	// EjectedMs and NotAcceptingMs are the times left for which the host is avoided.
	EjectedMs      int64 `json:",omitempty"`
	NotAcceptingMs int64 `json:",omitempty"`
	// RampShare is the probability that the host takes part in a choice.
	RampShare float64
	InFlight  int
	// Load is the estimated load in calls per permit. Full is set if no permit seems free,
	// FreeSlot if an answer has just freed one that counts.
	Load     float64
	Full     bool
	FreeSlot bool
	// Pace is the pace that the choice uses, ReportedPace the one that the host reported
	// last, 0 if unknown.
	Pace         float64
	ReportedPace float64
	// LatencyMs is the moving average of latencies, 0 if unknown. LatencyRatio is what the
	// choice makes of it.
	LatencyMs    float64
	LatencyRatio float64
	// Cost is what choices compare, in units of the typical latency. CrossZoneCost is
	// the part of it for the zone.
	Cost          float64
	CrossZoneCost float64
}

// A RouteLocal says whether the node would refuse the request for its own instance.
type RouteLocal struct {
	Instance string
	Running  int
	Permits  int
	Queued   int
	// RootShare is the admitted share of root requests of this route; 1 if all are.
	RootShare float64
	// Refuses is the reason for which the node refuses every such request now; empty if it
	// does not. A queue that is full is not a reason here: that changes with each response.
	Refuses string `json:",omitempty"`
}

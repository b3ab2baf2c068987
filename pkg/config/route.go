package config

import (
	"net/url"
	"strconv"
	"strings"
)

// MaxRouteNumber bounds the numeric fields of a route. For times it is one hour
// in milliseconds.
const MaxRouteNumber = 3_600_000

// Key identifies the route within a configuration.
func (r *Route) Key() string { return r.VirtualHost + r.Prefix }

// CanRepeat reports whether a request of the route may run more than once, given
// whether its method is idempotent.
func (r *Route) CanRepeat(idempotentMethod bool) bool {
	switch r.Kind {
	case RouteSafe, RouteDownload:
		return true
	case RouteUnsafe:
		return false
	}
	return r.Idempotent || idempotentMethod
}

// allRequests is the weightText of the Service of a route without Splits.
const allRequests = "all"

// weightText returns the weight of a service on the route for display. It is
// empty if the route does not use the service.
func (r *Route) weightText(service string) string {
	if len(r.Splits) == 0 && r.Service == service {
		return allRequests
	}
	for _, t := range r.Splits {
		if t.Service == service {
			return strconv.Itoa(t.Weight)
		}
	}
	return ""
}

func checkRoute(f *Faults, part, key string, r *Route) {
	switch r.Kind {
	case "", RouteSafe, RouteUnsafe, RouteDownload:
	default:
		f.add(part, key+".Kind", "must be %s, %s or %s", RouteSafe, RouteUnsafe, RouteDownload)
	}
	if r.VirtualHost != strings.ToLower(r.VirtualHost) || strings.ContainsAny(r.VirtualHost, "/: ") {
		f.add(part, key+".VirtualHost", "must be a host name in lower case without port")
	}
	if (r.Service == "") == (len(r.Splits) == 0) {
		f.add(part, key, "needs either Service or Splits")
	}
	total := 0
	for _, t := range r.Splits {
		if t.Weight < 0 {
			f.add(part, key+".Splits", "the weight of %q must not be negative", t.Service)
		}
		total += max(0, t.Weight)
	}
	if len(r.Splits) > 0 && total == 0 {
		f.add(part, key+".Splits", "at least one weight must be over 0")
	}
	for _, n := range []struct {
		name  string
		value int
	}{{"TimeoutMs", r.TimeoutMs}, {"ObjectiveMs", r.ObjectiveMs}, {"Priority", r.Priority}, {"Attempts", r.Attempts}} {
		if n.value < 0 || n.value > MaxRouteNumber {
			f.add(part, key+"."+n.name, "must be from 0 to %d", MaxRouteNumber)
		}
	}
}

func checkService(f *Faults, part, key string, s *Service) {
	if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
		f.add(part, key+".HealthPath", "must start with '/'")
	}
	if s.MaxConnections < 0 || s.ColdMs < 0 || !(s.ColdPerSecond >= 0) {
		f.add(part, key, "MaxConnections, ColdMs and ColdPerSecond must not be negative")
	}
}

// indexVirtualRoute adds a route with a VirtualHost to routesByVirtualHost.
func (s *Snapshot) indexVirtualRoute(r *Route) {
	if s.routesByVirtualHost == nil {
		s.routesByVirtualHost = map[string]map[string]*Route{}
	}
	if s.routesByVirtualHost[r.VirtualHost] == nil {
		s.routesByVirtualHost[r.VirtualHost] = map[string]*Route{}
	}
	s.routesByVirtualHost[r.VirtualHost][r.Prefix] = r
}

// RouteForHost returns the route of a request, given the request's host name,
// which may have a port, and its escaped path without query.
//
// If the host name is the VirtualHost of some routes, only those are considered.
// Their prefixes are compared with the path as it was sent, because the path is
// passed on unchanged. For other host names RouteForHost returns Route(path).
func (s *Snapshot) RouteForHost(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	routes := s.routesByVirtualHost[strings.ToLower(host)]
	if routes == nil {
		return s.Route(path)
	}
	if r := routes[path]; r != nil {
		return r, true
	}
	for end := len(path); ; {
		i := strings.LastIndexByte(path[:end], '/')
		if i < 0 {
			return nil, false
		}
		if r := routes[path[:i+1]]; r != nil {
			return r, true
		}
		if r := routes[path[:i]]; r != nil && i > 0 {
			return r, true
		}
		end = i
	}
}

// Route returns the route without VirtualHost whose prefix matches the most
// segments of path, the escaped path of the request without query.
//
// A path that a backend server could interpret as another path has no route.
// Otherwise a request could match an open route and reach a path that a route
// with keys protects. Such paths have dot segments, empty inner segments,
// backslashes, semicolons, encoded slashes or invalid escapes.
func (s *Snapshot) Route(path string) (*Route, bool) {
	if !strings.HasPrefix(path, "/") || !isPlainPath(path) {
		return nil, false
	}
	if strings.IndexByte(path, '%') >= 0 {
		decoded, err := url.PathUnescape(path)
		if err != nil || strings.Count(decoded, "/") != strings.Count(path, "/") || !isPlainPath(decoded) {
			return nil, false
		}
		path = decoded
	}
	// The path is cut to the longest prefix, so that the cost of the lookup does
	// not grow with the length of the path.
	if len(path) > s.longestPrefixBytes {
		end := s.longestPrefixBytes
		if path[end] != '/' {
			end = max(strings.LastIndexByte(path[:end], '/'), 0)
		}
		path = path[:end]
	}
	for {
		if r := s.routesByKey[path]; r != nil {
			return r, true
		}
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			break
		}
		path = path[:i]
	}
	r := s.routesByKey["/"]
	return r, r != nil
}

// isPlainPath reports whether path has no segment ".", "..", no empty segment
// before the last, and no backslash, NUL or ';'. Some servers remove a ';' and
// what follows it from a segment.
func isPlainPath(path string) bool {
	for i := range len(path) {
		if c := path[i]; c == '\\' || c == ';' || c == 0 {
			return false
		}
	}
	rest := strings.TrimPrefix(path, "/")
	for {
		segment, after, more := strings.Cut(rest, "/")
		if segment == "." || segment == ".." || (segment == "" && more) {
			return false
		}
		if !more {
			return true
		}
		rest = after
	}
}

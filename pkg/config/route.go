package config

import (
	"net/url"
	"strconv"
	"strings"
)

// routeLimit bounds the numbers of a route: an hour in milliseconds.
const maxRouteNumber = 3_600_000

// key names the route within a configuration.
func (r *Route) key() string { return r.VirtualHost + r.Prefix }

// CanRepeat reports whether a request with the method may run more than once.
func (r *Route) CanRepeat(idempotentMethod bool) bool {
	switch r.Kind {
	case RouteSafe, RouteDownload:
		return true
	case RouteUnsafe:
		return false
	}
	return r.Idempotent || idempotentMethod
}

// wholeShare is the share of a service that a route names alone.
const allRequests = "all"

// share returns the weight of a service on the route, empty if it has none.
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
		if n.value < 0 || n.value > maxRouteNumber {
			f.add(part, key+"."+n.name, "must be from 0 to %d", maxRouteNumber)
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

func (s *Snapshot) indexVirtualRoute(r *Route) {
	if s.routesByVirtualHost == nil {
		s.routesByVirtualHost = map[string]map[string]*Route{}
	}
	if s.routesByVirtualHost[r.VirtualHost] == nil {
		s.routesByVirtualHost[r.VirtualHost] = map[string]*Route{}
	}
	s.routesByVirtualHost[r.VirtualHost][r.Prefix] = r
}

// RouteForHost returns the route of a request for a host, as it stands in the
// request, and an escaped path without query. A host with routes of its own
// has no others. Their prefixes are compared with the bytes of the path as it
// was sent, since it is passed on unchanged.
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

// Route returns the route with the longest prefix of path on segment bounds.
// path is the escaped path of the request, without query.
//
// A path that the backend server could read as another one has no route, or a
// request could pass an open route and reach what a closed route protects:
// dot segments, empty inner segments, backslashes, semicolons, encoded slashes
// and bad escapes.
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
	// No prefix is longer than longestPrefix, so long paths cost no more.
	if len(path) > s.longestPrefix {
		end := s.longestPrefix
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

// isPlainPath reports whether no segment of path is ".", "..", or empty
// before the last, and no byte is a backslash, NUL, or ';', which starts
// parameters that some servers drop from a segment.
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

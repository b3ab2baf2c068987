package config

import (
	"net/url"
	"strings"
)

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
		plain, err := url.PathUnescape(path)
		if err != nil || strings.Count(plain, "/") != strings.Count(path, "/") || !isPlainPath(plain) {
			return nil, false
		}
		path = plain
	}
	// No prefix is longer than longestPrefix, so long paths cost no more.
	if len(path) > s.longestPrefix {
		cut := s.longestPrefix
		if path[cut] != '/' {
			cut = max(strings.LastIndexByte(path[:cut], '/'), 0)
		}
		path = path[:cut]
	}
	for {
		if r := s.routes[path]; r != nil {
			return r, true
		}
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			break
		}
		path = path[:i]
	}
	r := s.routes["/"]
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

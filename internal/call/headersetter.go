package call

import (
	"net/http"
	"strings"
)

// A HeaderSetter sets header fields with one value each. The values share one
// allocation.
type HeaderSetter struct {
	header http.Header
	values []string
}

// ForwardedHeaders returns the headers of h that are passed on, and a setter with
// room for extraHeaders further ones, among them the User-Agent that is set if h
// has none. It leaves out the headers of the mesh, the hop-by-hop headers and
// the header Authorization, which holds the client key. The values are shared
// with h and must not be changed.
func ForwardedHeaders(h http.Header, extraHeaders int) (http.Header, HeaderSetter) {
	out := make(http.Header, len(h)+extraHeaders)
	for k, v := range h {
		if !strings.HasPrefix(k, HeaderPrefix) && k != "Authorization" {
			out[k] = v
		}
	}
	StripHopByHop(out)
	s := HeaderSetter{out, make([]string, 0, extraHeaders)}
	if _, ok := out["User-Agent"]; !ok {
		// Without this header net/http would send a User-Agent of its own.
		s.Set("User-Agent", "")
	}
	return out, s
}

// Set sets a header whose name is in canonical form.
func (s *HeaderSetter) Set(name, value string) {
	s.values = append(s.values, value)
	i := len(s.values)
	s.header[name] = s.values[i-1 : i : i]
}

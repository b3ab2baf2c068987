package call

import (
	"net/http"
	"strings"
)

// A Setter sets headers of one value each. The values share one allocation.
type HeaderSetter struct {
	header http.Header
	values []string
}

// Forwarded returns the headers that are passed on from h, with room for n
// more, and a setter for these. What belongs to the mesh, to one connection
// or to the caller's key is left out. Values are shared with h and must not
// be changed.
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
		// Without the header net/http would send its own name.
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

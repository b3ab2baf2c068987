package call

import (
	"net/http"
	"time"
)

// LimitBodies returns a handler that passes requests on to h. It reads little of a body
// that h does not read, and none beyond the limit or the timeout.
func LimitBodies(h http.Handler, limit func() int64, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := NewDuplexBody(w, r)
		defer b.Release()
		w = b.ResponseWriter()
		n := limit()
		b.SetLimit(n)
		b.SetDeadline(time.Now().Add(timeout))
		if r.ContentLength > n {
			DiscardBody(r)
			w.Header()["Content-Length"] = []string{"0"}
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		h.ServeHTTP(w, r)
	})
}

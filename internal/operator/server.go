package operator

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
)

// A Server serves the operator port. Its exported fields must be set before its
// first use.
type Server struct {
	// Status returns the current status of the node.
	Status  func() Status
	Metrics *Metrics
	// Level is the log level that operators may change.
	Level *slog.LevelVar
	// Drain starts a planned stop.
	Drain func()
	// Route explains where a request would be sent. It is nil for nodes that do not.
	Route func(q *RouteQuery) *RouteAnswer

	// routeBusy is locked while Route runs. An explanation takes processor time, which
	// clients of this port could otherwise use up.
	routeBusy sync.Mutex
}

// Handler returns the handler of the operator port's paths.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /status", s.getStatus)
	m.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	m.HandleFunc("GET /ready", s.getReady)
	m.Handle("GET /metrics", s.Metrics.Handler())
	m.HandleFunc("GET /log-level", s.getLevel)
	m.HandleFunc("PUT /log-level", s.setLevel)
	if s.Route != nil {
		m.HandleFunc("GET /route", s.getRoute)
	}
	m.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
		s.Drain()
		w.WriteHeader(http.StatusAccepted)
	})
	return m
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(s.Status())
}

func (s *Server) getRoute(w http.ResponseWriter, r *http.Request) {
	q, err := parseRouteQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.routeBusy.TryLock() {
		http.Error(w, "another request is being explained", http.StatusServiceUnavailable)
		return
	}
	defer s.routeBusy.Unlock()
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(s.Route(q))
}

func (s *Server) getReady(w http.ResponseWriter, _ *http.Request) {
	if v := s.Status(); !v.Ready || v.Stopping {
		http.Error(w, v.stateText(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) getLevel(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, s.Level.Level().String()+"\n")
}

// setLevel takes Debug, Info, Warn or Error as the body.
func (s *Server) setLevel(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, 16))
	if err != nil {
		http.Error(w, "cannot read the request body with the log level", http.StatusBadRequest)
		return
	}
	var l slog.Level
	if err := l.UnmarshalText([]byte(strings.TrimSpace(string(b)))); err != nil {
		http.Error(w, "the request body must be Debug, Info, Warn or Error", http.StatusBadRequest)
		return
	}
	s.Level.Set(l)
	w.WriteHeader(http.StatusNoContent)
}

package sidecar

import (
	"log/slog"
	"net"
	"net/http"
	"time"
)

// A served is one listener and what serves it.
type served struct {
	server   *http.Server
	listener net.Listener
}

// servers holds the listeners of a node.
type servers struct {
	callers, nodes, ready, operator served
}

// close closes the listeners that are open.
func (s *servers) close() {
	for _, o := range s.all() {
		_ = o.listener.Close()
	}
}

// all lists what is bound.
func (s *servers) all() []served {
	var all []served
	for _, o := range []served{s.callers, s.nodes, s.ready, s.operator} {
		if o.listener != nil {
			all = append(all, o)
		}
	}
	return all
}

// listen binds all addresses.
func (n *Node) listen() (*servers, error) {
	s := n.settings()
	v := &servers{}
	inbound := &inbound{names: &n.HeaderNames, local: n.local, now: time.Now, heard: &n.heard, calls: &n.calls}
	for _, l := range []struct {
		to      *served
		address string
		handler http.Handler
	}{
		{&v.ready, s.ReadyAddress, http.HandlerFunc(n.serveReady)},
		{&v.nodes, s.CallAddress, inbound},
		{&v.callers, s.CallerAddress, n.callers},
		{&v.operator, s.OperatorAddress, n.operatorHandler()},
	} {
		if l.address == "" {
			continue
		}
		b, err := net.Listen("tcp", l.address)
		if err != nil {
			v.close()
			return nil, ListenFailed.Wrap(err, "cannot listen on %s", l.address)
		}
		*l.to = served{&http.Server{
			Handler: l.handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			ErrorLog: slog.NewLogLogger(n.Log.Handler(), slog.LevelDebug),
		}, b}
	}
	v.callers.server.ConnState, v.callers.server.ConnContext = n.connections.state, withConnection
	return v, nil
}

// serveReady tells the platform whether callers may use this node.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != n.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if n.stopping.Load() || n.snapshot.Load() == nil || !n.listed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

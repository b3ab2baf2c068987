package sidecar

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/http1"
)

// servers holds the HTTP servers of a node. operator is nil if the node has no
// operator address.
type servers struct {
	callers, nodes, ready, operator *http1.Server
}

// close closes all listeners that are open.
func (s *servers) close() {
	for _, o := range s.all() {
		_ = o.Listener.Close()
	}
}

// all lists the servers with an open listener.
func (s *servers) all() []*http1.Server {
	var all []*http1.Server
	for _, o := range []*http1.Server{s.callers, s.nodes, s.ready, s.operator} {
		if o != nil {
			all = append(all, o)
		}
	}
	return all
}

// listen binds all HTTP addresses.
func (n *Node) listen() (*servers, error) {
	s := n.settings()
	bound := &servers{}
	nodeRequestHandler := &nodeRequestHandler{names: &n.HeaderNames, localBackend: n.localBackend, now: time.Now, requestHosts: &n.requestHosts, onHeard: n.accountLimits.hear, hidden: n.verifyingRemoval.Load, calls: &n.calls, uploads: n.newUploadReceiver()}
	l := n.clientLimits
	nodeRequestHandler.maxBody = l.maxNodeBody
	for _, spec := range []struct {
		to      **http1.Server
		address string
		handler http.Handler
		limits  *http1.Limits
	}{
		{&bound.ready, s.ReadyAddress, l.boundBodies(http.HandlerFunc(n.serveReady)), l.ready},
		{&bound.nodes, s.CallAddress, nodeRequestHandler, l.nodes},
		{&bound.callers, s.CallerAddress, n.callerHandler, l.callers},
		{&bound.operator, s.OperatorAddress, l.boundBodies(n.operatorHandler()), l.operator},
	} {
		if spec.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", spec.address)
		if err != nil {
			bound.close()
			return nil, ListenFailed.Wrap(err, "cannot listen on %s", spec.address)
		}
		*spec.to = http1.NewServer(&http.Server{
			Handler: spec.handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: maxHeaderTimeout, IdleTimeout: idleTimeout,
			ErrorLog: slog.NewLogLogger(n.Log.Handler(), slog.LevelDebug),
		}, listener)
		(*spec.to).Log, (*spec.to).Limits = n.Log, spec.limits
	}
	return bound, nil
}

// serveReady answers readiness checks: whether callers may use this node.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	call.DiscardBody(r)
	if r.URL.Path != n.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if n.stopping.Load() || n.snapshot.Load() == nil || !n.storeRead.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

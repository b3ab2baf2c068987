package node

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/internal/caller"
	"quetzaldock.example/quetzaldock/internal/operator"
	"quetzaldock.example/quetzaldock/internal/peercall"
	"quetzaldock.example/quetzaldock/pkg/fairadmission"
)

// drainCheck is the interval at which a stopping node looks for calls that
// still run.
const drainCheck = 20 * time.Millisecond

// A listening is an HTTP server with its listener.
type listening struct {
	*http.Server
	l net.Listener
}

// httpServers holds the HTTP servers of a node.
type httpServers struct {
	caller, call, operator listening
}

func (n *Node) newServers() *httpServers {
	in := &peercall.Server{
		Do: n.backend.Do, Now: time.Now, StartedAt: n.started, ConfigVersion: n.version,
		Load: func() (int, int, int) {
			l := n.gate.Load()
			return l.Running, l.Permits, l.Queued
		},
	}
	call := n.listeners.call
	if n.TLS != nil {
		call = tls.NewListener(call, n.TLS.ServerConfig("http/1.1"))
	}
	op := &operator.Server{Status: n.Status, Metrics: n.metrics, Level: n.Level, Drain: n.Drain}
	callers := n.newServer(n.handler, n.listeners.caller)
	limit := &caller.ConnectionLimiter{MaxConnections: caller.DefaultMaxConnections}
	callers.ConnContext, callers.ConnState = limit.OnConnect, limit.OnConnState
	return &httpServers{
		caller:   callers,
		call:     n.newServer(in, call),
		operator: n.newServer(op.Handler(), n.listeners.operator),
	}
}

func (n *Node) newServer(h http.Handler, l net.Listener) listening {
	return listening{&http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(n.Log.Handler(), slog.LevelWarn),
	}, l}
}

func (s *httpServers) serve(w *sync.WaitGroup) {
	for _, x := range []listening{s.caller, s.call, s.operator} {
		w.Go(func() { _ = x.Serve(x.l) })
	}
}

// stop ends the node's work without cutting a call. The caller listener stays
// open until no call runs at the backend server, since nested calls of those
// arrive there.
func (n *Node) stop(s *httpServers) {
	n.stopping.Store(true)
	n.Log.Info("node stops", "host", n.Settings.Host)
	n.distributor.Replica.Leave()
	n.gate.SetState(fairadmission.StateLeaving)
	n.quota.Leave()
	n.apply()
	deadline := time.Now().Add(time.Duration(n.Settings.StopMs) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	pause(ctx, leaveNotice)
	n.shutdown(ctx, s.call)
	for n.backend.RunningCalls.Len() > 0 && ctx.Err() == nil {
		pause(ctx, drainCheck)
	}
	n.shutdown(ctx, s.caller)
	n.shutdown(ctx, s.operator)
	n.Log.Info("node stopped", "host", n.Settings.Host)
}

func (n *Node) shutdown(ctx context.Context, s listening) {
	if err := s.Shutdown(ctx); err != nil {
		n.Log.Warn("calls were cut at the end of the stop", "address", s.l.Addr().String(), "error", err)
		_ = s.Close()
	}
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

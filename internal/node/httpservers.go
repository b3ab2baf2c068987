package node

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/caller"
	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/internal/operator"
	"quetzaldock.example/quetzaldock/internal/peercall"
	"quetzaldock.example/quetzaldock/pkg/fairadmission"
)

// drainPollInterval is the interval at which a stopping node checks whether
// calls are still running.
const drainPollInterval = 20 * time.Millisecond

// httpServers holds the HTTP servers for callers, for calls of other nodes and
// for operators.
type httpServers struct {
	caller, call, operator *http1.Server
}

func (n *Node) newServers() *httpServers {
	calls := &peercall.Server{
		Do: n.backend.Do, Now: time.Now, StartedAt: n.startedAt, ConfigVersion: n.configVersion,
		Load: func() (int, int, int) {
			l := n.admission.Load()
			return l.Running, l.Permits, l.Queued
		},
	}
	callListener := n.listeners.call
	if n.TLS != nil {
		callListener = tls.NewListener(callListener, n.TLS.ServerConfig("http/1.1"))
	}
	operators := &operator.Server{Status: n.Status, Metrics: n.metrics, Level: n.Level, Drain: n.Drain}
	callers := n.newServer(n.callerHandler)
	limit := &caller.ConnectionLimiter{MaxConnections: caller.DefaultMaxConnections}
	callers.ConnContext, callers.ConnState = limit.OnConnect, limit.OnConnState
	s := &httpServers{
		caller:   http1.NewServer(callers, n.listeners.caller),
		call:     http1.NewServer(n.newServer(calls), callListener),
		operator: http1.NewServer(n.newServer(call.LimitBodies(operators.Handler(), func() int64 { return maxOperatorBody }, operatorBodyTime)), n.listeners.operator),
	}
	for _, x := range []*http1.Server{s.caller, s.call, s.operator} {
		x.Log = n.Log
	}
	s.caller.Limits, s.operator.Limits = n.clientLimits.callers, n.clientLimits.operators
	return s
}

func (n *Node) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: requestHeaderTimeout, IdleTimeout: incomingIdleTimeout, MaxHeaderBytes: maxRequestHeaderBytes,
		ErrorLog: slog.NewLogLogger(n.Log.Handler(), slog.LevelWarn),
	}
}

func (s *httpServers) serve(w *sync.WaitGroup) {
	for _, x := range []*http1.Server{s.caller, s.call, s.operator} {
		w.Go(x.Serve)
	}
}

// stop ends the node's work and waits up to Settings.StopMs for running calls.
// The caller listener stays open until no call runs at the backend server, since
// the nested calls of running calls arrive there.
func (n *Node) stop(s *httpServers) {
	n.stopping.Store(true)
	n.Log.Info("node stops", "host", n.Settings.Host)
	n.distributor.Replica.Leave()
	n.admission.SetState(fairadmission.StateLeaving)
	n.quotaRunner.Leave()
	n.apply()
	deadline := time.Now().Add(time.Duration(n.Settings.StopMs) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	sleep(ctx, leaveNoticePeriod)
	n.drainServer(ctx, s.call)
	for n.backend.RunningCalls.Len() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
	n.drainServer(ctx, s.caller)
	n.drainServer(ctx, s.operator)
	n.Log.Info("node stopped", "host", n.Settings.Host)
}

// drainServer closes a server once its calls have ended, or cuts them when ctx ends.
func (n *Node) drainServer(ctx context.Context, s *http1.Server) {
	if cut := s.Drain(ctx); cut > 0 {
		n.Log.Warn("calls were cut at the end of the stop", "address", s.Listener.Addr().String(), "connections", cut)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

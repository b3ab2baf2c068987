package node

import (
	"net/http"
	"time"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/caller"
	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/internal/operator"
	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/memorybudget"
)

const (
	// clientMemory is what the connections of clients may use together, of the 128 MiB
	// of a node. It has room for caller.DefaultMaxConnections idle connections.
	clientMemory = 96 << 20
	// maxOpenConnections is the number of connections of the process: twice those whose
	// calls are served, and those of the other listeners.
	maxOpenConnections = 2*caller.DefaultMaxConnections + maxControlConnections + maxOperatorConnections
	// maxControlConnections is less than what package peer accepts, so that stalled
	// connections are closed before it accepts no more.
	maxControlConnections  = 1000
	maxOperatorConnections = 64
	// callRequestBytes and operatorRequestBytes are what a running request takes.
	callRequestBytes     = 24 << 10
	operatorRequestBytes = 256 << 10
	// maxHeaderFields is met by no header within maxRequestHeaderBytes: the shortest field
	// has four bytes.
	maxHeaderFields = maxRequestHeaderBytes / 4
	// maxPipelined allows for clients that pipeline: few send more than ten requests ahead.
	maxPipelined = 100
	// maxStall is how long a part of a body or of a response may take.
	maxStall = 2 * time.Minute
	// maxOperatorBody and operatorBodyTime bound bodies at the operator port.
	maxOperatorBody  = 1 << 20
	operatorBodyTime = 10 * time.Second
	// controlGrace and controlMinIdle keep control connections longer than others when
	// memory is short.
	controlGrace   = time.Second
	controlMinIdle = 5 * time.Second
)

// clientLimits bound what clients may use. Connections with TLS between nodes are not
// accounted for, except those for control messages.
type clientLimits struct {
	callers, operators *http1.Limits
	control            *memorybudget.Group
	reporter           *operator.LimitReporter
}

func (n *Node) newClientLimits() *clientLimits {
	b := memorybudget.New(clientMemory, maxOpenConnections, time.Now)
	l := &clientLimits{reporter: &operator.LimitReporter{Log: n.Log, Scope: n.metrics.Scope()}}
	newLimits := func(listener string, connections int, requestBytes int64) *http1.Limits {
		x := &http1.Limits{
			Group:        &memorybudget.Group{Budget: b, ConnectionBytes: http1.ConnectionBytes, MaxConnections: func() int { return connections }},
			RequestBytes: requestBytes, OnLimit: l.reporter.For(listener), Refuse: refuseRequest,
		}
		x.Values.Store(&http1.LimitValues{
			HeaderFields: maxHeaderFields, Pipelined: maxPipelined, NewTime: incomingIdleTimeout, HeaderTime: requestHeaderTimeout,
			BodyTime: maxStall, ReadTime: maxStall,
		})
		return x
	}
	l.callers = newLimits("callers", 2*caller.DefaultMaxConnections, callRequestBytes)
	l.operators = newLimits("operator", maxOperatorConnections, operatorRequestBytes)
	l.operators.Group.KeepRoom = true
	l.control = &memorybudget.Group{
		Budget: b, ConnectionBytes: peer.ConnectionBytes, MaxConnections: func() int { return maxControlConnections },
		Grace: controlGrace, MinIdle: controlMinIdle,
	}
	return l
}

// review closes connections whose clients exceed a time limit.
func (l *clientLimits) review() {
	l.callers.Sweep()
	l.operators.Sweep()
	l.control.Sweep(memorybudget.TimeLimits{New: incomingIdleTimeout})
}

// refuseRequest answers a request that did not run because of a limit.
func refuseRequest(w http.ResponseWriter, _ *http.Request, status int, reason memorybudget.Limit) {
	w.Header().Set(call.HeaderNotRun, string(reason))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

package sidecar

import (
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/internal/operator"
	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/memorybudget"
)

const (
	// processBytes is what a node takes besides its connections: the heap at rest, the
	// configuration and its replacement, the log and the metrics.
	processBytes = 20 << 20
	// minBudgetPart is the part of MemoryMB that connections may use at least.
	minBudgetPart = 8
	// callerRequestBytes is what a running request of a caller takes: its state and the
	// connection to an instance or to another node.
	callerRequestBytes = 24 << 10
	// operatorRequestBytes is what a request at the operator port takes: the status or
	// all metrics as text.
	operatorRequestBytes = 256 << 10
	// descriptorReserve descriptors are kept for connections to instances and to other
	// nodes. They take at most a quarter of the rest.
	descriptorReserve = 64
	// newTime is how long a connection may stay open without its first byte. Clients
	// count it as idle.
	newTime = idleTimeout
	// bodyTime bounds the time for a body at ports other than those of requests.
	bodyTime = 10 * time.Second
	// defaultMaxBody is the largest body at those ports if the configuration sets none.
	defaultMaxBody = 1 << 20
	// nodeBodyFactor allows for nodes that apply a larger limit already.
	nodeBodyFactor = 2
	// readyGrace keeps readiness checks and operators when memory is short.
	readyGrace = time.Second
	// nodeMinIdle keeps connections that other nodes have just used. A request that is
	// sent while its connection is closed has an unknown outcome.
	nodeMinIdle = 5 * time.Second
	// controlGrace and controlMinIdle keep control connections longer than others when
	// memory is short. Each costs the other node a new connection.
	controlGrace   = 2 * maxRelayWait
	controlMinIdle = 5 * time.Second
)

// clientLimits bound what clients may use, at all listeners together.
type clientLimits struct {
	node   *Node
	budget *memorybudget.Budget
	// memoryMB is the setting from which the size of the budget follows.
	memoryMB atomic.Int64

	callers, nodes, ready, operator *http1.Limits
	control                         *memorybudget.Group

	reporter   *operator.LimitReporter
	used, size tally.Gauge
}

func newClientLimits(n *Node) *clientLimits {
	l := &clientLimits{
		node: n, reporter: &operator.LimitReporter{Log: n.Log, Scope: n.metrics.Scope()},
		budget: memorybudget.New(0, 0, time.Now),
	}
	l.used, l.size = n.metrics.Scope().Gauge("client_memory_bytes"), n.metrics.Scope().Gauge("client_memory_limit_bytes")
	values := func() *ClientLimits { return n.settings().clientLimits() }
	l.callers = l.newLimits("callers", callerRequestBytes, func() int { return values().CallerConnections })
	l.nodes = l.newLimits("nodes", callerRequestBytes, func() int { return values().NodeConnections })
	l.nodes.Refuse = refuseNode
	l.nodes.Group.MinIdle = nodeMinIdle
	l.ready = l.newLimits("ready", 0, func() int { return values().ReadyConnections })
	l.operator = l.newLimits("operator", operatorRequestBytes, func() int { return values().OperatorConnections })
	// The deployment's readiness checks and the operator port work while callers and other
	// nodes use up the budget.
	for _, g := range []*memorybudget.Group{l.ready.Group, l.operator.Group} {
		g.KeepRoom, g.Grace = true, readyGrace
	}
	l.control = &memorybudget.Group{
		Budget: l.budget, ConnectionBytes: peer.ConnectionBytes, Grace: controlGrace, MinIdle: controlMinIdle,
		MaxConnections: func() int { return values().ControlConnections },
	}
	l.apply()
	return l
}

func (l *clientLimits) newLimits(name string, requestBytes int64, maxConnections func() int) *http1.Limits {
	return &http1.Limits{
		Group: &memorybudget.Group{
			Budget: l.budget, ConnectionBytes: http1.ConnectionBytes, MaxConnections: maxConnections,
		},
		RequestBytes: requestBytes, OnLimit: l.reporter.For(name), Refuse: refuseCaller,
	}
}

// apply puts the settings and the configuration in force.
func (l *clientLimits) apply() {
	s := l.node.settings()
	if l.memoryMB.Swap(int64(s.MemoryMB)) != int64(s.MemoryMB) {
		l.budget.SetLimit(clientMemory(s.MemoryMB), maxDescriptors())
	}
	v := s.clientLimits()
	for _, x := range []*http1.Limits{l.callers, l.nodes, l.ready, l.operator} {
		values := &http1.LimitValues{
			HeaderFields: v.HeaderFields, Pipelined: v.PipelinedRequests, NewTime: newTime, HeaderTime: headerTimeout,
			BodyTime: time.Duration(v.BodyStallMs) * time.Millisecond, ReadTime: time.Duration(v.ReadStallMs) * time.Millisecond,
		}
		if x == l.callers {
			if ms := l.configured().HeaderMs; ms > 0 {
				values.HeaderTime = min(maxHeaderTimeout, time.Duration(ms)*time.Millisecond)
			}
			values.NewTime = max(values.NewTime, l.node.callerIdleLimit())
		}
		if old := x.Values.Load(); old == nil || *old != *values {
			x.Values.Store(values)
		}
	}
}

// review applies changed limits, closes connections that exceed a time limit and reports
// the memory in use.
func (l *clientLimits) review() {
	l.apply()
	for _, x := range []*http1.Limits{l.callers, l.nodes, l.ready, l.operator} {
		x.Sweep()
	}
	l.control.Sweep(memorybudget.TimeLimits{New: newTime})
	l.used.Update(float64(l.budget.Used()))
	l.size.Update(float64(l.budget.Limit()))
}

// clientMemory returns the memory, in bytes, that connections may use in a process with
// a limit of mb MiB.
func clientMemory(mb int) int64 {
	all := int64(mb) << 20
	return max(int64(memoryLimitFraction*float64(all))-processBytes, all/minBudgetPart)
}

// maxDescriptors returns how many connections of clients may be open in the process.
func maxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<30 {
		return 1 << 30
	}
	return max(1, (int(limit.Cur)-descriptorReserve)*3/4)
}

// configured returns the limits of the configuration in force.
func (l *clientLimits) configured() config.CallerLimits {
	if v := l.node.snapshot.Load(); v != nil {
		return v.CallerLimits
	}
	return config.CallerLimits{}
}

// maxBody returns the largest size of a caller's body, zero for no limit.
func (l *clientLimits) maxBody() int64 { return int64(l.configured().BodyBytes) }

// maxNodeBody returns the largest size of a body from another node, zero for no limit.
func (l *clientLimits) maxNodeBody() int64 { return l.maxBody() * nodeBodyFactor }

// maxOtherBody returns the largest size of a body at the ready and the operator port.
func (l *clientLimits) maxOtherBody() int64 {
	if n := l.maxBody(); n > 0 {
		return n
	}
	return defaultMaxBody
}

// boundBodies returns a handler that reads little of a body that h does not read, and no
// body over the limit.
func (l *clientLimits) boundBodies(h http.Handler) http.Handler {
	return call.LimitBodies(h, l.maxOtherBody, bodyTime)
}

// refuseCaller answers a request that did not run because of a limit.
func refuseCaller(w http.ResponseWriter, _ *http.Request, status int, reason memorybudget.Limit) {
	h := w.Header()
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", formatSeconds(addJitter(defaultRetryAfter)))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, string(reason)+"\n")
}

// refuseNode is refuseCaller for a request of another node.
func refuseNode(w http.ResponseWriter, _ *http.Request, _ int, reason memorybudget.Limit) {
	w.Header()[call.HeaderNotRun] = []string{string(reason)}
	w.Header()["Content-Length"] = []string{"0"}
	w.WriteHeader(http.StatusServiceUnavailable)
}

package standin

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Default properties of a BackendServer, taken from the users' description of
// their backend servers.
const (
	DefaultSlots             = 12
	DefaultColdSlots         = 2
	DefaultMaxConnections    = 130
	DefaultAcceptDelay       = time.Millisecond
	DefaultWarmUpDuration    = 5 * time.Second
	DefaultMedianServiceTime = 4 * time.Millisecond
	defaultServiceTimeSigma  = 0.4
	defaultMaxQueued         = 8
	defaultRestartDuration   = 300 * time.Millisecond
	defaultFallOverDuration  = 2 * time.Second
	// maxColdOverloads is the number of requests that a cold server may start
	// above its tolerated capacity. The next one makes it fall over.
	maxColdOverloads = 5
	// coldCapacityTolerance is the number of requests above the present
	// capacity that do not count as an overload. The users state the cold
	// capacity only as "about 2".
	coldCapacityTolerance = 1
)

// A HealthMode selects what the health and load endpoints report.
type HealthMode string

// The modes of the health and load endpoints.
const (
	// Truthful reports the present state.
	Truthful HealthMode = ""
	// AlwaysHealthy reports a healthy server without load.
	AlwaysHealthy HealthMode = "always-ok"
	// AlwaysUnhealthy reports an unhealthy server under full load.
	AlwaysUnhealthy HealthMode = "always-bad"
	// Lagging reports the state of about two seconds ago.
	Lagging HealthMode = "lagging"
)

// A BackendServer imitates one backend server: HTTP/1.1 on loopback, a limited
// number of slots, a short queue, refusals with 503 when the queue is full, a
// cold start, a delay for each new connection, and the faults that its methods
// cause. ServeHTTP of bootHandler describes the paths and queries.
//
// The server starts cold: its capacity rises from ColdSlots requests at once to
// Slots within WarmUpDuration. It does not enforce this capacity itself and
// runs up to Slots requests at once even while cold; its node has to hold them
// back. If more than maxColdOverloads requests start above the tolerated capacity
// in one cold phase, the server falls over: it stops answering for
// FallOverDuration and starts cold again.
type BackendServer struct {
	// ID is the host ID, which answers carry in Echo.Host.
	ID string
	// Slots is the maximum number of requests that run at once.
	Slots int
	// ColdSlots is the capacity in requests at once right after a start.
	ColdSlots int
	// MaxQueued is the maximum number of requests that wait for a slot.
	MaxQueued int
	// MaxConnections is the maximum number of open connections. The server
	// resets any further connection.
	MaxConnections int
	// AcceptDelay is how long the server accepts no other connection after
	// each new one.
	AcceptDelay    time.Duration
	WarmUpDuration time.Duration
	// The service times of requests have a log-normal distribution with this
	// median and this standard deviation of the logarithm. The time of one
	// request depends only on Seed and the request's Trial-Id.
	MedianServiceTime time.Duration
	ServiceTimeSigma  float64
	Seed              uint64
	// RestartDuration is how long a restart takes, and FallOverDuration how
	// long the server stays down after it fell over.
	RestartDuration  time.Duration
	FallOverDuration time.Duration
	// CallerAddress is the address at which the server's own node accepts
	// requests. Nested calls are sent there.
	CallerAddress string
	// Executions is shared by all backend servers of a run.
	Executions *Executions

	nestedTransport *http.Transport
	slots           chan struct{}
	mu              sync.Mutex
	address         string
	listener        *listener
	server          *http.Server
	cancelBoot      context.CancelFunc // cancels the running requests when the server stops
	bootedAt        time.Time
	running         int
	waiting         int
	coldOverloads   int // requests started above the tolerated capacity since bootedAt
	draining        bool
	down            bool
	closed          bool
	healthMode      HealthMode
	stats           BackendStats
	recentSamples   []loadSample // oldest first, back to laggingReportAge
}

// BackendStats holds counts and peaks of one server since its creation.
type BackendStats struct {
	Boots     int // starts, including the first
	FellOver  int // times the server fell over
	Crashed   int // times a request crashed the server
	Executed  int // requests that got a slot
	Shed      int // requests refused with 503
	Cancelled int // running requests whose client left
	Expired   int // running requests whose deadline passed
	// PeakRunning and PeakConnections are the maxima of requests running at
	// once and of open connections.
	PeakRunning     int
	PeakConnections int
	// PeakCold is the maximum of requests running at once within the first
	// fifth of a cold phase. ColdExcess is the maximum of requests running
	// above the present capacity in any cold phase.
	PeakCold   int
	ColdExcess int
	// AfterDrain is the number of requests that arrived after Drain.
	AfterDrain int
	// LastArrive is when the last request arrived.
	LastArrive time.Time
}

// NewBackendServer returns a server with the default properties. Fields may be
// changed only before Start.
func NewBackendServer(id string, executions *Executions) *BackendServer {
	return &BackendServer{
		ID: id, Slots: DefaultSlots, ColdSlots: DefaultColdSlots, MaxQueued: defaultMaxQueued,
		MaxConnections: DefaultMaxConnections, AcceptDelay: DefaultAcceptDelay,
		WarmUpDuration: DefaultWarmUpDuration, MedianServiceTime: DefaultMedianServiceTime, ServiceTimeSigma: defaultServiceTimeSigma,
		RestartDuration: defaultRestartDuration, FallOverDuration: defaultFallOverDuration, Executions: executions,
	}
}

// Start listens on a free loopback port. The server starts cold.
func (b *BackendServer) Start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.address = "127.0.0.1:0"
	b.nestedTransport = &http.Transport{MaxIdleConnsPerHost: b.Slots, DisableCompression: true}
	return b.bootLocked()
}

func (b *BackendServer) bootLocked() error {
	l, err := listen(b.address, b.AcceptDelay, b.MaxConnections)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	b.address = l.Addr().String()
	b.listener, b.cancelBoot = l, stop
	b.slots = make(chan struct{}, b.Slots)
	b.bootedAt = time.Now()
	b.running, b.waiting, b.coldOverloads = 0, 0, 0
	b.draining, b.down = false, false
	b.stats.Boots++
	handler := &bootHandler{server: b, ctx: ctx, slots: b.slots, bootNumber: b.stats.Boots}
	b.server = &http.Server{Handler: handler}
	go func(s *http.Server) { _ = s.Serve(l) }(b.server)
	return nil
}

// stopLocked closes the listener, resets all connections and aborts all running
// requests.
func (b *BackendServer) stopLocked() {
	if b.down {
		return
	}
	b.down = true
	b.cancelBoot()
	_ = b.listener.Listener.Close()
	b.listener.resetAll()
	_ = b.server.Close()
}

// Close ends the server as abruptly as a killed process.
func (b *BackendServer) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.stopLocked()
	b.nestedTransport.CloseIdleConnections()
}

// Restart stops the server abruptly and starts it cold on the same port after
// RestartDuration. It returns once the server listens again, or at once if the
// server is already down.
func (b *BackendServer) Restart() error { return b.outage(b.RestartDuration) }

// outage stops the server abruptly and starts it cold after the duration.
func (b *BackendServer) outage(duration time.Duration) error {
	b.mu.Lock()
	alreadyDown := b.down
	b.stopLocked()
	b.mu.Unlock()
	if alreadyDown {
		return nil
	}
	time.Sleep(duration)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil
	}
	return b.bootLocked()
}

// Drain lets running requests finish and refuses new ones with 503.
func (b *BackendServer) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// ResetConnections resets all open connections. New connections work.
func (b *BackendServer) ResetConnections() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listener.resetAll()
}

// SilenceConnections makes all open connections permanently silent, without
// closing them, while new connections work. It returns their number.
func (b *BackendServer) SilenceConnections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listener.silence()
}

// SetHealthMode changes what the health and load endpoints report.
func (b *BackendServer) SetHealthMode(mode HealthMode) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.healthMode = mode
}

// Address returns the IP address and port of the server.
func (b *BackendServer) Address() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.address
}

// Stats returns the counts so far.
func (b *BackendServer) Stats() BackendStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// capacityLocked returns how many requests at once the server can take at this
// moment, and whether it is in its cold phase.
func (b *BackendServer) capacityLocked() (capacity float64, cold bool) {
	age := time.Since(b.bootedAt)
	if age >= b.WarmUpDuration {
		return float64(b.Slots), false
	}
	warmFraction := float64(age) / float64(b.WarmUpDuration)
	return float64(b.ColdSlots) + warmFraction*float64(b.Slots-b.ColdSlots), true
}

// recordStartLocked counts a request that begins to run. It returns the factor
// by which the request takes longer than its service time, and whether the
// server falls over.
func (b *BackendServer) recordStartLocked() (slowdown float64, fallsOver bool) {
	b.running++
	b.stats.Executed++
	b.stats.PeakRunning = max(b.stats.PeakRunning, b.running)
	capacity, cold := b.capacityLocked()
	if !cold {
		return 1, false
	}
	excess := b.running - int(math.Ceil(capacity))
	b.stats.ColdExcess = max(b.stats.ColdExcess, excess)
	if time.Since(b.bootedAt) < b.WarmUpDuration/5 {
		b.stats.PeakCold = max(b.stats.PeakCold, b.running)
	}
	if excess > coldCapacityTolerance {
		b.coldOverloads++
	}
	return max(1, float64(b.running)/capacity), b.coldOverloads > maxColdOverloads
}

// serviceTime returns the time that one request takes on a warm server.
func (b *BackendServer) serviceTime(trialID string) time.Duration {
	r := rand.New(rand.NewPCG(b.Seed, xxhash.Sum64String(trialID)))
	return time.Duration(float64(b.MedianServiceTime) * math.Exp(b.ServiceTimeSigma*r.NormFloat64()))
}

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

// Defaults of a backend server, from the users' description of theirs.
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
	// coldStrain is how many requests beyond its present capacity a cold
	// server starts before it falls over.
	maxColdOverloads = 5
	// coldSlack is added to the present capacity before a request counts as
	// strain: "about 2" of the users' description.
	coldCapacityTolerance = 1
)

// A Health is what the health endpoint tells.
type HealthMode string

// The behaviours of the health and load endpoints.
const (
	Truthful        HealthMode = ""
	AlwaysHealthy   HealthMode = "always-ok"
	AlwaysUnhealthy HealthMode = "always-bad"
	// Lagging answers with the state of about two seconds ago.
	Lagging HealthMode = "lagging"
)

// A BackendServer imitates one backend server: HTTP/1.1 on loopback, a limited
// number of slots, a short queue, shedding with 503, a cold start, a cost per
// new connection, and the faults that its methods switch. Paths and queries
// are described at serve.
//
// The server starts cold: it bears ColdSlots requests at once at first and
// Slots after WarmUp. It runs up to Slots at once by itself even while cold.
// More than coldStrain requests beyond its present capacity in one cold phase
// make it fall over: it stops answering for FallOver and starts cold again.
type BackendServer struct {
	ID             string
	Slots          int
	ColdSlots      int
	MaxQueued      int
	MaxConnections int
	AcceptDelay    time.Duration
	WarmUpDuration time.Duration
	// ServiceTime is the median; Spread is the sigma of its logarithm. The
	// time of one request depends only on Seed and the request's Trial-Id.
	MedianServiceTime time.Duration
	ServiceTimeSigma  float64
	Seed              uint64
	RestartDuration   time.Duration
	FallOverDuration  time.Duration
	// CallerAddress is the caller listener of the server's own node, used by
	// nested calls.
	CallerAddress string
	// Executions is shared by all backend servers of a run.
	Executions *Executions

	nestedTransport *http.Transport
	slots           chan struct{}
	mu              sync.Mutex
	address         string
	listener        *listener
	server          *http.Server
	cancelBoot      context.CancelFunc // cancels what runs when the server stops
	bootedAt        time.Time
	running         int
	waiting         int
	coldOverloads   int
	draining        bool
	down            bool
	closed          bool
	healthMode      HealthMode
	stats           BackendStats
	recentReports   []loadSample
}

// BackendStats are counts since the creation of the server.
type BackendStats struct {
	Boots     int
	FellOver  int
	Executed  int
	Shed      int
	Cancelled int
	Expired   int // ended by the deadline header
	// PeakRunning and PeakConnections are the largest numbers at once.
	PeakRunning     int
	PeakConnections int
	// PeakCold is the largest number running at once within the first fifth
	// of a cold phase, and ColdExcess the largest number running beyond the
	// present capacity of any cold phase.
	PeakCold   int
	ColdExcess int
	// AfterDrain is how many requests arrived after Drain.
	AfterDrain int
	LastArrive time.Time
}

// NewBackendServer returns a server with the default values. Fields are
// changed before Start.
func NewBackendServer(id string, executions *Executions) *BackendServer {
	return &BackendServer{
		ID: id, Slots: DefaultSlots, ColdSlots: DefaultColdSlots, MaxQueued: defaultMaxQueued,
		MaxConnections: DefaultMaxConnections, AcceptDelay: DefaultAcceptDelay,
		WarmUpDuration: DefaultWarmUpDuration, MedianServiceTime: DefaultMedianServiceTime, ServiceTimeSigma: defaultServiceTimeSigma,
		RestartDuration: defaultRestartDuration, FallOverDuration: defaultFallOverDuration, Executions: executions,
	}
}

// Start listens on a free loopback port; the server is cold.
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

// stopLocked drops the listener, every connection and everything that runs.
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

// Close ends the server as a killed process ends.
func (b *BackendServer) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.stopLocked()
	b.nestedTransport.CloseIdleConnections()
}

// Restart drops everything without warning and starts cold on the same port
// after RestartTime. It returns once the server listens again.
func (b *BackendServer) Restart() error { return b.outage(b.RestartDuration) }

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

// Silence makes all open connections silent for good, while new ones work. It
// returns how many there were.
func (b *BackendServer) SilenceConnections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listener.silence()
}

// SetHealth changes what the health and load endpoints tell.
func (b *BackendServer) SetHealthMode(mode HealthMode) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.healthMode = mode
}

// Address is the IP address and port of the server.
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

// capacityLocked is how many requests at once the server bears at this moment.
func (b *BackendServer) capacityLocked() (capacity float64, cold bool) {
	age := time.Since(b.bootedAt)
	if age >= b.WarmUpDuration {
		return float64(b.Slots), false
	}
	warmFraction := float64(age) / float64(b.WarmUpDuration)
	return float64(b.ColdSlots) + warmFraction*float64(b.Slots-b.ColdSlots), true
}

// startLocked accounts for a request that begins to run. It returns how much
// slower than its service time the request runs, and whether the server falls
// over.
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

// serviceTime is the time one request takes on a warm server.
func (b *BackendServer) serviceTime(trialID string) time.Duration {
	r := rand.New(rand.NewPCG(b.Seed, xxhash.Sum64String(trialID)))
	return time.Duration(float64(b.MedianServiceTime) * math.Exp(b.ServiceTimeSigma*r.NormFloat64()))
}

// Package distribution runs the replication of the configuration in one node. It
// asks a replication.Replica what to do and does it: it reads the configuration
// service, exchanges summaries with other nodes, pulls and pushes versions, and
// logs events.
//
// Package replication makes the decisions and has no sockets, goroutines or
// clock; this package decides only about concurrency and backoff.
package distribution

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/internal/configservice"
	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/replication"
)

var namespace = errorx.NewNamespace("distribution")

var (
	// BadSettings means that a required field of a Distributor is not set.
	BadSettings = namespace.NewType("bad_settings")
	// NotRunning means that a peer's call arrived before Run had started the
	// Replica.
	NotRunning = namespace.NewType("not_running", errorx.Temporary())
)

const (
	// pushQueueLength is the capacity of pushQueue. A push that finds it full is
	// dropped, because the receivers learn of the version in the next exchange.
	pushQueueLength = 16
	// fetchCheckInterval is the maximum time between checks for pulls, part
	// reads and deadlines that are due.
	fetchCheckInterval = 50 * time.Millisecond
	// The maxConcurrent constants bound the calls of each kind that run at the
	// same time.
	maxConcurrentExchanges = 8
	maxConcurrentPushes    = 4
	maxConcurrentPulls     = 4
	maxConcurrentPartReads = 2
	// initialBackoff and maxBackoff bound the mean wait after failed reads at
	// the source. With them and the leaders' read period, a version is in force
	// everywhere within 4 s of the source's return, as check P15 of the
	// experiments requires.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// A Distributor runs four loops: reads at the source, exchanges, fetches and
// pushes. The exported fields are set before Run.
type Distributor struct {
	Replica *replication.Replica
	// Source is the platform's configuration service.
	Source *configservice.Client
	// Peers calls the other nodes.
	Peers *peer.Client
	Log   *slog.Logger

	running        atomic.Bool // set once the fields below are set
	pushQueue      chan []hosts.Host
	fetchRequested chan struct{}

	mu     sync.Mutex
	budget *replication.ReadBudget
	random *rand.Rand
}

// New returns a Distributor with a new Replica for the node self. seeds are
// control addresses of nodes to ask first and may be empty.
func New(self hosts.Host, seeds []string, source *configservice.Client, peers *peer.Client, log *slog.Logger) *Distributor {
	r := &replication.Replica{Self: self, Seeds: seeds, Now: time.Now, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	return &Distributor{Replica: r, Source: source, Peers: peers, Log: log}
}

// Run starts the Replica and the loops. It returns when ctx has ended and the
// loops have stopped.
func (d *Distributor) Run(ctx context.Context) error {
	if d.Replica == nil || d.Source == nil || d.Peers == nil || d.Log == nil {
		return BadSettings.New("fields Replica, Source, Peers and Log must not be nil")
	}
	d.pushQueue = make(chan []hosts.Host, pushQueueLength)
	d.fetchRequested = make(chan struct{}, 1)
	d.budget = replication.NewReadBudget()
	d.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	d.Replica.Start(d.Replica.Now())
	d.running.Store(true)
	var loops sync.WaitGroup
	loops.Go(func() { d.runSourceReads(ctx) })
	loops.Go(func() { d.runExchanges(ctx) })
	loops.Go(func() { d.runFetches(ctx) })
	loops.Go(func() { d.runPushes(ctx) })
	loops.Wait()
	return nil
}

// apply logs the events of an action and requests its fetches and pushes.
func (d *Distributor) apply(a replication.Action) {
	for i := range a.Events {
		d.logEvent(&a.Events[i])
	}
	if a.Fetch {
		select {
		case d.fetchRequested <- struct{}{}:
		default:
		}
	}
	if len(a.Push) > 0 {
		select {
		case d.pushQueue <- a.Push:
		default:
		}
	}
}

func (d *Distributor) logEvent(e *replication.Event) {
	level := slog.LevelInfo
	switch e.Kind {
	case replication.VersionRefused, replication.DigestConflict, replication.SourceStale, replication.FloorWaitEnded, replication.KeyedCallsRefused:
		level = slog.LevelWarn
	}
	args := []any{"version", e.Version}
	if e.Digest != "" {
		args = append(args, "digest", e.Digest)
	}
	if e.Host != "" {
		args = append(args, "host", e.Host)
	}
	if e.Err != nil {
		args = append(args, "error", e.Err)
	}
	d.Log.Log(context.Background(), level, string(e.Kind), args...)
}

// AwaitFloor waits until the version in force has reached the floor, which is
// the highest version known to be in force at any node. It does not wait if
// replication.MaxFloorWait has passed since the floor rose. It checks again only
// when a version comes into force, so ctx needs a deadline. It returns false if
// ctx ended first.
func (d *Distributor) AwaitFloor(ctx context.Context) bool {
	for {
		changed := d.Replica.Changed()
		if !d.Replica.Behind(d.Replica.Now()) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// runExchanges exchanges summaries with the hosts that the Replica chooses.
func (d *Distributor) runExchanges(ctx context.Context) {
	pool := pond.NewPool(maxConcurrentExchanges)
	defer pool.StopAndWait()
	for {
		now := d.Replica.Now()
		to, next := d.Replica.NextExchanges(now)
		for _, h := range to {
			pool.Submit(func() { d.exchangeWith(ctx, h) })
		}
		// Summaries received meanwhile can make exchanges due before next.
		if !sleep(ctx, min(next.Sub(now), replication.StartAnswerTimeout/30)) {
			return
		}
	}
}

func (d *Distributor) exchangeWith(ctx context.Context, h hosts.Host) {
	sentAt := d.Replica.Now()
	m, err := d.Peers.Exchange(ctx, h, d.Replica.ExchangeRequest())
	if err != nil {
		if ctx.Err() == nil && h.ID != "" {
			d.Replica.ExchangeFailed(h)
		}
		return
	}
	from := m.Host()
	if from.ControlAddress == "" {
		from.Zone, from.ControlAddress = h.Zone, h.ControlAddress
	}
	d.apply(d.Replica.ObserveSummary(from, m.Summary, sentAt))
}

// runPushes sends the queued pushes.
func (d *Distributor) runPushes(ctx context.Context) {
	pool := pond.NewPool(maxConcurrentPushes)
	defer pool.StopAndWait()
	for {
		select {
		case <-ctx.Done():
			return
		case to := <-d.pushQueue:
			m := d.Replica.PushMessage()
			for _, h := range to {
				pool.Submit(func() { _ = d.Peers.Push(ctx, h, m) })
			}
		}
	}
}

// sleep waits for t and returns false if ctx ended first.
func sleep(ctx context.Context, t time.Duration) bool {
	if t <= 0 {
		return ctx.Err() == nil
	}
	w := time.NewTimer(t)
	defer w.Stop()
	select {
	case <-w.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Package distribution runs one node's part in the distribution of the
// configuration: it connects the decisions of a replication.Replica with the
// configuration service and the other nodes.
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
	// BadSettings means that a field of a Distributor is missing.
	BadSettings = namespace.NewType("bad_settings")
	// NotRunning means that a call of a peer came before Run.
	NotRunning = namespace.NewType("not_running", errorx.Temporary())
)

const (
	// pushQueue is the capacity of the channel to the pusher. A push that
	// finds it full is dropped: the next exchange brings the version.
	pushQueue = 16
	// fetchCheck is the time between looks for due pulls, reads and deadlines.
	fetchCheck = 50 * time.Millisecond
	// exchangeWorkers, pushWorkers, pullWorkers and readWorkers bound the
	// calls of each duty that run at once.
	exchangeWorkers = 8
	pushWorkers     = 4
	pullWorkers     = 4
	readWorkers     = 2
	// firstBackoff and maxBackoff bound the waits after failed reads. Together
	// with the leaders' period they keep the return of the source within P15.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// A Distributor runs the duties of distribution: source reader, exchanger,
// puller and pusher. The exported fields are set before Run.
type Distributor struct {
	Replica *replication.Replica
	Source  *configservice.Client
	Peers   *peer.Client
	Log     *slog.Logger

	running atomic.Bool // set once the fields below are
	push    chan []hosts.Host
	fetch   chan struct{}

	mu     sync.Mutex
	budget *replication.ReadBudget
	random *rand.Rand
}

// New returns a Distributor whose Replica starts from settings alone. Seeds
// are control addresses to ask first and may be empty.
func New(self hosts.Host, seeds []string, source *configservice.Client, peers *peer.Client, log *slog.Logger) *Distributor {
	r := &replication.Replica{Self: self, Seeds: seeds, Now: time.Now, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	return &Distributor{Replica: r, Source: source, Peers: peers, Log: log}
}

// Run starts the Replica and its duties and returns when ctx has ended and
// they are done.
func (d *Distributor) Run(ctx context.Context) error {
	if d.Replica == nil || d.Source == nil || d.Peers == nil || d.Log == nil {
		return BadSettings.New("replica, source, peers and log are needed")
	}
	d.push = make(chan []hosts.Host, pushQueue)
	d.fetch = make(chan struct{}, 1)
	d.budget = replication.NewReadBudget()
	d.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	d.Replica.Start(d.Replica.Now())
	d.running.Store(true)
	var duties sync.WaitGroup
	duties.Go(func() { d.readSource(ctx) })
	duties.Go(func() { d.exchange(ctx) })
	duties.Go(func() { d.pull(ctx) })
	duties.Go(func() { d.pushOut(ctx) })
	duties.Wait()
	return nil
}

// apply carries out what a decision asks for.
func (d *Distributor) apply(a replication.Action) {
	for i := range a.Events {
		d.log(&a.Events[i])
	}
	if a.Fetch {
		select {
		case d.fetch <- struct{}{}:
		default:
		}
	}
	if len(a.Push) > 0 {
		select {
		case d.push <- a.Push:
		default:
		}
	}
}

func (d *Distributor) log(e *replication.Event) {
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

// AwaitFloor waits until the version in force has reached the floor or the
// wait for it has ended. It returns false if ctx ended first.
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

// exchange sends summaries to the hosts that the Replica chooses.
func (d *Distributor) exchange(ctx context.Context) {
	pool := pond.NewPool(exchangeWorkers)
	defer pool.StopAndWait()
	for {
		now := d.Replica.Now()
		to, next := d.Replica.NextExchanges(now)
		for _, h := range to {
			pool.Submit(func() { d.exchangeWith(ctx, h) })
		}
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

// pushOut tells other nodes of a new version.
func (d *Distributor) pushOut(ctx context.Context) {
	pool := pond.NewPool(pushWorkers)
	defer pool.StopAndWait()
	for {
		select {
		case <-ctx.Done():
			return
		case to := <-d.push:
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

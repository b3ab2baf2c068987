package quota

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// The intervals of a Runner.
const (
	reportInterval = 850 * time.Millisecond
	tickInterval   = 50 * time.Millisecond
	// configureInterval bounds how long a new snapshot waits; a request pokes.
	configureInterval = 10 * time.Millisecond
	callTimeout       = 500 * time.Millisecond
	// parentWait is how long a broker holds a reply back for the root's.
	// It is below MaxWait, so that the requests are still there.
	parentWait = 60 * time.Millisecond
	// avoidFor is how long a parent that did not answer is passed over.
	avoidFor = 2 * time.Second
	// surplusGap is the least distance of reports that only lend or renew.
	surplusGap = 100 * time.Millisecond
	// leaderGap is surplusGap for a broker.
	leaderGap = 50 * time.Millisecond
)

// A Runner exchanges a node's reports: its ledger's with the leader of its
// group and, while the node is a leader, its broker's with the root. Set the
// fields before Run, Init or Handle, and call one of them before the ledger is
// used.
type Runner struct {
	Self    hosts.Host
	Limiter *Limiter
	Broker  *Broker
	// Call sends a report to another host's Handle.
	Call func(ctx context.Context, to hosts.Host, r Report) (Reply, error)
	// Placement returns the present placement, nil if unknown.
	Placement func() *hosts.Placement
	// Snapshot returns the configuration in force, nil if none.
	Snapshot func() *config.Snapshot
	// Allowed reports whether the node may spend; nil takes the ledger's. The
	// Runner sets the ledger's to one that also compares snapshots.
	MayAdmit func(now time.Time) bool
	// Failed is told of calls that failed; nil ignores them.
	OnCallError func(to hosts.Host, err error)

	once     sync.Once
	member   exchanger
	leader   exchanger
	changed  chan struct{} // a snapshot waits to be put into force
	inForce  atomic.Pointer[config.Snapshot]
	accepted atomic.Pointer[time.Time]
	mu       sync.Mutex
	avoid    map[string]time.Time
	// leavers counts the replies of parents that are about to stop.
	leavers map[string]int
}

// Init connects the ledger. Run and Handle do so too.
func (r *Runner) Init() {
	r.once.Do(func() {
		r.member = exchanger{poke: make(chan struct{}, 1), done: make(chan struct{})}
		r.leader = exchanger{poke: make(chan struct{}, 1), done: make(chan struct{})}
		r.avoid = map[string]time.Time{}
		r.leavers = map[string]int{}
		r.Limiter.RequestReport = r.member.wake
		r.changed = make(chan struct{}, 1)
		if r.MayAdmit == nil {
			r.MayAdmit = r.Limiter.MayAdmit
		}
		r.Limiter.MayAdmit = r.mayAdmit
		r.Limiter.Start()
		if r.Broker.VersionAge == nil {
			r.Broker.VersionAge = r.versionAge
		}
		if r.Broker.Limits == nil {
			r.Broker.Limits = r.limits
		}
	})
}

// allowed reports whether the ledger may spend. A new snapshot must be in the
// ledger first: a node that missed versions would else spend an old share on
// the strength of a new confirmation. Allowed is therefore asked before the
// snapshot is read.
func (r *Runner) mayAdmit(now time.Time) bool {
	if r.MayAdmit != nil && !r.MayAdmit(now) {
		return false
	}
	if r.Snapshot() == r.inForce.Load() {
		return true
	}
	select {
	case r.changed <- struct{}{}:
	default:
	}
	return false
}

// runConfigure puts new snapshots into force.
func (r *Runner) runConfigure(ctx context.Context) {
	tick := time.NewTicker(configureInterval)
	defer tick.Stop()
	for {
		r.configure()
		select {
		case <-ctx.Done():
			return
		case <-r.changed:
		case <-tick.C:
		}
	}
}

// age returns the version in force and for how long it has been.
func (r *Runner) versionAge() (uint64, time.Duration) {
	s, t := r.inForce.Load(), r.accepted.Load()
	if s == nil || t == nil {
		return 0, 0
	}
	return s.Version, r.Limiter.Now().Sub(*t)
}

func (r *Runner) limits(account string) (rate, burst float64) {
	s := r.Snapshot()
	if s == nil || s.Accounts[account] == nil {
		return 0, 0
	}
	e := s.EffectiveValues("", "", account)
	return e.Rate, e.Burst
}

// Run exchanges reports until the context ends.
func (r *Runner) Run(ctx context.Context) {
	r.Init()
	var wg sync.WaitGroup
	wg.Go(func() { r.runConfigure(ctx) })
	wg.Go(func() { r.runMember(ctx) })
	wg.Go(func() { r.runLeader(ctx) })
	wg.Wait()
}

// configure puts a new snapshot into force.
func (r *Runner) configure() {
	s, old := r.Snapshot(), r.inForce.Load()
	if s == nil || s == old {
		return
	}
	if old == nil || s.Version != old.Version {
		r.accepted.Store(ptrTo(r.Limiter.Now()))
	}
	r.Limiter.Configure(s, r.Self.ID)
	r.inForce.Store(s)
}

func ptrTo[T any](v T) *T { return &v }

func (r *Runner) runMember(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var next, last time.Time
	again := false
	for {
		if !again {
			select {
			case <-ctx.Done():
				return
			case <-r.member.poke:
			case <-tick.C:
				now := time.Now()
				urgent := r.Limiter.Tick() && now.Sub(last) >= surplusGap
				if now.Before(next) && !urgent {
					continue
				}
			}
		}
		last = time.Now()
		next = last.Add(jitter())
		again = r.exchangeMember(ctx) && ctx.Err() == nil
	}
}

func jitter() time.Duration {
	return reportInterval*19/20 + rand.N(reportInterval/10)
}

// exchangeMember sends one report of the ledger and reports whether another
// should follow at once.
func (r *Runner) exchangeMember(ctx context.Context) bool {
	to, ok := r.parent()
	if !ok {
		return false
	}
	report, ok := r.Limiter.NextReport(to.ID)
	if !ok {
		return false
	}
	var reply Reply
	var err error
	if to.ID == r.Self.ID {
		reply, err = r.HandleReport(ctx, r.Self.ID, report)
	} else {
		reply, err = r.call(ctx, to, report)
	}
	if err != nil {
		return false
	}
	again := r.Limiter.HandleReply(to.ID, reply)
	return r.noteLeaving(to, reply) || again
}

// leavingReports is how many reports go to a parent that leaves: the second
// one names every account and brings all deposits back.
const leavingReports = 2

// avoidLeaving is how long a parent that leaves is passed over.
const avoidLeaving = 10 * time.Second

// noteLeaving passes a parent over that is about to stop. It reports whether
// one more report should go there at once.
func (r *Runner) noteLeaving(to hosts.Host, reply Reply) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !reply.Leaving {
		delete(r.leavers, to.ID)
		return false
	}
	r.leavers[to.ID]++
	if r.leavers[to.ID] < leavingReports {
		return true
	}
	if to.ID != r.Self.ID {
		r.avoid[to.ID] = time.Now().Add(avoidLeaving)
	}
	return false
}

// Leave gives back what the node's broker holds. It is called once, before a
// planned stop; members fetch their deposits within about a second.
func (r *Runner) Leave() {
	r.Init()
	r.Broker.Leave()
	r.leader.wake()
	r.member.wake()
}

func (r *Runner) call(ctx context.Context, to hosts.Host, report Report) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := r.Call(ctx, to, report)
	if err == nil {
		err = reply.Check()
	}
	r.mu.Lock()
	if err != nil {
		r.avoid[to.ID] = time.Now().Add(avoidFor)
	} else {
		delete(r.avoid, to.ID)
	}
	r.mu.Unlock()
	if err != nil && r.OnCallError != nil && ctx.Err() != context.Canceled {
		r.OnCallError(to, err)
	}
	return reply, err
}

// parent returns the leader that the ledger reports to: the one the placement
// names, or another of the zone while that one does not answer.
func (r *Runner) parent() (hosts.Host, bool) {
	p := r.Placement()
	if p == nil {
		return hosts.Host{}, false
	}
	if h, ok := p.Parents[r.Self.ID]; ok && !r.avoided(h.ID) {
		return h, true
	}
	for _, h := range p.Leaders[r.Self.Zone] {
		if !r.avoided(h.ID) {
			return h, true
		}
	}
	h, ok := p.Parents[r.Self.ID]
	return h, ok
}

func (r *Runner) avoided(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.avoid[id]
	if ok && !time.Now().Before(until) {
		delete(r.avoid, id)
		ok = false
	}
	return ok
}

// root returns the root that the broker reports to; false if the node is no
// leader or the root itself. While the root does not answer, the leader that
// ranks next takes its place.
func (r *Runner) root() (hosts.Host, bool) {
	p := r.Placement()
	if p == nil || !p.IsLeader(r.Self.ID, r.Self.Zone) {
		return hosts.Host{}, false
	}
	if !r.avoided(p.Root.ID) {
		return p.Root, p.Root.ID != r.Self.ID
	}
	byID := map[string]hosts.Host{}
	var ids []string
	for _, hs := range p.Leaders {
		for _, h := range hs {
			byID[h.ID] = h
			ids = append(ids, h.ID)
		}
	}
	ids = hosts.Rank("root", ids)
	i := slices.IndexFunc(ids, func(id string) bool { return !r.avoided(id) })
	if i < 0 || ids[i] == r.Self.ID {
		return hosts.Host{}, false
	}
	return byID[ids[i]], true
}

func (r *Runner) runLeader(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	next := time.Now().Add(jitter())
	again := false
	for {
		if !again {
			select {
			case <-ctx.Done():
				return
			case <-r.leader.poke:
			case <-tick.C:
				// Surplus that came right after a round has no other trigger.
				if _, ok := r.root(); time.Now().Before(next) && !(ok && r.Broker.HasSurplus()) {
					continue
				}
			}
		}
		next = time.Now().Add(jitter())
		r.leader.begin()
		again = r.exchangeLeader(ctx) && ctx.Err() == nil
		r.leader.end()
	}
}

func (r *Runner) exchangeLeader(ctx context.Context) bool {
	to, ok := r.root()
	if !ok {
		return false
	}
	reply, err := r.call(ctx, to, r.Broker.NextReport(to.ID))
	if err != nil {
		return false
	}
	again := r.Broker.HandleReply(to.ID, reply)
	return r.noteLeaving(to, reply) || again
}

// Handle answers a report of the host from, which the caller must have
// authenticated. Errors are ErrTooLarge and ErrOutOfRange.
func (r *Runner) HandleReport(ctx context.Context, from string, report Report) (Reply, error) {
	r.Init()
	if err := report.Check(); err != nil {
		return Reply{}, err
	}
	reply, short := r.Broker.HandleReport(from, report)
	_, ok := r.root()
	if !short && ok && r.leader.idle(leaderGap) && r.Broker.HasSurplus() {
		r.leader.wake()
	}
	if short && ok {
		ctx, cancel := context.WithTimeout(ctx, parentWait)
		defer cancel()
		r.leader.round(ctx)
		r.Broker.CompleteReply(from, report, &reply)
	}
	return reply, nil
}

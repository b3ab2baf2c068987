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

// Intervals and timeouts of a Runner.
const (
	reportInterval = 850 * time.Millisecond
	tickInterval   = 50 * time.Millisecond
	// configureInterval is the maximum time until a new snapshot is applied. A
	// request that sees a new snapshot has it applied at once.
	configureInterval = 10 * time.Millisecond
	callTimeout       = 500 * time.Millisecond
	// maxParentWait is how long a broker holds a reply back until the root
	// replies. It is below MaxTokenWait, so that the requests still wait.
	maxParentWait = 60 * time.Millisecond
	// avoidUnresponsive is how long a parent that did not reply is avoided.
	avoidUnresponsive = 2 * time.Second
	// minUrgentInterval is the minimum time after a report until another that
	// only lends or renews.
	minUrgentInterval = 100 * time.Millisecond
	// minLeaderUrgentInterval replaces minUrgentInterval for a broker.
	minLeaderUrgentInterval = 50 * time.Millisecond
)

// A Runner exchanges a node's reports for replies: those of the Limiter with
// the Broker of a leader of the node's zone and, while the node is a leader,
// those of its own Broker with that of the root. Set the fields before Run, Init
// or HandleReport, and call one of them before the Limiter is used.
type Runner struct {
	Self    hosts.Host
	Limiter *Limiter
	Broker  *Broker
	// Call sends a report to another host, which passes it to its
	// HandleReport, and returns the reply.
	Call func(ctx context.Context, to hosts.Host, r Report) (Reply, error)
	// Placement returns which hosts are leaders and which is the root, nil if
	// unknown.
	Placement func() *hosts.Placement
	// Snapshot returns the configuration in force, nil if none.
	Snapshot func() *config.Snapshot
	// MayAdmit reports whether the node may admit requests; nil takes the
	// Limiter's. Init sets the Limiter's to one that also requires that the
	// Limiter has the present snapshot.
	MayAdmit func(now time.Time) bool
	// OnCallError is called when a Call failed; nil ignores it.
	OnCallError func(to hosts.Host, err error)

	once            sync.Once
	memberRounds    exchangeRounds                  // of the Limiter with its parent
	leaderRounds    exchangeRounds                  // of the Broker with the root
	snapshotChanged chan struct{}                   // signals that a request saw a new snapshot
	inForce         atomic.Pointer[config.Snapshot] // the snapshot that the Limiter has
	acceptedAt      atomic.Pointer[time.Time]       // when the version of inForce came into force
	mu              sync.Mutex                      // guards the fields below
	avoidUntil      map[string]time.Time            // by the ID of a parent
	// leavingReplies counts the replies of each parent that is about to stop.
	leavingReplies map[string]int
}

// Init connects the Limiter and the Broker to the Runner. Run and HandleReport
// do so too.
func (r *Runner) Init() {
	r.once.Do(func() {
		r.memberRounds = exchangeRounds{wakeups: make(chan struct{}, 1), roundEnded: make(chan struct{})}
		r.leaderRounds = exchangeRounds{wakeups: make(chan struct{}, 1), roundEnded: make(chan struct{})}
		r.avoidUntil = map[string]time.Time{}
		r.leavingReplies = map[string]int{}
		r.Limiter.RequestReport = r.memberRounds.wake
		r.snapshotChanged = make(chan struct{}, 1)
		if r.MayAdmit == nil {
			r.MayAdmit = r.Limiter.MayAdmit
		}
		r.Limiter.MayAdmit = r.mayAdmit
		r.Limiter.Start()
		if r.Broker.VersionAge == nil {
			r.Broker.VersionAge = r.versionAge
		}
		if r.Broker.Limits == nil {
			r.Broker.Limits = r.accountLimits
		}
	})
}

// mayAdmit reports whether the Limiter may admit requests. The Limiter must
// have the present snapshot first: otherwise a node that missed versions would
// use an old share because a newer version was confirmed. MayAdmit is therefore
// called before the snapshot is read.
func (r *Runner) mayAdmit(now time.Time) bool {
	if r.MayAdmit != nil && !r.MayAdmit(now) {
		return false
	}
	if r.Snapshot() == r.inForce.Load() {
		return true
	}
	select {
	case r.snapshotChanged <- struct{}{}:
	default:
	}
	return false
}

// runConfigure applies new snapshots until the context ends.
func (r *Runner) runConfigure(ctx context.Context) {
	tick := time.NewTicker(configureInterval)
	defer tick.Stop()
	for {
		r.configure()
		select {
		case <-ctx.Done():
			return
		case <-r.snapshotChanged:
		case <-tick.C:
		}
	}
}

// versionAge returns the version in force and for how long it has been in
// force.
func (r *Runner) versionAge() (uint64, time.Duration) {
	s, t := r.inForce.Load(), r.acceptedAt.Load()
	if s == nil || t == nil {
		return 0, 0
	}
	return s.Version, r.Limiter.Now().Sub(*t)
}

// accountLimits returns an account's rate and burst over all hosts.
func (r *Runner) accountLimits(account string) (rate, burst float64) {
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

// configure applies a new snapshot to the Limiter.
func (r *Runner) configure() {
	s, old := r.Snapshot(), r.inForce.Load()
	if s == nil || s == old {
		return
	}
	if old == nil || s.Version != old.Version {
		r.acceptedAt.Store(ptrTo(r.Limiter.Now()))
	}
	r.Limiter.Configure(s, r.Self.ID)
	r.inForce.Store(s)
}

func ptrTo[T any](v T) *T { return &v }

// runMember exchanges the reports of the Limiter until the context ends.
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
			case <-r.memberRounds.wakeups:
			case <-tick.C:
				now := time.Now()
				urgent := r.Limiter.Tick() && now.Sub(last) >= minUrgentInterval
				if now.Before(next) && !urgent {
					continue
				}
			}
		}
		last = time.Now()
		next = last.Add(nextReportDelay())
		again = r.exchangeMember(ctx) && ctx.Err() == nil
	}
}

// nextReportDelay returns reportInterval, varied at random by 5%.
func nextReportDelay() time.Duration {
	return reportInterval*19/20 + rand.N(reportInterval/10)
}

// exchangeMember sends one report of the Limiter and reports whether another
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
		reply, err = r.callParent(ctx, to, report)
	}
	if err != nil {
		return false
	}
	again := r.Limiter.HandleReply(to.ID, reply)
	return r.recordLeaving(to, reply) || again
}

// leavingReports is how many reports a parent that leaves gets. The second one
// has entries for all accounts and brings all deposits back.
const leavingReports = 2

// avoidLeaving is how long a parent that leaves is avoided.
const avoidLeaving = 10 * time.Second

// recordLeaving avoids a parent that is about to stop once it has got
// leavingReports. It reports whether another report should go there at once.
func (r *Runner) recordLeaving(to hosts.Host, reply Reply) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !reply.Leaving {
		delete(r.leavingReplies, to.ID)
		return false
	}
	r.leavingReplies[to.ID]++
	if r.leavingReplies[to.ID] < leavingReports {
		return true
	}
	if to.ID != r.Self.ID {
		r.avoidUntil[to.ID] = time.Now().Add(avoidLeaving)
	}
	return false
}

// Leave makes the Broker give back what it holds. Call it once, before a
// planned stop. Members get their deposits back within about a second.
func (r *Runner) Leave() {
	r.Init()
	r.Broker.Leave()
	r.leaderRounds.wake()
	r.memberRounds.wake()
}

// callParent sends a report to a parent, checks the reply and avoids the parent
// for a while if that fails.
func (r *Runner) callParent(ctx context.Context, to hosts.Host, report Report) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := r.Call(ctx, to, report)
	if err == nil {
		err = reply.Check()
	}
	r.mu.Lock()
	if err != nil {
		r.avoidUntil[to.ID] = time.Now().Add(avoidUnresponsive)
	} else {
		delete(r.avoidUntil, to.ID)
	}
	r.mu.Unlock()
	if err != nil && r.OnCallError != nil && ctx.Err() != context.Canceled {
		r.OnCallError(to, err)
	}
	return reply, err
}

// parent returns the leader that the Limiter reports to: the one that the
// placement names, or another of the zone while that one does not reply.
func (r *Runner) parent() (hosts.Host, bool) {
	p := r.Placement()
	if p == nil {
		return hosts.Host{}, false
	}
	if h, ok := p.Parents[r.Self.ID]; ok && !r.isAvoided(h.ID) {
		return h, true
	}
	for _, h := range p.Leaders[r.Self.Zone] {
		if !r.isAvoided(h.ID) {
			return h, true
		}
	}
	h, ok := p.Parents[r.Self.ID]
	return h, ok
}

func (r *Runner) isAvoided(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.avoidUntil[id]
	if ok && !time.Now().Before(until) {
		delete(r.avoidUntil, id)
		ok = false
	}
	return ok
}

// root returns the root that the Broker reports to. It returns false if the
// node is not a leader or is the root itself. While the root does not reply,
// the leader that ranks next replaces it.
func (r *Runner) root() (hosts.Host, bool) {
	p := r.Placement()
	if p == nil || !p.IsLeader(r.Self.ID, r.Self.Zone) {
		return hosts.Host{}, false
	}
	if !r.isAvoided(p.Root.ID) {
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
	i := slices.IndexFunc(ids, func(id string) bool { return !r.isAvoided(id) })
	if i < 0 || ids[i] == r.Self.ID {
		return hosts.Host{}, false
	}
	return byID[ids[i]], true
}

// runLeader exchanges the reports of the Broker until the context ends. A node
// that is not a leader, and the root, have nothing to exchange.
func (r *Runner) runLeader(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	next := time.Now().Add(nextReportDelay())
	again := false
	for {
		if !again {
			select {
			case <-ctx.Done():
				return
			case <-r.leaderRounds.wakeups:
			case <-tick.C:
				// Nothing else sends a surplus that arose right after a round.
				if _, ok := r.root(); time.Now().Before(next) && !(ok && r.Broker.HasSurplus()) {
					continue
				}
			}
		}
		next = time.Now().Add(nextReportDelay())
		r.leaderRounds.beginRound()
		again = r.exchangeLeader(ctx) && ctx.Err() == nil
		r.leaderRounds.endRound()
	}
}

// exchangeLeader sends one report of the Broker to the root and reports whether
// another should follow at once.
func (r *Runner) exchangeLeader(ctx context.Context) bool {
	to, ok := r.root()
	if !ok {
		return false
	}
	reply, err := r.callParent(ctx, to, r.Broker.NextReport(to.ID))
	if err != nil {
		return false
	}
	again := r.Broker.HandleReply(to.ID, reply)
	return r.recordLeaving(to, reply) || again
}

// HandleReport returns the reply to a report of the host from, which the caller
// must have authenticated. It returns ErrTooLarge or ErrOutOfRange if the
// report exceeds a limit.
func (r *Runner) HandleReport(ctx context.Context, from string, report Report) (Reply, error) {
	r.Init()
	if err := report.Check(); err != nil {
		return Reply{}, err
	}
	reply, askParent := r.Broker.HandleReport(from, report)
	_, hasRoot := r.root()
	if !askParent && hasRoot && r.leaderRounds.idleFor(minLeaderUrgentInterval) && r.Broker.HasSurplus() {
		r.leaderRounds.wake()
	}
	if askParent && hasRoot {
		ctx, cancel := context.WithTimeout(ctx, maxParentWait)
		defer cancel()
		r.leaderRounds.waitForRound(ctx)
		r.Broker.CompleteReply(from, report, &reply)
	}
	return reply, nil
}

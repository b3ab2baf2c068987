package quota

import (
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// A node is one host of the simulation.
type node struct {
	sim         *simulation
	host        hosts.Host
	run         int     // number of the process's run; 0 while down
	lastRun     int     // number of the last run
	clockRate   float64 // relative to the simulated time
	pausedUntil time.Duration
	placement   *hosts.Placement
	isolated    bool          // cut off from the configuration source
	confirmedAt time.Duration // when the source was last read
	received    *config.Snapshot
	inForce     *config.Snapshot
	acceptedAt  time.Duration // when inForce came into force

	fixed       *FixedSplit
	limiter     *Limiter
	broker      *Broker
	member      exchangeState
	leader      exchangeState
	roundsBegun uint64
	heldReplies []*heldReply
	waiters     []*simWaiter
	avoidUntil  map[string]time.Duration
}

// An exchangeState is the state of the node's exchange as a member or as a
// leader.
type exchangeState struct {
	callNumber  int
	inFlight    bool
	wakePending bool
	nextAt      time.Duration // of the next regular report
	lastAt      time.Duration // of the last report
}

// A heldReply is a reply that waits until the node's exchange with the root of
// the given round has ended.
type heldReply struct {
	afterRound uint64
	sent       bool
	send       func()
}

// A simWaiter is a request that waits for a token.
type simWaiter struct {
	accountName       string
	account           *account
	waiter            *waiter
	admittedByCentral bool
}

// clock returns the node's clock at a simulated time.
func (n *node) clock(t time.Duration) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(float64(t) * n.clockRate))
}

// runAt runs fn at an instant, unless the process ended before. A paused
// process runs it when the pause ends.
func (n *node) runAt(t time.Duration, fn func()) {
	run := n.run
	n.sim.runAt(t, func() {
		switch {
		case n.run != run:
		case n.sim.now < n.pausedUntil:
			n.runAt(n.pausedUntil, fn)
		default:
			fn()
		}
	})
}

func (n *node) start() {
	n.lastRun++
	n.run = n.lastRun
	now := func() time.Time { return n.clock(n.sim.now) }
	n.limiter = &Limiter{Now: now, Boot: n.sim.rng.Uint64()>>16 | 1, RequestReport: func() { n.requestExchange(&n.member, n.exchangeMember) }}
	n.limiter.MayAdmit = func(t time.Time) bool {
		return t.Sub(n.clock(n.confirmedAt)) < 3*time.Second && n.received == n.inForce
	}
	n.broker = &Broker{Now: now, Boot: n.sim.rng.Uint64()>>16 | 1, VersionAge: func() (uint64, time.Duration) {
		if n.inForce == nil {
			return 0, 0
		}
		return n.inForce.Version, now().Sub(n.clock(n.acceptedAt))
	}}
	n.broker.Limits = func(account string) (float64, float64) {
		if n.inForce == nil || n.inForce.Accounts[account] == nil {
			return 0, 0
		}
		e := n.inForce.EffectiveValues("", "", account)
		return e.Rate, e.Burst
	}
	n.member, n.leader, n.heldReplies, n.waiters = exchangeState{}, exchangeState{}, nil, nil
	n.received, n.inForce, n.confirmedAt = nil, nil, -time.Hour
	n.limiter.Start()
	n.runAt(n.sim.now+randomDuration(n.sim, 500*time.Millisecond), n.readSource)
	n.runAt(n.sim.now+randomDuration(n.sim, tickInterval), n.tick)
	n.runAt(n.sim.now+randomDuration(n.sim, reportInterval), n.tickLeader)
}

func (n *node) stop() { n.run = 0 }

// randomDuration returns a random duration below d.
func randomDuration(s *simulation, d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

// readSource receives the published configuration every 500 ms.
func (n *node) readSource() {
	if !n.isolated {
		n.received, n.confirmedAt = n.sim.current, n.sim.now
		n.runAt(n.sim.now+time.Millisecond, n.configure)
	}
	n.runAt(n.sim.now+500*time.Millisecond, n.readSource)
}

func (n *node) configure() {
	if n.received != n.inForce {
		n.inForce, n.acceptedAt = n.received, n.sim.now
		n.limiter.Configure(n.inForce, n.host.ID)
	}
}

func (n *node) tick() {
	n.configure()
	urgent := n.limiter.Tick() && n.sim.now-n.member.lastAt >= minUrgentInterval
	if n.sim.now >= n.member.nextAt || urgent {
		n.requestExchange(&n.member, n.exchangeMember)
	}
	n.runAt(n.sim.now+tickInterval, n.tick)
}

func (n *node) tickLeader() {
	if _, ok := n.root(); n.sim.now >= n.leader.nextAt || ok && n.broker.HasSurplus() {
		n.requestExchange(&n.leader, n.exchangeLeader)
	}
	n.runAt(n.sim.now+tickInterval, n.tickLeader)
}

// requestExchange starts an exchange at once unless one is in flight. In that
// case the next one follows it.
func (n *node) requestExchange(state *exchangeState, exchange func()) {
	if state.wakePending {
		return
	}
	state.wakePending = true
	n.runAt(n.sim.now, func() {
		if !state.inFlight {
			exchange()
		}
	})
}

func (n *node) nextReportDelay() time.Duration {
	return reportInterval*19/20 + randomDuration(n.sim, reportInterval/10)
}

func (n *node) isAvoided(id string) bool { return n.sim.now < n.avoidUntil[id] }

func (n *node) parent() (*node, bool) {
	h, ok := n.placement.Parents[n.host.ID]
	if !ok || n.isAvoided(h.ID) {
		for _, o := range n.placement.Leaders[n.host.Zone] {
			if !n.isAvoided(o.ID) {
				h, ok = o, true
				break
			}
		}
	}
	return n.sim.byID[h.ID], ok
}

func (n *node) root() (*node, bool) {
	p := n.placement
	if !p.IsLeader(n.host.ID, n.host.Zone) || p.Root.ID == n.host.ID {
		return nil, false
	}
	return n.sim.byID[p.Root.ID], true
}

func (n *node) exchangeMember() {
	n.configure()
	state := &n.member
	state.wakePending, state.lastAt, state.nextAt = false, n.sim.now, n.sim.now+n.nextReportDelay()
	to, ok := n.parent()
	if !ok {
		return
	}
	r, ok := n.limiter.NextReport(to.host.ID)
	if !ok {
		return
	}
	n.exchange(state, to, r, func(reply Reply) bool {
		again := n.limiter.HandleReply(to.host.ID, reply)
		n.collectServed()
		return again
	}, n.exchangeMember)
}

func (n *node) exchangeLeader() {
	state := &n.leader
	state.wakePending, state.lastAt, state.nextAt = false, n.sim.now, n.sim.now+n.nextReportDelay()
	n.roundsBegun++
	round := n.roundsBegun
	to, ok := n.root()
	if !ok {
		n.sendHeldReplies(round)
		return
	}
	n.exchange(state, to, n.broker.NextReport(to.host.ID), func(reply Reply) bool {
		again := n.broker.HandleReply(to.host.ID, reply)
		n.sendHeldReplies(round)
		return again
	}, n.exchangeLeader)
}

// sendHeldReplies sends the replies that waited for the end of a round.
func (n *node) sendHeldReplies(round uint64) {
	for _, h := range n.heldReplies {
		if h.afterRound <= round && !h.sent {
			h.sent = true
			h.send()
		}
	}
	kept := n.heldReplies[:0]
	for _, h := range n.heldReplies {
		if !h.sent {
			kept = append(kept, h)
		}
	}
	n.heldReplies = kept
}

// exchange sends a report and passes the reply to handleReply, which reports
// whether another exchange should follow at once. again starts that exchange.
func (n *node) exchange(state *exchangeState, to *node, r Report, handleReply func(Reply) bool, again func()) {
	state.callNumber++
	callNumber := state.callNumber
	state.inFlight = true
	n.runAt(n.sim.now+callTimeout, func() {
		if state.inFlight && state.callNumber == callNumber {
			state.inFlight = false
			n.avoidUntil[to.host.ID] = n.sim.now + avoidUnresponsive
			if state.wakePending {
				again()
			}
		}
	})
	b, err := r.Encode()
	must(err)
	n.sim.send(n, to, b, func() {
		got, err := DecodeReport(b)
		must(err)
		to.handle(n, got, func(reply Reply) {
			b, err := reply.Encode()
			must(err)
			n.sim.send(to, n, b, func() {
				got, err := DecodeReply(b)
				must(err)
				more := handleReply(got)
				if state.inFlight && state.callNumber == callNumber {
					state.inFlight = false
					delete(n.avoidUntil, to.host.ID)
					if more || state.wakePending {
						again()
					}
				}
			})
		})
	})
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// handle replies to a report like Runner.HandleReport.
func (n *node) handle(from *node, r Report, sendReply func(Reply)) {
	reply, askParent := n.broker.HandleReport(from.host.ID, r)
	if _, ok := n.root(); !askParent || !ok {
		sendReply(reply)
		if ok && n.sim.now-n.leader.lastAt >= minLeaderUrgentInterval && n.broker.HasSurplus() {
			n.requestExchange(&n.leader, n.exchangeLeader)
		}
		return
	}
	h := &heldReply{afterRound: n.roundsBegun + 1, send: func() {
		n.broker.CompleteReply(from.host.ID, r, &reply)
		sendReply(reply)
	}}
	n.heldReplies = append(n.heldReplies, h)
	n.requestExchange(&n.leader, n.exchangeLeader)
	n.runAt(n.sim.now+maxParentWait, func() {
		if !h.sent {
			h.sent = true
			h.send()
		}
	})
}

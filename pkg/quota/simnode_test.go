package quota

import (
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// A node is one host of the sim.
type node struct {
	s         *sim
	host      hosts.Host
	run       int // incarnation; 0 while down
	runs      int
	drift     float64
	paused    time.Duration
	placement *hosts.Placement
	isolated  bool // from the configuration source
	confirmed time.Duration
	snap      *config.Snapshot
	active    *config.Snapshot
	accepted  time.Duration

	fixed   *FixedSplit
	ledger  *Limiter
	broker  *Broker
	member  side
	leader  side
	begun   uint64
	held    []*heldReply
	waiters []*simWait
	avoid   map[string]time.Duration
}

// A side is the state of one of the node's two exchanges.
type side struct {
	token    int
	inflight bool
	poked    bool
	next     time.Duration
	last     time.Duration
}

type heldReply struct {
	round uint64
	sent  bool
	send  func()
}

type simWait struct {
	account string
	a       *account
	w       *waiter
	ideal   bool
}

func (n *node) clock(t time.Duration) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(float64(t) * n.drift))
}

// on runs fn at an instant unless the process ended before; a paused process
// runs it when it wakes.
func (n *node) on(t time.Duration, fn func()) {
	run := n.run
	n.s.at(t, func() {
		switch {
		case n.run != run:
		case n.s.now < n.paused:
			n.on(n.paused, fn)
		default:
			fn()
		}
	})
}

func (n *node) start() {
	n.runs++
	n.run = n.runs
	now := func() time.Time { return n.clock(n.s.now) }
	n.ledger = &Limiter{Now: now, Boot: n.s.rng.Uint64()>>16 | 1, RequestReport: func() { n.poke(&n.member, n.exchangeMember) }}
	n.ledger.MayAdmit = func(t time.Time) bool { return t.Sub(n.clock(n.confirmed)) < 3*time.Second && n.snap == n.active }
	n.broker = &Broker{Now: now, Boot: n.s.rng.Uint64()>>16 | 1, VersionAge: func() (uint64, time.Duration) {
		if n.active == nil {
			return 0, 0
		}
		return n.active.Version, now().Sub(n.clock(n.accepted))
	}}
	n.broker.Limits = func(account string) (float64, float64) {
		if n.active == nil || n.active.Accounts[account] == nil {
			return 0, 0
		}
		e := n.active.EffectiveValues("", "", account)
		return e.Rate, e.Burst
	}
	n.member, n.leader, n.held, n.waiters = side{}, side{}, nil, nil
	n.snap, n.active, n.confirmed = nil, nil, -time.Hour
	n.ledger.Start()
	n.on(n.s.now+rand1(n.s, 500*time.Millisecond), n.source)
	n.on(n.s.now+rand1(n.s, tickInterval), n.tick)
	n.on(n.s.now+rand1(n.s, reportInterval), n.tickLeader)
}

func (n *node) stop() { n.run = 0 }

func rand1(s *sim, d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

func (n *node) source() {
	if !n.isolated {
		n.snap, n.confirmed = n.s.current, n.s.now
		n.on(n.s.now+time.Millisecond, n.configure)
	}
	n.on(n.s.now+500*time.Millisecond, n.source)
}

func (n *node) configure() {
	if n.snap != n.active {
		n.active, n.accepted = n.snap, n.s.now
		n.ledger.Configure(n.active, n.host.ID)
	}
}

func (n *node) tick() {
	n.configure()
	urgent := n.ledger.Tick() && n.s.now-n.member.last >= surplusGap
	if n.s.now >= n.member.next || urgent {
		n.poke(&n.member, n.exchangeMember)
	}
	n.on(n.s.now+tickInterval, n.tick)
}

func (n *node) tickLeader() {
	if _, ok := n.root(); n.s.now >= n.leader.next || ok && n.broker.HasSurplus() {
		n.poke(&n.leader, n.exchangeLeader)
	}
	n.on(n.s.now+tickInterval, n.tickLeader)
}

func (n *node) poke(d *side, exchange func()) {
	if d.poked {
		return
	}
	d.poked = true
	n.on(n.s.now, func() {
		if !d.inflight {
			exchange()
		}
	})
}

func (n *node) interval() time.Duration { return reportInterval*19/20 + rand1(n.s, reportInterval/10) }

func (n *node) avoided(id string) bool { return n.s.now < n.avoid[id] }

func (n *node) parent() (*node, bool) {
	h, ok := n.placement.Parents[n.host.ID]
	if !ok || n.avoided(h.ID) {
		for _, o := range n.placement.Leaders[n.host.Zone] {
			if !n.avoided(o.ID) {
				h, ok = o, true
				break
			}
		}
	}
	return n.s.byID[h.ID], ok
}

func (n *node) root() (*node, bool) {
	p := n.placement
	if !p.IsLeader(n.host.ID, n.host.Zone) || p.Root.ID == n.host.ID {
		return nil, false
	}
	return n.s.byID[p.Root.ID], true
}

func (n *node) exchangeMember() {
	n.configure()
	d := &n.member
	d.poked, d.last, d.next = false, n.s.now, n.s.now+n.interval()
	to, ok := n.parent()
	if !ok {
		return
	}
	r, ok := n.ledger.NextReport(to.host.ID)
	if !ok {
		return
	}
	n.exchange(d, to, r, func(reply Reply) bool {
		again := n.ledger.HandleReply(to.host.ID, reply)
		n.collect()
		return again
	}, n.exchangeMember)
}

func (n *node) exchangeLeader() {
	d := &n.leader
	d.poked, d.last, d.next = false, n.s.now, n.s.now+n.interval()
	n.begun++
	round := n.begun
	to, ok := n.root()
	if !ok {
		n.release(round)
		return
	}
	n.exchange(d, to, n.broker.NextReport(to.host.ID), func(reply Reply) bool {
		again := n.broker.HandleReply(to.host.ID, reply)
		n.release(round)
		return again
	}, n.exchangeLeader)
}

// release sends the replies that waited for a round of the leader.
func (n *node) release(round uint64) {
	for _, h := range n.held {
		if h.round <= round && !h.sent {
			h.sent = true
			h.send()
		}
	}
	keep := n.held[:0]
	for _, h := range n.held {
		if !h.sent {
			keep = append(keep, h)
		}
	}
	n.held = keep
}

func (n *node) exchange(d *side, to *node, r Report, settle func(Reply) bool, again func()) {
	d.token++
	token := d.token
	d.inflight = true
	n.on(n.s.now+callTimeout, func() {
		if d.inflight && d.token == token {
			d.inflight = false
			n.avoid[to.host.ID] = n.s.now + avoidFor
			if d.poked {
				again()
			}
		}
	})
	b, err := r.Encode()
	must(err)
	n.s.send(n, to, b, func() {
		got, err := DecodeReport(b)
		must(err)
		to.handle(n, got, func(reply Reply) {
			b, err := reply.Encode()
			must(err)
			n.s.send(to, n, b, func() {
				got, err := DecodeReply(b)
				must(err)
				more := settle(got)
				if d.inflight && d.token == token {
					d.inflight = false
					delete(n.avoid, to.host.ID)
					if more || d.poked {
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

func (n *node) handle(from *node, r Report, answer func(Reply)) {
	reply, short := n.broker.HandleReport(from.host.ID, r)
	if _, ok := n.root(); !short || !ok {
		answer(reply)
		if ok && n.s.now-n.leader.last >= leaderGap && n.broker.HasSurplus() {
			n.poke(&n.leader, n.exchangeLeader)
		}
		return
	}
	h := &heldReply{round: n.begun + 1, send: func() {
		n.broker.CompleteReply(from.host.ID, r, &reply)
		answer(reply)
	}}
	n.held = append(n.held, h)
	n.poke(&n.leader, n.exchangeLeader)
	n.on(n.s.now+parentWait, func() {
		if !h.sent {
			h.sent = true
			h.send()
		}
	})
}

package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// A simulation runs Limiters and Brokers on a simulated clock with a faulty
// network. It copies the decisions of Runner without goroutines, so that a seed
// always gives the same events.
type simulation struct {
	rng        *rand.Rand
	now        time.Duration
	events     events
	eventCount uint64
	nodes      []*node
	byID       map[string]*node

	delay          func(from, to *node) time.Duration
	lossRatio      float64 // of messages, 0 to 1
	duplicateRatio float64 // of messages, 0 to 1
	lateRatio      float64 // of messages, 0 to 1; late by up to 30 s
	isCut          func(a, b *node) bool

	current        *config.Snapshot
	limits         map[string]accountLimit
	bounds         map[string]*exactBucket // takes the admitted requests
	centralBuckets map[string]*exactBucket // takes the offered requests
	counts         map[string]*requestCounts
	violations     []string // of the limits

	bytesByHost, messagesByHost map[string]int // sent and received
	countTraffic                bool
}

// requestCounts counts one account's requests. refusedByCentral counts the
// requests that an exact central bucket refuses. wrongful counts refusals of
// requests that the central bucket admits, and wrongfulByFixedSplit those of a
// FixedSplit.
type requestCounts struct{ offered, admitted, refused, refusedByCentral, wrongful, wrongfulByFixedSplit int }

// An exactBucket is a token bucket for the requests of an account on all hosts
// together.
type exactBucket struct {
	rate, burst, tokens float64
	// maxDrift is by which ratio the fastest clock of the hosts may be fast. A
	// host refills by its own clock, so the bound must refill by the fastest.
	maxDrift  float64
	updatedAt time.Duration
}

func (r *exactBucket) advance(now time.Duration) {
	r.tokens = min(r.burst, r.tokens+r.rate*(1+r.maxDrift)*(now-r.updatedAt).Seconds())
	r.updatedAt = now
}

func (r *exactBucket) take(now time.Duration) bool {
	r.advance(now)
	if r.tokens < 1-1e-6 {
		return false
	}
	r.tokens--
	return true
}

// An event is a function that runs at a simulated time. Events at the same time
// run in the order of seq.
type event struct {
	at  time.Duration
	seq uint64
	fn  func()
}

// events is a heap for container/heap.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

func (s *simulation) runAt(t time.Duration, fn func()) {
	s.eventCount++
	heap.Push(&s.events, event{max(t, s.now), s.eventCount, fn})
}

func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.fn()
	}
	s.now = until
}

func newSimulation(seed uint64, ids []string, zones int, accounts map[string]accountLimit) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*node{}, limits: accounts,
		bounds: map[string]*exactBucket{}, centralBuckets: map[string]*exactBucket{}, counts: map[string]*requestCounts{},
		bytesByHost: map[string]int{}, messagesByHost: map[string]int{},
		delay: func(_, _ *node) time.Duration { return time.Millisecond },
		isCut: func(_, _ *node) bool { return false },
	}
	s.current = snapshot(1, ids, accounts)
	for name, l := range accounts {
		s.bounds[name] = &exactBucket{rate: l.rate, burst: l.burst, tokens: l.burst}
		s.centralBuckets[name] = &exactBucket{rate: l.rate, burst: l.burst, tokens: l.burst}
		s.counts[name] = &requestCounts{}
	}
	list := &hosts.List{Revision: 1}
	for i, id := range ids {
		list.Hosts = append(list.Hosts, hosts.Host{ID: id, Zone: fmt.Sprintf("z-%02d", i%zones), State: hosts.Live})
	}
	p := hosts.NewPlacement(list)
	for _, h := range list.Hosts {
		n := &node{sim: s, host: h, clockRate: 1, placement: p, avoidUntil: map[string]time.Duration{}}
		s.nodes = append(s.nodes, n)
		s.byID[h.ID] = n
		n.start()
	}
	return s
}

// send runs fn at the receiver of the message b, possibly late, twice or never.
func (s *simulation) send(from, to *node, b []byte, fn func()) {
	if from == to {
		to.runAt(s.now, fn)
		return
	}
	if s.countTraffic {
		s.bytesByHost[from.host.ID] += len(b)
		s.bytesByHost[to.host.ID] += len(b)
		s.messagesByHost[from.host.ID]++
		s.messagesByHost[to.host.ID]++
	}
	if to.run == 0 || s.isCut(from, to) || s.rng.Float64() < s.lossRatio {
		return
	}
	d := s.delay(from, to)
	if s.lateRatio > 0 && s.rng.Float64() < s.lateRatio {
		d += randomDuration(s, 30*time.Second)
	}
	to.runAt(s.now+d, fn)
	if s.duplicateRatio > 0 && s.rng.Float64() < s.duplicateRatio {
		to.runAt(s.now+d+randomDuration(s, 4*time.Second), fn)
	}
}

// call handles a request of an account that comes in on the node.
func (n *node) call(name string) {
	s := n.sim
	t := s.counts[name]
	t.offered++
	admittedByCentral := s.centralBuckets[name].take(s.now)
	if !admittedByCentral {
		t.refusedByCentral++
	}
	if n.fixed != nil && !n.fixed.Take(name) && admittedByCentral {
		t.wrongfulByFixedSplit++
	}
	a := n.limiter.allAccounts()[name]
	now := n.limiter.instant()
	if n.run == 0 || s.now < n.pausedUntil || a == nil || !n.limiter.mayAdmit(now) {
		s.refuse(name, admittedByCentral)
		return
	}
	if a.take(now) {
		s.admit(n, name)
		return
	}
	w, needsReport := a.enqueue(now, now+MaxTokenWait)
	if w == nil {
		s.refuse(name, admittedByCentral)
		return
	}
	if needsReport {
		n.limiter.requestReport()
	}
	sw := &simWaiter{name, a, w, admittedByCentral}
	n.waiters = append(n.waiters, sw)
	n.scheduleCheck(sw, a.nextCheckDelay(now, w.deadline))
}

// scheduleCheck checks a waiter after the pause, until its wait ends.
func (n *node) scheduleCheck(sw *simWaiter, pause time.Duration) {
	n.runAt(n.sim.now+pause, func() {
		if sw.waiter == nil {
			return
		}
		pause, ended := n.limiter.checkWaiter(sw.account, sw.waiter)
		n.collectServed()
		if sw.waiter == nil {
			return
		}
		if ended {
			sw.account.stopWaiting(sw.waiter)
			sw.waiter = nil
			n.sim.refuse(sw.accountName, sw.admittedByCentral)
			return
		}
		n.scheduleCheck(sw, pause)
	})
}

// collectServed counts the waiters that were served and removes them.
func (n *node) collectServed() {
	kept := n.waiters[:0]
	for _, sw := range n.waiters {
		if sw.waiter != nil && sw.waiter.served {
			sw.waiter = nil
			n.sim.admit(n, sw.accountName)
		}
		if sw.waiter != nil {
			kept = append(kept, sw)
		}
	}
	n.waiters = kept
}

func (s *simulation) refuse(name string, admittedByCentral bool) {
	s.counts[name].refused++
	if admittedByCentral {
		s.counts[name].wrongful++
	}
}

func (s *simulation) admit(n *node, name string) {
	s.counts[name].admitted++
	if !s.bounds[name].take(s.now) {
		s.violations = append(s.violations, fmt.Sprintf("%v: %s admits for %s over the limit (%.6f tokens)", s.now, n.host.ID, name, s.bounds[name].tokens))
	}
}

// checkTotals records a violation if the usable rates or capacities of all
// limiters and brokers exceed what is published.
func (s *simulation) checkTotals() {
	for name, bound := range s.bounds {
		var total portion
		for _, n := range s.nodes {
			if n.run == 0 {
				continue
			}
			now := n.limiter.instant()
			if a := n.limiter.allAccounts()[name]; a != nil && n.limiter.MayAdmit(n.clock(s.now)) {
				a.bucket.advance(now)
				total = total.plus(a.bucket.usable.nonNegative())
			}
			if p := n.broker.accounts[name]; p != nil {
				p.bucket.advance(n.broker.instant())
				total = total.plus(p.bucket.usable.nonNegative())
			}
		}
		if total.rate > AmountOf(bound.rate) || total.capacity > AmountOf(bound.burst) {
			s.violations = append(s.violations, fmt.Sprintf("%v: %s has rate %.3f of %.3f, capacity %.3f of %.3f", s.now, name, total.rate.Tokens(), bound.rate, total.capacity.Tokens(), bound.burst))
		}
	}
}

// publish publishes a configuration. Until every node has applied it, the bound
// is the maximum of the former and the new limits.
func (s *simulation) publish(ids []string, accounts map[string]accountLimit) {
	s.current = snapshot(s.current.Version+1, ids, accounts)
	for name, l := range accounts {
		r := s.bounds[name]
		r.advance(s.now)
		r.rate, r.burst = max(r.rate, l.rate), max(r.burst, l.burst)
	}
	v := s.current
	s.runAt(s.now+ActivationDelay, func() {
		if s.current != v {
			return
		}
		for name, l := range accounts {
			r := s.bounds[name]
			r.advance(s.now)
			r.rate, r.burst = l.rate, l.burst
			r.advance(s.now)
		}
	})
}

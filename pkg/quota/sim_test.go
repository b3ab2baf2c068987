package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// A sim runs ledgers and brokers on a fake clock with a faulty network. It
// repeats the Runner's decisions without goroutines, so a seed gives one
// course of events.
type sim struct {
	rng    *rand.Rand
	now    time.Duration
	events events
	count  uint64
	nodes  []*node
	byID   map[string]*node

	delay func(from, to *node) time.Duration
	loss  float64 // of messages, 0 to 1
	twice float64
	late  float64 // delayed by up to 30 s
	cut   func(a, b *node) bool

	current *config.Snapshot
	limits  map[string]limit
	refs    map[string]*reference
	ideals  map[string]*reference
	stats   map[string]*tally
	faults  []string

	bytes, messages map[string]int // by receiving or sending node
	measure         bool
}

// A tally counts one account's requests.
//
// ideal counts what an exact central bucket refuses of the same requests, and
// wrongful the refusals of requests that it admits.
// fixed counts those of a fixed split.
type tally struct{ offered, admitted, refused, ideal, wrongful, fixed int }

// A reference is the exact bucket that all admitted requests together must
// never overdraw.
type reference struct {
	rate, burst, tokens float64
	// fast is by how much the fastest clock of the fleet runs fast. A host
	// refills by its own clock, so the bound holds in terms of that clock.
	fast float64
	last time.Duration
}

func (r *reference) advance(now time.Duration) {
	r.tokens = min(r.burst, r.tokens+r.rate*(1+r.fast)*(now-r.last).Seconds())
	r.last = now
}

func (r *reference) take(now time.Duration) bool {
	r.advance(now)
	if r.tokens < 1-1e-6 {
		return false
	}
	r.tokens--
	return true
}

type event struct {
	at  time.Duration
	seq uint64
	fn  func()
}

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

func (s *sim) at(t time.Duration, fn func()) {
	s.count++
	heap.Push(&s.events, event{max(t, s.now), s.count, fn})
}

func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.fn()
	}
	s.now = until
}

func newSim(seed uint64, ids []string, zones int, accounts map[string]limit) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*node{}, limits: accounts,
		refs: map[string]*reference{}, ideals: map[string]*reference{}, stats: map[string]*tally{},
		bytes: map[string]int{}, messages: map[string]int{},
		delay: func(_, _ *node) time.Duration { return time.Millisecond },
		cut:   func(_, _ *node) bool { return false },
	}
	s.current = snapshot(1, ids, accounts)
	for name, l := range accounts {
		s.refs[name] = &reference{rate: l.rate, burst: l.burst, tokens: l.burst}
		s.ideals[name] = &reference{rate: l.rate, burst: l.burst, tokens: l.burst}
		s.stats[name] = &tally{}
	}
	list := &hosts.List{Revision: 1}
	for i, id := range ids {
		list.Hosts = append(list.Hosts, hosts.Host{ID: id, Zone: fmt.Sprintf("z-%02d", i%zones), State: hosts.Live})
	}
	p := hosts.NewPlacement(list)
	for _, h := range list.Hosts {
		n := &node{s: s, host: h, drift: 1, placement: p, avoid: map[string]time.Duration{}}
		s.nodes = append(s.nodes, n)
		s.byID[h.ID] = n
		n.start()
	}
	return s
}

// send delivers fn at the receiver, perhaps late, twice or never.
func (s *sim) send(from, to *node, b []byte, fn func()) {
	if from == to {
		to.on(s.now, fn)
		return
	}
	if s.measure {
		s.bytes[from.host.ID] += len(b)
		s.bytes[to.host.ID] += len(b)
		s.messages[from.host.ID]++
		s.messages[to.host.ID]++
	}
	if to.run == 0 || s.cut(from, to) || s.rng.Float64() < s.loss {
		return
	}
	d := s.delay(from, to)
	if s.late > 0 && s.rng.Float64() < s.late {
		d += rand1(s, 30*time.Second)
	}
	to.on(s.now+d, fn)
	if s.twice > 0 && s.rng.Float64() < s.twice {
		to.on(s.now+d+rand1(s, 4*time.Second), fn)
	}
}

// call is a request of an account that arrives at a node.
func (n *node) call(name string) {
	s := n.s
	t := s.stats[name]
	t.offered++
	ideal := s.ideals[name].take(s.now)
	if !ideal {
		t.ideal++
	}
	if n.fixed != nil && !n.fixed.Take(name) && ideal {
		t.fixed++
	}
	a := n.ledger.all()[name]
	now := n.ledger.instant()
	if n.run == 0 || s.now < n.paused || a == nil || !n.ledger.mayAdmit(now) {
		s.refuse(name, ideal)
		return
	}
	if a.take(now) {
		s.admit(n, name)
		return
	}
	w, wake := a.enqueue(now, now+MaxTokenWait)
	if w == nil {
		s.refuse(name, ideal)
		return
	}
	if wake {
		n.ledger.requestReport()
	}
	sw := &simWait{name, a, w, ideal}
	n.waiters = append(n.waiters, sw)
	n.sleep(sw, a.pause(now, w.until))
}

func (n *node) sleep(sw *simWait, pause time.Duration) {
	n.on(n.s.now+pause, func() {
		if sw.w == nil {
			return
		}
		pause, over := n.ledger.look(sw.a, sw.w)
		n.collect()
		if sw.w == nil {
			return
		}
		if over {
			sw.a.leave(sw.w)
			sw.w = nil
			n.s.refuse(sw.account, sw.ideal)
			return
		}
		n.sleep(sw, pause)
	})
}

// collect notes the waiters that were served at this instant.
func (n *node) collect() {
	keep := n.waiters[:0]
	for _, sw := range n.waiters {
		if sw.w != nil && sw.w.done {
			sw.w = nil
			n.s.admit(n, sw.account)
		}
		if sw.w != nil {
			keep = append(keep, sw)
		}
	}
	n.waiters = keep
}

func (s *sim) refuse(name string, ideal bool) {
	s.stats[name].refused++
	if ideal {
		s.stats[name].wrongful++
	}
}

func (s *sim) admit(n *node, name string) {
	s.stats[name].admitted++
	if !s.refs[name].take(s.now) {
		s.faults = append(s.faults, fmt.Sprintf("%v: %s admits for %s over the limit (%.6f tokens)", s.now, n.host.ID, name, s.refs[name].tokens))
	}
}

// checkSums notes a fault if the effective rates or capacities exceed what is
// published.
func (s *sim) checkSums() {
	for name, ref := range s.refs {
		var sum volume
		for _, n := range s.nodes {
			if n.run == 0 {
				continue
			}
			now := n.ledger.instant()
			if a := n.ledger.all()[name]; a != nil && n.ledger.MayAdmit(n.clock(s.now)) {
				a.book.advance(now)
				sum = sum.plus(a.book.v.floor())
			}
			if p := n.broker.books[name]; p != nil {
				p.book.advance(n.broker.instant())
				sum = sum.plus(p.book.v.floor())
			}
		}
		if sum.r > AmountOf(ref.rate) || sum.c > AmountOf(ref.burst) {
			s.faults = append(s.faults, fmt.Sprintf("%v: %s has rate %.3f of %.3f, capacity %.3f of %.3f", s.now, name, sum.r.Tokens(), ref.rate, sum.c.Tokens(), ref.burst))
		}
	}
}

// publish puts a configuration into force. The bound is the larger of the two
// until every node follows it.
func (s *sim) publish(ids []string, accounts map[string]limit) {
	s.current = snapshot(s.current.Version+1, ids, accounts)
	for name, l := range accounts {
		r := s.refs[name]
		r.advance(s.now)
		r.rate, r.burst = max(r.rate, l.rate), max(r.burst, l.burst)
	}
	v := s.current
	s.at(s.now+ActivationDelay, func() {
		if s.current != v {
			return
		}
		for name, l := range accounts {
			r := s.refs[name]
			r.advance(s.now)
			r.rate, r.burst = l.rate, l.burst
			r.advance(s.now)
		}
	})
}

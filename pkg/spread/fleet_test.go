package spread_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/spread"
)

// The driver moves one fake clock over many Replicas and carries their
// messages in memory. It counts what a real node would send.
const (
	driverStep  = 50 * time.Millisecond
	callTimeout = 500 * time.Millisecond
	pullTimeout = 3 * time.Second
	idlePeers   = 64 // connections that a node keeps
)

// Bytes on the wire beyond the encoded message, measured by
// TestWireOverhead in internal/peer.
const (
	callOverhead = 120  // one call and its answer on an open connection
	dialOverhead = 3952 // handshake of a new connection
)

type event struct {
	at   time.Time
	seq  int
	node *node
	life int
	f    func()
}

type queue []*event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *queue) Pop() any {
	o := *q
	e := o[len(o)-1]
	*q = o[:len(o)-1]
	return e
}

// A node is one host of the driver over all its lives.
type node struct {
	host        hosts.Host
	r           *spread.Replica
	up          bool
	life        int
	pausedUntil time.Time
	served      uint64 // highest version ever in force, over all lives
	reached     map[uint64]time.Time
	budget      *spread.ReadBudget
	reads       []string
	open        []string // addresses with an open connection, latest last

	bytes, calls, dials, samples, refused int
}

// A fleet is the driver.
type fleet struct {
	t     testing.TB
	rng   *rand.Rand
	now   time.Time
	seq   int
	queue queue
	nodes map[string]*node // by address
	order []*node

	loss, repeat float64
	delay        func(a, b *node) time.Duration
	cut          func(a, b *node) bool
	sourceUp     func(n *node) bool
	adjust       func(r *spread.Replica)

	values map[string][]byte // the source
	reads  []time.Time

	// withdrawn is the version that withdrew a key and the time from which no
	// node may accept keyed calls with an older one.
	withdrawn      uint64
	withdrawnSince time.Time
	violations     []string
}

func newFleet(t testing.TB, seed uint64, n, zones int) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), nodes: map[string]*node{},
		values: map[string][]byte{},
	}
	f.delay = func(_, _ *node) time.Duration {
		return time.Duration(500+f.rng.IntN(2500)) * time.Microsecond
	}
	l := hosts.List{Revision: 1}
	for i := range n {
		h := hosts.Host{
			ID: fmt.Sprintf("h-%04d", i), Zone: fmt.Sprintf("z-%02d", i%zones), Service: "entry", State: hosts.Live,
			CallAddress:    fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			ControlAddress: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
		}
		l.Hosts = append(l.Hosts, h)
		d := &node{host: h, reached: map[uint64]time.Time{}}
		f.nodes[h.ControlAddress] = d
		f.order = append(f.order, d)
	}
	b, err := toml.Marshal(l)
	assert.NilError(t, err)
	f.values["hosts"] = b
	return f
}

// start starts a new life of a node.
func (f *fleet) start(n *node) {
	n.life++
	n.up = true
	n.pausedUntil = time.Time{}
	n.open = nil
	n.budget = spread.NewReadBudget()
	n.reads = nil
	n.r = &spread.Replica{
		Self: n.host, Now: func() time.Time { return f.now },
		Rand: rand.New(rand.NewPCG(f.rng.Uint64(), f.rng.Uint64())), FleetHint: len(f.order), Accept: accept,
	}
	if f.adjust != nil {
		f.adjust(n.r)
	}
	n.r.Start(f.now)
	f.after(n, time.Duration(f.rng.Int64N(int64(driverStep))), func() { f.step(n) })
}

func (f *fleet) startAll() {
	for _, n := range f.order {
		f.start(n)
	}
}

func (f *fleet) stop(n *node) { n.life++; n.up = false }

func (f *fleet) after(n *node, d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, &event{at: f.now.Add(d), seq: f.seq, node: n, life: n.life, f: do})
}

// run lets d pass.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(*event)
		f.now = e.at
		switch {
		case e.life != e.node.life:
		case e.node.pausedUntil.After(f.now):
			// The process is paused; what arrives waits in its socket.
			e.at = e.node.pausedUntil
			heap.Push(&f.queue, e)
		default:
			e.f()
		}
	}
	f.now = end
}

func (f *fleet) step(n *node) {
	f.apply(n, n.r.Tick(f.now))
	to, _ := n.r.NextExchanges(f.now)
	for _, h := range to {
		f.exchange(n, h)
	}
	p := n.r.NextSourceReads(f.now)
	if p.Hosts {
		n.reads = append(n.reads, "hosts")
	}
	if p.Manifest {
		n.reads = append(n.reads, "manifest")
	}
	n.reads = append(n.reads, n.r.NextPartReads(f.now)...)
	for len(n.reads) > 0 && n.budget.Take(f.now) {
		f.read(n, n.reads[0])
		n.reads = n.reads[1:]
	}
	f.check(n)
	n.samples++
	if !n.r.KeyedAllowed(f.now) {
		n.refused++
	}
	f.after(n, driverStep, func() { f.step(n) })
}

func (f *fleet) apply(n *node, a spread.Action) {
	for _, h := range a.Push {
		m := n.r.PushMessage()
		f.count(n, f.nodes[h.ControlAddress], size(&m)+1)
		f.send(n, f.nodes[h.ControlAddress], func(p *node) {
			f.apply(p, p.r.ObserveSummary(m.Host(), m.Summary, time.Time{}))
		})
	}
	for a.Fetch {
		q, ok := n.r.NextPull(f.now)
		if !ok {
			break
		}
		f.pull(n, q)
	}
	f.check(n)
}

// check holds the node against the invariants.
func (f *fleet) check(n *node) {
	c := n.r.Current()
	if c == nil {
		return
	}
	if c.Version < n.served {
		f.violate("%s went back from %d to %d", n.host.ID, n.served, c.Version)
	}
	if c.Version != n.served {
		n.served = c.Version
		n.reached[c.Version] = f.now
		tag := fmt.Sprintf("v%d", c.Version)
		if c.Accounts[tag] == nil || c.Services[tag] == nil {
			f.violate("%s combined version %d with another", n.host.ID, c.Version)
		}
	}
	if c.Version < f.withdrawn && f.now.After(f.withdrawnSince) && n.r.KeyedAllowed(f.now) {
		f.violate("%s accepts a key that version %d withdrew", n.host.ID, f.withdrawn)
	}
}

func (f *fleet) violate(format string, args ...any) {
	if len(f.violations) < 5 {
		f.violations = append(f.violations, f.now.Format("05.000 ")+fmt.Sprintf(format, args...))
	}
}

// send delivers a message to a peer, or not.
func (f *fleet) send(from, to *node, do func(*node)) {
	if to == nil || !to.up || f.rng.Float64() < f.loss {
		return
	}
	arrive := func() {
		if f.cut == nil || !f.cut(from, to) {
			do(to)
		}
	}
	f.after(to, f.delay(from, to), arrive)
	if f.rng.Float64() < f.repeat {
		f.after(to, f.delay(from, to)*20, arrive)
	}
}

func (f *fleet) exchange(n *node, h hosts.Host) {
	to := f.nodes[h.ControlAddress]
	m, sentAt, done := n.r.ExchangeRequest(), f.now, false
	f.send(n, to, func(p *node) {
		f.apply(p, p.r.ObserveSummary(m.Host(), m.Summary, time.Time{}))
		a := p.r.ExchangeReply()
		f.count(n, p, size(&m)+size(&a))
		f.send(p, n, func(n *node) {
			if !done {
				done = true
				from := a.Host()
				from.Zone, from.ControlAddress = h.Zone, h.ControlAddress
				f.apply(n, n.r.ObserveSummary(from, a.Summary, sentAt))
			}
		})
	})
	f.after(n, callTimeout, func() {
		if !done {
			done = true
			n.r.ExchangeFailed(h)
		}
	})
}

func (f *fleet) pull(n *node, q spread.Pull) {
	to, done := f.nodes[q.To.ControlAddress], false
	f.send(n, to, func(p *node) {
		a := p.r.AnswerPull(q.Request)
		f.count(n, p, size(&q.Request)+packedSize(&a))
		f.send(p, n, func(n *node) {
			if done {
				return
			}
			done = true
			if a.PayloadBytes() == 0 {
				n.r.PullFailed(q, false)
				return
			}
			if a.HostList != nil {
				o, err := n.r.OfferHostList(a.HostList)
				assert.NilError(f.t, err)
				f.apply(n, o)
			}
			o, _ := n.r.Deliver(a.Manifest, a.Parts)
			o.Fetch = true
			f.apply(n, o)
		})
	})
	f.after(n, pullTimeout, func() {
		if !done {
			done = true
			n.r.PullFailed(q, false)
		}
	})
}

// read asks the source.
func (f *fleet) read(n *node, key string) {
	f.reads = append(f.reads, f.now)
	if f.sourceUp != nil && !f.sourceUp(n) {
		return
	}
	askedAt := f.now
	if key != "hosts" && key != "manifest" {
		key = "parts/" + key
	}
	b := f.values[key]
	if b == nil {
		return
	}
	f.after(n, 2*time.Millisecond, func() {
		var a spread.Action
		switch key {
		case "hosts":
			a, _ = n.r.OfferHostList(b)
		case "manifest":
			a = n.r.ObserveSourceManifest(b, askedAt)
		default:
			a, _ = n.r.Deliver(nil, map[string][]byte{strings.TrimPrefix(key, "parts/"): b})
		}
		f.apply(n, a)
	})
}

// count adds one call to the traffic of both sides.
func (f *fleet) count(a, b *node, bytes int) {
	if b == nil {
		return
	}
	bytes += callOverhead
	if i := index(a.open, b.host.ID); i >= 0 {
		a.open = append(append(a.open[:i:i], a.open[i+1:]...), b.host.ID)
	} else {
		a.open = append(a.open, b.host.ID)
		if len(a.open) > idlePeers {
			a.open = a.open[1:]
		}
		bytes += dialOverhead
		a.dials++
	}
	a.bytes += bytes
	b.bytes += bytes
	a.calls++
	b.calls++
}

func index(l []string, s string) int {
	for i := range l {
		if l[i] == s {
			return i
		}
	}
	return -1
}

func size(m any) int {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	return len(b)
}

var packed sync.Map

// packedSize is the size of a reply with compressed values.
func packedSize(p *spread.PullReply) int {
	one := func(b []byte) int {
		if b == nil {
			return 0
		}
		k := config.DigestOf(b)
		if n, ok := packed.Load(k); ok {
			return n.(int)
		}
		e, _ := zstd.NewWriter(nil)
		n := len(e.EncodeAll(b, nil))
		packed.Store(k, n)
		return n
	}
	n := 8 + one(p.Manifest) + one(p.HostList)
	for _, b := range p.Parts {
		n += 70 + one(b)
	}
	return n
}

var verdicts sync.Map

type verdict struct {
	s   *config.Snapshot
	err error
}

// accept is config.Accept with a memory, which is sound because Accept is
// pure and a Replica verifies digests first.
func accept(manifest []byte, parts map[string][]byte) (*config.Snapshot, error) {
	k := config.DigestOf(manifest)
	for d, b := range parts {
		if config.DigestOf(b) != d {
			k += "bad"
		}
	}
	if v, ok := verdicts.Load(k); ok {
		return v.(verdict).s, v.(verdict).err
	}
	s, err := config.Accept(manifest, parts)
	verdicts.Store(k, verdict{s, err})
	return s, err
}

func ptr[T any](v T) *T { return &v }

// version returns the bytes of a configuration whose two parts both carry the
// version.
func version(t testing.TB, v uint64, zones int, bad bool) ([]byte, map[string][]byte) {
	tag := fmt.Sprintf("v%d", v)
	a := config.Document{
		Defaults: &config.Values{
			Slots: ptr(12), ColdSlots: ptr(2), ConnectionsPerSecond: ptr(100), QueuePerAccount: ptr(20),
			CallTimeoutMs: ptr(1000), RetryPercent: ptr(10), MaxHeaderBytes: ptr(16384), Rate: ptr(100.0), Burst: ptr(50.0),
		},
		Accounts: []config.ClientAccount{{Name: tag}},
	}
	for z := range zones {
		a.Zones = append(a.Zones, config.AvailabilityZone{Name: fmt.Sprintf("z-%02d", z), Region: "r"})
	}
	b := config.Document{
		Services: []config.Service{{Name: tag}},
		Routes:   []config.Route{{Prefix: "/", Service: tag}},
	}
	if bad {
		b.Routes[0].Service = "missing"
	}
	m, files, err := config.Encode(v, map[string]config.Document{"a": a, "b": b})
	assert.NilError(t, err)
	return m, files
}

func (f *fleet) publish(v uint64, zones int) {
	m, files := version(f.t, v, zones, false)
	for d, b := range files {
		f.values["parts/"+d] = b
	}
	f.values["manifest"] = m
}

// slowest returns the time from since until every running node had v in force.
func (f *fleet) slowest(v uint64, since time.Time) (time.Duration, bool) {
	var d time.Duration
	for _, n := range f.order {
		if !n.up {
			continue
		}
		if n.served < v {
			return 0, false
		}
		d = max(d, n.reached[v].Sub(since))
	}
	return d, true
}

// peakReads is the largest number of reads in a sliding second.
func (f *fleet) peakReads() int {
	peak, from := 0, 0
	for i, t := range f.reads {
		for t.Sub(f.reads[from]) >= time.Second {
			from++
		}
		peak = max(peak, i-from+1)
	}
	return peak
}

func (f *fleet) sound() {
	f.t.Helper()
	assert.Assert(f.t, len(f.violations) == 0, "%v", f.violations)
}

package replication_test

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
	"quetzaldock.example/quetzaldock/pkg/replication"
)

// The simulation drives many Replicas with one fake clock and carries their
// messages in memory. It counts the bytes that real nodes would send.
const (
	stepInterval       = 50 * time.Millisecond
	callTimeout        = 500 * time.Millisecond
	pullTimeout        = 3 * time.Second
	maxIdleConnections = 64 // as in internal/peer
)

// Bytes on the wire beyond the encoded message, measured by
// TestWireOverhead in internal/peer.
const (
	callOverheadBytes = 120  // one call and its answer on an open connection
	dialOverheadBytes = 3952 // handshake of a new connection
)

// An event is a function that runs at a simulated time, unless the node has been
// stopped or restarted since it was scheduled. Events at the same time run in the
// order of seq.
type event struct {
	at          time.Time
	seq         int
	node        *node
	incarnation int
	f           func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	o := *q
	e := o[len(o)-1]
	*q = o[:len(o)-1]
	return e
}

// A node is one simulated host. Each restart begins a new incarnation, and
// events of an earlier one are dropped.
type node struct {
	host              hosts.Host
	replica           *replication.Replica
	up                bool
	incarnation       int
	pausedUntil       time.Time
	maxVersionInForce uint64 // over all incarnations
	inForceSince      map[uint64]time.Time
	budget            *replication.ReadBudget
	pendingReads      []string
	openConnections   []string // IDs of hosts with an open connection, last used last

	// bytes and calls count both directions, dials the connections that the node
	// opened, samples its steps, and keyedRefusedSamples the steps at which it
	// refused keyed calls.
	bytes, calls, dials, samples, keyedRefusedSamples int
}

// A fleet simulates all nodes, the network between them and the source.
type fleet struct {
	t             testing.TB
	rng           *rand.Rand
	now           time.Time
	seq           int
	eventQueue    eventQueue
	nodeByAddress map[string]*node // by control address
	orderedNodes  []*node

	lossRate, duplicateRate float64
	latency                 func(a, b *node) time.Duration
	partitioned             func(a, b *node) bool
	sourceReachable         func(n *node) bool
	configureReplica        func(r *replication.Replica)

	sourceValues    map[string][]byte // by key
	sourceReadTimes []time.Time

	// keyWithdrawnIn is the version that withdrew a key. After
	// withdrawalDeadline no node may accept keyed calls with an older version.
	keyWithdrawnIn     uint64
	withdrawalDeadline time.Time
	violations         []string
}

func newFleet(t testing.TB, seed uint64, n, zones int) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), nodeByAddress: map[string]*node{},
		sourceValues: map[string][]byte{},
	}
	f.latency = func(_, _ *node) time.Duration {
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
		d := &node{host: h, inForceSince: map[uint64]time.Time{}}
		f.nodeByAddress[h.ControlAddress] = d
		f.orderedNodes = append(f.orderedNodes, d)
	}
	b, err := toml.Marshal(l)
	assert.NilError(t, err)
	f.sourceValues["hosts"] = b
	return f
}

// start starts a new incarnation of a node.
func (f *fleet) start(n *node) {
	n.incarnation++
	n.up = true
	n.pausedUntil = time.Time{}
	n.openConnections = nil
	n.budget = replication.NewReadBudget()
	n.pendingReads = nil
	n.replica = &replication.Replica{
		Self: n.host, Now: func() time.Time { return f.now },
		Rand: rand.New(rand.NewPCG(f.rng.Uint64(), f.rng.Uint64())), FleetHint: len(f.orderedNodes), Accept: cachedAccept,
	}
	if f.configureReplica != nil {
		f.configureReplica(n.replica)
	}
	n.replica.Start(f.now)
	f.after(n, time.Duration(f.rng.Int64N(int64(stepInterval))), func() { f.stepNode(n) })
}

func (f *fleet) startAll() {
	for _, n := range f.orderedNodes {
		f.start(n)
	}
}

func (f *fleet) stop(n *node) { n.incarnation++; n.up = false }

func (f *fleet) after(n *node, d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.eventQueue, &event{at: f.now.Add(d), seq: f.seq, node: n, incarnation: n.incarnation, f: do})
}

// run runs the simulation for d.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.eventQueue) > 0 && !f.eventQueue[0].at.After(end) {
		e := heap.Pop(&f.eventQueue).(*event)
		f.now = e.at
		switch {
		case e.incarnation != e.node.incarnation:
		case e.node.pausedUntil.After(f.now):
			// The process is paused; what arrives waits in its sockets.
			e.at = e.node.pausedUntil
			heap.Push(&f.eventQueue, e)
		default:
			e.f()
		}
	}
	f.now = end
}

// stepNode does the periodic work of a node and schedules the next step.
func (f *fleet) stepNode(n *node) {
	f.apply(n, n.replica.Tick(f.now))
	to, _ := n.replica.NextExchanges(f.now)
	for _, h := range to {
		f.exchange(n, h)
	}
	p := n.replica.NextSourceReads(f.now)
	if p.Hosts {
		n.pendingReads = append(n.pendingReads, "hosts")
	}
	if p.Manifest {
		n.pendingReads = append(n.pendingReads, "manifest")
	}
	n.pendingReads = append(n.pendingReads, n.replica.NextPartReads(f.now)...)
	for len(n.pendingReads) > 0 && n.budget.Take(f.now) {
		f.readSource(n, n.pendingReads[0])
		n.pendingReads = n.pendingReads[1:]
	}
	f.checkInvariants(n)
	n.samples++
	if !n.replica.KeyedAllowed(f.now) {
		n.keyedRefusedSamples++
	}
	f.after(n, stepInterval, func() { f.stepNode(n) })
}

func (f *fleet) apply(n *node, a replication.Action) {
	for _, h := range a.Push {
		m := n.replica.PushMessage()
		f.countCall(n, f.nodeByAddress[h.ControlAddress], encodedSize(&m)+1)
		f.send(n, f.nodeByAddress[h.ControlAddress], func(p *node) {
			f.apply(p, p.replica.ObserveSummary(m.Host(), m.Summary, time.Time{}))
		})
	}
	for a.Fetch {
		q, ok := n.replica.NextPull(f.now)
		if !ok {
			break
		}
		f.pull(n, q)
	}
	f.checkInvariants(n)
}

// checkInvariants records a violation if the node breaks an invariant.
func (f *fleet) checkInvariants(n *node) {
	c := n.replica.Current()
	if c == nil {
		return
	}
	if c.Version < n.maxVersionInForce {
		f.addViolation("%s went back from %d to %d", n.host.ID, n.maxVersionInForce, c.Version)
	}
	if c.Version != n.maxVersionInForce {
		n.maxVersionInForce = c.Version
		n.inForceSince[c.Version] = f.now
		tag := fmt.Sprintf("v%d", c.Version)
		if c.Accounts[tag] == nil || c.Services[tag] == nil {
			f.addViolation("%s combined version %d with another", n.host.ID, c.Version)
		}
	}
	if c.Version < f.keyWithdrawnIn && f.now.After(f.withdrawalDeadline) && n.replica.KeyedAllowed(f.now) {
		f.addViolation("%s accepts a key that version %d withdrew", n.host.ID, f.keyWithdrawnIn)
	}
}

func (f *fleet) addViolation(format string, args ...any) {
	if len(f.violations) < 5 {
		f.violations = append(f.violations, f.now.Format("05.000 ")+fmt.Sprintf(format, args...))
	}
}

// send delivers a message to a peer once, or several times, or not at all,
// according to duplicateRate, lossRate and partitioned.
func (f *fleet) send(from, to *node, do func(*node)) {
	if to == nil || !to.up || f.rng.Float64() < f.lossRate {
		return
	}
	arrive := func() {
		if f.partitioned == nil || !f.partitioned(from, to) {
			do(to)
		}
	}
	f.after(to, f.latency(from, to), arrive)
	if f.rng.Float64() < f.duplicateRate {
		f.after(to, f.latency(from, to)*20, arrive)
	}
}

func (f *fleet) exchange(n *node, h hosts.Host) {
	to := f.nodeByAddress[h.ControlAddress]
	m, sentAt, done := n.replica.ExchangeRequest(), f.now, false
	f.send(n, to, func(p *node) {
		f.apply(p, p.replica.ObserveSummary(m.Host(), m.Summary, time.Time{}))
		a := p.replica.ExchangeReply()
		f.countCall(n, p, encodedSize(&m)+encodedSize(&a))
		f.send(p, n, func(n *node) {
			if !done {
				done = true
				from := a.Host()
				from.Zone, from.ControlAddress = h.Zone, h.ControlAddress
				f.apply(n, n.replica.ObserveSummary(from, a.Summary, sentAt))
			}
		})
	})
	f.after(n, callTimeout, func() {
		if !done {
			done = true
			n.replica.ExchangeFailed(h)
		}
	})
}

func (f *fleet) pull(n *node, q replication.Pull) {
	to, done := f.nodeByAddress[q.To.ControlAddress], false
	f.send(n, to, func(p *node) {
		a := p.replica.AnswerPull(q.Request)
		f.countCall(n, p, encodedSize(&q.Request)+compressedReplySize(&a))
		f.send(p, n, func(n *node) {
			if done {
				return
			}
			done = true
			if a.PayloadBytes() == 0 {
				n.replica.PullFailed(q, false)
				return
			}
			if a.HostList != nil {
				o, err := n.replica.OfferHostList(a.HostList)
				assert.NilError(f.t, err)
				f.apply(n, o)
			}
			o, _ := n.replica.Deliver(a.Manifest, a.Parts)
			o.Fetch = true
			f.apply(n, o)
		})
	})
	f.after(n, pullTimeout, func() {
		if !done {
			done = true
			n.replica.PullFailed(q, false)
		}
	})
}

// readSource reads a key, or a part by digest, at the source.
func (f *fleet) readSource(n *node, key string) {
	f.sourceReadTimes = append(f.sourceReadTimes, f.now)
	if f.sourceReachable != nil && !f.sourceReachable(n) {
		return
	}
	readAt := f.now
	if key != "hosts" && key != "manifest" {
		key = "parts/" + key
	}
	b := f.sourceValues[key]
	if b == nil {
		return
	}
	f.after(n, 2*time.Millisecond, func() {
		var a replication.Action
		switch key {
		case "hosts":
			a, _ = n.replica.OfferHostList(b)
		case "manifest":
			a = n.replica.ObserveSourceManifest(b, readAt)
		default:
			a, _ = n.replica.Deliver(nil, map[string][]byte{strings.TrimPrefix(key, "parts/"): b})
		}
		f.apply(n, a)
	})
}

// countCall adds one call of the given message bytes to the traffic of both
// sides.
func (f *fleet) countCall(a, b *node, bytes int) {
	if b == nil {
		return
	}
	bytes += callOverheadBytes
	if i := indexOf(a.openConnections, b.host.ID); i >= 0 {
		a.openConnections = append(append(a.openConnections[:i:i], a.openConnections[i+1:]...), b.host.ID)
	} else {
		a.openConnections = append(a.openConnections, b.host.ID)
		if len(a.openConnections) > maxIdleConnections {
			a.openConnections = a.openConnections[1:]
		}
		bytes += dialOverheadBytes
		a.dials++
	}
	a.bytes += bytes
	b.bytes += bytes
	a.calls++
	b.calls++
}

func indexOf(l []string, s string) int {
	for i := range l {
		if l[i] == s {
			return i
		}
	}
	return -1
}

func encodedSize(m any) int {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	return len(b)
}

var compressedSizes sync.Map

// compressedReplySize returns the encoded size of a reply with compressed values
// in bytes, with an estimate for the encoding around the values.
func compressedReplySize(p *replication.PullReply) int {
	compressedSize := func(b []byte) int {
		if b == nil {
			return 0
		}
		k := config.DigestOf(b)
		if n, ok := compressedSizes.Load(k); ok {
			return n.(int)
		}
		e, _ := zstd.NewWriter(nil)
		n := len(e.EncodeAll(b, nil))
		compressedSizes.Store(k, n)
		return n
	}
	n := 8 + compressedSize(p.Manifest) + compressedSize(p.HostList)
	for _, b := range p.Parts {
		n += 70 + compressedSize(b)
	}
	return n
}

var acceptResults sync.Map

type acceptResult struct {
	s   *config.Snapshot
	err error
}

// cachedAccept caches the results of config.Accept, which is sound because
// Accept is a pure function and a Replica verifies digests first.
func cachedAccept(manifest []byte, parts map[string][]byte) (*config.Snapshot, error) {
	k := config.DigestOf(manifest)
	for d, b := range parts {
		if config.DigestOf(b) != d {
			k += "bad"
		}
	}
	if v, ok := acceptResults.Load(k); ok {
		return v.(acceptResult).s, v.(acceptResult).err
	}
	s, err := config.Accept(manifest, parts)
	acceptResults.Store(k, acceptResult{s, err})
	return s, err
}

func ptr[T any](v T) *T { return &v }

// newVersion returns the manifest and the parts by digest of a configuration.
// Each of its two parts contains the version number in a name, so that a mixture
// of versions shows. A bad configuration is refused.
func newVersion(t testing.TB, v uint64, zones int, bad bool) ([]byte, map[string][]byte) {
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
	m, files := newVersion(f.t, v, zones, false)
	for d, b := range files {
		f.sourceValues["parts/"+d] = b
	}
	f.sourceValues["manifest"] = m
}

// convergenceTime returns the time from since until every running node had v in
// force, or false if one has not.
func (f *fleet) convergenceTime(v uint64, since time.Time) (time.Duration, bool) {
	var d time.Duration
	for _, n := range f.orderedNodes {
		if !n.up {
			continue
		}
		if n.maxVersionInForce < v {
			return 0, false
		}
		d = max(d, n.inForceSince[v].Sub(since))
	}
	return d, true
}

// peakReadsPerSecond returns the largest number of reads at the source in any
// second.
func (f *fleet) peakReadsPerSecond() int {
	peak, from := 0, 0
	for i, t := range f.sourceReadTimes {
		for t.Sub(f.sourceReadTimes[from]) >= time.Second {
			from++
		}
		peak = max(peak, i-from+1)
	}
	return peak
}

func (f *fleet) assertNoViolations() {
	f.t.Helper()
	assert.Assert(f.t, len(f.violations) == 0, "%v", f.violations)
}

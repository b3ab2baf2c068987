package relay_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/relay"
)

func members(zones ...string) []relay.Member {
	var all []relay.Member
	for _, z := range zones {
		for i := range 4 {
			all = append(all, relay.Member{Address: fmt.Sprintf("%s-%d", z, i), Zone: z})
		}
	}
	return all
}

// Guards against a fleet in which no node, or more than one, reads the store, and
// against a zone that several nodes read from outside.
func TestOneNodeOfTheFleetReadsTheStore(t *testing.T) {
	all := members("surco", "ate", "callao")
	zoneOf := map[string]string{}
	for _, m := range all {
		zoneOf[m.Address] = m.Zone
	}
	var readers []string
	crossing := map[string]int{}
	sources := map[string]string{}
	for _, m := range all {
		c := relay.SourceSelector{Self: m}
		c.SetMembers(all)
		s, wait := c.Next(time.Unix(1000, 0))
		assert.Equal(t, wait, time.Duration(0))
		sources[m.Address] = s
		switch {
		case s == relay.StoreSource:
			readers = append(readers, m.Address)
		case zoneOf[s] != m.Zone:
			crossing[m.Zone]++
		}
	}
	assert.Equal(t, len(readers), 1)
	assert.Equal(t, len(crossing), 2)
	for zone, n := range crossing {
		assert.Equal(t, n, 1, zone)
	}
	for address := range sources {
		hops := 0
		for at := address; sources[at] != relay.StoreSource; at = sources[at] {
			hops++
			assert.Assert(t, hops <= 2, "%s", address)
		}
	}
}

// A selectorFleet is many nodes that follow the sources which their selectors choose.
type selectorFleet struct {
	now   time.Time
	nodes []*selectorNode
	byID  map[string]*selectorNode
	// storeWorks reports whether the store answers a node.
	storeWorks func(address string) bool
	// storeReads counts the reads of the store.
	storeReads int
}

// A selectorNode is one node of a selectorFleet.
type selectorNode struct {
	selector *relay.SourceSelector
	// confirmedAt is when origin, a node that reads the store, confirmed the state
	// that the node knows.
	confirmedAt time.Time
	origin      string
	// reading is set while a read of source takes place, which ends at readEnds. The
	// node does nothing until idleUntil.
	reading             bool
	source              string
	readEnds, idleUntil time.Time
	// givenUpAt is when a read of a node ends that does not answer.
	givenUpAt time.Time
	// frozen nodes do nothing and do not answer.
	frozen bool
	// reads counts the reads of this node by others.
	reads int
}

func newSelectorFleet(all []relay.Member) *selectorFleet {
	f := &selectorFleet{now: time.Unix(1000, 0), byID: map[string]*selectorNode{}, storeWorks: func(string) bool { return true }}
	for _, m := range all {
		n := &selectorNode{selector: &relay.SourceSelector{Self: m}, confirmedAt: f.now}
		n.selector.SetMembers(all)
		f.byID[m.Address] = n
		f.nodes = append(f.nodes, n)
	}
	return f
}

const (
	// A node's state is stale after staleAfter. A read waits for readWait, and one
	// that fails at once takes readTrip. A node that does not answer is given up after
	// silentAfter, or staleSilentAfter by a node whose own state is stale or if it
	// failed before.
	staleAfter       = 900 * time.Millisecond
	readWait         = 450 * time.Millisecond
	readTrip         = 2 * time.Millisecond
	silentAfter      = 900 * time.Millisecond
	staleSilentAfter = 400 * time.Millisecond
)

// play lets the nodes read for a time, in steps of a millisecond.
func (f *selectorFleet) play(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		for _, n := range f.nodes {
			switch {
			case n.frozen:
			case n.reading:
				f.continueRead(n)
			case !f.now.Before(n.idleUntil):
				f.beginRead(n)
			}
		}
	}
}

func (f *selectorFleet) beginRead(n *selectorNode) {
	s, wait := n.selector.Next(f.now)
	if wait > 0 {
		n.idleUntil = f.now.Add(min(wait, readWait))
		return
	}
	n.source, n.reading, n.readEnds = s, true, f.now.Add(readWait)
	if s == relay.StoreSource {
		f.storeReads++
		if !f.storeWorks(n.selector.Self.Address) {
			f.fail(n)
		} else if f.now.Sub(n.confirmedAt) > readWait {
			n.readEnds = f.now.Add(readTrip)
		}
		return
	}
	f.byID[s].reads++
	n.givenUpAt = f.now.Add(silentAfter)
	if f.now.Sub(n.confirmedAt) > staleAfter || n.selector.HasFailed(s) {
		n.givenUpAt = f.now.Add(staleSilentAfter)
	}
	if !f.byID[s].frozen && f.unusable(n) {
		f.fail(n)
	}
}

// unusable reports whether the node that n reads has lost the store, or knows only
// what n has told it.
func (f *selectorFleet) unusable(n *selectorNode) bool {
	from := f.byID[n.source]
	return f.now.Sub(from.confirmedAt) > staleAfter || from.origin == n.selector.Self.Address
}

func (f *selectorFleet) fail(n *selectorNode) {
	n.reading, n.idleUntil = false, f.now.Add(readTrip)
	n.selector.RecordFailure(n.source, f.now)
}

func (f *selectorFleet) continueRead(n *selectorNode) {
	ended := !f.now.Before(n.readEnds)
	switch {
	case n.source == relay.StoreSource && ended:
		n.confirmedAt, n.origin = f.now, n.selector.Self.Address
	case n.source == relay.StoreSource:
		return
	case f.byID[n.source].frozen:
		if !f.now.Before(n.givenUpAt) {
			n.reading, n.idleUntil = false, f.now
			n.selector.RecordSilence(n.source, f.now)
		}
		return
	case f.unusable(n):
		f.fail(n)
		return
	case ended, f.byID[n.source].confirmedAt.After(n.confirmedAt):
		n.confirmedAt, n.origin = f.byID[n.source].confirmedAt, f.byID[n.source].origin
	default:
		return
	}
	n.reading = false
	n.selector.RecordSuccess(n.source)
}

// storeReader returns the address of the node that reads the store.
func (f *selectorFleet) storeReader() string {
	for _, n := range f.nodes {
		if n.reading && n.source == relay.StoreSource {
			return n.selector.Self.Address
		}
	}
	return ""
}

// nextOfZone returns n running nodes of the node's zone that read it.
func (f *selectorFleet) nextOfZone(address string, n int) []string {
	var next []string
	for _, o := range f.nodes {
		if len(next) < n && !o.frozen && o.source == address && o.selector.Self.Zone == f.byID[address].selector.Self.Zone {
			next = append(next, o.selector.Self.Address)
		}
	}
	return next
}

// oldest returns the largest age of what a node knows.
func (f *selectorFleet) oldest() time.Duration {
	age := time.Duration(0)
	for _, n := range f.nodes {
		if !n.frozen {
			age = max(age, f.now.Sub(n.confirmedAt))
		}
	}
	return age
}

func largeFleet() []relay.Member {
	var all []relay.Member
	for z := range 6 {
		for i := range 50 {
			all = append(all, relay.Member{Address: fmt.Sprintf("%d-%d", z, i), Zone: fmt.Sprint(z)})
		}
	}
	return all
}

// Guards against hundreds of nodes that turn to the store together because the node
// that they read has lost it, and against nodes that learn nothing meanwhile.
func TestNodesThatLoseTheirReaderDoNotAllReadTheStore(t *testing.T) {
	f := newSelectorFleet(largeFleet())
	f.play(3 * time.Second)
	reader := f.storeReader()
	f.storeReads = 0
	f.storeWorks = func(address string) bool { return address != reader }
	f.play(10 * time.Second)
	// One reader reads 23 times in 10 s. The old one tries about once a second.
	assert.Assert(t, f.storeReads <= 100, "%d reads of the store in 10 s", f.storeReads)
	assert.Assert(t, f.oldest() <= 2*time.Second, "%s", f.oldest())
}

// Guards against nodes that learn of changes too late because several of those that they
// read stand still at the same time, and against reads of the store by all of them.
func TestNodesWhoseReadersStandStillLearnInTime(t *testing.T) {
	for _, members := range [][]relay.Member{members("surco", "ate", "callao"), largeFleet()} {
		f := newSelectorFleet(members)
		f.play(3 * time.Second)
		// The reader of the store stands still, then whoever reads it in its place, and
		// then that one with the second and third of its zone at the same time.
		for round := range 3 {
			reader := f.storeReader()
			f.byID[reader].frozen = true
			if round == 2 {
				for _, a := range f.nextOfZone(reader, 2) {
					f.byID[a].frozen = true
				}
			}
			f.storeReads = 0
			oldest := time.Duration(0)
			for range 400 {
				f.play(10 * time.Millisecond)
				oldest = max(oldest, f.oldest())
			}
			assert.Assert(t, oldest <= 1500*time.Millisecond, "%d nodes: %s", len(members), oldest)
			assert.Assert(t, f.storeReads <= 100, "%d nodes, round %d: %d reads of the store in 4 s", len(members), round, f.storeReads)
		}
	}
}

// Guards against nodes that flood the store and each other while the store turns all
// of them away, and against a fleet that learns late that it is back.
func TestOutageOfTheStoreFloodsNobody(t *testing.T) {
	f := newSelectorFleet(largeFleet())
	f.play(3 * time.Second)
	f.storeReads = 0
	for _, n := range f.nodes {
		n.reads = 0
	}
	f.storeWorks = func(string) bool { return false }
	f.play(10 * time.Second)
	assert.Assert(t, f.storeReads <= 300*5, "%d reads of the store in 10 s", f.storeReads)
	for _, n := range f.nodes {
		assert.Assert(t, n.reads <= 300*10, "%s is read %d times in 10 s", n.selector.Self.Address, n.reads)
	}
	f.storeWorks = func(string) bool { return true }
	f.play(2500 * time.Millisecond)
	assert.Assert(t, f.oldest() <= 2*time.Second, "%s", f.oldest())
}

// Guards against a node that keeps using a source that fails, and against one that
// never returns to it.
func TestNextSourceAfterFailures(t *testing.T) {
	now := time.Unix(1000, 0)
	all := members("surco", "ate")
	c := relay.SourceSelector{Self: relay.Member{Address: "surco-9", Zone: "surco"}}
	c.SetMembers(all)
	tried := map[string]bool{}
	first, _ := c.Next(now)
	assert.Assert(t, first != relay.StoreSource, "the test needs a node that does not rank first")
	for range 3 {
		s, wait := c.Next(now)
		if s == relay.StoreSource || wait > 0 {
			break
		}
		assert.Assert(t, !tried[s])
		tried[s] = true
		c.RecordFailure(s, now)
	}
	again, wait := c.Next(now)
	assert.Assert(t, wait > 0 && wait <= 600*time.Millisecond, "%s in %v: the nodes that rank before come first", again, wait)
	later := now.Add(600 * time.Millisecond)
	s, wait := c.Next(later)
	assert.Assert(t, s == relay.StoreSource && wait == 0, "%s", s)
	c.RecordFailure(s, later)
	s, wait = c.Next(later)
	assert.Assert(t, tried[s] && wait == 0, "%s: the usual sources are tried again", s)
	for range 20 {
		s, _ := c.Next(later)
		c.RecordFailure(s, later)
	}
	_, wait = c.Next(later)
	assert.Assert(t, wait > 0 && wait <= 500*time.Millisecond, "%v", wait)
	c.RecordSuccess(first)
	s, wait = c.Next(later)
	assert.Assert(t, s == first && wait == 0)
}

// Guards against a node that knows no other nodes and then reads no source, for
// example after a restart of the whole fleet.
func TestNodeAloneReadsTheStore(t *testing.T) {
	c := relay.SourceSelector{Self: relay.Member{Address: "surco-1", Zone: "surco"}}
	s, wait := c.Next(time.Unix(1000, 0))
	assert.Assert(t, s == relay.StoreSource && wait == 0)
	c.SetMembers([]relay.Member{{Address: "10.0.0.9:1"}})
	s, _ = c.Next(time.Unix(1000, 0))
	assert.Equal(t, s, relay.StoreSource)
	c.RecordFailure(relay.StoreSource, time.Unix(1000, 0))
	s, _ = c.Next(time.Unix(1000, 0))
	assert.Equal(t, s, "10.0.0.9:1")
}

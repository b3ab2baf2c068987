package relay

import (
	"maps"
	"slices"
	"time"

	"quetzaldock.example/quetzaldock/pkg/hosts"
)

const (
	// minRetryDelay limits the time for which a failed source is not read. It doubles
	// with each further failure, up to a limit that depends on the source: a node
	// returns soon to the nodes from which it usually reads, and readers of the store
	// to the store.
	minRetryDelay       = 100 * time.Millisecond
	maxUsualRetryDelay  = 500 * time.Millisecond
	maxReaderRetryDelay = time.Second
	maxOtherRetryDelay  = 4 * time.Second
	// minStoreRetryDelay and maxStoreRetryDelay are the limits for the store at nodes
	// that do not rank first or second. In an outage of the store these are hundreds.
	minStoreRetryDelay = time.Second
	maxStoreRetryDelay = 8 * time.Second
	// minSilentRetryDelay and maxSilentRetryDelay are the limits for a node that did not
	// answer at all: to ask it again costs the time until it is given up.
	minSilentRetryDelay = time.Second
	maxSilentRetryDelay = 4 * time.Second
	// takeoverStep is the time that a node waits, for each node that ranks before it,
	// before it reads the store in place of the nodes from which it usually reads. By
	// then most can read one that has read the store.
	takeoverStep = 200 * time.Millisecond
	// maxPredecessors is the number of nodes that a node tries before the store, and
	// maxFallbacks the number of nodes of each kind that it tries after it.
	maxPredecessors = 3
	maxFallbacks    = 3
	// readerRankKey is the key by which the members of a zone, and the first members
	// of all zones, are ranked. The first member of all reads the store.
	readerRankKey = "reader"
)

// A Member is a node that can be a source.
type Member struct {
	// Address is the node's address for control messages. It is unique among the
	// members.
	Address string
	// Zone is empty if it is not known.
	Zone string
}

// StoreSource stands for the store in the list of sources.
const StoreSource = ""

// A SourceSelector decides which source a node reads. Of all nodes one reads the store:
// the first by rank among the first members of all zones. The first members of the
// other zones read that one, and the other members of a zone the first of theirs, so
// that updates cross to each zone once. If a source fails, the nodes that read it do
// not all turn to the store: those that rank next do so first, and the others then read
// them. The ranking is an optimisation only: nodes may disagree about it. A
// SourceSelector is not safe for concurrent use.
type SourceSelector struct {
	Self Member

	// order lists the sources by preference. The first predecessors of them come
	// before the store.
	order        []string
	predecessors int
	// members holds the addresses of the known nodes.
	members  []string
	failures map[string]failure
	// failingSince is the time of the first failure since a source answered, zero if
	// there was none.
	failingSince time.Time
}

// SetMembers replaces the known nodes. Self may be among them or not.
func (c *SourceSelector) SetMembers(all []Member) {
	c.order, c.predecessors = c.orderSources(all)
	for s := range c.failures {
		if !slices.Contains(c.order, s) {
			delete(c.failures, s)
		}
	}
}

// A failure counts the consecutive failures of a source and holds the time before
// which it is not read.
type failure struct {
	count   int
	retryAt time.Time
}

// Next returns the source to read now: the address of a member, or StoreSource.
// If all sources wait for a retry, it returns the one with the earliest retry and
// the time until then. The sources after the store are not considered while the node
// leaves the store to others; when that time is over, the store comes first.
func (c *SourceSelector) Next(now time.Time) (source string, wait time.Duration) {
	all := c.order
	if len(all) == 0 {
		all = []string{StoreSource}
	}
	takeover := c.takeoverAt()
	if takeover.IsZero() {
		return c.soonest(all, now)
	}
	if now.Before(takeover) {
		source, wait = c.soonest(all[:c.predecessors], now)
		if left := takeover.Sub(now); left < wait {
			return StoreSource, left
		}
		return source, wait
	}
	if !c.failures[StoreSource].retryAt.After(now) {
		return StoreSource, 0
	}
	return c.soonest(all, now)
}

// soonest returns the first of the sources that may be read now, or the one that may be
// read next and the time until then.
func (c *SourceSelector) soonest(sources []string, now time.Time) (source string, wait time.Duration) {
	soonest := sources[0]
	for _, s := range sources {
		if !c.failures[s].retryAt.After(now) {
			return s, 0
		}
		if c.failures[s].retryAt.Before(c.failures[soonest].retryAt) {
			soonest = s
		}
	}
	return soonest, c.failures[soonest].retryAt.Sub(now)
}

// takeoverAt returns the time from which this node may read the store because its usual
// sources have failed; zero if they have not, or if it reads the store as a rule.
func (c *SourceSelector) takeoverAt() time.Time {
	if c.failingSince.IsZero() || c.predecessors == 0 {
		return time.Time{}
	}
	return c.failingSince.Add(time.Duration(c.predecessors) * takeoverStep)
}

// Nodes returns the other nodes, those that can be a source first.
func (c *SourceSelector) Nodes() []string {
	nodes := slices.DeleteFunc(slices.Clone(c.order), func(s string) bool { return s == StoreSource })
	for _, a := range c.members {
		if a != c.Self.Address && !slices.Contains(c.order, a) {
			nodes = append(nodes, a)
		}
	}
	return nodes
}

// RecordFailure records that a source could not be read.
func (c *SourceSelector) RecordFailure(source string, now time.Time) {
	least, most := c.retryDelays(source)
	c.recordFailure(source, now, least, most)
}

// RecordSilence records that a node did not answer.
func (c *SourceSelector) RecordSilence(source string, now time.Time) {
	c.recordFailure(source, now, minSilentRetryDelay, maxSilentRetryDelay)
}

func (c *SourceSelector) recordFailure(source string, now time.Time, least, most time.Duration) {
	if c.failures == nil {
		c.failures = map[string]failure{}
	}
	f := c.failures[source]
	c.failures[source] = failure{f.count + 1, now.Add(min(least<<min(f.count, 8), most))}
	if c.failingSince.IsZero() {
		c.failingSince = now
	}
}

// HasFailed reports whether the last read of a source failed.
func (c *SourceSelector) HasFailed(source string) bool { return c.failures[source].count > 0 }

// retryDelays returns the limits of the time for which the source is not read after a
// failure.
func (c *SourceSelector) retryDelays(source string) (least, most time.Duration) {
	switch {
	case source == StoreSource && c.predecessors > 1:
		return minStoreRetryDelay, maxStoreRetryDelay
	case source == StoreSource:
		return minRetryDelay, maxReaderRetryDelay
	case slices.Index(c.order, source) < c.predecessors:
		return minRetryDelay, maxUsualRetryDelay
	}
	return minRetryDelay, maxOtherRetryDelay
}

// RecordSuccess records that a source answered.
func (c *SourceSelector) RecordSuccess(source string) {
	delete(c.failures, source)
	c.failingSince = time.Time{}
}

// orderSources returns the sources by preference and the number of those before the
// store: the nodes that rank before this one, the store, and some of the other nodes.
// Their number does not grow with the fleet.
func (c *SourceSelector) orderSources(all []Member) (ordered []string, predecessors int) {
	zones := map[string]string{c.Self.Address: c.Self.Zone}
	for _, m := range all {
		if zones[m.Address] == "" {
			zones[m.Address] = m.Zone
		}
	}
	c.members = slices.Collect(maps.Keys(zones))
	byZone := map[string][]string{}
	for address, zone := range zones {
		byZone[zone] = append(byZone[zone], address)
	}
	var local, zoneReaders, others []string
	for zone, members := range byZone {
		switch zone {
		case c.Self.Zone:
			local = hosts.Rank(readerRankKey, members)
		case "":
			others = members
		default:
			zoneReaders = append(zoneReaders, hosts.HighestRanked(readerRankKey, members))
		}
	}
	before := local[:slices.Index(local, c.Self.Address)]
	if len(before) == 0 {
		readers := hosts.Rank(readerRankKey, append([]string{c.Self.Address}, zoneReaders...))
		before = readers[:slices.Index(readers, c.Self.Address)]
	}
	ordered = append(ordered, before[:min(len(before), maxPredecessors)]...)
	predecessors = len(ordered)
	ordered = append(ordered, StoreSource)
	// The order of further nodes differs per node, so that an outage of the store does
	// not lead all nodes to the same member.
	for _, group := range [][]string{local, zoneReaders, others} {
		added := 0
		for _, a := range hosts.Rank(c.Self.Address, group) {
			if added < maxFallbacks && a != c.Self.Address && !slices.Contains(ordered, a) {
				ordered = append(ordered, a)
				added++
			}
		}
	}
	return ordered, predecessors
}

package relay

import (
	"slices"
	"time"

	"quetzaldock.example/quetzaldock/pkg/hosts"
)

const (
	// minRetryDelay and maxRetryDelay limit the time for which a failed source is
	// not read. It doubles with each further failure.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	// readerRankKey is the key by which the members of a zone are ranked. The
	// first member reads the store.
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

// A SourceSelector decides which source a node reads. The first member of the
// node's zone by rank reads the store and the others read that member, so that
// updates cross zones only on their way from the store. If its source fails, a
// node tries the store and then the other members. The ranking is an optimisation
// only: nodes may disagree about it. A SourceSelector is not safe for concurrent
// use.
type SourceSelector struct {
	Self Member

	// order lists the sources by preference.
	order    []string
	failures map[string]failure
}

// SetMembers replaces the known nodes. Self may be among them or not.
func (c *SourceSelector) SetMembers(all []Member) {
	c.order = c.orderSources(all)
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
// the time until then.
func (c *SourceSelector) Next(now time.Time) (source string, wait time.Duration) {
	all := c.order
	if len(all) == 0 {
		all = []string{StoreSource}
	}
	soonest := all[0]
	for _, s := range all {
		if !c.failures[s].retryAt.After(now) {
			return s, 0
		}
		if c.failures[s].retryAt.Before(c.failures[soonest].retryAt) {
			soonest = s
		}
	}
	return soonest, c.failures[soonest].retryAt.Sub(now)
}

// Nodes returns the other nodes by preference as a source.
func (c *SourceSelector) Nodes() []string {
	return slices.DeleteFunc(slices.Clone(c.order), func(s string) bool { return s == StoreSource })
}

// RecordFailure records that a source could not be read.
func (c *SourceSelector) RecordFailure(source string, now time.Time) {
	if c.failures == nil {
		c.failures = map[string]failure{}
	}
	f := c.failures[source]
	delay := min(minRetryDelay<<min(f.count, 8), maxRetryDelay)
	c.failures[source] = failure{f.count + 1, now.Add(delay)}
}

// RecordSuccess records that a source answered.
func (c *SourceSelector) RecordSuccess(source string) { delete(c.failures, source) }

// orderSources returns the sources by preference: the first member of the local
// zone, the store, the other members of the local zone, the first members of
// other zones, and all others.
func (c *SourceSelector) orderSources(all []Member) []string {
	zones := map[string]string{c.Self.Address: c.Self.Zone}
	for _, m := range all {
		if zones[m.Address] == "" {
			zones[m.Address] = m.Zone
		}
	}
	byZone := map[string][]string{}
	for address, zone := range zones {
		byZone[zone] = append(byZone[zone], address)
	}
	var localNodes, zoneReaders, others []string
	for zone, members := range byZone {
		ranked := hosts.Rank(readerRankKey, members)
		switch zone {
		case c.Self.Zone:
			localNodes = ranked
		case "":
			others = append(others, ranked...)
		default:
			zoneReaders = append(zoneReaders, ranked[0])
			others = append(others, ranked[1:]...)
		}
	}
	var ordered []string
	if localNodes[0] != c.Self.Address {
		ordered = append(ordered, localNodes[0])
	}
	ordered = append(ordered, StoreSource)
	// The order of the nodes of other zones differs per node, so that an outage of
	// the store does not lead all nodes to the same member.
	for _, a := range slices.Concat(localNodes, hosts.Rank(c.Self.Address, zoneReaders), hosts.Rank(c.Self.Address, others)) {
		if a != c.Self.Address && !slices.Contains(ordered, a) {
			ordered = append(ordered, a)
		}
	}
	return ordered
}

package relay

import (
	"slices"
	"time"

	"quetzaldock.example/quetzaldock/pkg/hosts"
)

const (
	// firstRest and mostRest bound how long a source that failed is left
	// alone, twice as long after each further failure.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	// readersKey ranks the members of a zone.
	readerRankKey = "reader"
)

// A Member is a node that can be read.
type Member struct {
	// Address is where the node takes control messages; no two members share
	// one.
	Address string
	// Zone is empty where it is not known.
	Zone string
}

// Store stands for the store among the sources.
const StoreSource = ""

// A Choice says whom a node reads: the first member of its zone by rank reads
// the store, the others read that member, so that updates cross zones only on
// their way from the store. A node whose source fails goes on to the store and
// then to other members; which node ranks first is an optimisation only. It is
// not safe for concurrent use.
type SourceSelector struct {
	Self Member

	// order lists the sources in the order of preference.
	order    []string
	failures map[string]failure
}

// SetMembers replaces the nodes that are known; it does not matter whether
// Self is among them.
func (c *SourceSelector) SetMembers(all []Member) {
	c.order = c.orderSources(all)
	for s := range c.failures {
		if !slices.Contains(c.order, s) {
			delete(c.failures, s)
		}
	}
}

// A failure is how often a source failed in a row and until when it rests.
type failure struct {
	count   int
	retryAt time.Time
}

// Next returns the source to read now: the address of a member, or Store. If
// all rest it returns the one that rests least and the time to wait.
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

// Failed records that a source brought nothing.
func (c *SourceSelector) RecordFailure(source string, now time.Time) {
	if c.failures == nil {
		c.failures = map[string]failure{}
	}
	f := c.failures[source]
	delay := min(minRetryDelay<<min(f.count, 8), maxRetryDelay)
	c.failures[source] = failure{f.count + 1, now.Add(delay)}
}

// Worked records that a source answered.
func (c *SourceSelector) RecordSuccess(source string) { delete(c.failures, source) }

// sources orders the sources: the reader of the own zone, the store, the other
// members of the zone, the readers of other zones, everyone else.
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
	var ownZone, zoneReaders, others []string
	for zone, members := range byZone {
		ranked := hosts.Rank(readerRankKey, members)
		switch zone {
		case c.Self.Zone:
			ownZone = ranked
		case "":
			others = append(others, ranked...)
		default:
			zoneReaders = append(zoneReaders, ranked[0])
			others = append(others, ranked[1:]...)
		}
	}
	var ordered []string
	if ownZone[0] != c.Self.Address {
		ordered = append(ordered, ownZone[0])
	}
	ordered = append(ordered, StoreSource)
	// Each node has an order of its own, so that an outage of the store does
	// not lead all to the same member.
	for _, a := range slices.Concat(ownZone, hosts.Rank(c.Self.Address, zoneReaders), hosts.Rank(c.Self.Address, others)) {
		if a != c.Self.Address && !slices.Contains(ordered, a) {
			ordered = append(ordered, a)
		}
	}
	return ordered
}

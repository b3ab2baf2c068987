package relay

import (
	"slices"
	"time"

	"quetzaldock.example/quetzaldock/pkg/hosts"
)

const (
	// firstRest and mostRest bound how long a source that failed is left
	// alone, twice as long after each further failure.
	firstRest = 250 * time.Millisecond
	mostRest  = 4 * time.Second
	// readersKey ranks the members of a zone.
	readersKey = "reader"
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
	order  []string
	failed map[string]failure
}

// SetMembers replaces the nodes that are known; it does not matter whether
// Self is among them.
func (c *SourceSelector) SetMembers(all []Member) {
	c.order = c.sources(all)
	for s := range c.failed {
		if !slices.Contains(c.order, s) {
			delete(c.failed, s)
		}
	}
}

// A failure is how often a source failed in a row and until when it rests.
type failure struct {
	count int
	until time.Time
}

// Next returns the source to read now: the address of a member, or Store. If
// all rest it returns the one that rests least and the time to wait.
func (c *SourceSelector) Next(now time.Time) (source string, wait time.Duration) {
	all := c.order
	if len(all) == 0 {
		all = []string{StoreSource}
	}
	best := all[0]
	for _, s := range all {
		if !c.failed[s].until.After(now) {
			return s, 0
		}
		if c.failed[s].until.Before(c.failed[best].until) {
			best = s
		}
	}
	return best, c.failed[best].until.Sub(now)
}

// Failed records that a source brought nothing.
func (c *SourceSelector) RecordFailure(source string, now time.Time) {
	if c.failed == nil {
		c.failed = map[string]failure{}
	}
	f := c.failed[source]
	rest := min(firstRest<<min(f.count, 8), mostRest)
	c.failed[source] = failure{f.count + 1, now.Add(rest)}
}

// Worked records that a source answered.
func (c *SourceSelector) RecordSuccess(source string) { delete(c.failed, source) }

// sources orders the sources: the reader of the own zone, the store, the other
// members of the zone, the readers of other zones, everyone else.
func (c *SourceSelector) sources(all []Member) []string {
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
	var own, readers, rest []string
	for zone, members := range byZone {
		ranked := hosts.Rank(readersKey, members)
		switch zone {
		case c.Self.Zone:
			own = ranked
		case "":
			rest = append(rest, ranked...)
		default:
			readers = append(readers, ranked[0])
			rest = append(rest, ranked[1:]...)
		}
	}
	var out []string
	if own[0] != c.Self.Address {
		out = append(out, own[0])
	}
	out = append(out, StoreSource)
	// Each node has an order of its own, so that an outage of the store does
	// not lead all to the same member.
	for _, a := range slices.Concat(own, hosts.Rank(c.Self.Address, readers), hosts.Rank(c.Self.Address, rest)) {
		if a != c.Self.Address && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

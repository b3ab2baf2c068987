// Package fleet keeps what one node knows of the backend servers that publish
// themselves in a store which the node can only read.
//
// The store's entries come and go with each server, lag behind it, and may be
// dropped while the store is down although the server lives. A Directory
// applies the changes in order and decides which entries name a server to
// use. It opens no socket and starts no goroutine.
package fleet

import "time"

// A State is what a backend server says of itself.
type State int

// The states of a published backend server.
const (
	// Ready servers take new work.
	Ready State = iota
	// Draining servers finish what they have and take nothing new.
	Draining
)

// An Instance is one published start of a backend server.
type Instance struct {
	// ID is unique over all services. A server may start again under its ID,
	// then with a later Born.
	ID      string
	Service string
	Zone    string
	// Address is the IP address and port of the backend server. Once the
	// instance has ended, an instance of another service may get it.
	Address string
	// Release is the version of the server's software.
	Release string
	// Slots is the number of requests that the server runs at once.
	Slots int
	State State
	// Sequence counts what the server has published since it started.
	Sequence uint64
	// Born is when the server started in Unix milliseconds of its own clock,
	// zero if it does not say. It only tells starts apart.
	Born int64
	// ColdFor is how much longer the server bears little, from the time at
	// which it published this.
	ColdFor time.Duration
}

// supersedes reports whether i was published after o, which has the same ID.
func (i *Instance) supersedes(o *Instance) bool {
	if i.Born != o.Born && i.Born != 0 && o.Born != 0 {
		return i.Born > o.Born
	}
	return true
}

// A Kind says what a Change is about.
type ChangeKind int

// The kinds of change. Others than these concern nothing a node uses.
const (
	// InstanceSet: Instance was published or has changed.
	InstanceSet ChangeKind = iota
	// InstanceGone: the entry of the instance with the ID was removed, or
	// holds what names no instance.
	InstanceRemoved
	// ZoneOut: nothing new may be sent to the zone.
	ZoneOut
	// ZoneBack: the zone takes work again.
	ZoneIn
)

// A Change is one change of the published entries.
type Change struct {
	Kind     ChangeKind
	Instance Instance
	// ID is set for InstanceGone.
	ID string
	// Zone is set for ZoneOut and ZoneBack.
	Zone string
	// Reason says why the bytes of an entry name no instance; empty if the
	// entry was removed.
	Reason string
}

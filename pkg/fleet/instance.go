// Package fleet keeps one node's view of the backend servers that publish
// themselves in a store which the node can only read.
//
// An entry of the store appears and disappears with its backend server, but with
// a delay, and it may expire while the store is down although the backend server
// lives. The store may also come back from an earlier copy, whose entries say what
// was true some time ago. A Directory applies the changes in order and decides
// which entries are still valid. It opens no socket and starts no goroutine.
//
// Package hosts, in contrast, holds the host list of a deployment whose nodes
// distribute it themselves.
package fleet

import (
	"cmp"
	"time"
)

// A State is the state that a backend server publishes of itself.
type State int

// States of an instance.
const (
	// Ready instances accept new requests.
	Ready State = iota
	// Draining instances finish their requests and accept no new ones.
	Draining
)

// An Instance is one published start of a backend server.
type Instance struct {
	// ID is unique over all services. A backend server may start again under the
	// same ID, with a later Born.
	ID      string
	Service string
	Zone    string
	// Address is the IP address and port of the backend server. After the
	// instance has ended, an instance of another service may get it.
	Address string
	// Release is the version of the backend server's software.
	Release string
	// Slots is the number of requests that the backend server runs at once.
	Slots int
	State State
	// Sequence counts the entries that the instance has published since its start.
	Sequence uint64
	// Born is the start time in Unix milliseconds of the backend server's own
	// clock, zero if it is not published. It is used only to tell starts apart.
	Born int64
	// Revision is the store's revision of the entry within its era, zero if it is not
	// known.
	Revision uint64
	// ColdFor is how long the backend server stays cold, with a low limit of
	// requests per second, from the time of publication.
	ColdFor time.Duration
}

// compare orders two entries of one instance by start and sequence: it returns -1,
// 0 or 1 if i is earlier than, the same as or later than o. It reports false if an
// entry has no start time, or neither has a sequence. Within one start the order is
// certain; between starts it is that of a clock that may have jumped.
func (i *Instance) compare(o *Instance) (int, bool) {
	if i.Born == 0 || o.Born == 0 || (i.Born == o.Born && i.Sequence == 0 && o.Sequence == 0) {
		return 0, false
	}
	return cmp.Or(cmp.Compare(i.Born, o.Born), cmp.Compare(i.Sequence, o.Sequence)), true
}

// A ChangeKind is the kind of a Change.
type ChangeKind int

// Kinds of change. Other entries of the store give no Change.
const (
	// InstanceSet means that Instance was published or has changed.
	InstanceSet ChangeKind = iota
	// InstanceRemoved means that the entry of the instance with the ID was
	// removed or does not describe an instance.
	InstanceRemoved
	// ZoneOut means that the zone takes no new requests.
	ZoneOut
	// ZoneIn means that the zone takes requests again.
	ZoneIn
)

// A Change is one change of the published entries.
type Change struct {
	Kind ChangeKind
	// Instance is set for InstanceSet.
	Instance Instance
	// ID is set for InstanceRemoved.
	ID string
	// Zone is set for ZoneOut and ZoneIn.
	Zone string
	// Reason states why an entry does not describe an instance. It is empty if
	// the entry was removed.
	Reason string
	// Revision is the store's revision of an InstanceRemoved, see Instance.Revision.
	Revision uint64
}

// revision returns the store's revision of a change, zero if it is not known.
func (c *Change) revision() uint64 {
	if c.Kind == InstanceSet {
		return c.Instance.Revision
	}
	return c.Revision
}

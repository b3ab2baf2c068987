// Package hosts defines the platform's list of live and leaving hosts, and the
// placement: the roles of hosts in the exchange of control messages, which every
// node derives from the list by rendezvous hashing.
//
// The list may be outdated and two nodes may hold different lists. No guarantee
// of the system depends on it; a placement is only an optimisation.
//
// Package fleet does the corresponding job for package sidecar, where the backend
// servers publish themselves in a store.
package hosts

// State is a host's state in the platform's list.
type State string

// The states of a listed host. A host that is gone is not listed.
const (
	Live    State = "Live"
	Leaving State = "Leaving"
)

// A Host is one entry of the platform's list.
type Host struct {
	// ID is unique and never reused for another host.
	ID      string
	Service string
	Zone    string
	// CallAddress is the IP address and port of the listener for calls
	// between nodes.
	CallAddress string
	// ControlAddress is the IP address and port of the control listener.
	ControlAddress string
	State          State
}

// A List is one revision of the platform's host list.
type List struct {
	// Revision increases with every change of the list.
	Revision uint64
	Hosts    []Host
}

// IDs returns the IDs of all listed hosts.
func (l *List) IDs() []string {
	ids := make([]string, 0, len(l.Hosts))
	for i := range l.Hosts {
		ids = append(ids, l.Hosts[i].ID)
	}
	return ids
}

// Find returns the listed host with the given ID.
func (l *List) Find(id string) (Host, bool) {
	for _, h := range l.Hosts {
		if h.ID == id {
			return h, true
		}
	}
	return Host{}, false
}

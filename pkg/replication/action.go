package replication

import "quetzaldock.example/quetzaldock/pkg/hosts"

// An EventKind is the log message of an event that an operator may act on.
type EventKind string

// The events of a Replica.
const (
	VersionInForce    EventKind = "configuration in force"
	VersionRefused    EventKind = "configuration refused"
	DigestConflict    EventKind = "same version with another digest refused"
	SourceStale       EventKind = "source answers with an older version"
	FloorWaitEnded    EventKind = "newer version cannot be fetched, older version stays in force"
	NodeReady         EventKind = "node ready"
	KeyedCallsRefused EventKind = "keyed calls refused, configuration unconfirmed"
	KeyedCallsResumed EventKind = "keyed calls accepted again"
	HostListReplaced  EventKind = "host list replaced"
)

// An Event is one entry for the log.
type Event struct {
	Kind EventKind
	// Version is a configuration version, or for HostListReplaced the revision
	// of the host list. Digest is the digest of the version's manifest, or "".
	Version uint64
	Digest  string
	// Host is the ID of the peer that sent Version, or "".
	Host string
	// Err is the cause, or nil.
	Err error
}

// An Action is what the caller of a Replica has to carry out after a method
// returned it.
type Action struct {
	// Fetch states that NextPull or NextPartReads may have something to fetch.
	Fetch bool
	// Push lists the hosts to send PushMessage to at once.
	Push []hosts.Host
	// Events are the events to log.
	Events []Event
}

func (a *Action) addEvent(k EventKind, v uint64, digest, host string, err error) {
	a.Events = append(a.Events, Event{Kind: k, Version: v, Digest: digest, Host: host, Err: err})
}

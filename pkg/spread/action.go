package spread

import "quetzaldock.example/quetzaldock/pkg/hosts"

// An EventKind names something that an operator may act on.
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

// An Event is one occurrence for the log.
type Event struct {
	Kind    EventKind
	Version uint64
	Digest  string
	// Host is the ID of the peer concerned, if any.
	Host string
	// Err is the cause, if any.
	Err error
}

// An Action is what the caller of a Replica has to do after a decision.
type Action struct {
	// Fetch states that NextPull or NextReads may have work.
	Fetch bool
	// Push lists the hosts that get the Summary at once.
	Push []hosts.Host
	// Events are to be logged.
	Events []Event
}

func (a *Action) addEvent(k EventKind, v uint64, digest, host string, err error) {
	a.Events = append(a.Events, Event{Kind: k, Version: v, Digest: digest, Host: host, Err: err})
}

// Package replication decides how one node takes part in the replication of the
// configuration over the fleet. The source is the platform's configuration
// service; the peers are the other nodes. A Replica decides what to read at
// the source, which peers to exchange version summaries with and to pull bytes
// from, which version is in force at the node, and whether that version was
// confirmed recently enough to accept keyed calls, which are calls that carry
// the key of a client account.
//
// Nodes spread versions among themselves so that the number of reads at the
// source does not grow with the fleet and an outage of the source does not stop
// the fleet.
//
// The package only decides: a Replica has no sockets, goroutines or clock, so
// the same code runs in nodes, tests and experiments. Package
// internal/distribution carries out its decisions over the network.
package replication

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

const (
	// FreshnessWindow is how long a confirmation by the source, or information
	// from a zone, counts as fresh.
	FreshnessWindow = 3 * time.Second
	// zoneAgesAfter is the age of the last confirmation from which summaries
	// carry ZoneAges. Half of FreshnessWindow leaves time to hear from every
	// zone.
	zoneAgesAfter = 1500 * time.Millisecond
	// MaxFloorWait is how long, after the floor rose above the version in
	// force, new calls wait for the newer version.
	MaxFloorWait = 3 * time.Second
	// StartAnswerTimeout is the time from the start after which one answer, of
	// the source or of a serving peer, is enough to finish the start.
	StartAnswerTimeout = 3 * time.Second
	// maxStartVersionWait is how long a start waits for a newer version that it
	// knows of and cannot fetch. The node may have served that version before
	// it restarted.
	maxStartVersionWait = 10 * time.Second
	// requiredStartAnswers is the number of serving peers that must have
	// answered for a start to finish before StartAnswerTimeout.
	requiredStartAnswers = 3
)

// A Replica is the replication state of one node. Its invariants:
//
//   - The version in force never decreases, and is always a complete version
//     that Accept accepted.
//   - No version is in force before the start has finished.
//   - The floor, the highest version known to be in force at any node, never
//     decreases.
//
// The start is the time from the call of Start until the node puts its first
// version in force.
//
// The exported fields are set before the first call. All methods are safe for
// concurrent use.
type Replica struct {
	// Self is the node's own entry in the host list.
	Self hosts.Host
	// Now returns the current time with a monotonic clock reading.
	Now func() time.Time
	// Rand draws jitter and peers. It is used only while mu is locked.
	Rand *rand.Rand
	// Seeds are control addresses of peers to ask while the node has no host
	// list.
	Seeds []string
	// FleetHint is the number of hosts that may start at the same time. The
	// first reads at the source are spread over a time in proportion to it
	// while the node has no host list; 0 means nonLeaderReadsPerSecond.
	FleetHint int
	// Accept validates a complete version; nil means config.Accept.
	Accept func(manifest []byte, parts map[string][]byte) (*config.Snapshot, error)

	current  atomic.Pointer[config.Snapshot]
	hostList atomic.Pointer[hosts.List]
	floor    atomic.Uint64

	mu        sync.Mutex
	startedAt time.Time
	changed   chan struct{}    // closed when the next version comes into force
	accepted  *acceptedVersion // highest accepted version
	ready     bool
	leaving   bool

	floorRaisedAt  time.Time
	abandonedFloor uint64 // floor for which MaxFloorWait has passed

	sourceAnswered    bool                 // whether the source answered a read of the manifest
	confirmedAt       time.Time            // when the source was last known to have nothing newer than accepted
	conflictAt        time.Time            // when the source was last known to have another digest of the same version
	servingPeers      map[string]bool      // IDs of serving peers that answered during the start
	zoneReachedAt     map[string]time.Time // time of the latest information, by zone
	keyedCallsRefused bool                 // as last reported in an event

	versionTransfers   []*versionTransfer
	hostListTransfer   hostListTransfer
	refusedDigests     map[string]bool // digests of invalid versions
	conflictingDigests map[string]bool // digests of conflicting versions
	refusalCount       uint64
	lastRefusals       []Refusal // the newest last
	lastStaleDigest    string    // digest of the last manifest of the source that was older than accepted

	hostListBytes      []byte
	topology           topology
	exchangeSchedule   exchangeSchedule
	sourceReadSchedule sourceReadSchedule
}

// An acceptedVersion is an accepted version with the bytes that peers pull.
type acceptedVersion struct {
	snapshot *config.Snapshot
	manifest []byte
	parts    map[string][]byte // by digest, exactly those of the manifest
}

// Start initializes the state and begins the start at now. It is called once,
// before any other method that changes state.
func (r *Replica) Start(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startedAt = now
	r.changed = make(chan struct{})
	r.servingPeers = map[string]bool{}
	r.zoneReachedAt = map[string]time.Time{}
	r.refusedDigests, r.conflictingDigests = map[string]bool{}, map[string]bool{}
	r.exchangeSchedule.start(now)
	r.sourceReadSchedule.start(r, now)
	if r.Accept == nil {
		r.Accept = config.Accept
	}
}

// Current returns the version in force, or nil before the start has finished.
func (r *Replica) Current() *config.Snapshot { return r.current.Load() }

// Hosts returns the newest host list, or nil if the node has none. The list
// must not be changed.
func (r *Replica) Hosts() *hosts.List { return r.hostList.Load() }

// Placement returns the roles of the hosts derived from the host list, or nil
// if the node has no host list.
func (r *Replica) Placement() *hosts.Placement {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.topology.placement
}

// Floor returns the highest version known to be in force at any node.
func (r *Replica) Floor() uint64 { return r.floor.Load() }

// Changed returns a channel that is closed when the next version comes into
// force.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// RaiseFloor raises the floor to a version that another node has in force.
func (r *Replica) RaiseFloor(v uint64) {
	if v <= r.floor.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.raiseFloorLocked(v, r.Now())
}

func (r *Replica) raiseFloorLocked(v uint64, now time.Time) {
	if v <= r.floor.Load() {
		return
	}
	r.floor.Store(v)
	r.floorRaisedAt = now
}

// Behind reports whether new calls have to wait for a newer version: the floor
// is above the version in force and rose less than MaxFloorWait ago. Before the
// start has finished it is always true.
func (r *Replica) Behind(now time.Time) bool {
	c := r.current.Load()
	if c == nil {
		return true
	}
	if r.floor.Load() <= c.Version {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.floorRaisedAt.Add(MaxFloorWait))
}

// Ready reports whether the start has finished.
func (r *Replica) Ready() bool { return r.current.Load() != nil }

// Leave sets Leaving in the node's summaries from now on.
func (r *Replica) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// Summary returns the node's current summary, without ages.
func (r *Replica) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newSummary()
}

func (r *Replica) newSummary() Summary {
	s := Summary{Serving: r.ready, Refused: r.refusalCount, Leaving: r.leaving}
	if l := r.hostList.Load(); l != nil {
		s.HostsRevision = l.Revision
	}
	if r.accepted != nil {
		s.Version, s.Digest = r.accepted.snapshot.Version, Digest(r.accepted.snapshot.Digest)
	}
	if f := r.floor.Load(); !s.Serving || f > s.Version {
		s.Floor = f
	}
	return s
}

// ExchangeRequest returns the message of an exchange that this node starts. It
// has no ages, because the receiver does not know how long the request was on
// its way, and no digest: a peer that lacks the version starts an exchange of
// its own and gets the digest in the reply.
func (r *Replica) ExchangeRequest() Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.newMessage()
	m.Summary.Digest = ""
	return m
}

// PushMessage returns the message of a push. It always carries the sender's
// zone and address, because the receiver may have no host list yet.
func (r *Replica) PushMessage() Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.newMessage()
	m.Zone, m.Address = r.Self.Zone, r.Self.ControlAddress
	return m
}

// ExchangeReply returns the reply to a peer's exchange request.
func (r *Replica) ExchangeReply() Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	m := r.newMessage()
	m.Summary.ConfirmedAgeMs = -1
	if !r.confirmedAt.IsZero() {
		m.Summary.ConfirmedAgeMs = ageMs(now, r.confirmedAt)
	}
	if now.Sub(r.confirmedAt) > zoneAgesAfter {
		m.Summary.ZoneAges, m.Summary.ZonesHash = r.zoneAges(now), r.topology.zonesHash
	}
	return m
}

func (r *Replica) newMessage() Message {
	m := Message{From: r.Self.ID, Summary: r.newSummary()}
	if h, ok := r.topology.byID[r.Self.ID]; !ok || h.ControlAddress != r.Self.ControlAddress || h.Zone != r.Self.Zone {
		m.Zone, m.Address = r.Self.Zone, r.Self.ControlAddress
	}
	return m
}

// ageMs returns the age of t in milliseconds, rounded up so that the receiver
// never takes t for later than it was.
func ageMs(now, t time.Time) int64 {
	return int64((now.Sub(t) + time.Millisecond - 1) / time.Millisecond)
}

// ObserveSummary handles a peer's summary. sentAt is the time at which this
// node sent the request that the summary replies to. It is zero for a summary
// in a request or push of the peer: how long that message was on its way is
// unknown, so its ages cannot be used.
func (r *Replica) ObserveSummary(from hosts.Host, s Summary, sentAt time.Time) Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	var a Action
	if from.ID == r.Self.ID {
		return a
	}
	if h, ok := r.topology.byID[from.ID]; ok && (from.ControlAddress == "" || from.Zone == "") {
		from = h
	}
	r.raiseFloorLocked(s.Floor, now)
	if s.Serving {
		r.raiseFloorLocked(s.Version, now)
	}
	r.observeVersion(from, s, &a)
	r.observeHostListRevision(from, s.HostsRevision, &a)
	if !sentAt.IsZero() {
		r.observeAges(from, s, sentAt)
		r.exchangeSchedule.markAnswered(from.ID)
		if s.HostsRevision == 0 && r.hostList.Load() != nil {
			// A peer without a host list does not know this node's address.
			a.Push = append(a.Push, from)
		}
		if s.Serving && !r.ready {
			r.servingPeers[from.ID] = true
		}
	}
	r.updateState(now, &a)
	return a
}

func (r *Replica) observeVersion(from hosts.Host, s Summary, a *Action) {
	digest := string(s.Digest)
	if s.Version == 0 || r.refusedDigests[digest] {
		return
	}
	if r.accepted != nil && s.Version <= r.accepted.snapshot.Version {
		if digest != "" && s.Version == r.accepted.snapshot.Version && digest != r.accepted.snapshot.Digest {
			r.reportConflict(s.Version, digest, from.ID, a)
		}
		return
	}
	if digest == "" {
		r.exchangeSchedule.askBack(from)
		return
	}
	if t := r.transferFor(s.Version, digest, true, a); from.ControlAddress != "" {
		t.addHolder(from)
	}
}

// Tick updates the state that depends on the time alone. It is to be called
// periodically.
func (r *Replica) Tick(now time.Time) Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	var a Action
	r.updateState(now, &a)
	a.Fetch = len(r.versionTransfers) > 0 || r.hostListTransfer.revision > 0
	return a
}

// updateState finishes the start, ends the wait for the floor and switches
// keyed calls on or off, if what was received or the time now calls for it.
func (r *Replica) updateState(now time.Time, a *Action) {
	r.tryFinishStart(now, a)
	if !r.ready {
		return
	}
	v, f := r.accepted.snapshot.Version, r.floor.Load()
	if f > v && f != r.abandonedFloor && !now.Before(r.floorRaisedAt.Add(MaxFloorWait)) {
		r.abandonedFloor = f
		a.addEvent(FloorWaitEnded, v, "", "", nil)
	}
	if stopped := !r.keyedAllowedLocked(now); stopped != r.keyedCallsRefused {
		r.keyedCallsRefused = stopped
		k := KeyedCallsResumed
		if stopped {
			k = KeyedCallsRefused
		}
		a.addEvent(k, v, r.accepted.snapshot.Digest, "", nil)
	}
}

// tryFinishStart finishes the start once the node has a version and the
// required answers. A newer version that is known and not yet accepted delays
// the start by up to maxStartVersionWait, because the node may have served it
// before it restarted.
func (r *Replica) tryFinishStart(now time.Time, a *Action) {
	if r.ready || r.accepted == nil {
		return
	}
	if r.awaitsNewerVersion(now) || !r.hasStartAnswers(now) {
		return
	}
	v := r.accepted.snapshot.Version
	r.ready = true
	a.addEvent(NodeReady, v, r.accepted.snapshot.Digest, "", nil)
	r.putInForce(now, a)
}

// awaitsNewerVersion reports whether the start still waits for a newer version.
func (r *Replica) awaitsNewerVersion(now time.Time) bool {
	v := r.accepted.snapshot.Version
	if r.floor.Load() > v && now.Before(r.floorRaisedAt.Add(maxStartVersionWait)) {
		return true
	}
	for _, t := range r.versionTransfers {
		if t.version > v && now.Before(t.startedAt.Add(maxStartVersionWait)) {
			return true
		}
	}
	return false
}

// hasStartAnswers reports whether the start has the required answers. The
// source's confirmation, received directly or through a peer, must be later
// than the start: the node may have served a version just before it restarted
// that its peers do not know yet.
func (r *Replica) hasStartAnswers(now time.Time) bool {
	source := r.sourceAnswered || r.confirmedAt.After(r.startedAt)
	if !now.Before(r.startedAt.Add(StartAnswerTimeout)) {
		return source || len(r.servingPeers) > 0
	}
	if r.hostList.Load() == nil {
		return false
	}
	peers := 0
	for _, n := range r.topology.liveByZone {
		peers += n
	}
	return source && len(r.servingPeers) >= min(requiredStartAnswers, peers)
}

// putInForce makes the accepted version the current one.
func (r *Replica) putInForce(now time.Time, a *Action) {
	s := r.accepted.snapshot
	r.current.Store(s)
	r.raiseFloorLocked(s.Version, now)
	close(r.changed)
	r.changed = make(chan struct{})
	a.addEvent(VersionInForce, s.Version, s.Digest, "", nil)
}

// Package spread decides how one node takes part in the distribution of the
// configuration: what it asks of the source and of its peers, which version it
// puts in force, and whether it may still trust that version.
//
// A Replica has no sockets, goroutines or clocks. The same code runs in the
// node, in the tests and in the experiments.
package spread

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

const (
	// FreshFor is how long a confirmation or a reached zone counts.
	FreshnessWindow = 3 * time.Second
	// reachAfter is the age of the last confirmation from which summaries
	// carry Reach. Half of FreshFor leaves time to reach every zone.
	zoneAgesAfter = 1500 * time.Millisecond
	// FloorWait is how long after the floor rose an older version refuses calls.
	MaxFloorWait = 3 * time.Second
	// StartWait is the deadline after which a start is content with fewer answers.
	StartAnswerTimeout = 3 * time.Second
	// startFloorWait is how long a start waits for a version it knows of and
	// cannot fetch. The node may have served that version before it restarted.
	maxStartVersionWait = 10 * time.Second
	// startAnswers is the number of serving peers that a start asks for.
	requiredStartAnswers = 3
)

// A Replica is one node's share in the distribution. Its invariants:
//
//   - The version in force never falls, and is only ever a whole accepted one.
//   - No version is in force before the start has finished.
//   - The floor never falls.
//
// The exported fields are set before the first call. All methods may be called
// at once from several goroutines.
type Replica struct {
	// Self is the node's own entry.
	Self hosts.Host
	// Now returns the current time with its monotonic reading.
	Now func() time.Time
	// Rand draws jitter and peers. It is used under the Replica's lock.
	Rand *rand.Rand
	// Seeds are control addresses to ask while no host list is held.
	Seeds []string
	// FleetHint is the number of hosts that may start at the same time. It
	// spreads the first reads at the source while no host list is held.
	FleetHint int
	// Accept judges a version; config.Accept unless set.
	Accept func(manifest []byte, parts map[string][]byte) (*config.Snapshot, error)

	current  atomic.Pointer[config.Snapshot]
	hostList atomic.Pointer[hosts.List]
	floor    atomic.Uint64

	mu        sync.Mutex
	startedAt time.Time
	changed   chan struct{}    // closed when a version gets in force
	accepted  *acceptedVersion // highest accepted version
	ready     bool
	leaving   bool

	floorRaisedAt  time.Time
	abandonedFloor uint64 // the floor for which waiting has been given up

	sourceAnswered    bool
	confirmedAt       time.Time
	conflictAt        time.Time
	servingPeers      map[string]bool // peers that answered this start
	zoneReachedAt     map[string]time.Time
	keyedCallsRefused bool

	versionTransfers   []*versionTransfer
	hostListTransfer   hostListTransfer
	refusedDigests     map[string]bool // digests of invalid versions
	conflictingDigests map[string]bool // digests of conflicting versions
	refusalCount       uint64
	lastRefusals       []Refusal // the newest last
	lastStaleDigest    string    // digest of the last stale answer of the source

	hostListBytes      []byte
	topology           topology
	exchangeSchedule   exchangeSchedule
	sourceReadSchedule sourceReadSchedule
}

// A heldVersion is an accepted version with the bytes that others pull.
type acceptedVersion struct {
	snapshot *config.Snapshot
	manifest []byte
	parts    map[string][]byte // by digest, exactly those of the manifest
}

// Start stores the deadlines of the start. It is called once, before any other
// method that changes state.
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

// Current returns the version in force, or nil before the node is ready.
func (r *Replica) Current() *config.Snapshot { return r.current.Load() }

// Hosts returns the newest host list, or nil. The list must not be changed.
func (r *Replica) Hosts() *hosts.List { return r.hostList.Load() }

// Placement returns the roles derived from the host list, or nil.
func (r *Replica) Placement() *hosts.Placement {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.topology.placement
}

// Floor returns the highest version known to be in force at any node.
func (r *Replica) Floor() uint64 { return r.floor.Load() }

// Changed returns a channel that is closed when the next version gets in force.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// SawVersion raises the floor to a version that another node works with.
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
// is above the version in force and rose less than FloorWait ago. Before the
// node is ready it is always behind.
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

// Leave marks the node as leaving in its summaries.
func (r *Replica) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// Summary returns what the node tells its peers now, without ages.
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

// Request returns the message of an exchange that this node starts. It has no
// ages, because nobody could use them, and no digest: a peer that lacks the
// version asks back.
func (r *Replica) ExchangeRequest() Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.newMessage()
	m.Summary.Digest = ""
	return m
}

// Announcement returns the message of a push. It has the sender's address,
// because its receiver may have no host list yet.
func (r *Replica) PushMessage() Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.newMessage()
	m.Zone, m.Address = r.Self.Zone, r.Self.ControlAddress
	return m
}

// Reply returns the answer to a peer's exchange.
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

// ageMs rounds up, so that an age never grows younger in transit.
func ageMs(now, t time.Time) int64 {
	return int64((now.Sub(t) + time.Millisecond - 1) / time.Millisecond)
}

// Observe takes a peer's summary. sentAt is the time at which this node sent
// the request that the summary answers. It is zero for a summary that came
// with a request of the peer: how long that request was on its way is unknown,
// so its ages cannot be used.
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
		r.exchangeSchedule.answered(from.ID)
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

// Tick does what is due by time alone.
func (r *Replica) Tick(now time.Time) Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	var a Action
	r.updateState(now, &a)
	a.Fetch = len(r.versionTransfers) > 0 || r.hostListTransfer.revision > 0
	return a
}

// settle draws the conclusions that depend on the time as well.
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

// settleStart finishes the start once enough was heard. A version that is
// known and not yet judged holds the start up for startFloorWait, because the
// node may have served it before it restarted.
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

// newerPending reports whether a start still waits for a newer version.
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

// heardEnough reports whether the start has its answers. The source's answer,
// own or through a peer, must be younger than the start: the node may have
// served a version just before it restarted that its peers do not know yet.
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

// putInForce makes the held version the current one.
func (r *Replica) putInForce(now time.Time, a *Action) {
	s := r.accepted.snapshot
	r.current.Store(s)
	r.raiseFloorLocked(s.Version, now)
	close(r.changed)
	r.changed = make(chan struct{})
	a.addEvent(VersionInForce, s.Version, s.Digest, "", nil)
}

package replication

import "time"

const (
	// The time between a leader's reads of the manifest is
	// manifestPeriodPerLeader times the number of leaders, bounded by
	// minManifestPeriod and maxManifestPeriod. It aims at 80 reads per second
	// over all leaders, so that the load on the source does not grow with the
	// fleet.
	manifestPeriodPerLeader = 12500 * time.Microsecond
	minManifestPeriod       = 500 * time.Millisecond
	maxManifestPeriod       = time.Second
	// hostListReadPeriod is the mean time between a leader's reads of the host
	// list.
	hostListReadPeriod = 3 * time.Second
	// nonLeaderReadsPerSecond is the number of reads per second over which the
	// nodes that are not leaders spread their reads.
	nonLeaderReadsPerSecond = 50
	// maxNonLeaderConfirmationAge is the age of the last confirmation above
	// which a node that is not a leader reads the source itself.
	maxNonLeaderConfirmationAge = 2 * time.Second
)

// A sourceReadSchedule holds the times of the next reads at the source.
type sourceReadSchedule struct {
	nextManifestAt, nextHostListAt time.Time
	// unconfirmedReadDrawn states that a node that is not a leader found its
	// confirmation too old and drew a random time for its first read.
	unconfirmedReadDrawn bool
}

// A ReadPlan states what to read at the source now.
type ReadPlan struct {
	// Manifest and Hosts state whether to read the manifest and the host list.
	Manifest, Hosts bool
	// NextAt is the time at which to call NextSourceReads again.
	NextAt time.Time
}

func (p *sourceReadSchedule) start(r *Replica, now time.Time) {
	hint := r.FleetHint
	if hint == 0 {
		hint = nonLeaderReadsPerSecond
	}
	// The seeds usually have the host list, from which the node learns whether
	// it has to read at all, so the reads wait for one round of exchanges.
	if len(r.Seeds) > 0 {
		now = now.Add(startExchangePeriod)
	}
	t := now.Add(r.randomReadDelay(hint))
	p.nextManifestAt, p.nextHostListAt = t, t
}

// reschedule sets the times of the reads when the first host list is known.
func (p *sourceReadSchedule) reschedule(r *Replica, now time.Time) {
	if r.isLeader() {
		p.nextManifestAt = now.Add(time.Duration(r.Rand.Int64N(int64(r.manifestReadPeriod()))))
		p.nextHostListAt = now.Add(r.jitter(hostListReadPeriod))
		return
	}
	p.nextManifestAt = r.startedAt.Add(StartAnswerTimeout + r.randomReadDelay(len(r.hostList.Load().Hosts)))
	p.nextHostListAt = p.nextManifestAt
}

// randomReadDelay returns a random delay of up to about
// n/nonLeaderReadsPerSecond seconds, for one read by each of n nodes.
func (r *Replica) randomReadDelay(n int) time.Duration {
	return time.Duration(r.Rand.Int64N(int64(n+1)*int64(time.Second)/nonLeaderReadsPerSecond + 1))
}

func (r *Replica) isLeader() bool {
	return r.topology.placement != nil && r.topology.placement.IsLeader(r.Self.ID, r.Self.Zone)
}

func (r *Replica) manifestReadPeriod() time.Duration {
	n := 0
	for _, l := range r.topology.placement.Leaders {
		n += len(l)
	}
	return min(maxManifestPeriod, max(minManifestPeriod, time.Duration(n)*manifestPeriodPerLeader))
}

// NextSourceReads returns what to read at the source now. A leader reads the
// manifest periodically. It does not use a watch that waits for a change: the
// answer to a watch confirms the version as of the time at which the watch was
// sent, so reads without a wait give later confirmations at the same number of
// reads. Any other node reads only while it has no host list or no version, or
// while its last confirmation is older than maxNonLeaderConfirmationAge, and
// then so seldom that the whole fleet may do the same.
func (r *Replica) NextSourceReads(now time.Time) ReadPlan {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.sourceReadSchedule
	var out ReadPlan
	if r.hostList.Load() == nil {
		hint := max(r.FleetHint, nonLeaderReadsPerSecond)
		if !now.Before(p.nextManifestAt) {
			out.Manifest, out.Hosts = true, true
			p.nextManifestAt = now.Add(max(maxManifestPeriod, r.randomReadDelay(2*hint)))
			p.nextHostListAt = p.nextManifestAt
		}
		out.NextAt = p.nextManifestAt
		return out
	}
	n := len(r.hostList.Load().Hosts)
	if r.isLeader() {
		if !now.Before(p.nextHostListAt) {
			out.Hosts = true
			p.nextHostListAt = now.Add(r.jitter(hostListReadPeriod))
		}
		if !now.Before(p.nextManifestAt) {
			out.Manifest = true
			p.nextManifestAt = now.Add(r.manifestReadPeriod())
		}
	} else if !now.Before(p.nextManifestAt) {
		needed := r.accepted == nil || now.Sub(r.confirmedAt) > maxNonLeaderConfirmationAge
		switch {
		case !needed:
			p.unconfirmedReadDrawn = false
			p.nextManifestAt = now.Add(maxManifestPeriod)
		case r.accepted != nil && !p.unconfirmedReadDrawn:
			// All nodes notice an outage of the source within a second of
			// each other, so the first reads are spread at random.
			p.unconfirmedReadDrawn = true
			p.nextManifestAt = now.Add(r.randomReadDelay(n))
		default:
			out.Manifest = true
			p.nextManifestAt = now.Add(max(maxManifestPeriod, r.randomReadDelay(2*n)))
		}
	}
	out.NextAt = p.nextManifestAt
	if r.isLeader() && p.nextHostListAt.Before(out.NextAt) {
		out.NextAt = p.nextHostListAt
	}
	return out
}

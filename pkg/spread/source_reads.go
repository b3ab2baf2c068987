package spread

import "time"

const (
	// readPeriodPerLeader, minReadPeriod and maxReadPeriod give the time
	// between a leader's reads of the manifest: about 80 reads a second over
	// all leaders, so that the load on the source does not grow with the fleet.
	manifestPeriodPerLeader = 12500 * time.Microsecond
	minManifestPeriod       = 500 * time.Millisecond
	maxManifestPeriod       = time.Second
	// hostsPeriod is the time between a leader's reads of the host list.
	hostListReadPeriod = 3 * time.Second
	// hostsPerReadSecond spreads the reads of nodes that are not leaders.
	nonLeaderReadsPerSecond = 50
	// unconfirmedRead is the age of the last confirmation from which a node
	// that is not a leader reads the source itself.
	maxNonLeaderConfirmationAge = 2 * time.Second
)

// reads holds the times of the next reads at the source.
type sourceReadSchedule struct {
	nextManifestAt, nextHostListAt time.Time
	// lapsed states that a node that is not a leader found its version
	// unconfirmed and drew the time of its first read.
	unconfirmedReadDrawn bool
}

// A ReadPlan says what to read at the source now.
type ReadPlan struct {
	Manifest, Hosts bool
	// Next is the time of the next call.
	NextAt time.Time
}

func (p *sourceReadSchedule) start(r *Replica, now time.Time) {
	hint := r.FleetHint
	if hint == 0 {
		hint = nonLeaderReadsPerSecond
	}
	// Seeds usually know the host list, and with it who has to read.
	if len(r.Seeds) > 0 {
		now = now.Add(startExchangePeriod)
	}
	t := now.Add(r.randomReadDelay(hint))
	p.nextManifestAt, p.nextHostListAt = t, t
}

// replan is called when the first host list is known.
func (p *sourceReadSchedule) reschedule(r *Replica, now time.Time) {
	if r.isLeader() {
		p.nextManifestAt = now.Add(time.Duration(r.Rand.Int64N(int64(r.manifestReadPeriod()))))
		p.nextHostListAt = now.Add(r.jitter(hostListReadPeriod))
		return
	}
	p.nextManifestAt = r.startedAt.Add(StartAnswerTimeout + r.randomReadDelay(len(r.hostList.Load().Hosts)))
	p.nextHostListAt = p.nextManifestAt
}

// within draws a time within n/hostsPerReadSecond seconds.
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

// Reads returns what to read at the source now. A leader reads the manifest all
// the time. It does not wait in a watch: the answer to a watch confirms the
// version as of the time of the question, so a read without wait is fresher at
// the same number of reads. Another node reads only while it has no host list or no
// version, or while its version is unconfirmed, and then at a rate that the
// whole fleet together may use.
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
			// All nodes notice an outage of the source within a second.
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

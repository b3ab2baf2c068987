package spread

import "time"

const (
	// readPeriodPerLeader, minReadPeriod and maxReadPeriod give the time
	// between a leader's reads of the manifest: about 80 reads a second over
	// all leaders, so that the load on the source does not grow with the fleet.
	readPeriodPerLeader = 12500 * time.Microsecond
	minReadPeriod       = 500 * time.Millisecond
	maxReadPeriod       = time.Second
	// hostsPeriod is the time between a leader's reads of the host list.
	hostsPeriod = 3 * time.Second
	// hostsPerReadSecond spreads the reads of nodes that are not leaders.
	hostsPerReadSecond = 50
	// unconfirmedRead is the age of the last confirmation from which a node
	// that is not a leader reads the source itself.
	unconfirmedRead = 2 * time.Second
)

// reads holds the times of the next reads at the source.
type reads struct {
	manifestAt, hostsAt time.Time
	// lapsed states that a node that is not a leader found its version
	// unconfirmed and drew the time of its first read.
	lapsed bool
}

// A ReadPlan says what to read at the source now.
type ReadPlan struct {
	Manifest, Hosts bool
	// Next is the time of the next call.
	NextAt time.Time
}

func (p *reads) start(r *Replica, now time.Time) {
	hint := r.FleetHint
	if hint == 0 {
		hint = hostsPerReadSecond
	}
	// Seeds usually know the host list, and with it who has to read.
	if len(r.Seeds) > 0 {
		now = now.Add(startPeriod)
	}
	t := now.Add(r.within(hint))
	p.manifestAt, p.hostsAt = t, t
}

// replan is called when the first host list is known.
func (p *reads) replan(r *Replica, now time.Time) {
	if r.isLeader() {
		p.manifestAt = now.Add(time.Duration(r.Rand.Int64N(int64(r.readPeriod()))))
		p.hostsAt = now.Add(r.jitter(hostsPeriod))
		return
	}
	p.manifestAt = r.started.Add(StartAnswerTimeout + r.within(len(r.list.Load().Hosts)))
	p.hostsAt = p.manifestAt
}

// within draws a time within n/hostsPerReadSecond seconds.
func (r *Replica) within(n int) time.Duration {
	return time.Duration(r.Rand.Int64N(int64(n+1)*int64(time.Second)/hostsPerReadSecond + 1))
}

func (r *Replica) isLeader() bool {
	return r.topology.placement != nil && r.topology.placement.IsLeader(r.Self.ID, r.Self.Zone)
}

func (r *Replica) readPeriod() time.Duration {
	n := 0
	for _, l := range r.topology.placement.Leaders {
		n += len(l)
	}
	return min(maxReadPeriod, max(minReadPeriod, time.Duration(n)*readPeriodPerLeader))
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
	p := &r.reads
	var out ReadPlan
	if r.list.Load() == nil {
		hint := max(r.FleetHint, hostsPerReadSecond)
		if !now.Before(p.manifestAt) {
			out.Manifest, out.Hosts = true, true
			p.manifestAt = now.Add(max(maxReadPeriod, r.within(2*hint)))
			p.hostsAt = p.manifestAt
		}
		out.NextAt = p.manifestAt
		return out
	}
	n := len(r.list.Load().Hosts)
	if r.isLeader() {
		if !now.Before(p.hostsAt) {
			out.Hosts = true
			p.hostsAt = now.Add(r.jitter(hostsPeriod))
		}
		if !now.Before(p.manifestAt) {
			out.Manifest = true
			p.manifestAt = now.Add(r.readPeriod())
		}
	} else if !now.Before(p.manifestAt) {
		needed := r.held == nil || now.Sub(r.confirmedAt) > unconfirmedRead
		switch {
		case !needed:
			p.lapsed = false
			p.manifestAt = now.Add(maxReadPeriod)
		case r.held != nil && !p.lapsed:
			// All nodes notice an outage of the source within a second.
			p.lapsed = true
			p.manifestAt = now.Add(r.within(n))
		default:
			out.Manifest = true
			p.manifestAt = now.Add(max(maxReadPeriod, r.within(2*n)))
		}
	}
	out.NextAt = p.manifestAt
	if r.isLeader() && p.hostsAt.Before(out.NextAt) {
		out.NextAt = p.hostsAt
	}
	return out
}

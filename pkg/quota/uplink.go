package quota

import (
	"strconv"
	"time"
)

// An uplink is the child's side of the exchange with one parent. At most one
// report is outstanding; a reply to an earlier one is ignored.
type uplink struct {
	parent string
	party  string // the parent's name in books: one run of its process
	base   BrokerTime
	heard  time.Duration // when base was received
	known  bool

	full    time.Duration // when the last report with all accounts was sent
	seq     uint64
	waiting bool
	sent    time.Duration
	told    map[string]volume // the first deposit level of each account
	owner   bool              // the child owns shares
}

func partyOf(id string, boot uint64) string { return id + "/" + strconv.FormatUint(boot, 36) }

// open starts a report.
func (x *uplink) open(boot uint64, now time.Duration) Report {
	if x.waiting {
		// The report before was lost, or its reply.
		x.full = -fullGap
	}
	x.seq++
	x.waiting, x.sent = true, now
	x.told = map[string]volume{}
	return Report{Boot: boot, Seq: x.seq, BrokerTime: x.base, FromBroker: !x.owner}
}

// fullGap is the least distance of reports with all accounts. Reports between
// them name only the accounts that can't wait.
const fullGap = 700 * time.Millisecond

// complete reports whether the report that begins should name all accounts.
func (x *uplink) complete(now time.Duration) bool {
	if now-x.full < fullGap {
		return false
	}
	x.full = now
	return true
}

// usable reports whether a deposit counted from the base is worth sending.
func (x *uplink) usable(now time.Duration) bool {
	return x.known && now-x.heard < MaxLoanTerm
}

// accept checks that a reply answers the outstanding report and notes its
// base. It returns false if the reply must be ignored.
func (x *uplink) accept(r *Reply, now time.Duration) bool {
	if !x.waiting || r.Seq != x.seq {
		return false
	}
	x.waiting = false
	if r.Leaving {
		// The next report names every account, so that all is given back.
		x.full = -fullGap
	}
	x.base, x.heard, x.known = r.BrokerTime, now, true
	if r.Stale {
		x.full = -fullGap
	}
	x.party = partyOf(x.parent, r.BrokerTime.Boot)
	return true
}

// depositTerms are the ends of a broker's deposits, from now. Members renew
// their deposits early enough that nearly all of them last beyond the first
// two, which cover the time to the broker's next report.
var depositTerms = []time.Duration{
	500 * time.Millisecond, 1050 * time.Millisecond, 1450 * time.Millisecond, 1850 * time.Millisecond,
}

// ends returns the instants at which the levels of a deposit end, as counted
// by the child, in rising order.
func (x *uplink) ends(now time.Duration) []time.Duration {
	if x.owner {
		return []time.Duration{x.heard + MaxLoanTerm + OwnerMargin}
	}
	last := x.heard + MaxLoanTerm + brokerMargin(MaxLoanTerm)
	var out []time.Duration
	for _, t := range depositTerms {
		if now+t <= last {
			out = append(out, now+t)
		}
	}
	return out
}

// term returns what the parent may count from its base for a loan that the
// child counts until end.
func (x *uplink) term(end time.Duration) time.Duration {
	if x.owner {
		return end - x.heard - OwnerMargin
	}
	d := end - x.heard
	return d - brokerMargin(d)
}

// plan fills the offer of one account: what the child lends, gives back,
// wants back and wants to borrow so that it keeps target for itself. It gives
// up to refill of empty capacity back, for tokens only come with capacity.
func (x *uplink) plan(b *book, o *ReportEntry, target volume, refill Amount, now time.Duration) {
	in, out := b.in[x.party], b.out[x.party]
	held, lent := in.at(now), out.at(now)
	free := b.v.minus(held).plus(lent) // without the loans from and to the parent
	want := target.minus(free).floor()
	dep := x.deposit(b, target, now)
	raised := out.raise(dep)
	b.out[x.party] = raised
	// What backs loans made from here can't be given back before they end.
	backing := volume{}.minus(b.floors([]time.Duration{in.end()}, x.party, "")[0]).floor()
	keep := held.min(want.max(backing))
	if refill > 0 {
		// What is left serves the requests that come before the reply.
		keep.c = max(keep.c, min(held.c, (Amount(b.k)+OneToken-1)/OneToken*OneToken))
	}
	moved := held.c - keep.c + raised.at(now).c - lent.c
	if empty := b.v.c - moved - Amount(b.k) - 1; refill > 0 && empty > 0 {
		empty = min(empty, refill, keep.c-min(backing.c, keep.c))
		keep.c, moved = keep.c-empty, moved+empty
	}
	o.Tokens = b.remove(min(moved, Amount(b.k)-max(b.v.c-moved, 0)))
	b.in[x.party] = in.lower(keep)
	b.recompute()

	x.told[o.Account] = dep.at(now)
	for _, l := range dep {
		o.Deposit = appendLevel(o.Deposit, x.term(l.until), l.v)
	}
	recall := lent.minus(free.minus(target).floor()).floor()
	o.RecallRate, o.RecallCapacity = recall.r, recall.c
	o.BorrowedRate, o.BorrowedCapacity = keep.r, keep.c
	o.WantRate, o.WantCapacity = want.r, want.c
}

// deposit returns what the child can lend to the parent.
func (x *uplink) deposit(b *book, target volume, now time.Duration) schedule {
	ends := x.ends(now)
	var dep schedule
	for i, v := range b.floors(ends, x.party, x.party) {
		dep = dep.push(level{ends[i], v.minus(target).floor()})
	}
	return dep.clean()
}

// settle books one grant. The reply's loans count from when the report was
// sent.
func (x *uplink) settle(b *book, g *ReplyEntry, party string) {
	b.exchange(g.Tokens, func() {
		b.out[party] = b.out[party].lower(volume{g.DepositedRate, g.DepositedCapacity})
		b.in[party] = b.in[party].raise(scheduleFrom(g.Loan, x.sent))
	})
}

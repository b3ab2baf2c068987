package quota

import (
	"strconv"
	"time"
)

// A parentLink is the child's state of the exchange with one parent. The child
// is a Limiter or a Broker, the parent a Broker. At most one report is
// outstanding; a reply to an earlier one is ignored.
type parentLink struct {
	parentID      string
	process       string // processName of the parent
	brokerTime    BrokerTime
	brokerTimeAt  time.Duration // when brokerTime was received
	hasBrokerTime bool

	lastFullAt       time.Duration // when the last report with all accounts was sent
	seq              uint64
	awaitingReply    bool
	sentAt           time.Duration      // when the last report was sent
	reportedDeposits map[string]portion // the first deposit step by account
	ownsShares       bool               // whether the child is a Limiter
}

// processName names one run of a host's process.
func processName(id string, boot uint64) string { return id + "/" + strconv.FormatUint(boot, 36) }

// newReport returns a report without entries and makes it the outstanding one.
func (x *parentLink) newReport(boot uint64, now time.Duration) Report {
	if x.awaitingReply {
		// The previous report or its reply was lost.
		x.lastFullAt = -minFullReportInterval
	}
	x.seq++
	x.awaitingReply, x.sentAt = true, now
	x.reportedDeposits = map[string]portion{}
	return Report{Boot: boot, Seq: x.seq, BrokerTime: x.brokerTime, FromBroker: !x.ownsShares}
}

// minFullReportInterval is the minimum time between reports with all accounts.
// Reports between them have entries only for urgent accounts.
const minFullReportInterval = 700 * time.Millisecond

// startFullReport reports whether the report sent at now should have entries
// for all accounts, and if so records it as the last such report.
func (x *parentLink) startFullReport(now time.Duration) bool {
	if now-x.lastFullAt < minFullReportInterval {
		return false
	}
	x.lastFullAt = now
	return true
}

// canDeposit reports whether the broker time is recent enough that a deposit
// that counts from it has not ended yet.
func (x *parentLink) canDeposit(now time.Duration) bool {
	return x.hasBrokerTime && now-x.brokerTimeAt < MaxLoanTerm
}

// acceptReply checks that a reply answers the outstanding report and stores its
// broker time. It returns false if the reply must be ignored.
func (x *parentLink) acceptReply(r *Reply, now time.Duration) bool {
	if !x.awaitingReply || r.Seq != x.seq {
		return false
	}
	x.awaitingReply = false
	if r.Leaving {
		// The next report has entries for all accounts, so that the parent
		// gives every deposit back.
		x.lastFullAt = -minFullReportInterval
	}
	x.brokerTime, x.brokerTimeAt, x.hasBrokerTime = r.BrokerTime, now, true
	if r.Stale {
		x.lastFullAt = -minFullReportInterval
	}
	x.process = processName(x.parentID, r.BrokerTime.Boot)
	return true
}

// depositTerms are the terms of the steps of a broker's deposit, from now.
// Members renew their deposits early enough that nearly all of them run longer
// than the first two terms, which cover the time to the broker's next report.
var depositTerms = []time.Duration{
	500 * time.Millisecond, 1050 * time.Millisecond, 1450 * time.Millisecond, 1850 * time.Millisecond,
}

// depositEnds returns the ends of the steps of a deposit, as counted by the
// child, in rising order.
func (x *parentLink) depositEnds(now time.Duration) []time.Duration {
	if x.ownsShares {
		return []time.Duration{x.brokerTimeAt + MaxLoanTerm + OwnerMargin}
	}
	last := x.brokerTimeAt + MaxLoanTerm + brokerMargin(MaxLoanTerm)
	var out []time.Duration
	for _, t := range depositTerms {
		if now+t <= last {
			out = append(out, now+t)
		}
	}
	return out
}

// parentTerm returns the term that the parent may count from its broker time
// for a loan that the child counts until end.
func (x *parentLink) parentTerm(end time.Duration) time.Duration {
	if x.ownsShares {
		return end - x.brokerTimeAt - OwnerMargin
	}
	d := end - x.brokerTimeAt
	return d - brokerMargin(d)
}

// fillEntry fills the report entry of one account and changes the bucket to
// match: what the child lends, gives back, recalls and wants to borrow so that
// it keeps target for itself. It also gives back up to neededTokens of empty
// borrowed capacity, because tokens are moved only together with capacity.
func (x *parentLink) fillEntry(b *bucket, entry *ReportEntry, target portion, neededTokens Amount, now time.Duration) {
	borrowedLoan, lentLoan := b.borrowed[x.process], b.lent[x.process]
	borrowed, lent := borrowedLoan.at(now), lentLoan.at(now)
	withoutParent := b.usable.minus(borrowed).plus(lent)
	wanted := target.minus(withoutParent).nonNegative()
	deposit := x.planDeposit(b, target, now)
	newLentLoan := lentLoan.maxWith(deposit)
	b.lent[x.process] = newLentLoan
	// Borrowed quota that covers loans to others cannot be given back before
	// those end.
	backing := portion{}.minus(b.minUsable([]time.Duration{borrowedLoan.end()}, x.process, "")[0]).nonNegative()
	kept := borrowed.min(wanted.max(backing))
	if neededTokens > 0 {
		// The tokens that are left serve requests that come before the reply.
		kept.capacity = max(kept.capacity, min(borrowed.capacity, (Amount(b.tokens)+OneToken-1)/OneToken*OneToken))
	}
	movedCapacity := borrowed.capacity - kept.capacity + newLentLoan.at(now).capacity - lent.capacity
	if emptyCapacity := b.usable.capacity - movedCapacity - Amount(b.tokens) - 1; neededTokens > 0 && emptyCapacity > 0 {
		emptyCapacity = min(emptyCapacity, neededTokens, kept.capacity-min(backing.capacity, kept.capacity))
		kept.capacity, movedCapacity = kept.capacity-emptyCapacity, movedCapacity+emptyCapacity
	}
	entry.Tokens = b.withdraw(min(movedCapacity, Amount(b.tokens)-max(b.usable.capacity-movedCapacity, 0)))
	b.borrowed[x.process] = borrowedLoan.limitTo(kept)
	b.updateUsable()

	x.reportedDeposits[entry.Account] = deposit.at(now)
	for _, st := range deposit {
		entry.Deposit = appendLoanStep(entry.Deposit, x.parentTerm(st.until), st.portion)
	}
	recall := lent.minus(withoutParent.minus(target).nonNegative()).nonNegative()
	entry.RecallRate, entry.RecallCapacity = recall.rate, recall.capacity
	entry.BorrowedRate, entry.BorrowedCapacity = kept.rate, kept.capacity
	entry.WantRate, entry.WantCapacity = wanted.rate, wanted.capacity
}

// planDeposit returns what the child can lend to the parent beyond target.
func (x *parentLink) planDeposit(b *bucket, target portion, now time.Duration) schedule {
	ends := x.depositEnds(now)
	var deposit schedule
	for i, v := range b.minUsable(ends, x.process, x.process) {
		deposit = deposit.appendStep(step{ends[i], v.minus(target).nonNegative()})
	}
	return deposit.withoutZeroSteps()
}

// applyReplyEntry applies one reply entry to the bucket. The terms of the loan
// count from when the report was sent. process is the parent process that the
// report was addressed to.
func (x *parentLink) applyReplyEntry(b *bucket, entry *ReplyEntry, process string) {
	b.changeLoans(entry.Tokens, func() {
		b.lent[process] = b.lent[process].limitTo(portion{entry.DepositedRate, entry.DepositedCapacity})
		b.borrowed[process] = b.borrowed[process].maxWith(scheduleFrom(entry.Loan, x.sentAt))
	})
}

package quota

import "time"

// A brokerAccount is a broker's bucket of one client account and the demands of
// its members that are not met.
type brokerAccount struct {
	bucket  *bucket
	demands map[string]demand // by the member's processName
	// target is what the broker keeps for demands that it expects.
	target  portion
	retryAt time.Duration // when to ask the parent for tokens again
	backoff time.Duration
}

// A demand is what a member last asked for.
type demand struct {
	wanted     portion
	tokens     Amount // wanted and not moved yet
	receivedAt time.Duration
}

// applyReportEntry applies what a member deposits, gives back and recalls.
func (a *brokerAccount) applyReportEntry(process string, entry *ReportEntry, m *memberProcess, now time.Duration) ReplyEntry {
	b := a.bucket
	b.advance(now)
	b.changeLoans(entry.Tokens, func() {
		b.lent[process] = b.lent[process].limitTo(portion{entry.BorrowedRate, entry.BorrowedCapacity})
		b.borrowed[process] = b.borrowed[process].maxWith(scheduleFrom(entry.Deposit, m.termStart))
	})
	replyEntry := ReplyEntry{Account: entry.Account}
	deposit := b.borrowed[process]
	if returned := deposit.at(now).min(portion{entry.RecallRate, entry.RecallCapacity}); !returned.isZero() {
		returned = returned.min(b.minUsable([]time.Duration{deposit.end()}, "", "")[0].nonNegative())
		replyEntry.Tokens = b.withdraw(min(returned.capacity, max(entry.WantTokens, Amount(b.tokens)-(b.usable.capacity-returned.capacity))))
		b.borrowed[process] = deposit.limitTo(deposit.at(now).minus(returned))
		b.updateUsable()
	}
	kept := b.borrowed[process].at(now)
	replyEntry.DepositedRate, replyEntry.DepositedCapacity = kept.rate, kept.capacity
	return replyEntry
}

// loanTerms are the possible terms of a loan as counted by the lender, from
// the receipt of the report.
var loanTerms = []time.Duration{
	500 * time.Millisecond, 900 * time.Millisecond, 1300 * time.Millisecond,
	1700 * time.Millisecond, 2100 * time.Millisecond, 2500 * time.Millisecond, MaxLoanTerm,
}

// lend lends what a member wants as far as the bucket covers it. It reports
// whether wanted tokens are missing or much of what the member wants ends soon.
func (a *brokerAccount) lend(process string, entry *ReportEntry, replyEntry *ReplyEntry, m *memberProcess, now time.Duration) bool {
	b := a.bucket
	before := b.lent[process]
	if entry.WantTokens == 0 && entry.WantRate == 0 && entry.WantCapacity == 0 && len(before) == 0 {
		delete(a.demands, process)
		return false
	}
	ends := make([]time.Duration, 0, len(loanTerms)+1)
	if ends = append(ends, m.receivedAt+TokenLoanTerm); m.isBroker {
		ends[0] = m.receivedAt + BrokerTokenLoanTerm
	}
	for _, t := range loanTerms {
		ends = append(ends, m.receivedAt+t)
	}
	available := b.minUsable(ends, "", "")
	wanted := portion{entry.WantRate, entry.WantCapacity}
	var loan schedule
	for i, end := range ends {
		// The available portion is already reduced by what this member has
		// borrowed, so that is added back.
		v := available[i].nonNegative().plus(before.at(end - 1)).min(wanted).max(before.at(end - 1))
		if len(loan) > 0 {
			v = v.min(loan[len(loan)-1].portion)
		}
		loan = loan.appendStep(step{end, v})
	}
	loan = loan.withoutZeroSteps()
	after := before.maxWith(loan)
	movedCapacity := after.at(now).capacity - before.at(now).capacity
	neededTokens := entry.WantTokens - replyEntry.Tokens
	extraCapacity := min((neededTokens-movedCapacity+OneToken-1)/OneToken*OneToken, Amount(b.tokens)/OneToken*OneToken-movedCapacity, available[0].capacity-movedCapacity)
	if extraCapacity > 0 {
		after = after.addCapacity(extraCapacity, ends[0])
		movedCapacity += extraCapacity
	}
	movedTokens := b.withdraw(min(movedCapacity, max(neededTokens, Amount(b.tokens)-(b.usable.capacity-movedCapacity), proportionalTokens(b, movedCapacity))))
	replyEntry.Tokens += movedTokens
	b.lent[process] = after
	b.updateUsable()
	for _, st := range after {
		term := st.until - m.receivedAt
		replyEntry.Loan = appendLoanStep(replyEntry.Loan, term-brokerMargin(term), st.portion)
	}
	missing := max(entry.WantTokens-replyEntry.Tokens, 0)
	a.demands[process] = demand{wanted: wanted, tokens: missing, receivedAt: now}
	if movedTokens > 0 {
		b.usage.record(movedTokens.Tokens(), now)
	}
	replyEntry.RetryMs = 0
	if entry.WantTokens > 0 && replyEntry.Tokens < OneToken {
		replyEntry.RetryMs = a.retryAfterMs(now)
	}
	return missing > 0 || endsSoon(after, wanted, m.receivedAt)
}

// minLoanReach is how long a loan must run after the report. If it ends
// earlier, the parent is asked for more before the reply is sent.
const minLoanReach = 700 * time.Millisecond

// endsSoon reports whether a loan covers less than three quarters of what a
// member wants after minLoanReach.
func endsSoon(loan schedule, wanted portion, now time.Duration) bool {
	v := loan.at(now + minLoanReach)
	return v.rate < wanted.rate*3/4 || v.capacity < wanted.capacity*3/4
}

// proportionalTokens returns the bucket's tokens multiplied by the ratio of a
// capacity to the usable capacity.
func proportionalTokens(b *bucket, capacity Amount) Amount {
	if b.usable.capacity <= 0 {
		return 0
	}
	return Amount(b.tokens * (float64(capacity) / float64(b.usable.capacity)))
}

// minSurplusRate is the minimum rate in tokens per second that a broker without
// a target lends to its parent at once rather than with the next regular
// report.
const minSurplusRate = OneToken / 2

// hasSurplus reports whether the broker holds so much more than the target that
// it should lend to its parent at once.
func (a *brokerAccount) hasSurplus(now time.Duration) bool {
	a.bucket.advance(now)
	return a.bucket.usable.rate >= 2*a.target.rate+minSurplusRate || a.bucket.tokens >= float64(a.target.capacity+OneToken/2)
}

// isUrgent reports whether a report to the root that does not cover all
// accounts should have an entry for this one.
func (a *brokerAccount) isUrgent(now time.Duration) bool {
	for process, d := range a.demands {
		if age := now - d.receivedAt; age <= maxDemandAge && (d.tokens > 0 && age <= maxTokenDemandAge || endsSoon(a.bucket.lent[process], d.wanted, now)) {
			return true
		}
	}
	return a.hasSurplus(now)
}

// retryAfterMs estimates after how many milliseconds the bucket has a whole
// token.
func (a *brokerAccount) retryAfterMs(now time.Duration) uint32 {
	b := a.bucket
	// A bucket without a rate has lent it to the parent, which may reply at any
	// moment.
	ms := uint32(minBackoff / time.Millisecond)
	if b.usable.rate > 0 {
		ms = uint32(maxBackoff / time.Millisecond)
	}
	if b.usable.rate > 0 && b.usable.capacity >= OneToken {
		if s := (float64(OneToken) - b.tokens) / float64(b.usable.rate); s < maxBackoff.Seconds() {
			ms = uint32(max(s*1000, 0)) + 1
		}
	}
	if a.retryAt > now {
		ms = min(ms, uint32((a.retryAt-now)/time.Millisecond)+1)
	}
	return max(ms, 1)
}

// fillEntry fills the report entry for the parent. The broker keeps its target
// and what members want and have not borrowed yet.
func (a *brokerAccount) fillEntry(link *parentLink, entry *ReportEntry, now time.Duration) {
	b := a.bucket
	b.advance(now)
	target := a.target
	var tokens Amount
	for process, d := range a.demands {
		if now-d.receivedAt > maxDemandAge {
			continue
		}
		target = target.plus(d.wanted.minus(b.lent[process].at(now)).nonNegative())
		if now-d.receivedAt <= maxTokenDemandAge {
			tokens += d.tokens
		}
	}
	link.fillEntry(b, entry, target, 0, now)
	if tokens > 0 && now >= a.retryAt {
		if neededTokens := tokens - Amount(b.tokens); neededTokens > 0 {
			entry.WantTokens = (neededTokens + OneToken - 1) / OneToken * OneToken
		}
	}
}

// returnAll fills the report entry for the parent when the broker leaves. It
// recalls everything that was lent to the parent and gives back what was
// borrowed from it and is not lent on.
func (a *brokerAccount) returnAll(link *parentLink, entry *ReportEntry, now time.Duration) {
	b := a.bucket
	b.advance(now)
	withoutParent := b.usable.minus(b.borrowed[link.process].at(now)).plus(b.lent[link.process].at(now))
	link.fillEntry(b, entry, withoutParent.nonNegative(), 0, now)
}

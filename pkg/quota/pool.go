package quota

import "time"

// A pool is the book of one account with its unmet demands.
type pool struct {
	book  *book
	wants map[string]want // by member
	// target is what the pool keeps for demands that are likely to come.
	target volume
	retry  time.Duration // when the parent is worth asking again
	back   time.Duration
}

// A want is what a member asked for last.
type want struct {
	v      volume
	tokens Amount
	at     time.Duration
}

// receive books deposits, returns and recalls.
func (p *pool) receive(party string, o *ReportEntry, k *kid, now time.Duration) ReplyEntry {
	b := p.book
	b.advance(now)
	b.exchange(o.Tokens, func() {
		b.out[party] = b.out[party].lower(volume{o.BorrowedRate, o.BorrowedCapacity})
		b.in[party] = b.in[party].raise(scheduleFrom(o.Deposit, k.base))
	})
	g := ReplyEntry{Account: o.Account}
	in := b.in[party]
	if back := in.at(now).min(volume{o.RecallRate, o.RecallCapacity}); !back.isZero() {
		back = back.min(b.floors([]time.Duration{in.end()}, "", "")[0].floor())
		g.Tokens = b.remove(min(back.c, max(o.WantTokens, Amount(b.k)-(b.v.c-back.c))))
		b.in[party] = in.lower(in.at(now).minus(back))
		b.recompute()
	}
	v := b.in[party].at(now)
	g.DepositedRate, g.DepositedCapacity = v.r, v.c
	return g
}

// loanTerms are the terms a loan may have, as counted by the lender.
var loanTerms = []time.Duration{
	500 * time.Millisecond, 900 * time.Millisecond, 1300 * time.Millisecond,
	1700 * time.Millisecond, 2100 * time.Millisecond, 2500 * time.Millisecond, MaxLoanTerm,
}

// lend grants what a member wants as far as the pool covers it and reports
// whether tokens that requests wait for are missing.
func (p *pool) lend(party string, o *ReportEntry, g *ReplyEntry, k *kid, now time.Duration) bool {
	b := p.book
	had := b.out[party]
	if o.WantTokens == 0 && o.WantRate == 0 && o.WantCapacity == 0 && len(had) == 0 {
		delete(p.wants, party)
		return false
	}
	ends := make([]time.Duration, 0, len(loanTerms)+1)
	if ends = append(ends, k.received+TokenLoanTerm); k.broker {
		ends[0] = k.received + BrokerTokenLoanTerm
	}
	for _, t := range loanTerms {
		ends = append(ends, k.received+t)
	}
	floors := b.floors(ends, "", "")
	ask := volume{o.WantRate, o.WantCapacity}
	var s schedule
	for i, end := range ends {
		// Loans to the member itself are in the floors; they count as its own.
		v := floors[i].floor().plus(had.at(end - 1)).min(ask).max(had.at(end - 1))
		if len(s) > 0 {
			v = v.min(s[len(s)-1].v)
		}
		s = s.push(level{end, v})
	}
	s = s.clean()
	raised := had.raise(s)
	moved := raised.at(now).c - had.at(now).c
	need := o.WantTokens - g.Tokens
	extra := min((need-moved+OneToken-1)/OneToken*OneToken, Amount(b.k)/OneToken*OneToken-moved, floors[0].c-moved)
	if extra > 0 {
		raised = raised.add(extra, ends[0])
		moved += extra
	}
	given := b.remove(min(moved, max(need, Amount(b.k)-(b.v.c-moved), proportion(b, moved))))
	g.Tokens += given
	b.out[party] = raised
	b.recompute()
	for _, l := range raised {
		d := l.until - k.received
		g.Loan = appendLevel(g.Loan, d-brokerMargin(d), l.v)
	}
	left := max(o.WantTokens-g.Tokens, 0)
	p.wants[party] = want{v: ask, tokens: left, at: now}
	if given > 0 {
		b.use.hit(given.Tokens(), now)
	}
	g.RetryMs = 0
	if o.WantTokens > 0 && g.Tokens < OneToken {
		g.RetryMs = p.retryMs(now)
	}
	return left > 0 || lapses(raised, ask, k.received)
}

// soon is how far ahead a loan must reach; else the parent is asked for more
// before the member's report is answered.
const soon = 700 * time.Millisecond

// lapses reports whether a quarter of what a member wants ends soon.
func lapses(loan schedule, ask volume, now time.Duration) bool {
	v := loan.at(now + soon)
	return v.r < ask.r*3/4 || v.c < ask.c*3/4
}

// proportion returns the tokens that belong to a part of the bucket's capacity.
func proportion(b *book, c Amount) Amount {
	if b.v.c <= 0 {
		return 0
	}
	return Amount(b.k * (float64(c) / float64(b.v.c)))
}

// surplusRate is the rate of an idle pool from which on it is lent upward at
// once rather than with the next report.
const surplusRate = OneToken / 2

func (p *pool) surplus(now time.Duration) bool {
	p.book.advance(now)
	return p.book.v.r >= 2*p.target.r+surplusRate || p.book.k >= float64(p.target.c+OneToken/2)
}

// pressing reports whether a report to the root should name the account out
// of turn.
func (p *pool) pressing(now time.Duration) bool {
	for party, w := range p.wants {
		if age := now - w.at; age <= wantAge && (w.tokens > 0 && age <= tokenWantAge || lapses(p.book.out[party], w.v, now)) {
			return true
		}
	}
	return p.surplus(now)
}

// retryMs estimates when the pool has a whole token again.
func (p *pool) retryMs(now time.Duration) uint32 {
	b := p.book
	// A pool without a rate of its own has lent it to the parent, which may
	// answer at any moment.
	ms := uint32(firstBackoff / time.Millisecond)
	if b.v.r > 0 {
		ms = uint32(lastBackoff / time.Millisecond)
	}
	if b.v.r > 0 && b.v.c >= OneToken {
		if s := (float64(OneToken) - b.k) / float64(b.v.r); s < lastBackoff.Seconds() {
			ms = uint32(max(s*1000, 0)) + 1
		}
	}
	if p.retry > now {
		ms = min(ms, uint32((p.retry-now)/time.Millisecond)+1)
	}
	return max(ms, 1)
}

// offer plans the exchange with the parent: the pool keeps what members want
// and could not get.
func (p *pool) offer(x *uplink, o *ReportEntry, now time.Duration) {
	b := p.book
	b.advance(now)
	target := p.target
	var tokens Amount
	for party, w := range p.wants {
		if now-w.at > wantAge {
			continue
		}
		target = target.plus(w.v.minus(b.out[party].at(now)).floor())
		if now-w.at <= tokenWantAge {
			tokens += w.tokens
		}
	}
	x.plan(b, o, target, 0, now)
	if tokens > 0 && now >= p.retry {
		if need := tokens - Amount(b.k); need > 0 {
			o.WantTokens = (need + OneToken - 1) / OneToken * OneToken
		}
	}
}

// withdraw asks the parent for everything that was lent to it and gives back
// what was borrowed from it and is not lent on.
func (p *pool) withdraw(x *uplink, o *ReportEntry, now time.Duration) {
	b := p.book
	b.advance(now)
	free := b.v.minus(b.in[x.party].at(now)).plus(b.out[x.party].at(now))
	x.plan(b, o, free.floor(), 0, now)
}

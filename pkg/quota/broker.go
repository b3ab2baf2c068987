package quota

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// A Broker pools what its members lend and lends it to those who ask. The
// leaders of zones run one each; their surplus and demand go to the root's,
// which is the same code without a parent. A broker owns nothing: every loan
// it makes is covered to its end by loans made to it, so it may restart, or
// exist twice, at any time. Its methods may be called from any goroutine.
type Broker struct {
	// Now reads the clock; set before first use.
	Now func() time.Time
	// Boot identifies this run of the process; 0 chooses a random number.
	Boot uint64
	// Age returns the version in force here and for how long it has been;
	// nil if unknown. Members that restarted learn from it.
	VersionAge func() (version uint64, age time.Duration)

	// Limits returns an account's rate and burst over all hosts; nil if
	// unknown. With it, a broker keeps quota that its members often ask for.
	Limits func(account string) (rate, burst float64)

	mu    sync.Mutex
	clock clock
	books map[string]*pool
	kids  map[string]*kid
	links map[string]*uplink
	swept time.Duration
	// renewed is when the parent last answered.
	renewed time.Duration
	// leaving is set by Leave and never unset.
	leaving bool
}

// Leave makes the broker give back what it holds: deposits to its members
// with their next reports, loans to its parent. It lends no more.
func (b *Broker) Leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
}

// renewGap is the least age of the parent's last answer at which it is asked
// out of turn to renew loans.
const renewGap = 200 * time.Millisecond

// A kid is one run of a member's process.
type kid struct {
	seq      uint64
	received time.Duration
	base     time.Duration
	broker   bool
	offers   map[string]*ReportEntry
}

// wantAge is how long a member's demand counts; a member repeats it each
// second.
const wantAge = 1500 * time.Millisecond

// tokenWantAge is how long a demand for tokens counts: requests wait MaxWait.
const tokenWantAge = MaxTokenWait

func (b *Broker) instant() time.Duration { return b.clock.instant(b.Now, b.Boot) }

func (b *Broker) pool(account string, now time.Duration) *pool {
	p := b.books[account]
	if p == nil {
		if b.books == nil {
			b.books = map[string]*pool{}
		}
		p = &pool{book: newBook(now), wants: map[string]want{}}
		b.books[account] = p
	}
	return p
}

// Handle books a member's report and composes the reply. It also reports
// whether tokens that requests wait for are missing: then it pays to exchange
// with the parent first and to call Retry with the reply.
func (b *Broker) HandleReport(from string, r Report) (Reply, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.instant()
	b.sweep(now)
	out := Reply{Seq: r.Seq, BrokerTime: b.clock.base(now)}
	if b.VersionAge != nil {
		v, age := b.VersionAge()
		out.Version, out.VersionAgeMs = v, uint64(max(age, 0)/time.Millisecond)
	}
	base, ok := b.clock.instantOf(r.BrokerTime, now)
	party := partyOf(from, r.Boot)
	k := b.kids[party]
	if !ok || (k != nil && r.Seq <= k.seq) {
		// A repeat must not count twice, and what a base is too old for may
		// be a repeat that is no longer remembered.
		out.Stale = true
		return out, false
	}
	if k == nil {
		if b.kids == nil {
			b.kids = map[string]*kid{}
		}
		k = &kid{}
		b.kids[party] = k
	}
	k.seq, k.received, k.base, k.broker = r.Seq, now, base, r.FromBroker
	k.offers = map[string]*ReportEntry{}
	out.Leaving = b.leaving
	short := false
	for i := range r.Entries {
		o := &r.Entries[i]
		p := b.pool(o.Account, now)
		if b.leaving {
			o.RecallRate, o.RecallCapacity = MaxAmount, MaxAmount
		}
		g := p.receive(party, o, k, now)
		if b.leaving {
			out.Entries = append(out.Entries, g)
			continue
		}
		if p.lend(party, o, &g, k, now) && (o.WantTokens > g.Tokens || now-b.renewed > renewGap) {
			short = true
		}
		k.offers[o.Account] = o
		if !o.met(&g) {
			out.Entries = append(out.Entries, g)
		}
	}
	return out, short
}

// met reports whether the grant says no more than that the deposit is kept.
func (o *ReportEntry) met(g *ReplyEntry) bool {
	var first volume
	if len(o.Deposit) > 0 {
		first = volume{o.Deposit[0].Rate, o.Deposit[0].Capacity}
	}
	return first == volume{g.DepositedRate, g.DepositedCapacity} && len(g.Loan) == 0 && g.Tokens == 0 && g.RetryMs == 0
}

// Surplus reports whether the broker holds quota that its members don't want,
// so that a report to the root should be sent at once.
func (b *Broker) HasSurplus() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.instant()
	for _, p := range b.books {
		if p.surplus(now) {
			return true
		}
	}
	return false
}

// Retry completes a reply that lacked tokens after an exchange with the
// parent. Handle's reply must not have been sent yet.
func (b *Broker) CompleteReply(from string, r Report, out *Reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.instant()
	party := partyOf(from, r.Boot)
	k := b.kids[party]
	if k == nil || k.seq != r.Seq || out.Stale {
		return
	}
	for i := range out.Entries {
		g := &out.Entries[i]
		o := k.offers[g.Account]
		if o == nil {
			continue
		}
		p := b.pool(g.Account, now)
		p.book.advance(now)
		g.Loan = nil
		p.lend(party, o, g, k, now)
	}
}

// sweep forgets members and demands that no longer count.
func (b *Broker) sweep(now time.Duration) {
	if now-b.swept < time.Second {
		return
	}
	b.swept = now
	for party, k := range b.kids {
		if now-k.received > 2*MaxLoanTerm {
			delete(b.kids, party)
		}
	}
	for account, p := range b.books {
		for party, w := range p.wants {
			if now-w.at > wantAge {
				delete(p.wants, party)
			}
		}
		p.book.advance(now)
		if len(p.book.in)+len(p.book.out)+len(p.wants) == 0 && now-p.book.use.lastHit > time.Minute {
			delete(b.books, account)
		}
	}
}

// Report composes the next report to the root.
func (b *Broker) NextReport(parent string) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.instant()
	b.sweep(now)
	if b.links == nil {
		b.links = map[string]*uplink{}
	}
	x := b.links[parent]
	if x == nil {
		x = &uplink{parent: parent, full: -fullGap}
		b.links[parent] = x
	}
	r := x.open(b.clock.boot, now)
	if !x.usable(now) {
		return r
	}
	full := x.complete(now) || b.leaving
	for _, name := range slices.Sorted(maps.Keys(b.books)) {
		p := b.books[name]
		if !full && !p.pressing(now) {
			continue
		}
		o := ReportEntry{Account: name}
		if b.Limits != nil {
			rate, burst := b.Limits(name)
			p.target = volume{}
			// Traffic that comes in at few places may move on at any moment,
			// and the root serves it with few messages.
			if use := p.book.use.sample(now); use < rate/4 {
				p.target = targetOf(rate, burst, use, 0.5, 4)
			}
		}
		if b.leaving {
			p.withdraw(x, &o, now)
		} else {
			p.offer(x, &o, now)
		}
		r.Entries = append(r.Entries, o)
	}
	return r
}

// Settle books the reply of the root to the last report. It reports whether a
// further report should follow at once, which is so after the first contact.
func (b *Broker) HandleReply(parent string, r Reply) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.instant()
	x := b.links[parent]
	if x == nil {
		return false
	}
	first, told, party := !x.usable(now), x.told, x.party
	if !x.accept(&r, now) {
		return false
	}
	b.renewed = now
	if first || r.Stale || party != x.party {
		return first || r.Stale
	}
	for i := range r.Entries {
		g := &r.Entries[i]
		if _, ok := told[g.Account]; ok {
			delete(told, g.Account)
			b.applyReplyEntry(x, g, party, now)
		}
	}
	for name, v := range told {
		b.applyReplyEntry(x, &ReplyEntry{Account: name, DepositedRate: v.r, DepositedCapacity: v.c}, party, now)
	}
	return false
}

func (b *Broker) applyReplyEntry(x *uplink, g *ReplyEntry, party string, now time.Duration) {
	p := b.books[g.Account]
	if p == nil {
		return
	}
	p.book.advance(now)
	x.settle(p.book, g, party)
	switch {
	case g.Tokens > 0:
		p.retry, p.back = 0, 0
	case g.RetryMs > 0:
		p.back = min(max(p.back*2, firstBackoff), lastBackoff)
		p.retry = now + max(p.back, min(time.Duration(g.RetryMs)*time.Millisecond, lastBackoff))
	}
}

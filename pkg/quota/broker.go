package quota

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// A Broker collects the quota that its members lend and lends it to members
// that ask for it. The leaders of each availability zone run one each. They
// pass surplus and demand on to the broker of the root, which is the same code
// without a parent. A broker owns no share: every loan it makes is covered
// until its end by loans made to it. It may therefore restart, or run twice, at
// any time. Its methods may be called from any goroutine.
type Broker struct {
	// Now reads the clock; set before first use.
	Now func() time.Time
	// Boot identifies this run of the process; 0 chooses a random number.
	Boot uint64
	// VersionAge returns the configuration version in force here and for how
	// long it has been in force; nil if unknown. With it, members that
	// restarted can use their shares earlier.
	VersionAge func() (version uint64, age time.Duration)

	// Limits returns an account's rate and burst over all hosts; nil if
	// unknown. With it, the broker keeps quota that its members often ask for.
	Limits func(account string) (rate, burst float64)

	mu          sync.Mutex
	clock       clock
	accounts    map[string]*brokerAccount
	members     map[string]*memberProcess
	parentLinks map[string]*parentLink
	lastSweep   time.Duration // when removeExpired last ran
	// parentRepliedAt is when the parent last replied.
	parentRepliedAt time.Duration
	// leaving is set by Leave and never cleared.
	leaving bool
}

// Leave makes the broker give back what it holds: deposits to its members in
// the replies to their next reports, loans to its parent. After that it does
// not lend.
func (b *Broker) Leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
}

// minRenewInterval is the minimum time since the parent's last reply after
// which the parent is asked at once to renew loans.
const minRenewInterval = 200 * time.Millisecond

// A memberProcess is the last report of one run of a member's process.
type memberProcess struct {
	seq        uint64
	receivedAt time.Duration
	termStart  time.Duration // from when the terms of its deposits count
	isBroker   bool
	entries    map[string]*ReportEntry // by account
}

// maxDemandAge is how long a member's demand counts. A member repeats it about
// every second.
const maxDemandAge = 1500 * time.Millisecond

// maxTokenDemandAge is how long a demand for tokens counts. The requests that
// need them wait no longer than MaxTokenWait.
const maxTokenDemandAge = MaxTokenWait

func (b *Broker) instant() time.Duration { return b.clock.instant(b.Now, b.Boot) }

func (b *Broker) account(account string, now time.Duration) *brokerAccount {
	a := b.accounts[account]
	if a == nil {
		if b.accounts == nil {
			b.accounts = map[string]*brokerAccount{}
		}
		a = &brokerAccount{bucket: newBucket(now), demands: map[string]demand{}}
		b.accounts[account] = a
	}
	return a
}

// HandleReport applies a member's report and returns the reply. It also reports
// whether tokens for waiting requests are missing or a loan that is in use ends
// soon. The caller should then exchange with the parent and call CompleteReply
// before it sends the reply.
func (b *Broker) HandleReport(from string, r Report) (Reply, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.instant()
	b.removeExpired(now)
	reply := Reply{Seq: r.Seq, BrokerTime: b.clock.brokerTime(now)}
	if b.VersionAge != nil {
		v, age := b.VersionAge()
		reply.Version, reply.VersionAgeMs = v, uint64(max(age, 0)/time.Millisecond)
	}
	termStart, ok := b.clock.instantOf(r.BrokerTime, now)
	process := processName(from, r.Boot)
	m := b.members[process]
	if !ok || (m != nil && r.Seq <= m.seq) {
		// A duplicate must not be applied twice. A report with a reading that
		// is too old may be a duplicate that is no longer remembered.
		reply.Stale = true
		return reply, false
	}
	if m == nil {
		if b.members == nil {
			b.members = map[string]*memberProcess{}
		}
		m = &memberProcess{}
		b.members[process] = m
	}
	m.seq, m.receivedAt, m.termStart, m.isBroker = r.Seq, now, termStart, r.FromBroker
	m.entries = map[string]*ReportEntry{}
	reply.Leaving = b.leaving
	askParent := false
	for i := range r.Entries {
		entry := &r.Entries[i]
		a := b.account(entry.Account, now)
		if b.leaving {
			entry.RecallRate, entry.RecallCapacity = MaxAmount, MaxAmount
		}
		replyEntry := a.applyReportEntry(process, entry, m, now)
		if b.leaving {
			reply.Entries = append(reply.Entries, replyEntry)
			continue
		}
		if a.lend(process, entry, &replyEntry, m, now) && (entry.WantTokens > replyEntry.Tokens || now-b.parentRepliedAt > minRenewInterval) {
			askParent = true
		}
		m.entries[entry.Account] = entry
		if !entry.impliesReply(&replyEntry) {
			reply.Entries = append(reply.Entries, replyEntry)
		}
	}
	return reply, askParent
}

// impliesReply reports whether the reply entry says only that the broker holds
// the first step of the deposit. Such an entry is not sent.
func (e *ReportEntry) impliesReply(reply *ReplyEntry) bool {
	var first portion
	if len(e.Deposit) > 0 {
		first = portion{e.Deposit[0].Rate, e.Deposit[0].Capacity}
	}
	return first == portion{reply.DepositedRate, reply.DepositedCapacity} && len(reply.Loan) == 0 && reply.Tokens == 0 && reply.RetryMs == 0
}

// HasSurplus reports whether the broker holds so much quota that its members do
// not ask for that a report to the root should be sent at once.
func (b *Broker) HasSurplus() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.instant()
	for _, a := range b.accounts {
		if a.hasSurplus(now) {
			return true
		}
	}
	return false
}

// CompleteReply adds to a reply of HandleReport what the broker can lend after
// an exchange with the parent. The reply must not have been sent yet.
func (b *Broker) CompleteReply(from string, r Report, reply *Reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.instant()
	process := processName(from, r.Boot)
	m := b.members[process]
	if m == nil || m.seq != r.Seq || reply.Stale {
		return
	}
	for i := range reply.Entries {
		replyEntry := &reply.Entries[i]
		entry := m.entries[replyEntry.Account]
		if entry == nil {
			continue
		}
		a := b.account(replyEntry.Account, now)
		a.bucket.advance(now)
		replyEntry.Loan = nil
		a.lend(process, entry, replyEntry, m, now)
	}
}

// removeExpired removes members, demands and accounts that no longer count.
func (b *Broker) removeExpired(now time.Duration) {
	if now-b.lastSweep < time.Second {
		return
	}
	b.lastSweep = now
	for process, m := range b.members {
		if now-m.receivedAt > 2*MaxLoanTerm {
			delete(b.members, process)
		}
	}
	for account, a := range b.accounts {
		for process, d := range a.demands {
			if now-d.receivedAt > maxDemandAge {
				delete(a.demands, process)
			}
		}
		a.bucket.advance(now)
		if len(a.bucket.borrowed)+len(a.bucket.lent)+len(a.demands) == 0 && now-a.bucket.usage.lastEventAt > time.Minute {
			delete(b.accounts, account)
		}
	}
}

// NextReport returns the next report to the root.
func (b *Broker) NextReport(parent string) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.instant()
	b.removeExpired(now)
	if b.parentLinks == nil {
		b.parentLinks = map[string]*parentLink{}
	}
	link := b.parentLinks[parent]
	if link == nil {
		link = &parentLink{parentID: parent, lastFullAt: -minFullReportInterval}
		b.parentLinks[parent] = link
	}
	r := link.newReport(b.clock.boot, now)
	if !link.canDeposit(now) {
		return r
	}
	full := link.startFullReport(now) || b.leaving
	for _, name := range slices.Sorted(maps.Keys(b.accounts)) {
		a := b.accounts[name]
		if !full && !a.isUrgent(now) {
			continue
		}
		entry := ReportEntry{Account: name}
		if b.Limits != nil {
			rate, burst := b.Limits(name)
			a.target = portion{}
			// An account that uses a small part of its rate here gets a target.
			// Above a quarter of the rate, the requests come in on few nodes and
			// may move at any time, and the root serves them with few messages.
			if usedRate := a.bucket.usage.sample(now); usedRate < rate/4 {
				a.target = targetPortion(rate, burst, usedRate, 0.5, 4)
			}
		}
		if b.leaving {
			a.returnAll(link, &entry, now)
		} else {
			a.fillEntry(link, &entry, now)
		}
		r.Entries = append(r.Entries, entry)
	}
	return r
}

// HandleReply applies the root's reply to the last report. It reports whether
// another report should follow at once: the first exchange only learns the
// root's clock, and so does one whose report was stale.
func (b *Broker) HandleReply(parent string, r Reply) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.instant()
	link := b.parentLinks[parent]
	if link == nil {
		return false
	}
	firstContact, reportedDeposits, process := !link.canDeposit(now), link.reportedDeposits, link.process
	if !link.acceptReply(&r, now) {
		return false
	}
	b.parentRepliedAt = now
	if firstContact || r.Stale || process != link.process {
		return firstContact || r.Stale
	}
	for i := range r.Entries {
		entry := &r.Entries[i]
		if _, ok := reportedDeposits[entry.Account]; ok {
			delete(reportedDeposits, entry.Account)
			b.applyReplyEntry(link, entry, process, now)
		}
	}
	for name, v := range reportedDeposits {
		b.applyReplyEntry(link, &ReplyEntry{Account: name, DepositedRate: v.rate, DepositedCapacity: v.capacity}, process, now)
	}
	return false
}

func (b *Broker) applyReplyEntry(link *parentLink, entry *ReplyEntry, process string, now time.Duration) {
	a := b.accounts[entry.Account]
	if a == nil {
		return
	}
	a.bucket.advance(now)
	link.applyReplyEntry(a.bucket, entry, process)
	switch {
	case entry.Tokens > 0:
		a.retryAt, a.backoff = 0, 0
	case entry.RetryMs > 0:
		a.backoff = min(max(a.backoff*2, minBackoff), maxBackoff)
		a.retryAt = now + max(a.backoff, min(time.Duration(entry.RetryMs)*time.Millisecond, maxBackoff))
	}
}

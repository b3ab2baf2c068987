package quota

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// A Limiter admits requests on one node from the node's quota of every account.
// Its methods may be called from any goroutine.
type Limiter struct {
	// Now reads the clock; set before first use.
	Now func() time.Time
	// MayAdmit reports whether the node may admit requests at an instant. Nil
	// means always. It must be cheap and safe for concurrent use.
	MayAdmit func(time.Time) bool
	// RequestReport is called when a report should be sent at once. It must not
	// block. Nil ignores it.
	RequestReport func()
	// Boot identifies this run of the process; 0 chooses a random number.
	Boot uint64

	clock         clock
	accounts      atomic.Pointer[map[string]*account]
	lastAllowedAt atomic.Int64 // instant in ns at which the node last was allowed to admit requests

	mu          sync.Mutex // guards share, parentLinks and changes of accounts
	share       share
	parentLinks map[string]*parentLink
}

// An account is the bucket of one client account and the requests that wait
// for its tokens.
type account struct {
	mu                 sync.Mutex
	bucket             *bucket
	rate, burst        float64 // published limits over all hosts
	queue              []*waiter
	refusedSinceReport int
	retryAt            time.Duration // when to ask the broker for tokens again
	backoff            time.Duration
}

func (l *Limiter) instant() time.Duration { return l.clock.instant(l.Now, l.Boot) }

// mayAdmit reports whether the node may admit requests, and records when it
// last could.
func (l *Limiter) mayAdmit(now time.Duration) bool {
	if l.MayAdmit != nil && !l.MayAdmit(l.clock.start.Add(now)) {
		return false
	}
	if now > time.Duration(l.lastAllowedAt.Load()) {
		l.lastAllowedAt.Store(int64(now))
	}
	return true
}

// Start starts the clock. The node uses no share until every loan that an
// earlier process of the host made has ended, which is counted from here.
// Configure starts the clock too.
func (l *Limiter) Start() { l.instant() }

// Configure puts a configuration into force. self is the host's ID.
func (l *Limiter) Configure(s *config.Snapshot, self string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.instant()
	trusted := l.share.version > 0 && now-time.Duration(l.lastAllowedAt.Load()) < MaxConfirmationGap
	l.share.configure(s.Version, shareDivisor(s, self), now, trusted)
	previous := l.allAccounts()
	accounts := make(map[string]*account, len(s.Accounts))
	for name := range s.Accounts {
		a := previous[name]
		if a == nil {
			a = &account{bucket: newBucket(now)}
		}
		e := s.EffectiveValues("", "", name)
		a.mu.Lock()
		a.rate, a.burst = e.Rate, e.Burst
		a.mu.Unlock()
		accounts[name] = a
	}
	for name, a := range previous {
		if accounts[name] == nil && a.retire(now) {
			accounts[name] = a
		}
	}
	l.accounts.Store(&accounts)
	l.updateOwned(now)
}

// retire ends an account that is no longer configured. It reports whether the
// bucket is still needed because loans run.
func (a *account) retire(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rate, a.burst = 0, 0
	a.bucket.setOwned(portion{}, now)
	return len(a.bucket.borrowed)+len(a.bucket.lent) > 0
}

// shareDivisor returns the number of hosts that share every account, or 0 if
// the host is not one of them.
func shareDivisor(s *config.Snapshot, self string) int {
	n, found := 0, false
	for id, h := range s.Hosts {
		if h.Out {
			continue
		}
		n++
		found = found || id == self
	}
	if !found {
		return 0
	}
	return n
}

func (l *Limiter) allAccounts() map[string]*account {
	if m := l.accounts.Load(); m != nil {
		return *m
	}
	return nil
}

// updateOwned applies the usable share to every account.
func (l *Limiter) updateOwned(now time.Duration) {
	divisor := l.share.usableDivisor(now)
	if now < MaxLoanTerm+OwnerMargin {
		divisor = 0
	}
	for _, a := range l.allAccounts() {
		var owned portion
		if divisor > 0 {
			owned = portion{AmountOf(a.rate) / Amount(divisor), AmountOf(a.burst) / Amount(divisor)}
		}
		a.mu.Lock()
		if a.bucket.owned != owned {
			a.bucket.setOwned(owned, now)
		}
		a.mu.Unlock()
	}
}

// Take spends a token of the account and reports whether the node had one.
// Requests that wait in TakeWait go first. It returns false for an account that
// is not configured.
func (l *Limiter) Take(name string) bool {
	a := l.allAccounts()[name]
	if a == nil {
		return false
	}
	now := l.instant()
	if !l.mayAdmit(now) {
		return false
	}
	a.mu.Lock()
	ok := a.take(now)
	needsReport := (!ok || a.isLow()) && now >= a.retryAt
	if !ok {
		a.refusedSinceReport++
	}
	a.mu.Unlock()
	if needsReport {
		l.requestReport()
	}
	return ok
}

func (a *account) take(now time.Duration) bool {
	a.bucket.advance(now)
	a.bucket.usage.record(1, now)
	return len(a.queue) == 0 && a.bucket.spend(OneToken)
}

func (l *Limiter) requestReport() {
	if l.RequestReport != nil {
		l.RequestReport()
	}
}

// target returns the portion to keep for an account of which the node uses
// usedRate tokens per second. Three quarters of the burst stay with the
// brokers, for requests that come in on other nodes.
func (a *account) target(usedRate float64) portion {
	return targetPortion(a.rate, a.burst, usedRate, 0.25, 8)
}

// targetPortion returns the portion to keep for an account of which usedRate
// tokens per second are used. The capacity is at most burstFraction of the
// burst. A small bucket that refills at nearly the rate of its use often
// overflows, so its rate is kept lower and the rest is borrowed as tokens. If
// the bucket would hold fewer than minCapacity tokens, nothing is kept and every
// token is borrowed.
func targetPortion(rate, burst, usedRate, burstFraction, minCapacity float64) portion {
	if rate <= 0 || usedRate <= 0 {
		return portion{}
	}
	capacity := burst * min(usedRate/rate, 1) * burstFraction
	if capacity < minCapacity {
		return portion{}
	}
	return portion{AmountOf(min(usedRate, rate*0.9) * max(1-2/capacity, 0)), AmountOf(capacity)}
}

// idleBeforeReturn is how long an account with a target capacity of 0 may be
// idle before the node gives empty borrowed capacity back.
const idleBeforeReturn = 20 * time.Millisecond

// isLow reports whether so few tokens are left that more should be requested
// before requests have to wait for them.
func (a *account) isLow() bool {
	return a.bucket.tokens < float64(OneToken) && a.bucket.usage.rate*prefetchTime.Seconds() >= 1
}

// Tick updates shares and usage estimates and reports whether the quota of an
// account is so far from its use that a report should be sent at once. Call it
// about every 50 ms.
func (l *Limiter) Tick() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.instant()
	l.mayAdmit(now)
	l.updateOwned(now)
	urgent := false
	for _, a := range l.allAccounts() {
		a.mu.Lock()
		a.bucket.advance(now)
		urgent = a.needsRebalance(now) || urgent
		a.mu.Unlock()
	}
	return urgent
}

// renewAhead is how long before its end a loan that is in use is renewed
// without waiting for the next regular report.
const renewAhead = 300 * time.Millisecond

// isUrgent reports whether a report that does not cover all accounts should
// have an entry for this one.
func (a *account) isUrgent(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.advance(now)
	return (len(a.queue) > 0 || a.refusedSinceReport > 0) && now >= a.retryAt || a.needsRebalance(now)
}

// needsRebalance reports whether the account's quota on this node is so far
// from its use that a report should be sent at once.
func (a *account) needsRebalance(now time.Duration) bool {
	b := a.bucket
	target := a.target(b.usage.sample(now))
	if excessRate := b.usable.rate - target.rate; excessRate > target.rate {
		// Tokens that overflow a bucket are lost to all hosts.
		if b.overflow > float64(OneToken)/2 || excessRate > AmountOf(a.rate/10) {
			return true
		}
	}
	if target.capacity == 0 && now-b.usage.lastEventAt > idleBeforeReturn && b.borrowedCapacity(now)-Amount(b.tokens) >= OneToken {
		// Borrowed capacity that stays empty is missing on the broker, where
		// it could be filled.
		return true
	}
	for _, s := range b.borrowed {
		if endingRate := s.at(now).rate - s.at(now+renewAhead).rate; endingRate > 0 && b.usable.rate-endingRate < target.rate*3/4 {
			return true
		}
	}
	return false
}

// NextReport returns the next report to a parent. It returns false while the
// node may not admit requests, because it may not lend then either.
func (l *Limiter) NextReport(parent string) (Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.instant()
	if !l.mayAdmit(now) {
		return Report{}, false
	}
	l.updateOwned(now)
	link := l.parentLink(parent)
	r := link.newReport(l.clock.boot, now)
	if !link.canDeposit(now) {
		return r, true
	}
	accounts, full := l.allAccounts(), link.startFullReport(now)
	for _, name := range slices.Sorted(maps.Keys(accounts)) {
		if !full && !accounts[name].isUrgent(now) {
			continue
		}
		entry := ReportEntry{Account: name}
		accounts[name].fillEntry(link, &entry, now)
		r.Entries = append(r.Entries, entry)
	}
	return r, true
}

func (l *Limiter) parentLink(parent string) *parentLink {
	if l.parentLinks == nil {
		l.parentLinks = map[string]*parentLink{}
	}
	link := l.parentLinks[parent]
	if link == nil {
		link = &parentLink{parentID: parent, ownsShares: true, lastFullAt: -minFullReportInterval}
		l.parentLinks[parent] = link
	}
	return link
}

// prefetchTime is for how much time of use tokens are requested in addition to
// those for waiting requests, so that a steady stream asks less often.
const prefetchTime = 100 * time.Millisecond

// fillEntry fills the report entry for the parent. The node keeps its target and
// asks for tokens for requests that wait, were refused or are expected soon.
func (a *account) fillEntry(link *parentLink, entry *ReportEntry, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.bucket
	b.advance(now)
	usedRate := b.usage.sample(now)
	target := a.target(usedRate)
	requests := Amount(len(a.queue))
	if requests == 0 && a.refusedSinceReport > 0 {
		requests = 1
	}
	a.refusedSinceReport = 0
	if requests > 0 || a.isLow() {
		requests += Amount(usedRate * prefetchTime.Seconds())
	}
	// Below a quarter of the target capacity, ask for tokens up to half of it.
	// Only whole tokens: a request cannot use a fraction.
	neededTokens := requests*OneToken - Amount(b.tokens)
	if Amount(b.tokens) < target.capacity/4 {
		neededTokens = max(neededTokens, target.capacity/2-Amount(b.tokens))
	}
	neededTokens = max(neededTokens+OneToken-1, 0) / OneToken * OneToken
	if now < a.retryAt {
		neededTokens = 0
	}
	link.fillEntry(b, entry, target, neededTokens, now)
	entry.WantTokens = neededTokens
	b.overflow = 0
}

// HandleReply applies the reply to the last report to a parent. It reports
// whether another report should follow at once: the first exchange only learns
// the broker's clock, and so does one whose report was stale.
func (l *Limiter) HandleReply(parent string, r Reply) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.instant()
	link := l.parentLink(parent)
	firstContact, reportedDeposits, process := !link.canDeposit(now), link.reportedDeposits, link.process
	if !link.acceptReply(&r, now) {
		return false
	}
	if r.Version > 0 {
		l.share.confirm(r.Version, now-time.Duration(r.VersionAgeMs)*time.Millisecond)
	}
	if firstContact || r.Stale || process != link.process {
		return firstContact || r.Stale
	}
	accounts := l.allAccounts()
	for i := range r.Entries {
		entry := &r.Entries[i]
		if _, ok := reportedDeposits[entry.Account]; !ok {
			continue
		}
		delete(reportedDeposits, entry.Account)
		if a := accounts[entry.Account]; a != nil {
			a.applyReplyEntry(link, entry, process, now)
		}
	}
	for name, v := range reportedDeposits {
		if a := accounts[name]; a != nil {
			a.applyReplyEntry(link, &ReplyEntry{DepositedRate: v.rate, DepositedCapacity: v.capacity}, process, now)
		}
	}
	return false
}

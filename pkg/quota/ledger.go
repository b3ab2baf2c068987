package quota

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// A Ledger holds one node's quota of every account. Its methods may be called
// from any goroutine.
type Limiter struct {
	// Now reads the clock; set before first use.
	Now func() time.Time
	// Allowed reports whether the node may spend at an instant. Nil means
	// always. It must be cheap and safe for concurrent use.
	MayAdmit func(time.Time) bool
	// Wake is called when a report should be sent at once. It must not block.
	RequestReport func()
	// Boot identifies this run of the process; 0 chooses a random number.
	Boot uint64

	clock    clock
	accounts atomic.Pointer[map[string]*account]
	known    atomic.Int64 // when the node last was allowed to spend

	mu    sync.Mutex // guards share, links and changes of accounts
	share share
	links map[string]*uplink
}

// An account is a book with the requests that wait for its tokens.
type account struct {
	mu          sync.Mutex
	book        *book
	rate, burst float64
	queue       []*waiter
	missed      int // refused requests since the last report
	retryAt     time.Duration
	backoff     time.Duration
}

func (l *Limiter) instant() time.Duration { return l.clock.instant(l.Now, l.Boot) }

func (l *Limiter) mayAdmit(now time.Duration) bool {
	if l.MayAdmit != nil && !l.MayAdmit(l.clock.start.Add(now)) {
		return false
	}
	if now > time.Duration(l.known.Load()) {
		l.known.Store(int64(now))
	}
	return true
}

// Start begins the wait of a new process, which is over once every loan that
// an earlier process of the host made has ended. Configure starts it too.
func (l *Limiter) Start() { l.instant() }

// Configure puts a configuration into force. self is the host's ID.
func (l *Limiter) Configure(s *config.Snapshot, self string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.instant()
	trusted := l.share.version > 0 && now-time.Duration(l.known.Load()) < MaxConfirmationGap
	l.share.configure(s.Version, shareOf(s, self), now, trusted)
	old := l.all()
	books := make(map[string]*account, len(s.Accounts))
	for name := range s.Accounts {
		a := old[name]
		if a == nil {
			a = &account{book: newBook(now)}
		}
		e := s.EffectiveValues("", "", name)
		a.mu.Lock()
		a.rate, a.burst = e.Rate, e.Burst
		a.mu.Unlock()
		books[name] = a
	}
	for name, a := range old {
		if books[name] == nil && a.retire(now) {
			books[name] = a
		}
	}
	l.accounts.Store(&books)
	l.refresh(now)
}

// retire ends an account that is no longer configured. It reports whether the
// book is still needed because loans run.
func (a *account) retire(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rate, a.burst = 0, 0
	a.book.setOwn(volume{}, now)
	return len(a.book.in)+len(a.book.out) > 0
}

// shareOf returns the number of hosts that share every account, or 0 if the
// host is none of them.
func shareOf(s *config.Snapshot, self string) int {
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

func (l *Limiter) all() map[string]*account {
	if m := l.accounts.Load(); m != nil {
		return *m
	}
	return nil
}

// refresh brings the node's own volumes up to date.
func (l *Limiter) refresh(now time.Duration) {
	n := l.share.divisor(now)
	if now < MaxLoanTerm+OwnerMargin {
		n = 0
	}
	for _, a := range l.all() {
		var own volume
		if n > 0 {
			own = volume{AmountOf(a.rate) / Amount(n), AmountOf(a.burst) / Amount(n)}
		}
		a.mu.Lock()
		if a.book.own != own {
			a.book.setOwn(own, now)
		}
		a.mu.Unlock()
	}
}

// Take spends a token of the account if the node has one. A request that
// waits goes first. Accounts that are not configured get nothing.
func (l *Limiter) Take(name string) bool {
	a := l.all()[name]
	if a == nil {
		return false
	}
	now := l.instant()
	if !l.mayAdmit(now) {
		return false
	}
	a.mu.Lock()
	ok := a.take(now)
	wake := (!ok || a.low()) && now >= a.retryAt
	if !ok {
		a.missed++
	}
	a.mu.Unlock()
	if wake {
		l.requestReport()
	}
	return ok
}

func (a *account) take(now time.Duration) bool {
	a.book.advance(now)
	a.book.use.hit(1, now)
	return len(a.queue) == 0 && a.book.spend(OneToken)
}

func (l *Limiter) requestReport() {
	if l.RequestReport != nil {
		l.RequestReport()
	}
}

// target is the volume a node keeps for an account of which it uses rate
// tokens per second. Three quarters of the burst stay with the brokers, for
// requests that come in elsewhere.
func (a *account) target(rate float64) volume {
	return targetOf(a.rate, a.burst, rate, 0.25, 8)
}

// targetOf returns the volume to keep for a use, where part of the burst may
// be kept away from the root. A small bucket spills much of a rate close to
// its use, so part of the use is fetched as tokens, and all of it where the
// bucket would hold less than least tokens.
func targetOf(rate, burst, use, part, least float64) volume {
	if rate <= 0 || use <= 0 {
		return volume{}
	}
	c := burst * min(use/rate, 1) * part
	if c < least {
		return volume{}
	}
	return volume{AmountOf(min(use, rate*0.9) * max(1-2/c, 0)), AmountOf(c)}
}

// returnAfter is how long an account without a bucket of its own here may be
// idle before it gives empty capacity back.
const returnAfter = 20 * time.Millisecond

// low reports whether so few tokens are left that more should be fetched
// before requests have to wait for them.
func (a *account) low() bool {
	return a.book.k < float64(OneToken) && a.book.use.rate*prefetch.Seconds() >= 1
}

// Tick brings shares and estimates up to date and reports whether the node
// holds so much more than it uses that a report should be sent at once. Call
// it about every 50 ms.
func (l *Limiter) Tick() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.instant()
	l.mayAdmit(now)
	l.refresh(now)
	urgent := false
	for _, a := range l.all() {
		a.mu.Lock()
		a.book.advance(now)
		urgent = a.uneven(now) || urgent
		a.mu.Unlock()
	}
	return urgent
}

// renewAhead is how long before its end a loan that is in use is renewed out
// of turn.
const renewAhead = 300 * time.Millisecond

// pressing reports whether a report should name the account out of turn.
func (a *account) pressing(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.book.advance(now)
	return (len(a.queue) > 0 || a.missed > 0) && now >= a.retryAt || a.uneven(now)
}

// uneven reports whether the account's quota here is so far from its use that
// a report should not wait for its turn.
func (a *account) uneven(now time.Duration) bool {
	b := a.book
	t := a.target(b.use.sample(now))
	if over := b.v.r - t.r; over > t.r {
		// What a full bucket spills is lost to the whole fleet.
		if b.spilt > float64(OneToken)/2 || over > AmountOf(a.rate/10) {
			return true
		}
	}
	if t.c == 0 && now-b.use.lastHit > returnAfter && b.borrowed(now)-Amount(b.k) >= OneToken {
		// Capacity that is lent out and empty fills nowhere.
		return true
	}
	for _, s := range b.in {
		if lapse := s.at(now).r - s.at(now+renewAhead).r; lapse > 0 && b.v.r-lapse < t.r*3/4 {
			return true
		}
	}
	return false
}

// Report composes the next report to a parent. It returns false while the
// node may not spend, as it may not lend then either.
func (l *Limiter) NextReport(parent string) (Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.instant()
	if !l.mayAdmit(now) {
		return Report{}, false
	}
	l.refresh(now)
	x := l.link(parent)
	r := x.open(l.clock.boot, now)
	if !x.usable(now) {
		return r, true
	}
	all, full := l.all(), x.complete(now)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if !full && !all[name].pressing(now) {
			continue
		}
		o := ReportEntry{Account: name}
		all[name].offer(x, &o, now)
		r.Entries = append(r.Entries, o)
	}
	return r, true
}

func (l *Limiter) link(parent string) *uplink {
	if l.links == nil {
		l.links = map[string]*uplink{}
	}
	x := l.links[parent]
	if x == nil {
		x = &uplink{parent: parent, owner: true, full: -fullGap}
		l.links[parent] = x
	}
	return x
}

// prefetch is how much use a request for tokens covers beyond the requests
// that wait, so that a steady stream asks less often.
const prefetch = 100 * time.Millisecond

func (a *account) offer(x *uplink, o *ReportEntry, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.book
	b.advance(now)
	rate := b.use.sample(now)
	t := a.target(rate)
	n := Amount(len(a.queue))
	if n == 0 && a.missed > 0 {
		n = 1
	}
	a.missed = 0
	if n > 0 || a.low() {
		n += Amount(rate * prefetch.Seconds())
	}
	// Half of the capacity is filled when a quarter or less is left. Whole
	// tokens only: a fraction would lie idle here.
	need := n*OneToken - Amount(b.k)
	if Amount(b.k) < t.c/4 {
		need = max(need, t.c/2-Amount(b.k))
	}
	need = max(need+OneToken-1, 0) / OneToken * OneToken
	if now < a.retryAt {
		need = 0
	}
	x.plan(b, o, t, need, now)
	o.WantTokens = need
	b.spilt = 0
}

// Settle books the reply to the last report to a parent. It reports whether a
// further report should follow at once, which is so after the first contact.
func (l *Limiter) HandleReply(parent string, r Reply) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.instant()
	x := l.link(parent)
	first, told, party := !x.usable(now), x.told, x.party
	if !x.accept(&r, now) {
		return false
	}
	if r.Version > 0 {
		l.share.confirm(r.Version, now-time.Duration(r.VersionAgeMs)*time.Millisecond)
	}
	if first || r.Stale || party != x.party {
		return first || r.Stale
	}
	all := l.all()
	for i := range r.Entries {
		g := &r.Entries[i]
		if _, ok := told[g.Account]; !ok {
			continue
		}
		delete(told, g.Account)
		if a := all[g.Account]; a != nil {
			a.settle(x, g, party, now)
		}
	}
	for name, v := range told {
		if a := all[name]; a != nil {
			a.settle(x, &ReplyEntry{DepositedRate: v.r, DepositedCapacity: v.c}, party, now)
		}
	}
	return false
}

package quota

import (
	"math"
	"sort"
	"time"
)

// A bucket is the token bucket of one account on one node, with the portions
// that the node owns, borrowed and lent.
//
// Invariants: lending never makes owned + borrowed - lent negative, now or at
// any later instant; tokens never exceed the usable capacity; tokens are moved
// to another node only together with at least as much capacity.
type bucket struct {
	owned          portion
	borrowed, lent map[string]schedule // by the other side's processName

	tokens      float64       // in units of Amount
	usable      portion       // owned + borrowed - lent at updatedAt
	updatedAt   time.Duration // until when tokens and usable are computed
	nextStepEnd time.Duration // the earliest end of a loan step

	usage    usageEstimate
	overflow float64 // tokens lost since the last report because the bucket was full
}

// never is an instant that is not reached.
const never = time.Duration(math.MaxInt64)

func newBucket(now time.Duration) *bucket {
	return &bucket{borrowed: map[string]schedule{}, lent: map[string]schedule{}, updatedAt: now, nextStepEnd: never}
}

// advance refills the bucket up to now. The end of a loan step takes effect at
// its own instant, however late advance is called.
func (b *bucket) advance(now time.Duration) {
	if now <= b.updatedAt {
		return
	}
	for b.nextStepEnd <= now {
		t := b.nextStepEnd
		b.refill(t)
		b.updateUsable()
	}
	b.refill(now)
}

func (b *bucket) refill(t time.Duration) {
	if t <= b.updatedAt {
		return
	}
	if b.usable.rate > 0 {
		b.tokens += float64(b.usable.rate) * (t - b.updatedAt).Seconds()
	}
	b.updatedAt = t
	b.discardOverflow()
}

func (b *bucket) discardOverflow() {
	if c := float64(max(b.usable.capacity, 0)); b.tokens > c {
		b.overflow += b.tokens - c
		b.tokens = c
	}
}

// updateUsable recomputes usable and nextStepEnd as of updatedAt.
func (b *bucket) updateUsable() {
	b.usable, b.nextStepEnd = b.owned, never
	for process, s := range b.borrowed {
		s = b.trimLoan(b.borrowed, process, s)
		b.usable = b.usable.plus(s.at(b.updatedAt))
	}
	for process, s := range b.lent {
		s = b.trimLoan(b.lent, process, s)
		b.usable = b.usable.minus(s.at(b.updatedAt))
	}
	b.discardOverflow()
}

// trimLoan removes the ended steps of a loan in a map and returns the rest.
func (b *bucket) trimLoan(loans map[string]schedule, process string, s schedule) schedule {
	s = s.withoutEndedSteps(b.updatedAt)
	if len(s) == 0 {
		delete(loans, process)
		return nil
	}
	loans[process] = s
	b.nextStepEnd = min(b.nextStepEnd, s[0].until)
	return s
}

// setOwned changes the portion that the node owns. Added capacity is empty.
func (b *bucket) setOwned(v portion, now time.Duration) {
	b.advance(now)
	b.owned = v
	b.updateUsable()
}

// borrowedCapacity returns the capacity that the node has borrowed.
func (b *bucket) borrowedCapacity(now time.Duration) Amount {
	var c Amount
	for _, s := range b.borrowed {
		c += s.at(now).capacity
	}
	return c
}

// spend takes the amount out of the bucket if the bucket holds it.
func (b *bucket) spend(amount Amount) bool {
	if b.tokens < float64(amount) {
		return false
	}
	b.tokens -= float64(amount)
	return true
}

// changeLoans calls change, which changes loans, and then adds the tokens that
// came with them. It adds at most as many tokens as usable capacity was gained,
// so a late message whose loan has ended adds none.
func (b *bucket) changeLoans(tokens Amount, change func()) {
	capacityBefore := b.usable.capacity
	change()
	b.updateUsable()
	if tokens = min(tokens, b.usable.capacity-capacityBefore); tokens > 0 {
		b.tokens += float64(tokens)
		b.discardOverflow()
	}
}

// withdraw takes up to the amount out of the bucket for a transfer and returns
// how much it took. Transfers are whole units of Amount, so nothing is lost to
// rounding.
func (b *bucket) withdraw(amount Amount) Amount {
	amount = min(amount, Amount(b.tokens))
	if amount <= 0 {
		return 0
	}
	b.tokens -= float64(amount)
	return amount
}

// minUsable returns, for each instant of ends in rising order, the minimum of
// the usable rate and capacity from now until then. It leaves out the loans
// from exceptFrom and those to exceptTo.
func (b *bucket) minUsable(ends []time.Duration, exceptFrom, exceptTo string) []portion {
	current := b.owned
	var changes []step // what ends (borrowed) or returns (lent) at an instant
	addLoans := func(loans map[string]schedule, sign Amount, except string) {
		for process, s := range loans {
			if process == except {
				continue
			}
			held := s.at(b.updatedAt)
			current = current.plus(portion{held.rate * sign, held.capacity * sign})
			for i, st := range s {
				var following portion
				if i+1 < len(s) {
					following = s[i+1].portion
				}
				change := following.minus(st.portion)
				changes = append(changes, step{st.until, portion{change.rate * sign, change.capacity * sign}})
			}
		}
	}
	addLoans(b.borrowed, 1, exceptFrom)
	addLoans(b.lent, -1, exceptTo)
	sort.Slice(changes, func(i, j int) bool { return changes[i].until < changes[j].until })
	minima := make([]portion, 0, len(ends))
	lowest, i := current, 0
	for _, end := range ends {
		for i < len(changes) && changes[i].until < end {
			t := changes[i].until
			for i < len(changes) && changes[i].until == t {
				current = current.plus(changes[i].portion)
				i++
			}
			lowest = lowest.min(current)
		}
		minima = append(minima, lowest)
	}
	return minima
}

// A usageEstimate estimates a rate of events over about the last usageWindow.
type usageEstimate struct {
	events      float64
	rate        float64 // events per second
	sampledAt   time.Duration
	lastEventAt time.Duration
}

const usageWindow = time.Second

func (u *usageEstimate) record(n float64, now time.Duration) {
	u.events += n
	u.lastEventAt = now
}

// sample adds the events since the last sample to the estimate and returns the
// estimated rate. If no event came for longer than four average gaps between
// events, it returns a lower rate at once, so that the quota of an account
// whose requests moved to other nodes follows them.
func (u *usageEstimate) sample(now time.Duration) float64 {
	if elapsed := now - u.sampledAt; elapsed >= 10*time.Millisecond {
		decay := math.Exp(-elapsed.Seconds() / usageWindow.Seconds())
		u.rate = u.rate*decay + u.events/elapsed.Seconds()*(1-decay)
		u.events, u.sampledAt = 0, now
	}
	if idle := (now - u.lastEventAt).Seconds(); idle > 0 && u.rate*idle > 4 {
		return 4 / idle * math.Exp(4-u.rate*idle)
	}
	return u.rate
}

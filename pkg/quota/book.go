package quota

import (
	"math"
	"sort"
	"time"
)

// A book is one account's state on one node: what the node owns, borrowed and
// lent, and the bucket that results.
//
// Invariants: own + in - out is never made negative by lending, at no instant
// from now on; tokens never exceed the capacity that results; tokens are
// moved only together with at least as much capacity.
type book struct {
	own     volume
	in, out map[string]schedule

	k    float64 // tokens, in units of Amount
	v    volume  // own + in - out at last
	last time.Duration
	next time.Duration // the next end of a level

	use   usage
	spilt float64 // tokens lost to a full bucket since the last report
}

const never = time.Duration(math.MaxInt64)

func newBook(now time.Duration) *book {
	return &book{in: map[string]schedule{}, out: map[string]schedule{}, last: now, next: never}
}

// advance refills the bucket up to now. A level's end takes effect at its own
// instant, however late advance is called.
func (b *book) advance(now time.Duration) {
	if now <= b.last {
		return
	}
	for b.next <= now {
		t := b.next
		b.refill(t)
		b.recompute()
	}
	b.refill(now)
}

func (b *book) refill(t time.Duration) {
	if t <= b.last {
		return
	}
	if b.v.r > 0 {
		b.k += float64(b.v.r) * (t - b.last).Seconds()
	}
	b.last = t
	b.clip()
}

func (b *book) clip() {
	if c := float64(max(b.v.c, 0)); b.k > c {
		b.spilt += b.k - c
		b.k = c
	}
}

// recompute derives volume and next end after any change at the instant last.
func (b *book) recompute() {
	b.v, b.next = b.own, never
	for p, s := range b.in {
		s = b.keep(b.in, p, s)
		b.v = b.v.plus(s.at(b.last))
	}
	for p, s := range b.out {
		s = b.keep(b.out, p, s)
		b.v = b.v.minus(s.at(b.last))
	}
	b.clip()
}

func (b *book) keep(m map[string]schedule, p string, s schedule) schedule {
	s = s.trim(b.last)
	if len(s) == 0 {
		delete(m, p)
		return nil
	}
	m[p] = s
	b.next = min(b.next, s[0].until)
	return s
}

// setOwn changes the node's own volume. Capacity that is gained starts empty.
func (b *book) setOwn(v volume, now time.Duration) {
	b.advance(now)
	b.own = v
	b.recompute()
}

// borrowed returns the capacity that the node has borrowed.
func (b *book) borrowed(now time.Duration) Amount {
	var c Amount
	for _, s := range b.in {
		c += s.at(now).c
	}
	return c
}

// spend takes n units if the bucket holds them.
func (b *book) spend(n Amount) bool {
	if b.k < float64(n) {
		return false
	}
	b.k -= float64(n)
	return true
}

// exchange changes loans and then adds the tokens that came with them. Tokens
// count only as far as capacity came with them: a late message whose loan has
// ended brings nothing.
func (b *book) exchange(k Amount, change func()) {
	was := b.v.c
	change()
	b.recompute()
	if k = min(k, b.v.c-was); k > 0 {
		b.k += float64(k)
		b.clip()
	}
}

// remove takes up to k units out of the bucket for a transfer and returns how
// many. Transfers are whole units, so nothing is lost to rounding.
func (b *book) remove(k Amount) Amount {
	k = min(k, Amount(b.k))
	if k <= 0 {
		return 0
	}
	b.k -= float64(k)
	return k
}

// floors returns, for each instant of ends in rising order, the least volume
// the node has from now until then, leaving out the loans from one party and
// those to another.
func (b *book) floors(ends []time.Duration, notFrom, notTo string) []volume {
	v := b.own
	var steps []level // volume that is lost (in) or returns (out) at an end
	gather := func(m map[string]schedule, sign Amount, without string) {
		for p, s := range m {
			if p == without {
				continue
			}
			a := s.at(b.last)
			v = v.plus(volume{a.r * sign, a.c * sign})
			for i, l := range s {
				var n volume
				if i+1 < len(s) {
					n = s[i+1].v
				}
				d := n.minus(l.v)
				steps = append(steps, level{l.until, volume{d.r * sign, d.c * sign}})
			}
		}
	}
	gather(b.in, 1, notFrom)
	gather(b.out, -1, notTo)
	sort.Slice(steps, func(i, j int) bool { return steps[i].until < steps[j].until })
	out := make([]volume, 0, len(ends))
	least, i := v, 0
	for _, e := range ends {
		for i < len(steps) && steps[i].until < e {
			t := steps[i].until
			for i < len(steps) && steps[i].until == t {
				v = v.plus(steps[i].v)
				i++
			}
			least = least.min(v)
		}
		out = append(out, least)
	}
	return out
}

// A usage estimates a rate of events over about the last second.
type usage struct {
	hits    float64
	rate    float64 // events per second
	sampled time.Duration
	lastHit time.Duration
}

const usageWindow = time.Second

func (u *usage) hit(n float64, now time.Duration) {
	u.hits += n
	u.lastHit = now
}

// sample folds the hits since the last sample into the estimate. An account
// whose requests stopped for longer than four usual gaps is estimated lower
// at once, so that its quota moves to where the requests went.
func (u *usage) sample(now time.Duration) float64 {
	if dt := now - u.sampled; dt >= 10*time.Millisecond {
		f := math.Exp(-dt.Seconds() / usageWindow.Seconds())
		u.rate = u.rate*f + u.hits/dt.Seconds()*(1-f)
		u.hits, u.sampled = 0, now
	}
	if idle := (now - u.lastHit).Seconds(); idle > 0 && u.rate*idle > 4 {
		return 4 / idle * math.Exp(4-u.rate*idle)
	}
	return u.rate
}

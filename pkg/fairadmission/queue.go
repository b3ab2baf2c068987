package fairadmission

import (
	"container/heap"
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// firstEstimate is the assumed service time before any call was measured.
	firstEstimate = 10 * time.Millisecond
	// burstCalls is the number of calls, times its weight, that an account
	// may send at once before its calls wait behind those of the others.
	burstCalls = 32
	// maxDebt bounds, in calls times weight, what an account owes for calls
	// that took longer than estimated, so that one very slow call does not
	// shut it out.
	maxDebt = 4
)

// virtual is a point on the scale by which accounts are compared: the service
// time that an account of weight 1 gets while all of them wait.
type virtual float64

// An account is one client account's queue.
type account struct {
	name   string
	weight float64
	calls  deadlines
	// turns holds one entry for each waiting call, in order of arrival. The
	// call with the earliest deadline takes the first turn.
	turns []turn
	// used is where the account's use of the server stands.
	used virtual
	// service is the moving average of the account's service time, and
	// spread that of the distance from it.
	service, spread time.Duration
}

// A turn is the right of an account to be served, lowest first.
type turn struct {
	at  virtual
	seq uint64
}

func (t turn) before(o turn) bool {
	return t.at < o.at || (t.at == o.at && t.seq < o.seq)
}

// queues shares the server between accounts by weighted fair queueing. Calls
// of accounts that used no more than their share, give or take a burst, are
// served first come, first served, so all such accounts wait equally long.
// Calls beyond the share wait for their turn on the scale of virtual time.
// The cost of a call is its service time, so slow calls buy no larger share.
type queues struct {
	accounts map[string]*account
	// waiting holds the accounts with waiting calls.
	waiting []*account
	queued  int
	seq     uint64
	// now is the virtual time: the turn served last. It never falls.
	now virtual
	// most is the largest used of all accounts since the queues were empty.
	most    virtual
	service time.Duration // moving average over all accounts
	// weights is scaled so that the least is 1.
	weights map[string]float64
	burst   float64
}

func (q *queues) account(name string) *account {
	a := q.accounts[name]
	if a == nil {
		a = &account{name: name, weight: q.weight(name)}
		q.accounts[name] = a
	}
	return a
}

func (q *queues) weight(name string) float64 {
	return max(1, q.weights[name])
}

// reweigh applies new weights and forgets idle accounts that have none, so
// that withdrawn accounts don't accumulate.
func (q *queues) reweigh(weights map[string]float64) {
	least := math.Inf(1)
	for _, w := range weights {
		if w > 0 {
			least = min(least, w)
		}
	}
	q.weights = make(map[string]float64, len(weights))
	for name, w := range weights {
		q.weights[name] = w / least
	}
	for name, a := range q.accounts {
		a.weight = q.weight(name)
		if q.weights[name] == 0 && len(a.calls) == 0 {
			delete(q.accounts, name)
		}
	}
}

func (q *queues) push(p *PendingRequest) {
	a := p.account
	if len(a.calls) == 0 {
		q.waiting = append(q.waiting, a)
	}
	heap.Push(&a.calls, p)
	q.queued++
	q.seq++
	p.charged = q.estimate(a)
	a.turns = append(a.turns, turn{q.turn(a), q.seq})
	q.charge(a, p.charged)
}

// turn returns where the account's next call will stand: at the virtual time
// if the account has used no more than its share and a burst.
func (q *queues) turn(a *account) virtual {
	credit := virtual(q.burst * float64(q.mean()))
	a.used = max(a.used, q.now-credit)
	return max(a.used, q.now)
}

func (q *queues) charge(a *account, d time.Duration) {
	a.used += virtual(float64(d) / a.weight)
	q.most = max(q.most, a.used)
}

// next takes the call to serve out of its queue. There must be one.
func (q *queues) next() *PendingRequest {
	best := q.waiting[0]
	for _, a := range q.waiting[1:] {
		if a.turns[0].before(best.turns[0]) {
			best = a
		}
	}
	q.now = max(q.now, best.turns[0].at)
	p := best.calls[0]
	q.take(p, 0)
	return p
}

// remove takes out a call that is not served; the account gets its charge
// back and loses its last turn.
func (q *queues) remove(p *PendingRequest) {
	q.charge(p.account, -p.charged)
	q.take(p, len(p.account.turns)-1)
}

func (q *queues) take(p *PendingRequest, turn int) {
	a := p.account
	heap.Remove(&a.calls, p.index)
	a.turns = slices.Delete(a.turns, turn, turn+1)
	q.queued--
	if len(a.calls) == 0 {
		i := slices.Index(q.waiting, a)
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	if q.queued == 0 {
		// Use of an idle server is held against no one.
		q.now = max(q.now, q.most)
	}
}

func (q *queues) mean() time.Duration {
	if q.service == 0 {
		return firstEstimate
	}
	return q.service
}

func (q *queues) estimate(a *account) time.Duration {
	if a.service == 0 {
		return q.mean()
	}
	return a.service
}

func (q *queues) drain() []*PendingRequest {
	return q.removeAll(func(*PendingRequest) bool { return true })
}

func (q *queues) expired(now time.Time) []*PendingRequest {
	return q.removeAll(func(p *PendingRequest) bool {
		return !p.call.Deadline.IsZero() && !now.Before(p.call.Deadline)
	})
}

func (q *queues) removeAll(match func(*PendingRequest) bool) []*PendingRequest {
	var out []*PendingRequest
	for _, a := range q.waiting {
		for _, p := range a.calls {
			if match(p) {
				out = append(out, p)
			}
		}
	}
	for _, p := range out {
		q.remove(p)
	}
	return out
}

// measured learns from a call's service time. A call that was charged an
// estimate is charged the difference.
func (q *queues) measured(name string, charged, d time.Duration) {
	q.service = average(q.service, d)
	a := q.accounts[name]
	if a == nil {
		return
	}
	a.spread = average(a.spread, (d - a.service).Abs())
	a.service = average(a.service, d)
	if charged > 0 {
		q.charge(a, min(d-charged, maxDebt*q.mean()))
	}
}

// average weighs a new measurement with 1/16.
func average(old, d time.Duration) time.Duration {
	if old == 0 {
		return max(d, 1)
	}
	return max(old+(d-old)/16, 1)
}

// tooLate reports whether a new call would probably not end in the time that
// is left. It waits for the calls that are served before it and then runs; the
// margin of two spreads keeps most calls that are let in from ending too late.
// An account may have quick and slow calls, so the service time alone refuses
// no call: it counts for half of the time that is left at most.
func (g *Controller) tooLate(a *account, c *Request, left time.Duration) bool {
	q := &g.queues
	n := 0.0
	if q.turn(a) <= q.now {
		n = q.aheadInShare()
	} else {
		n = q.aheadBeyondShare(a, c.Deadline)
	}
	wait := time.Duration((n + 1) / float64(max(1, g.limit.permits)) * float64(q.mean()))
	return wait+min(q.estimate(a)+2*a.spread, left/2) > left
}

// aheadInShare counts the waiting calls of accounts inside their share.
func (q *queues) aheadInShare() float64 {
	n := 0
	for _, e := range q.waiting {
		n += sort.Search(len(e.turns), func(i int) bool { return e.turns[i].at > q.now })
	}
	return float64(n)
}

// aheadBeyondShare counts the account's own calls with earlier deadlines, and
// what the others are served meanwhile, which is not more than they have
// waiting.
func (q *queues) aheadBeyondShare(a *account, deadline time.Time) float64 {
	n := 0.0
	for _, p := range a.calls {
		if !p.call.Deadline.IsZero() && !p.call.Deadline.After(deadline) {
			n++
		}
	}
	own := n + 1
	for _, e := range q.waiting {
		if e != a {
			n += min(own*e.weight/a.weight, float64(len(e.calls)))
		}
	}
	return n
}

// deadlines is a heap of calls, earliest deadline first; calls without a
// deadline come last.
type deadlines []*PendingRequest

func (d deadlines) Len() int { return len(d) }

func (d deadlines) Less(i, j int) bool {
	a, b := d[i].call.Deadline, d[j].call.Deadline
	if a.IsZero() || b.IsZero() {
		return !a.IsZero()
	}
	return a.Before(b)
}

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

func (d *deadlines) Push(x any) {
	p := x.(*PendingRequest)
	p.index = len(*d)
	*d = append(*d, p)
}

func (d *deadlines) Pop() any {
	old := *d
	p := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	p.index = -1
	return p
}

package gate

import (
	"container/heap"
	"time"
)

// firstEstimate is the assumed service time before any call was measured.
const firstEstimate = 10 * time.Millisecond

// maxDebt bounds, in quanta, what an account owes after calls that took
// longer than estimated, so that one very slow call does not shut it out.
const maxDebt = 4

// An account is one client account's queue.
type account struct {
	name   string
	weight float64
	calls  deadlines
	// deficit is service time that the account may still use in this round.
	deficit time.Duration
	// service is the moving average of the account's service time.
	service time.Duration
	seen    uint64
}

// queues is a deficit round robin over accounts. An account is served while
// its deficit is positive, so one call may overdraw it by its own cost. The
// cost of a call is its service time, so slow calls buy no larger share.
type queues struct {
	accounts map[string]*account
	// ring holds the accounts with waiting calls; turn is the one served now.
	ring    []*account
	turn    int
	queued  int
	service time.Duration // moving average over all accounts
}

func (q *queues) account(name string, weights map[string]float64) *account {
	a := q.accounts[name]
	if a == nil {
		a = &account{name: name, weight: weightOf(name, weights)}
		q.accounts[name] = a
	}
	return a
}

func weightOf(name string, weights map[string]float64) float64 {
	if w := weights[name]; w > 0 {
		return w
	}
	return 1
}

// reweigh applies new weights and forgets idle accounts, so that withdrawn
// accounts don't accumulate.
func (q *queues) reweigh(weights map[string]float64) {
	for name, a := range q.accounts {
		a.weight = weightOf(name, weights)
		if len(a.calls) == 0 {
			delete(q.accounts, name)
		}
	}
}

func (q *queues) push(p *Pending) {
	a := p.account
	if len(a.calls) == 0 {
		q.ring = append(q.ring, a)
		a.deficit += q.quantum(a)
	}
	heap.Push(&a.calls, p)
	q.queued++
}

// next takes the call to serve out of its queue. There must be one. An
// account whose deficit is used gets its quantum for the next round.
func (q *queues) next() *Pending {
	for {
		q.turn %= len(q.ring)
		a := q.ring[q.turn]
		if a.deficit > 0 {
			p := a.calls[0]
			p.charged = q.estimate(a)
			a.deficit -= p.charged
			q.remove(p)
			return p
		}
		a.deficit += q.quantum(a)
		q.turn++
	}
}

func (q *queues) quantum(a *account) time.Duration {
	return time.Duration(a.weight * float64(q.mean()))
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

// remove takes a waiting call out of its account's queue.
func (q *queues) remove(p *Pending) {
	a := p.account
	heap.Remove(&a.calls, p.index)
	q.queued--
	if len(a.calls) > 0 {
		return
	}
	a.deficit = min(a.deficit, 0)
	for i, e := range q.ring {
		if e == a {
			q.ring = append(q.ring[:i], q.ring[i+1:]...)
			if i < q.turn {
				q.turn--
			}
			return
		}
	}
}

func (q *queues) drain() []*Pending {
	return q.take(func(*Pending) bool { return true })
}

func (q *queues) expired(now time.Time) []*Pending {
	return q.take(func(p *Pending) bool {
		return !p.call.Deadline.IsZero() && !now.Before(p.call.Deadline)
	})
}

func (q *queues) take(match func(*Pending) bool) []*Pending {
	var out []*Pending
	for _, a := range q.ring {
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
	a.service = average(a.service, d)
	if charged > 0 {
		a.deficit = max(a.deficit+charged-d, -maxDebt*q.quantum(a))
	}
}

// average weighs a new measurement with 1/16.
func average(old, d time.Duration) time.Duration {
	if old == 0 {
		return max(d, 1)
	}
	return max(old+(d-old)/16, 1)
}

// expectedWait estimates how long a new call of the account would wait and
// run: the calls ahead of it in its own queue, each round shared with the
// accounts that wait now.
func (g *Gate) expectedWait(a *account, c *Call) time.Duration {
	q := &g.queues
	ahead := 0
	for _, p := range a.calls {
		if !p.call.Deadline.After(c.Deadline) && !p.call.Deadline.IsZero() {
			ahead++
		}
	}
	others := 0.0
	for _, e := range q.ring {
		if e != a {
			// Others can't delay the call by more than what they have waiting.
			others += min(float64(ahead+1)*e.weight/a.weight, float64(len(e.calls)))
		}
	}
	n := (float64(ahead) + 1 + others) / float64(max(1, g.limit.permits))
	return time.Duration(n*float64(q.mean())) + q.estimate(a)
}

// deadlines is a heap of calls, earliest deadline first; calls without a
// deadline come last.
type deadlines []*Pending

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
	p := x.(*Pending)
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

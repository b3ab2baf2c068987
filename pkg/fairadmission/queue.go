package fairadmission

import (
	"container/heap"
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// initialServiceTime is the assumed service time before the first
	// measurement.
	initialServiceTime = 10 * time.Millisecond
	// burstRequests is the number of requests of mean service time, times its
	// weight, that an account may send at once before its requests wait behind
	// those of the others.
	burstRequests = 32
	// maxDebtRequests bounds what an account is charged afterwards for a request
	// that took longer than estimated, in requests of mean service time, so that
	// one very slow request does not exclude the account.
	maxDebtRequests = 4
)

// A virtualTime is a point in the virtual time of weighted fair queueing, in
// nanoseconds: the service time that an account of weight 1 has been given while
// all accounts have requests waiting.
type virtualTime float64

// An accountQueue holds the waiting requests of one client account.
type accountQueue struct {
	name     string
	weight   float64
	requests deadlineHeap
	// startTags holds one tag for each waiting request, in order of arrival.
	// The request with the earliest deadline uses the first tag.
	startTags []startTag
	// virtualFinish is the virtual time up to which the account has used its
	// share.
	virtualFinish virtualTime
	// meanService is the moving average of the account's service times, and
	// meanDeviation that of their absolute deviations from it.
	meanService, meanDeviation time.Duration
}

// A startTag is the virtual time at which an account's request is due. Requests
// are served in the order of their tags; seq is the order of arrival.
type startTag struct {
	at  virtualTime
	seq uint64
}

func (t startTag) before(o startTag) bool {
	return t.at < o.at || (t.at == o.at && t.seq < o.seq)
}

// A fairQueue shares the server among accounts by weighted fair queueing.
// Requests of accounts within their share and a burst are served first come,
// first served, so that all such accounts wait equally long. Requests beyond the
// share get later tags and are served in the order of the tags. The cost of a
// request is its service time, so slow requests give no larger share.
type fairQueue struct {
	accounts map[string]*accountQueue
	// backlogged holds the accounts with waiting requests.
	backlogged []*accountQueue
	queued     int
	seq        uint64
	// virtualNow is the current virtual time: the latest tag served. It never
	// decreases.
	virtualNow virtualTime
	// maxVirtualFinish is the maximum virtualFinish of all accounts since the
	// queue was last empty.
	maxVirtualFinish virtualTime
	meanService      time.Duration // moving average over all accounts
	// weights is scaled so that the lowest is 1.
	weights map[string]float64
	// burst is burstRequests, unless a test changes it.
	burst float64
}

// accountQueue returns the queue of an account; it creates it if needed.
func (q *fairQueue) accountQueue(name string) *accountQueue {
	a := q.accounts[name]
	if a == nil {
		a = &accountQueue{name: name, weight: q.weight(name)}
		q.accounts[name] = a
	}
	return a
}

func (q *fairQueue) weight(name string) float64 {
	return max(1, q.weights[name])
}

// setWeights applies new weights and removes idle accounts without a weight, so
// that the queues of withdrawn accounts don't accumulate.
func (q *fairQueue) setWeights(weights map[string]float64) {
	minWeight := math.Inf(1)
	for _, w := range weights {
		if w > 0 {
			minWeight = min(minWeight, w)
		}
	}
	q.weights = make(map[string]float64, len(weights))
	for name, w := range weights {
		q.weights[name] = w / minWeight
	}
	for name, a := range q.accounts {
		a.weight = q.weight(name)
		if q.weights[name] == 0 && len(a.requests) == 0 {
			delete(q.accounts, name)
		}
	}
}

// push adds a request and charges its estimated service time to the account.
func (q *fairQueue) push(p *PendingRequest) {
	a := p.accountQueue
	if len(a.requests) == 0 {
		q.backlogged = append(q.backlogged, a)
	}
	heap.Push(&a.requests, p)
	q.queued++
	q.seq++
	p.chargedTime = q.estimateService(a)
	a.startTags = append(a.startTags, startTag{q.startTag(a), q.seq})
	q.charge(a, p.chargedTime)
}

// startTag returns the tag of the account's next request: the current virtual
// time if the account has used no more than its share and a burst, else its
// virtualFinish.
func (q *fairQueue) startTag(a *accountQueue) virtualTime {
	credit := virtualTime(q.burst * float64(q.meanServiceOrInitial()))
	a.virtualFinish = max(a.virtualFinish, q.virtualNow-credit)
	return max(a.virtualFinish, q.virtualNow)
}

// charge adds a service time to what the account has used.
func (q *fairQueue) charge(a *accountQueue, d time.Duration) {
	a.virtualFinish += virtualTime(float64(d) / a.weight)
	q.maxVirtualFinish = max(q.maxVirtualFinish, a.virtualFinish)
}

// popNext removes and returns the request to be served next. There must be one.
func (q *fairQueue) popNext() *PendingRequest {
	best := q.backlogged[0]
	for _, a := range q.backlogged[1:] {
		if a.startTags[0].before(best.startTags[0]) {
			best = a
		}
	}
	q.virtualNow = max(q.virtualNow, best.startTags[0].at)
	p := best.requests[0]
	q.unlink(p, 0)
	return p
}

// remove removes a request that is not served. The account gets its charge back
// and loses its last tag.
func (q *fairQueue) remove(p *PendingRequest) {
	q.charge(p.accountQueue, -p.chargedTime)
	q.unlink(p, len(p.accountQueue.startTags)-1)
}

// unlink removes a request and the tag at index tag from the account's queue.
func (q *fairQueue) unlink(p *PendingRequest, tag int) {
	a := p.accountQueue
	heap.Remove(&a.requests, p.heapIndex)
	a.startTags = slices.Delete(a.startTags, tag, tag+1)
	q.queued--
	if len(a.requests) == 0 {
		i := slices.Index(q.backlogged, a)
		q.backlogged = slices.Delete(q.backlogged, i, i+1)
	}
	if q.queued == 0 {
		// Use of the server while no request waits is not held against any
		// account.
		q.virtualNow = max(q.virtualNow, q.maxVirtualFinish)
	}
}

func (q *fairQueue) meanServiceOrInitial() time.Duration {
	if q.meanService == 0 {
		return initialServiceTime
	}
	return q.meanService
}

func (q *fairQueue) estimateService(a *accountQueue) time.Duration {
	if a.meanService == 0 {
		return q.meanServiceOrInitial()
	}
	return a.meanService
}

func (q *fairQueue) drain() []*PendingRequest {
	return q.removeMatching(func(*PendingRequest) bool { return true })
}

func (q *fairQueue) removeExpired(now time.Time) []*PendingRequest {
	return q.removeMatching(func(p *PendingRequest) bool {
		return !p.request.Deadline.IsZero() && !now.Before(p.request.Deadline)
	})
}

func (q *fairQueue) removeMatching(match func(*PendingRequest) bool) []*PendingRequest {
	var out []*PendingRequest
	for _, a := range q.backlogged {
		for _, p := range a.requests {
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

// recordService records a request's service time. If an estimate was charged for
// the request, the account is charged the difference.
func (q *fairQueue) recordService(name string, chargedTime, d time.Duration) {
	q.meanService = movingAverage(q.meanService, d)
	a := q.accounts[name]
	if a == nil {
		return
	}
	a.meanDeviation = movingAverage(a.meanDeviation, (d - a.meanService).Abs())
	a.meanService = movingAverage(a.meanService, d)
	if chargedTime > 0 {
		q.charge(a, min(d-chargedTime, maxDebtRequests*q.meanServiceOrInitial()))
	}
}

// movingAverage returns the average with a new measurement of weight 1/16.
func movingAverage(old, d time.Duration) time.Duration {
	if old == 0 {
		return max(d, 1)
	}
	return max(old+(d-old)/16, 1)
}

// missesDeadline reports whether a new request would probably not end within the
// remaining time. It waits for the requests that are served before it and then
// runs. A margin of twice the mean deviation keeps most admitted requests from
// ending too late. An account may have quick and slow requests, so no request is
// refused for its service time alone, which counts for at most half of the
// remaining time.
func (c *Controller) missesDeadline(a *accountQueue, req *Request, remaining time.Duration) bool {
	q := &c.fairQueue
	ahead := 0.0
	if q.startTag(a) <= q.virtualNow {
		ahead = q.countAheadWithinShare()
	} else {
		ahead = q.countAheadBeyondShare(a, req.Deadline)
	}
	wait := time.Duration((ahead + 1) / float64(max(1, c.limiter.permits)) * float64(q.meanServiceOrInitial()))
	return wait+min(q.estimateService(a)+2*a.meanDeviation, remaining/2) > remaining
}

// countAheadWithinShare returns the number of waiting requests of accounts within
// their share.
func (q *fairQueue) countAheadWithinShare() float64 {
	n := 0
	for _, e := range q.backlogged {
		n += sort.Search(len(e.startTags), func(i int) bool { return e.startTags[i].at > q.virtualNow })
	}
	return float64(n)
}

// countAheadBeyondShare returns the number of requests that are served before a
// new request of an account beyond its share: the account's own requests with
// earlier deadlines, and the requests of the others that are served meanwhile.
func (q *fairQueue) countAheadBeyondShare(a *accountQueue, deadline time.Time) float64 {
	n := 0.0
	for _, p := range a.requests {
		if !p.request.Deadline.IsZero() && !p.request.Deadline.After(deadline) {
			n++
		}
	}
	own := n + 1
	for _, e := range q.backlogged {
		if e != a {
			n += min(own*e.weight/a.weight, float64(len(e.requests)))
		}
	}
	return n
}

// A deadlineHeap is a heap of requests, earliest deadline first. Requests without
// a deadline come last.
type deadlineHeap []*PendingRequest

func (d deadlineHeap) Len() int { return len(d) }

func (d deadlineHeap) Less(i, j int) bool {
	a, b := d[i].request.Deadline, d[j].request.Deadline
	if a.IsZero() || b.IsZero() {
		return !a.IsZero()
	}
	return a.Before(b)
}

func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

func (d *deadlineHeap) Push(x any) {
	p := x.(*PendingRequest)
	p.heapIndex = len(*d)
	*d = append(*d, p)
}

func (d *deadlineHeap) Pop() any {
	old := *d
	p := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	p.heapIndex = -1
	return p
}

// Package nestedthrottle decides whether a node starts a root request at its server,
// from what became of the requests that the server made for earlier ones. A run whose
// nested requests are not served is wasted: its slot and those of its other nested
// requests have served nobody.
//
// The decision is made for each kind of root request, because kinds differ in the
// services that they call and in the number of calls. The throttle admits a share of
// each kind. Wasted runs reduce it below the part that was served. Afterwards it
// follows how many of the served runs were strained: that shows sooner, and in more
// runs, than wasted ones do whether the called services have room. The package opens
// no socket.
package nestedthrottle

import (
	"sync"
	"time"
)

const (
	// maxKinds is the number of kinds that are tracked. The one that was offered
	// longest ago makes room.
	maxKinds = 64
	// forgetAfter is the time without a request of a kind after which its share
	// counts as unknown.
	forgetAfter = 10 * time.Second
	// baseRetryAfter is the retry time of a refused request at a share near 1. It
	// rises as the share falls, since refused callers take longer to be served.
	baseRetryAfter = 500 * time.Millisecond
	maxRetryAfter  = 2 * time.Second
)

// StrainDivisor is the part of the time left of a nested request from which on its
// wait for a slot strains its run. With a deadline of 250 ms it is 12 ms. With an eighth
// 1.8 times as many runs were wasted in the test of a chain: little time is left then
// between the first strained runs and the first wasted ones.
const StrainDivisor = 20

// An Outcome says how a run ended.
type Outcome int

// The outcomes of runs.
const (
	// Served: the run ended with a response that did not fail for lack of nested
	// requests.
	Served Outcome = iota
	// Strained: the run was served, but a nested request waited for a large part of
	// its time, so that the called service is near its limit.
	Strained
	// Wasted: the run failed because a nested request was not served.
	Wasted
	// Unclear: the run says nothing, for example because its caller left.
	Unclear
)

// A Throttle decides which root requests are started at one server. It is safe for
// concurrent use.
type Throttle struct {
	// Now is set before the first call.
	Now func() time.Time

	mu    sync.Mutex
	kinds map[string]*kind
}

// New returns a Throttle that admits all requests until runs are wasted.
func New() *Throttle { return &Throttle{Now: time.Now, kinds: map[string]*kind{}} }

// A Run is a root request that was admitted. Cancel or End must be called once. On a
// nil Run, which stands for a nested request, they have no effect.
type Run struct {
	throttle *Throttle
	kind     *kind
	began    time.Time
}

// Begin admits a root request of a kind, or returns nil and the time after which it
// may be tried again.
func (t *Throttle) Begin(name string) (r *Run, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	k := t.kind(name, now)
	k.offeredAt = now
	if !k.admit(now) {
		return nil, min(maxRetryAfter, time.Duration(float64(baseRetryAfter)/k.share))
	}
	return &Run{t, k, now}, 0
}

// Cancel records that the request was not started after all.
func (r *Run) Cancel() {
	if r == nil {
		return
	}
	r.throttle.mu.Lock()
	defer r.throttle.mu.Unlock()
	r.kind.credit = min(maxCredit, r.kind.credit+1)
}

// End records how the run ended.
func (r *Run) End(o Outcome) {
	if r == nil || o == Unclear {
		return
	}
	r.throttle.mu.Lock()
	defer r.throttle.mu.Unlock()
	r.kind.record(r.began, o, r.throttle.Now())
}

// Shares returns the admitted shares of the kinds of which not all requests are
// admitted.
func (t *Throttle) Shares() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	shares := map[string]float64{}
	now := t.Now()
	for name, k := range t.kinds {
		if k.share < 1 && now.Sub(k.offeredAt) <= forgetAfter {
			shares[name] = k.share
		}
	}
	return shares
}

// kind returns the state of a kind, which is new if the kind was not offered for long.
func (t *Throttle) kind(name string, now time.Time) *kind {
	k := t.kinds[name]
	if k != nil && now.Sub(k.offeredAt) <= forgetAfter {
		return k
	}
	if k == nil && len(t.kinds) >= maxKinds {
		oldest := ""
		for other, o := range t.kinds {
			if oldest == "" || o.offeredAt.Before(t.kinds[oldest].offeredAt) {
				oldest = other
			}
		}
		delete(t.kinds, oldest)
	}
	k = newKind(now)
	t.kinds[name] = k
	return k
}

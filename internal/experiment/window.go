package experiment

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// An admissionInterval is the period between sending and answer of one call.
// The call was admitted at some unknown moment in it.
type admissionInterval struct{ from, to time.Duration }

// maxWindowExcess returns the maximum, over all time windows, of the number of
// admitted requests minus rate*length+burst; it is negative if no window reaches
// the limit. A request counts for a window only if its whole interval lies
// inside, so a positive result proves that too many were admitted.
//
// Only windows from the start of one interval to the end of another can be the
// maximum. They are swept from the latest start to the earliest; a maxTree holds
// the sum for each end.
func maxWindowExcess(intervals []admissionInterval, rate, burst float64) float64 {
	if len(intervals) == 0 {
		return -burst
	}
	ends := slices.Clone(intervals)
	slices.SortFunc(ends, func(a, b admissionInterval) int { return cmp.Compare(a.to, b.to) })
	starts := slices.Clone(intervals)
	slices.SortFunc(starts, func(a, b admissionInterval) int { return cmp.Compare(b.from, a.from) })
	t := newMaxTree(len(ends))
	worst := math.Inf(-1)
	for _, s := range starts {
		// Each of several intervals with the same end is added from the first of
		// these ends on, so that all of them have the complete sum.
		i, _ := slices.BinarySearchFunc(ends, s.to, func(e admissionInterval, to time.Duration) int { return cmp.Compare(e.to, to) })
		for t.active[i] {
			i++
		}
		first := i
		for first > 0 && ends[first-1].to == s.to {
			first--
		}
		t.add(first, 1)
		t.activate(i, -rate*s.to.Seconds())
		worst = max(worst, t.max()+rate*s.from.Seconds()-burst)
	}
	return worst
}

// A maxTree is a segment tree with lazy additions. It returns the maximum of n
// sums and can add to all sums from an index on. A sum takes part in the maximum
// only after it is activated.
type maxTree struct {
	size        int
	maxima      []float64
	pendingAdds []float64
	active      []bool
}

// inactiveSum is far below any sum of requests, yet small enough for float64
// additions of 1 to be exact.
const inactiveSum = -1e12

func newMaxTree(n int) *maxTree {
	size := 1
	for size < n {
		size *= 2
	}
	t := &maxTree{size: size, maxima: make([]float64, 2*size), pendingAdds: make([]float64, 2*size), active: make([]bool, n+1)}
	for i := range t.maxima {
		t.maxima[i] = inactiveSum
	}
	return t
}

// max returns the maximum of the activated sums.
func (t *maxTree) max() float64 { return t.maxima[1] }

// add adds x to every sum from index i on.
func (t *maxTree) add(i int, x float64) { t.update(1, 0, t.size, i, t.size, x) }

// activate makes the sum at index i take part in the maximum and adds x to it.
func (t *maxTree) activate(i int, x float64) {
	t.active[i] = true
	t.update(1, 0, t.size, i, i+1, x-inactiveSum)
}

// update adds x to the sums at from (included) to to (excluded). node covers the
// sums at lo to hi.
func (t *maxTree) update(node, lo, hi, from, to int, x float64) {
	if from >= hi || to <= lo {
		return
	}
	if from <= lo && hi <= to {
		t.maxima[node] += x
		t.pendingAdds[node] += x
		return
	}
	mid := (lo + hi) / 2
	t.update(2*node, lo, mid, from, to, x)
	t.update(2*node+1, mid, hi, from, to, x)
	t.maxima[node] = max(t.maxima[2*node], t.maxima[2*node+1]) + t.pendingAdds[node]
}

// refusedByTokenBucket returns how many of the requests an ideal token bucket of
// the rate and burst would refuse. times are in ascending order.
func refusedByTokenBucket(times []time.Duration, rate, burst float64) int {
	tokens, last, refused := burst, time.Duration(0), 0
	for _, t := range times {
		tokens = min(burst, tokens+rate*(t-last).Seconds())
		last = t
		if tokens < 1 {
			refused++
			continue
		}
		tokens--
	}
	return refused
}

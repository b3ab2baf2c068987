package experiment

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// A span is the time in which one call was admitted, at a moment unknown to
// the caller.
type admissionInterval struct{ from, to time.Duration }

// overAdmission returns by how many requests the most loaded window exceeds
// rate*w+burst; it is negative when every window stays below. A call counts
// into a window only if its whole span lies inside, so a positive result is
// certain.
//
// The windows that matter start at a from and end at a to. They are swept from
// the latest start to the earliest, with a tree over the ends.
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
		// Spans that end together count for the first of them and all later
		// ends; later equal ends then have the complete sum.
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

// A maxTree keeps the largest of n sums under additions to all from an index
// on. A sum counts only once it is activated.
type maxTree struct {
	size        int
	maxima      []float64
	pendingAdds []float64
	active      []bool
}

// inactive is far below any sum of requests, and small enough that adding one
// to it is exact.
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

func (t *maxTree) max() float64 { return t.maxima[1] }

// add adds x to every sum from index i on.
func (t *maxTree) add(i int, x float64) { t.update(1, 0, t.size, i, t.size, x) }

// activate lets the sum at index i count, with x added.
func (t *maxTree) activate(i int, x float64) {
	t.active[i] = true
	t.update(1, 0, t.size, i, i+1, x-inactiveSum)
}

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

// overdrawn returns how many of the requests, in ascending order of time, an
// ideal bucket of the rate and burst would refuse.
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

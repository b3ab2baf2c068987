package balance

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleSize is the number of random hosts that one choice compares.
	sampleSize = 4
	// freeSlotLife is how long a slot that an answer has freed counts as free. Most
	// are taken by other nodes before.
	freeSlotLife = 300 * time.Millisecond
	// freeSlotMinLoad is the load of all hosts, in calls per permit, from which a choice
	// prefers hosts with a slot that counts as free. Below, nearly all have one.
	freeSlotMinLoad = 0.5
	// freeSlotGain is taken off the cost of a host with a slot that counts as free.
	// It is less than the cost of the smallest call to another zone: a free slot
	// there is no reason to leave the zone.
	freeSlotGain = 0.3
	// paceHalfLife is the age at which a reported pace counts half. The pace changes
	// many times a second.
	paceHalfLife = 400 * time.Millisecond
	// maxPaceRatio bounds how far a pace, or a latency relative to the typical one,
	// shifts a host's share of the calls.
	maxPaceRatio = 3
	// defaultLatency is assumed until a host has answered.
	defaultLatency = 50 * time.Millisecond
)

// A loadSummary describes the hosts of one choice together. Each host is compared with it.
type loadSummary struct {
	now time.Time
	// typical is the median latency of the hosts; zero if none has answered.
	typical time.Duration
	// meanPermits is the mean limit of the hosts whose limit is known.
	meanPermits float64
	// zoneLoads holds the estimated load of all hosts of a zone together, in calls per
	// permit.
	zoneLoads map[string]float64
}

func newLoadSummary(all []*hostState, now time.Time) *loadSummary {
	w := &loadSummary{now: now, typical: medianLatency(all), meanPermits: defaultPermits, zoneLoads: map[string]float64{}}
	type sums struct{ calls, permits, newest float64 }
	zones := map[string]sums{}
	known, limits := 0.0, 0.0
	for _, h := range all {
		if h.limitKnown() {
			known, limits = known+1, limits+h.permits()
		}
		trust := h.reportTrust(now)
		z := zones[h.Zone]
		zones[h.Zone] = sums{z.calls + trust*(float64(h.inFlight)+h.callsOfOthers()), z.permits + trust*h.permits(), max(z.newest, trust)}
	}
	if known > 0 {
		w.meanPermits = limits / known
	}
	for name, z := range zones {
		// Old reports count less than new ones, but do not make the load seem low
		// while there are new ones.
		w.zoneLoads[name] = z.newest * z.calls / z.permits
	}
	return w
}

// recordSlots learns from an answer, which frees a slot, or from a refusal, which
// shows that none is free. Unlike the reported load this is never stale.
func (h *hostState) recordSlots(r Result, now time.Time) {
	switch {
	case r != Answered:
		h.freeSlots, h.refusedAt = 0, now
	case h.hasFreeSlot(now):
		h.freeSlots, h.freedAt = h.freeSlots+1, now
	default:
		h.freeSlots, h.freedAt = 1, now
	}
}

// hasFreeSlot reports whether a slot of the host counts as free.
func (h *hostState) hasFreeSlot(now time.Time) bool {
	return h.freeSlots > 0 && now.Sub(h.freedAt) <= freeSlotLife
}

// prefersFreeSlot reports whether a slot of the host counts as free and few others are.
func (h *hostState) prefersFreeSlot(w *loadSummary) bool {
	return w.zoneLoads[h.Zone] >= freeSlotMinLoad && h.hasFreeSlot(w.now)
}

// loadIn estimates the host's load in calls per permit. Calls come and go within the
// duration of a call, and a queue takes longer to empty. An older report says no more
// about the host than about all of them.
func (h *hostState) loadIn(w *loadSummary) float64 {
	permits, latency := h.permits(), defaultLatency
	if w.typical > 0 {
		latency = w.typical
	}
	if slotTime := time.Duration(float64(latency) / permits); !h.refusedAt.IsZero() && w.now.Sub(h.refusedAt) < slotTime {
		return max(1, w.zoneLoads[h.Zone])
	}
	load := (float64(h.inFlight) + h.callsOfOthers()) / permits
	trust := math.Exp2(-float64(w.now.Sub(h.reportedAt)) / (float64(latency) * max(1, load)))
	// Slots that this node does not use are as likely taken as those of the other hosts.
	own, zoneLoad := float64(h.inFlight)/permits, w.zoneLoads[h.Zone]
	load = trust*load + (1-trust)*max(own, zoneLoad, own+(1-own)*zoneLoad)
	if h.hasFreeSlot(w.now) {
		load = min(load, 1-1/permits)
	}
	return load
}

// paceIn estimates how long calls take at the host, relative to the others: from its
// observed latency, and from its reported pace while that is recent.
func (h *hostState) paceIn(w *loadSummary) float64 {
	pace := 1.0
	if h.latency > 0 && w.typical > 0 {
		pace = float64(h.latency) / float64(w.typical)
	}
	if h.reported.Pace > 0 {
		trust := math.Exp2(-float64(max(0, w.now.Sub(h.reportedAt))) / float64(paceHalfLife))
		pace = trust*h.reported.Pace + (1-trust)*pace
	}
	return min(max(pace, 1.0/maxPaceRatio), maxPaceRatio)
}

// choose returns the host for a call and its load: the cheapest of a random sample and
// of the host that last freed a slot, or of all hosts if those are full.
func (c *Chooser) choose(all []*hostState, now time.Time) (*hostState, float64) {
	w := newLoadSummary(all, now)
	best, load := c.cheapest(c.candidates(all, w), w, 0)
	if load >= 1 {
		best, load = c.cheapest(c.sample(all, len(all), w), w, 0)
	}
	return best, load
}

// chooseAcrossZones is choose for PickWithZoneCost. A host of the own zone that seems to
// have a free slot and is not slow is not left for another zone, except to try a host.
func (c *Chooser) chooseAcrossZones(all []*hostState, crossZoneCost float64, now time.Time) (*hostState, float64) {
	w := newLoadSummary(all, now)
	near := c.candidates(c.inZone(all), w)
	candidates := append(near, c.candidates(c.outsideZone(all), w)...)
	best, load := c.cheapest(candidates, w, crossZoneCost)
	if load >= 1 && len(candidates) < len(all) {
		best, load = c.cheapest(c.sample(all, len(all), w), w, crossZoneCost)
	}
	if best.Zone == c.Zone || best.untried() {
		return best, load
	}
	if local, localLoad := c.cheapest(near, w, 0); local != nil && localLoad < 1 && local.latencyRatio(w.typical, now) <= 1 {
		return local, localLoad
	}
	return best, load
}

// candidates returns the host that last freed a slot and a sample.
func (c *Chooser) candidates(all []*hostState, w *loadSummary) []*hostState {
	var free *hostState
	for _, h := range all {
		if h.prefersFreeSlot(w) && (free == nil || h.freedAt.After(free.freedAt)) {
			free = h
		}
	}
	sample := c.sample(all, min(sampleSize, len(all)), w)
	if free != nil {
		sample = append(sample, free)
	}
	return sample
}

// sample returns n random hosts. The probability of a host follows its capacity, the
// number of its permits over its pace.
func (c *Chooser) sample(all []*hostState, n int, w *loadSummary) []*hostState {
	chosen, keys := make([]*hostState, 0, n+1), make([]float64, 0, n+1)
	for _, h := range all {
		// The smallest of exponential variables whose rates are the weights are a
		// weighted sample without replacement.
		permits := w.meanPermits
		if h.limitKnown() {
			permits = h.permits()
		}
		key := c.Rand.ExpFloat64() * h.paceIn(w) / permits
		i, _ := slices.BinarySearch(keys, key)
		if i < n {
			chosen, keys = slices.Insert(chosen, i, h), slices.Insert(keys, i, key)
			chosen, keys = chosen[:min(n, len(chosen))], keys[:min(n, len(keys))]
		}
	}
	return chosen
}

// cheapest returns the host with the lowest cost and its load in calls per permit. Of
// equal hosts the first is returned. crossZoneCost is added for hosts of other zones.
func (c *Chooser) cheapest(all []*hostState, w *loadSummary, crossZoneCost float64) (*hostState, float64) {
	var best *hostState
	var cost, load float64
	for _, h := range all {
		hostLoad := h.loadIn(w)
		hostCost := h.cost(hostLoad, w.typical, w.now)
		if h.prefersFreeSlot(w) {
			hostCost -= freeSlotGain
		}
		if h.Zone != c.Zone && !h.untried() {
			hostCost += crossZoneCost
		}
		if best == nil || hostCost < cost {
			best, cost, load = h, hostCost, hostLoad
		}
	}
	return best, load
}

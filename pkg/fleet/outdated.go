package fleet

import "time"

const (
	// removalRetention is how long a removed instance is recorded. Late writes, and the
	// copies from which a store comes back, are younger.
	removalRetention = time.Minute
	// maxRemovals is the number of removed instances that are recorded.
	maxRemovals = 1024
)

// held is the part of a Directory that deals with entries that are older than what is
// known of their instances. The store may do a write seconds after it was sent, when a
// later entry has been published or removed, and it may come back from an earlier copy.
// The order in which the store got two entries therefore does not say which is newer.
type held struct {
	// outdated holds, by ID, the published entries that are held back.
	outdated map[string]heldEntry
	// removed holds the instances that were removed lately, as last published.
	removed map[string]removal
	// revisions holds, by ID, the revision of the last change in the present era.
	revisions map[string]uint64
}

// A heldEntry is a published entry that is not applied until a time.
type heldEntry struct {
	instance Instance
	until    time.Time
	// extended states that until has passed in an outage, and was set anew.
	extended bool
}

// A removal is a removed instance and the time at which it was removed.
type removal struct {
	instance Instance
	at       time.Time
}

func newHeld() held {
	return held{outdated: map[string]heldEntry{}, removed: map[string]removal{}, revisions: map[string]uint64{}}
}

// holdTime is how long an outdated entry is held back. By then a live instance has
// written again, and the store has dropped the entry of one that is gone.
func (d *Directory) holdTime() time.Duration { return d.EntryLife + d.ExpiryGrace }

// isRepeated reports whether a change of an instance's entry was applied before, or one
// that came after it, and records its revision. Nodes that read from each other may get
// the changes around their position twice.
func (d *Directory) isRepeated(id string, revision uint64) bool {
	switch {
	case revision == 0:
		return false
	case revision < d.revisions[id]:
		return true
	}
	d.revisions[id] = revision
	return false
}

// outdatedBy returns what is known of an instance if an entry of it is older, or was
// removed.
func (d *Directory) outdatedBy(i *Instance) (*Instance, bool) {
	if r, removed := d.removed[i.ID]; removed {
		order, ok := i.compare(&r.instance)
		return &r.instance, ok && order <= 0
	}
	if known := d.instances[i.ID]; known != nil {
		order, ok := i.compare(known)
		return known, ok && order < 0
	}
	return nil, false
}

// hold holds an entry back. If it is of the same start as what is known, it is certainly
// older, each time that it is published. That an entry of another start is older is
// presumed: if the instance goes on to publish it, it counts.
func (d *Directory) hold(i, known *Instance, now time.Time) {
	until := now.Add(d.holdTime())
	if h, ok := d.outdated[i.ID]; ok && i.Born != known.Born && i.Born == h.instance.Born {
		until = h.until
	}
	d.outdated[i.ID] = heldEntry{instance: *i, until: until}
}

// extendHeld gives instances time to write again if the time of their outdated entries has
// passed in an outage that began after the last confirmation and ended with the next one.
func (d *Directory) extendHeld(began, ended, until time.Time) {
	for id, h := range d.outdated {
		if !h.extended && began.Before(h.until) && !ended.Before(h.until) {
			h.until, h.extended = until, true
			d.outdated[id] = h
		}
	}
}

// expireHeld applies the entries whose time is over and that are still published, and
// forgets old removals. It reports whether the view has changed.
func (d *Directory) expireHeld(now time.Time) bool {
	for id, r := range d.removed {
		if now.Sub(r.at) >= removalRetention {
			d.forgetRemoval(id)
		}
	}
	changed := false
	for id, h := range d.outdated {
		// A node that cannot read the store does not know what is published now.
		if now.Before(h.until) || (!d.confirmedAt.IsZero() && d.confirmedAt.Before(h.until)) {
			continue
		}
		delete(d.outdated, id)
		delete(d.removed, id)
		delete(d.missing, id)
		d.instances[id] = &h.instance
		changed = true
	}
	return changed
}

// recordRemoval notes that an instance was removed. If there are too many, it
// drops the oldest removal.
func (d *Directory) recordRemoval(i *Instance, now time.Time) {
	if len(d.removed) >= maxRemovals {
		oldest := ""
		for id, r := range d.removed {
			if oldest == "" || r.at.Before(d.removed[oldest].at) {
				oldest = id
			}
		}
		d.forgetRemoval(oldest)
	}
	d.removed[i.ID] = removal{*i, now}
}

func (d *Directory) forgetRemoval(id string) {
	delete(d.removed, id)
	if d.instances[id] == nil {
		delete(d.revisions, id)
	}
}

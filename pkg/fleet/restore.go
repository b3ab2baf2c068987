package fleet

import "time"

const (
	// removalRetention is how long a removed instance is recorded. The copies from
	// which a store comes back are younger.
	removalRetention = time.Minute
	// maxRemovals is the number of removed instances that are recorded.
	maxRemovals = 1024
)

// restored is the part of a Directory that deals with a store that has come back
// from an earlier copy. Until instances and operators have written again, the copy
// lacks some entries and has others that are no longer true.
type restored struct {
	// rewrittenBy is the time by which live instances and operators have written
	// again what the store has lost.
	rewrittenBy time.Time
	// outdatedUntil is the time until which outdated entries are held back.
	outdatedUntil time.Time
	// outdated holds, by ID, the published entries that are held back.
	outdated map[string]Instance
	// removed holds the instances that were removed lately, as last published.
	removed map[string]removal
	// rewritten holds the instances whose entries were written again after the
	// store came back.
	rewritten map[string]bool
	// zonesKept holds the zones that were out and are not published as out by the
	// copy, and the time until which each stays out.
	zonesKept map[string]time.Time
}

// A removal is a removed instance and the time at which it was removed.
type removal struct {
	instance Instance
	at       time.Time
}

func newRestored() restored {
	return restored{outdated: map[string]Instance{}, removed: map[string]removal{}, zonesKept: map[string]time.Time{}, rewritten: map[string]bool{}}
}

// Restore applies the first full listing of a store that has come back from an
// earlier copy. Instances that it does not contain have ExpiryGrace to be written
// again. Entries that are older than those that this directory knew are held back
// until the store would have dropped them if their instances were gone, and zones
// that it does not contain stay out as long; then what is published counts.
func (d *Directory) Restore(changes []Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	d.rewrittenBy = now.Add(d.ExpiryGrace)
	d.graceUntil = d.rewrittenBy
	d.outdatedUntil = now.Add(d.EntryLife + d.ExpiryGrace)
	clear(d.rewritten)
	// An entry that was missing before may have been written and lost once more,
	// unless its removal was published.
	for id := range d.missing {
		if _, removed := d.removed[id]; !removed {
			delete(d.missing, id)
		}
	}
	for zone := range d.zonesOut {
		d.zonesKept[zone] = d.outdatedUntil
	}
	for zone := range d.zonesKept {
		d.zonesKept[zone] = d.outdatedUntil
	}
	d.replace(changes, now)
	d.updateView()
}

// AwaitsRewrites reports whether what a restored store lacks may still be written
// again.
func (d *Directory) AwaitsRewrites() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Now().Before(d.rewrittenBy)
}

// Kept counts what a Directory keeps apart from what is published.
type Kept struct {
	// Missing instances are used although they have no entry.
	Missing int
	// Outdated entries are published and held back.
	Outdated int
	// Zones are out although no entry says so.
	Zones int
}

// Kept returns what the directory keeps at present.
func (d *Directory) Kept() Kept {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := Kept{Missing: len(d.missing), Outdated: len(d.outdated)}
	for zone := range d.zonesKept {
		if !d.zonesOut[zone] {
			k.Zones++
		}
	}
	return k
}

// isOutdated reports whether an entry is to be held back because a later one of
// the instance was known, or its removal.
func (d *Directory) isOutdated(i *Instance, now time.Time) bool {
	if !now.Before(d.outdatedUntil) {
		return false
	}
	if r, removed := d.removed[i.ID]; removed {
		order, ok := i.compare(&r.instance)
		return ok && order <= 0
	}
	if known := d.instances[i.ID]; known != nil {
		order, ok := i.compare(known)
		return ok && order < 0
	}
	return false
}

// noteRewrite notes an entry that was written after the store came back.
func (d *Directory) noteRewrite(c *Change, now time.Time) {
	if c.Kind == InstanceSet && now.Before(d.rewrittenBy) && d.instances[c.Instance.ID] != nil {
		d.rewritten[c.Instance.ID] = true
	}
}

// wasRewritten reports whether the entry of an instance was written since the store
// came back, so that its removal is no gap of the copy.
func (d *Directory) wasRewritten(id string, now time.Time) bool {
	return now.Before(d.rewrittenBy) && d.rewritten[id]
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
		delete(d.removed, oldest)
	}
	d.removed[i.ID] = removal{*i, now}
}

// expireRestored ends what is kept or held back after a restore when its time is
// over. It reports whether the view has changed.
func (d *Directory) expireRestored(now time.Time) bool {
	changed := false
	for id, r := range d.removed {
		if now.Sub(r.at) >= removalRetention {
			delete(d.removed, id)
		}
	}
	for zone, until := range d.zonesKept {
		if !now.Before(until) {
			delete(d.zonesKept, zone)
			changed = true
		}
	}
	if now.Before(d.outdatedUntil) || len(d.outdated) == 0 {
		return changed
	}
	for id := range d.outdated {
		i := d.outdated[id]
		delete(d.outdated, id)
		d.apply(&Change{Kind: InstanceSet, Instance: i}, now)
	}
	return true
}

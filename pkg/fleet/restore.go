package fleet

import "time"

// restored is the part of a Directory that deals with a store that has come back
// from an earlier copy. Until instances and operators have written again, the copy
// lacks some entries and has others that are no longer true.
type restored struct {
	// rewrittenBy is the time by which live instances and operators have written
	// again what the store has lost.
	rewrittenBy time.Time
	// rewritten holds the instances whose entries were written again after the
	// store came back.
	rewritten map[string]bool
	// zonesKept holds the zones that were out and are not published as out by the
	// copy, and the time until which each stays out.
	zonesKept map[string]time.Time
}

func newRestored() restored {
	return restored{zonesKept: map[string]time.Time{}, rewritten: map[string]bool{}}
}

// Restore applies the first full listing of a store that has come back from an
// earlier copy. Instances that it does not contain have ExpiryGrace to be written
// again. Zones that it does not contain stay out as long as outdated entries are held
// back; then what is published counts.
func (d *Directory) Restore(changes []Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	d.rewrittenBy = now.Add(d.ExpiryGrace)
	d.graceUntil = d.rewrittenBy
	zonesUntil := now.Add(d.holdTime())
	clear(d.rewritten)
	clear(d.revisions)
	// An entry that was missing before may have been written and lost once more,
	// unless its removal was published.
	for id := range d.missing {
		if _, removed := d.removed[id]; !removed {
			delete(d.missing, id)
		}
	}
	for zone := range d.zonesOut {
		d.zonesKept[zone] = zonesUntil
	}
	for zone := range d.zonesKept {
		d.zonesKept[zone] = zonesUntil
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

// expireZones ends what zones are kept out after a restore when its time is over. It
// reports whether the view has changed.
func (d *Directory) expireZones(now time.Time) bool {
	changed := false
	for zone, until := range d.zonesKept {
		if !now.Before(until) {
			delete(d.zonesKept, zone)
			changed = true
		}
	}
	return changed
}

package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// A View is the state of a Directory at one time. It is immutable.
type View struct {
	// Instances maps instance IDs to instances.
	Instances map[string]*Instance
	// ByService holds the instances of each service, ordered by ID.
	ByService map[string][]*Instance
	// ByAddress holds the newest instance at each address.
	ByAddress map[string]*Instance
	// ZonesOut holds the zones that take no new requests.
	ZonesOut map[string]bool
	// Addresses is the same pointer in successive views whose instances have the same
	// addresses in the same zones.
	Addresses *AddressSet
}

// An AddressSet maps the addresses of instances to their zones.
type AddressSet struct{ Zones map[string]string }

// Usable reports whether new requests may be sent to the instance.
func (v *View) Usable(i *Instance) bool {
	return i.State == Ready && !v.ZonesOut[i.Zone]
}

// Current reports whether no instance that started later has the instance's address.
// One that is not current has ended, although its entry is still there.
func (v *View) Current(i *Instance) bool { return v.ByAddress[i.Address] == i }

// Successor returns the instance that has taken the place of another one: it is of the
// same service and at the same address. An instance that is current is its own
// successor. It returns nil if there is none, or if the ID is not known.
func (v *View) Successor(id string) *Instance {
	i := v.Instances[id]
	if i == nil {
		return nil
	}
	if s := v.ByAddress[i.Address]; s.Service == i.Service {
		return s
	}
	return nil
}

// A Directory applies published changes. Its exported fields are set before the
// first call. It is safe for concurrent use.
type Directory struct {
	Now func() time.Time
	// ExpiryGrace is how long after the end of an outage an entry that expired
	// during it may take to return.
	ExpiryGrace time.Duration
	// MinOutage is the shortest outage of the store in which entries expire.
	MinOutage time.Duration
	// EntryLife is how long the store keeps the entry of an instance that does not
	// write it again.
	EntryLife time.Duration

	mu        sync.Mutex
	instances map[string]*Instance
	zonesOut  map[string]bool
	// confirmedAt is the latest time at which the state of the store was known,
	// from the store itself or from another node.
	confirmedAt time.Time
	// graceUntil is the time until which missing entries are kept after an
	// outage.
	graceUntil time.Time
	// missing holds the IDs of instances whose entry is missing, and the time at
	// which each is removed.
	missing map[string]time.Time
	held
	restored

	view    atomic.Pointer[View]
	changed chan struct{}
}

const (
	// defaultMinOutage is shorter than the time after which the entry of a silent
	// instance expires, which is several heartbeats.
	defaultMinOutage = 2 * time.Second
	// defaultEntryLife is three heartbeats.
	defaultEntryLife = 4500 * time.Millisecond
)

// NewDirectory returns an empty directory.
func NewDirectory(expiryGrace time.Duration) *Directory {
	d := &Directory{
		Now: time.Now, ExpiryGrace: expiryGrace, MinOutage: defaultMinOutage, EntryLife: defaultEntryLife,
		instances: map[string]*Instance{}, zonesOut: map[string]bool{}, missing: map[string]time.Time{},
		held: newHeld(), restored: newRestored(), changed: make(chan struct{}),
	}
	d.updateView()
	return d
}

// View returns the current state.
func (d *Directory) View() *View { return d.view.Load() }

// Changed returns a channel that is closed with the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Apply applies changes in the order in which they were published.
func (d *Directory) Apply(changes []Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	for i := range changes {
		d.apply(&changes[i], now)
		d.noteRewrite(&changes[i], now)
	}
	d.updateView()
}

// Replace applies a full listing. Instances that it does not contain are removed,
// or kept as missing if the store has just returned from an outage.
func (d *Directory) Replace(changes []Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replace(changes, d.Now())
	d.updateView()
}

func (d *Directory) replace(changes []Change, now time.Time) {
	listed := map[string]bool{}
	d.zonesOut = map[string]bool{}
	for i := range changes {
		d.apply(&changes[i], now)
		if changes[i].Kind == InstanceSet {
			listed[changes[i].Instance.ID] = true
		}
	}
	for id := range d.instances {
		if !listed[id] {
			d.removeUnlisted(id, now)
		}
	}
	for id := range d.outdated {
		if !listed[id] {
			delete(d.outdated, id)
		}
	}
}

// Confirm records that the changes applied next are the store's state as of a
// time. A gap of MinOutage or more means that neither this node nor its sources
// could read the store, and that entries may have expired meanwhile. If the node
// learned the state from other nodes all the time, there was no outage for it, no
// matter which nodes could not reach the store.
func (d *Directory) Confirm(asOf time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.confirmedAt.IsZero() && asOf.Sub(d.confirmedAt) >= d.MinOutage {
		d.graceUntil = d.Now().Add(d.ExpiryGrace)
		d.extendHeld(d.confirmedAt, asOf, d.graceUntil)
	}
	if asOf.After(d.confirmedAt) {
		d.confirmedAt = asOf
	}
}

// Published returns the published entries of instances, in no particular order,
// and the zones that are published as out. What is only kept after an outage is
// left out: a node that learned of it here would not learn of its end. Outdated
// entries are returned as published: what a node holds back depends on the entries
// that it has seen.
func (d *Directory) Published() ([]Instance, map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]Instance, 0, len(d.instances)+len(d.outdated))
	for id, i := range d.instances {
		_, missing := d.missing[id]
		if _, outdated := d.outdated[id]; !missing && !outdated {
			all = append(all, *i)
		}
	}
	for _, h := range d.outdated {
		all = append(all, h.instance)
	}
	return all, maps.Clone(d.zonesOut)
}

// Expire removes missing instances and kept zones whose time is over, and applies
// the entries that are no longer held back. It is to be called periodically.
func (d *Directory) Expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	expired := d.expireZones(now)
	expired = d.expireHeld(now) || expired
	for id, until := range d.missing {
		if !now.Before(until) {
			d.deleteInstance(id)
			expired = true
		}
	}
	if expired {
		d.updateView()
	}
}

func (d *Directory) apply(c *Change, now time.Time) {
	switch c.Kind {
	case InstanceSet:
		if !d.isRepeated(c.Instance.ID, c.revision()) {
			d.setInstance(c.Instance, now)
		}
	case InstanceRemoved:
		if !d.isRepeated(c.ID, c.revision()) {
			d.removeInstance(c.ID, now)
		}
	case ZoneOut:
		d.zonesOut[c.Zone] = true
	case ZoneIn:
		delete(d.zonesOut, c.Zone)
		delete(d.zonesKept, c.Zone)
	}
}

// setInstance applies a published entry, or holds it back if it is outdated.
func (d *Directory) setInstance(i Instance, now time.Time) {
	if reference, outdated := d.outdatedBy(&i); outdated {
		d.hold(&i, reference, now)
		if _, removed := d.removed[i.ID]; !removed {
			delete(d.missing, i.ID)
		}
		return
	}
	d.instances[i.ID] = &i
	delete(d.missing, i.ID)
	delete(d.outdated, i.ID)
	delete(d.removed, i.ID)
}

// removeInstance applies the removal of an entry.
func (d *Directory) removeInstance(id string, now time.Time) {
	known := d.instances[id]
	if known == nil {
		delete(d.outdated, id)
		return
	}
	d.recordRemoval(known, now)
	if d.wasRewritten(id, now) {
		delete(d.outdated, id)
		d.deleteInstance(id)
		return
	}
	d.removeAfterGrace(id, now)
}

// removeUnlisted removes an instance that a full listing does not contain.
func (d *Directory) removeUnlisted(id string, now time.Time) {
	// The gap of a copy does not say that the instance was removed.
	if !now.Before(d.rewrittenBy) {
		d.recordRemoval(d.instances[id], now)
	}
	d.removeAfterGrace(id, now)
}

// removeAfterGrace removes an instance, or keeps it as missing if its entry may
// return.
func (d *Directory) removeAfterGrace(id string, now time.Time) {
	delete(d.outdated, id)
	if !now.Before(d.graceUntil) {
		d.deleteInstance(id)
		return
	}
	if _, ok := d.missing[id]; !ok {
		d.missing[id] = d.graceUntil
	}
}

func (d *Directory) deleteInstance(id string) {
	delete(d.instances, id)
	delete(d.missing, id)
}

// updateView stores the current state as the view and signals the change. The
// caller holds the mutex.
func (d *Directory) updateView() {
	v := &View{
		Instances: maps.Clone(d.instances), ZonesOut: maps.Clone(d.zonesOut),
		ByService: map[string][]*Instance{}, ByAddress: map[string]*Instance{},
	}
	for zone := range d.zonesKept {
		v.ZonesOut[zone] = true
	}
	for _, i := range v.Instances {
		v.ByService[i.Service] = append(v.ByService[i.Service], i)
		if o := v.ByAddress[i.Address]; o == nil || i.startedAfter(o) {
			v.ByAddress[i.Address] = i
		}
	}
	for _, all := range v.ByService {
		slices.SortFunc(all, func(a, b *Instance) int { return cmp.Compare(a.ID, b.ID) })
	}
	v.Addresses = addressesOf(v, d.view.Load())
	d.view.Store(v)
	close(d.changed)
	d.changed = make(chan struct{})
}

// addressesOf returns the addresses of a view, as the pointer of the view before if they
// are the same.
func addressesOf(v, before *View) *AddressSet {
	zones := make(map[string]string, len(v.ByAddress))
	for address, i := range v.ByAddress {
		zones[address] = i.Zone
	}
	if before != nil && maps.Equal(zones, before.Addresses.Zones) {
		return before.Addresses
	}
	return &AddressSet{Zones: zones}
}

// startedAfter orders instances that share an address: the one that started last
// has it. Equal start times are ordered by ID.
func (i *Instance) startedAfter(o *Instance) bool {
	if i.Born != o.Born {
		return i.Born > o.Born
	}
	return i.ID > o.ID
}

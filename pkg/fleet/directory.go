package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// A View is what a Directory knew at one time. It is never changed.
type View struct {
	// Instances is keyed by ID.
	Instances map[string]*Instance
	// ByService holds the instances of each service in the order of their IDs.
	ByService map[string][]*Instance
	// ByAddress holds the newest instance of each address.
	ByAddress map[string]*Instance
	// ZonesOut holds the zones that take nothing new.
	ZonesOut map[string]bool
}

// Usable reports whether new work may be sent to the instance.
func (v *View) Usable(i *Instance) bool {
	return i.State == Ready && !v.ZonesOut[i.Zone]
}

// A Directory applies published changes. Its exported fields are set before
// the first call. It is safe for concurrent use.
type Directory struct {
	Now func() time.Time
	// LapseGrace is how long after the store's return an entry that lapsed
	// meanwhile may take to come back.
	ExpiryGrace time.Duration
	// LeastOutage is the shortest outage of the store in which entries lapse.
	MinOutage time.Duration

	mu        sync.Mutex
	instances map[string]*Instance
	zonesOut  map[string]bool
	// confirmedAt is the latest time as of which this node knew the store's
	// state, from the store or from another node.
	confirmedAt time.Time
	// graceUntil is until when missing entries are kept after an outage.
	graceUntil time.Time
	// lapsed holds the instances whose entry is missing, by the time at which
	// they are taken for gone.
	missing map[string]time.Time

	view    atomic.Pointer[View]
	changed chan struct{}
}

// defaultLeastOutage is below the time after which silent instances lapse,
// several heartbeats.
const defaultMinOutage = 2 * time.Second

// New returns an empty directory.
func NewDirectory(expiryGrace time.Duration) *Directory {
	d := &Directory{
		Now: time.Now, ExpiryGrace: expiryGrace, MinOutage: defaultMinOutage,
		instances: map[string]*Instance{}, zonesOut: map[string]bool{}, missing: map[string]time.Time{},
		changed: make(chan struct{}),
	}
	d.updateView()
	return d
}

// View returns what is known now.
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
	}
	d.updateView()
}

// Replace applies a whole listing: what it does not name is gone, or lapsed
// if the store has just come back.
func (d *Directory) Replace(changes []Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
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
			d.removeInstance(id, now)
		}
	}
	d.updateView()
}

// Confirmed records that what follows is the store's state as of a time. After
// a gap of LeastOutage the store was away, for this node and all that it reads,
// and entries may have lapsed meanwhile. A node that learned of the state from
// others all the while has seen no outage, whoever could not reach the store.
func (d *Directory) Confirm(asOf time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.confirmedAt.IsZero() && asOf.Sub(d.confirmedAt) >= d.MinOutage {
		d.graceUntil = d.Now().Add(d.ExpiryGrace)
	}
	if asOf.After(d.confirmedAt) {
		d.confirmedAt = asOf
	}
}

// Published returns the instances whose entries are published, in no order.
// Those that are only kept for a while after an outage are left out: who else
// learned of them would not learn of their end.
func (d *Directory) Published() []Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]Instance, 0, len(d.instances))
	for id, i := range d.instances {
		if _, missing := d.missing[id]; !missing {
			all = append(all, *i)
		}
	}
	return all
}

// Tick removes lapsed instances whose time is over.
func (d *Directory) RemoveExpired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	removed := false
	for id, until := range d.missing {
		if !now.Before(until) {
			delete(d.missing, id)
			delete(d.instances, id)
			removed = true
		}
	}
	if removed {
		d.updateView()
	}
}

func (d *Directory) apply(c *Change, now time.Time) {
	switch c.Kind {
	case InstanceSet:
		i := c.Instance
		if known := d.instances[i.ID]; known != nil && !i.supersedes(known) {
			return
		}
		d.instances[i.ID] = &i
		delete(d.missing, i.ID)
	case InstanceRemoved:
		d.removeInstance(c.ID, now)
	case ZoneOut:
		d.zonesOut[c.Zone] = true
	case ZoneIn:
		delete(d.zonesOut, c.Zone)
	}
}

func (d *Directory) removeInstance(id string, now time.Time) {
	if d.instances[id] == nil {
		return
	}
	if now.Before(d.graceUntil) {
		if _, ok := d.missing[id]; !ok {
			d.missing[id] = d.graceUntil
		}
		return
	}
	delete(d.instances, id)
	delete(d.missing, id)
}

// publish makes the present state the view. The caller holds the mutex.
func (d *Directory) updateView() {
	v := &View{
		Instances: maps.Clone(d.instances), ZonesOut: maps.Clone(d.zonesOut),
		ByService: map[string][]*Instance{}, ByAddress: map[string]*Instance{},
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
	d.view.Store(v)
	close(d.changed)
	d.changed = make(chan struct{})
}

// after orders instances that share an address: the one that started last has
// it.
func (i *Instance) startedAfter(o *Instance) bool {
	if i.Born != o.Born {
		return i.Born > o.Born
	}
	return i.ID > o.ID
}

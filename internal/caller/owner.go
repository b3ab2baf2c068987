package caller

import (
	"sync/atomic"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/gate"
)

// Owners finds the host that runs the requests with an idempotency key. It
// keeps the hosts by service of the snapshot it was last asked about.
type Owners struct {
	last atomic.Pointer[serviceHosts]
}

// serviceHosts holds the IDs of the published hosts that are not out, by
// service.
type serviceHosts struct {
	snapshot *config.Snapshot
	ids      map[string][]string
}

// Of returns the ID of the owner, or "" if no host of the service is in.
func (o *Owners) Of(v *config.Snapshot, k gate.Key) string {
	return gate.Owner(k, o.Hosts(v)[k.Service])
}

// Hosts returns the IDs of the published hosts that are not out, by service.
// The result is shared and must not be changed.
func (o *Owners) Hosts(v *config.Snapshot) map[string][]string {
	l := o.last.Load()
	if l == nil || l.snapshot != v {
		l = newServiceHosts(v)
		o.last.Store(l)
	}
	return l.ids
}

func newServiceHosts(v *config.Snapshot) *serviceHosts {
	l := &serviceHosts{snapshot: v, ids: map[string][]string{}}
	for id, h := range v.Hosts {
		if z := v.Zones[h.Zone]; h.Out || z == nil || z.Out {
			continue
		}
		l.ids[h.Service] = append(l.ids[h.Service], id)
	}
	return l
}

package gate

import (
	"slices"
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// OwnershipWait is the time after a change of the published hosts before a
// new owner runs requests. An accepted configuration is in force everywhere
// within 4 s, and a host that is cut off accepts no keyed call after 3 s, so
// the previous owner has stopped by then.
const OwnershipWait = 10 * time.Second

// Ownership knows which keys this host owns and since when. The owner of a
// key is the first of hosts.Rank over the service's published hosts that are
// not out. A started process has an empty history and owns nothing.
type Ownership struct {
	// Self is the ID of this host.
	Self string
	// Wait is OwnershipWait by default.
	Wait time.Duration

	mu       sync.Mutex
	services map[string][]hostSet
}

// A hostSet is the owners of a service's keys from a point in time on.
type hostSet struct {
	from time.Time
	ids  []string
}

// NewOwnership returns the ownership of a process that has just started.
func NewOwnership(self string) *Ownership {
	return &Ownership{Self: self, Wait: OwnershipWait, services: map[string][]hostSet{}}
}

// Change records the service's published hosts that are not out. It must be
// called when a configuration is accepted.
func (o *Ownership) Change(service string, ids []string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ids = slices.Sorted(slices.Values(ids))
	h := o.services[service]
	if n := len(h); n > 0 && slices.Equal(h[n-1].ids, ids) {
		return
	}
	// Sets that were replaced before the memory window no longer matter: any
	// key from that time is refused for its age.
	for len(h) > 1 && now.Sub(h[1].from) > MemoryWindow+o.Wait {
		h = h[1:]
	}
	o.services[service] = append(h, hostSet{now, ids})
}

// Since returns from when on this host alone runs requests with the key. It
// reports false if another host owns the key.
func (o *Ownership) Since(k Key) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h := o.services[k.Service]
	var since time.Time
	owner := false
	for i := len(h) - 1; i >= 0 && Owner(k, h[i].ids) == o.Self; i-- {
		since, owner = h[i].from, true
	}
	return since.Add(o.Wait), owner
}

// Owner returns the one of ids that owns the key, or "" if there is none.
func Owner(k Key, ids []string) string {
	return hosts.First(k.Service+"\x00"+k.Account+"\x00"+k.Value, ids)
}

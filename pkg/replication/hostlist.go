package replication

import (
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// A hostListTransfer is the state of fetching a host list from peers; revision
// 0 means that none is fetched.
type hostListTransfer struct {
	revision   uint64
	holders    []hosts.Host // peers that have the list
	nextPullAt time.Time    // no pull before this
}

func (t *hostListTransfer) nextPull(now time.Time) (Pull, bool) {
	if t.revision == 0 || len(t.holders) == 0 || now.Before(t.nextPullAt) {
		return Pull{}, false
	}
	t.nextPullAt = now.Add(pullRetryInterval)
	return Pull{To: t.holders[len(t.holders)-1], Request: PullRequest{MinHostListRevision: t.revision}}, true
}

func (t *hostListTransfer) pullFailed(id string, retryAt time.Time) {
	t.nextPullAt = retryAt
	t.holders = slices.DeleteFunc(t.holders, func(h hosts.Host) bool { return h.ID == id })
	if len(t.holders) == 0 {
		t.revision = 0
	}
}

func (r *Replica) observeHostListRevision(from hosts.Host, revision uint64, a *Action) {
	if l := r.hostList.Load(); from.ControlAddress == "" || revision == 0 || l != nil && revision <= l.Revision {
		return
	}
	t := &r.hostListTransfer
	if revision > t.revision {
		*t = hostListTransfer{revision: revision}
	}
	if revision == t.revision && len(t.holders) < maxHolders {
		t.holders = append(t.holders, from)
	}
	a.Fetch = true
}

// HostListBytes returns the encoded host list, or nil if the node has none or
// its revision is below the given one.
func (r *Replica) HostListBytes(revision uint64) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.hostList.Load(); l == nil || l.Revision < revision {
		return nil
	}
	return r.hostListBytes
}

// OfferHostList decodes and stores a host list. A list that is not newer than
// the current one has no effect. The error is of type BadHostList.
func (r *Replica) OfferHostList(b []byte) (Action, error) {
	var a Action
	if len(b) > config.MaxValueBytes {
		return a, BadHostList.New("host list has %d bytes, the limit is %d", len(b), config.MaxValueBytes)
	}
	l := &hosts.List{}
	if err := toml.Unmarshal(b, l); err != nil {
		return a, BadHostList.Wrap(err, "decode host list")
	}
	if l.Revision == 0 {
		return a, BadHostList.New("host list: Revision is 0 or missing, must be at least 1")
	}
	o := newTopology(l, r.Self.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.hostList.Load(); old != nil && l.Revision <= old.Revision {
		return a, nil
	}
	now := r.Now()
	first := r.hostList.Load() == nil
	r.hostList.Store(l)
	r.hostListBytes, r.topology = b, o
	if r.hostListTransfer.revision <= l.Revision {
		r.hostListTransfer = hostListTransfer{}
	}
	if first {
		r.sourceReadSchedule.reschedule(r, now)
		r.exchangeSchedule.reschedule(now)
		// Neighbours without a host list learn from the push that they can
		// pull it from this node, and need not read it at the source.
		a.Push = r.pushTargets()
	}
	a.addEvent(HostListReplaced, l.Revision, "", "", nil)
	r.updateState(now, &a)
	return a, nil
}

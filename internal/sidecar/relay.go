package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fleet"
	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/relay"
)

const (
	// maxRelayWait limits how long a request for updates waits for a change. A
	// node that has died must be noticed well within the time in which a
	// configuration must be in force.
	maxRelayWait = watchWait + 50*time.Millisecond
	// maxRelayAge is the age of the store's last confirmation above which a node
	// is not read: it has lost the store itself. It is longer than a watch, and
	// at most half of the time after which a leaving instance must get no new
	// requests.
	maxRelayAge = 2 * watchWait
	// receivingAge is how much older the state of a node may be while an answer of the
	// store arrives there. If its readers turned to the store, each would receive the
	// same bytes over its own link, no sooner.
	receivingAge = 500 * time.Millisecond
	// readerTimeout is the time without a request after which a node is no longer
	// assumed to read from this one. It allows for a slow host.
	readerTimeout = 3 * maxRelayWait
	// compressionWindow is the zstd window size. A larger one costs its size in
	// memory and gains little on lists of short entries.
	compressionWindow = 64 << 10
	// maxUpdateBytes limits an update after decompression.
	maxUpdateBytes = 16 << 20
)

// ErrStale means that another node's state is not recent, or that an answer of any
// source is older than what is already applied.
var ErrStale = namespace.NewType("stale")

// errMissingBase means that the patch of a configuration leads from another one than
// this node has.
var errMissingBase = namespace.NewType("missing_base")

// errBadUpdate means that an update cannot be encoded or decoded.
var errBadUpdate = namespace.NewType("bad_update")

var (
	compressor, _   = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(compressionWindow))
	decompressor, _ = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxUpdateBytes), zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true))
)

// encodeUpdate encodes and compresses an update for other nodes.
func encodeUpdate(u *Update) ([]byte, error) {
	b, err := cbor.Marshal(u)
	if err != nil {
		return nil, errBadUpdate.Wrap(err, "cannot encode the update")
	}
	return compressor.EncodeAll(b, nil), nil
}

func decodeUpdate(b []byte) (*Update, error) {
	plain, err := decompressor.DecodeAll(b, nil)
	if err != nil {
		return nil, errBadUpdate.Wrap(err, "cannot decompress the update")
	}
	u := &Update{}
	if err := cbor.Unmarshal(plain, u); err != nil {
		return nil, errBadUpdate.Wrap(err, "cannot decode the update")
	}
	return u, nil
}

// serveUpdates answers another node's request for updates.
func (n *Node) serveUpdates(ctx context.Context, q peer.UpdatesRequest) (peer.UpdatesReply, error) {
	asked := time.Now()
	n.lastAsked.set(asked)
	n.accountLimits.hear()
	end := asked.Add(min(time.Duration(q.WaitMs)*time.Millisecond, maxRelayWait))
	after := relay.Position{Era: n.updateLog.Status().Era, Revision: q.AfterRevision}
	if q.AfterEra != nil {
		after.Era = *q.AfterEra
	}
	for {
		entries, status, ok := n.updateLog.Since(after)
		out := peer.UpdatesReply{
			Origin: n.origin(), Era: status.Era, Revision: status.Revision, ConfirmedAgeMs: status.Age.Milliseconds(), WaitedMs: time.Since(asked).Milliseconds(), StoreRead: n.storeRead.Load(), Receiving: n.receives(),
		}
		switch {
		case !out.StoreRead, after.Era > status.Era, q.Reader != "" && q.Reader == out.Origin:
			// The asking node learns at once that it cannot read this one, or that this
			// one knows only what it was told by the asking node.
			return out, nil
		case q.Whole || !ok, q.Reader == "" && slices.ContainsFunc(entries, func(e relay.Entry) bool { return e.IsPatch }):
			// Nodes of builds that do not know patches do not state Reader.
			return n.fullReply(out)
		case len(entries) > 0:
			for _, e := range entries {
				out.EncodedUpdates = append(out.EncodedUpdates, e.Body)
			}
			return out, nil
		case status.Age < time.Since(asked):
			// The store has confirmed the position since.
			return out, nil
		}
		if a := &n.instancesAhead; q.TakesInstances && a.addTo(&out, after.Era, max(q.AfterRevision, q.InstancesRevision)) {
			return out, nil
		}
		// The reader must learn at once that this node has lost the store.
		left := min(time.Until(end), n.maxAge()-status.Age)
		if left <= 0 {
			return out, nil
		}
		if err := waitForChange(ctx, status.Changed, left); err != nil {
			return out, err
		}
	}
}

// receives reports whether an answer of the store is arriving here or at the node that
// this one reads.
func (n *Node) receives() bool {
	return n.sourceReceives.Load() || n.storeProgress.arriving(time.Now(), watchGrace)
}

// maxAge returns the age of the store's last confirmation above which this node's state
// is stale.
func (n *Node) maxAge() time.Duration {
	if n.receives() {
		return maxRelayAge + receivingAge
	}
	return maxRelayAge
}

// origin returns the control address of the node that read the current state from the
// store, or the empty string before there is one.
func (n *Node) origin() string {
	if o := n.stateOrigin.Load(); o != nil {
		return *o
	}
	return ""
}

// waitForChange waits until changed is closed, for at most d.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// A fullState is the full state as it is sent to other nodes, and what it was made of.
type fullState struct {
	view      *fleet.View
	published *PublishedConfig
	// hidden is the address of an instance that is left out, empty if there is none.
	hidden string
	body   []byte
}

// fullReply adds the full state to a reply. Many nodes ask for it at the same time, so
// it is encoded once.
func (n *Node) fullReply(out peer.UpdatesReply) (peer.UpdatesReply, error) {
	n.fullStateMu.Lock()
	defer n.fullStateMu.Unlock()
	n.updateMu.Lock()
	now := fullState{view: n.directory.View(), published: n.publishedConfig}
	if n.verifyingRemoval.Load() {
		// Only this node keeps the instance, see holdLocalRemoval.
		now.hidden = n.settings().BackendAddress
	}
	instances, zonesOut := n.directory.Published()
	// The state may have changed since the position was read.
	status := n.updateLog.Status()
	n.updateMu.Unlock()
	if old := &n.lastFullState; old.body != nil && old.view == now.view && old.published == now.published && old.hidden == now.hidden {
		now.body = old.body
	} else {
		var err error
		if now.body, err = now.encode(instances, zonesOut); err != nil {
			return out, err
		}
		n.lastFullState = now
	}
	out.Era, out.Revision, out.ConfirmedAgeMs = status.Era, status.Revision, status.Age.Milliseconds()
	out.Whole, out.EncodedUpdates = true, [][]byte{now.body}
	return out, nil
}

func (s *fullState) encode(instances []fleet.Instance, zonesOut map[string]bool) ([]byte, error) {
	u := &Update{Published: s.published}
	for _, i := range instances {
		if i.Address != s.hidden {
			u.Changes = append(u.Changes, fleet.Change{Kind: fleet.InstanceSet, Instance: i})
		}
	}
	for zone := range zonesOut {
		u.Changes = append(u.Changes, fleet.Change{Kind: fleet.ZoneOut, Zone: zone})
	}
	return encodeUpdate(u)
}

// nodeSource returns a Source that reads from another node.
func (n *Node) nodeSource(address string) Source {
	read := func(ctx context.Context, q peer.UpdatesRequest) (*Update, error) {
		asked := time.Now()
		q.Reader, q.TakesInstances, q.InstancesRevision = n.settings().ControlAddress, true, n.instancesAhead.latest()
		r, err := n.controlClient.Updates(ctx, hosts.Host{ID: address, ControlAddress: address}, q)
		if err != nil {
			return nil, err
		}
		if r.Origin == q.Reader {
			return nil, ErrStale.New("node %s has its state from this node", address)
		}
		if len(r.Instances) > 0 {
			if err := n.takeInstancesAhead(ctx, &r, asked); err != nil {
				return nil, err
			}
		}
		age, maxAge := time.Duration(r.ConfirmedAgeMs)*time.Millisecond, maxRelayAge
		if r.Receiving {
			maxAge += receivingAge
		}
		if !r.StoreRead || age > maxAge {
			return nil, ErrStale.New("node %s has no recent state of the store: read %t, confirmed %s ago", address, r.StoreRead, age)
		}
		// ConfirmedAgeMs is the age when the reply was sent, not when the request
		// was.
		return mergeReply(r, asked.Add(time.Duration(r.WaitedMs)*time.Millisecond-age), n.newestConfig())
	}
	return Source{
		List: func(ctx context.Context) (*Update, error) {
			return read(ctx, peer.UpdatesRequest{Whole: true})
		},
		Watch: func(ctx context.Context, after relay.Position, wait time.Duration) (*Update, error) {
			return read(ctx, peer.UpdatesRequest{AfterEra: &after.Era, AfterRevision: after.Revision, WaitMs: min(wait, maxRelayWait).Milliseconds()})
		},
	}
}

// newestConfig returns the published configuration that is in force here, or nil.
func (n *Node) newestConfig() *PublishedConfig {
	n.updateMu.Lock()
	defer n.updateMu.Unlock()
	return n.publishedConfig
}

// mergeReply combines the updates of a reply into one. newest is the configuration that
// this node has. The error is errMissingBase if a patch in the reply needs another one.
func mergeReply(r peer.UpdatesReply, confirmedAt time.Time, newest *PublishedConfig) (*Update, error) {
	u := &Update{Origin: r.Origin, Receiving: r.Receiving, Era: r.Era, Revision: r.Revision, Full: r.Whole, ConfirmedAt: confirmedAt}
	for _, b := range r.EncodedUpdates {
		update, err := decodeUpdate(b)
		if err != nil {
			return nil, err
		}
		u.Changes = append(u.Changes, update.Changes...)
		next := update.Published
		if update.Patch != nil {
			if next, err = update.Patch.apply(newest); err != nil {
				return nil, err
			}
		}
		if next == nil {
			continue
		}
		if newest == nil || next.Version > newest.Version {
			newest = next
		}
		// The nodes that read this one may not have the newest configuration yet.
		u.Published = newest
	}
	return u, nil
}

// apply returns the configuration to which the patch leads, or base if that is as new.
func (p *ConfigPatch) apply(base *PublishedConfig) (*PublishedConfig, error) {
	switch {
	case base == nil:
		return nil, errMissingBase.New("no configuration, but a patch from version %d", p.From)
	case base.Version >= p.To:
		return base, nil
	case base.Version != p.From:
		return nil, errMissingBase.New("configuration of version %d, but a patch from version %d", base.Version, p.From)
	}
	d, err := p.Document.Apply(&base.Document)
	if err != nil {
		return nil, errMissingBase.Wrap(err, "patch from version %d", p.From)
	}
	return &PublishedConfig{Version: p.To, Document: *d}, nil
}

// forReaders returns an update in the form in which other nodes get it. before is the
// configuration that was in force before the update.
func (n *Node) forReaders(u *Update, before *PublishedConfig) *Update {
	out := &Update{Changes: u.Changes, Published: u.Published}
	if p := u.Published; p != nil && before != nil && before != p && p == n.publishedConfig {
		if d, ok := config.NewPatch(&before.Document, &p.Document); ok {
			out.Published, out.Patch = nil, &ConfigPatch{From: before.Version, To: p.Version, Document: *d}
		}
	}
	return out
}

// recordUpdate adds an update to the log for the nodes that read from this one.
// If no node reads, the update is not encoded, and a node that starts to read
// later gets the full state.
func (n *Node) recordUpdate(u *Update, before *PublishedConfig) {
	isRead := n.lastAsked.age(time.Now()) <= readerTimeout
	switch {
	case u.Full, !isRead && (len(u.Changes) > 0 || u.Published != nil):
		n.updateLog.Reset(u.position(), u.ConfirmedAt)
	case len(u.Changes) == 0 && u.Published == nil:
		n.updateLog.Confirm(u.Revision, u.ConfirmedAt)
	default:
		out := n.forReaders(u, before)
		b, err := encodeUpdate(out)
		if err != nil {
			n.Log.Error("update cannot be encoded for other nodes, which will read the full state", "error", err)
			n.updateLog.Reset(u.position(), u.ConfirmedAt)
			return
		}
		n.updateLog.Append(relay.Entry{Revision: u.Revision, Body: b, IsPatch: out.Patch != nil}, u.ConfirmedAt)
	}
}

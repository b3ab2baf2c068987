package sidecar

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"quetzaldock.example/quetzaldock/internal/peer"
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
	maxRelayAge = watchWait + 300*time.Millisecond
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
	end := asked.Add(min(time.Duration(q.WaitMs)*time.Millisecond, maxRelayWait))
	after := relay.Position{Era: n.updateLog.Status().Era, Revision: q.AfterRevision}
	if q.AfterEra != nil {
		after.Era = *q.AfterEra
	}
	for {
		entries, status, ok := n.updateLog.Since(after)
		out := peer.UpdatesReply{
			Origin: n.origin(), Era: status.Era, Revision: status.Revision, ConfirmedAgeMs: status.Age.Milliseconds(), WaitedMs: time.Since(asked).Milliseconds(), StoreRead: n.storeRead.Load(),
		}
		switch {
		case !out.StoreRead, after.Era > status.Era, q.Reader != "" && q.Reader == out.Origin:
			// The asking node learns at once that it cannot read this one, or that this
			// one knows only what it was told by the asking node.
			return out, nil
		case q.Whole || !ok:
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
		// The reader must learn at once that this node has lost the store.
		left := min(time.Until(end), maxRelayAge-status.Age)
		if left <= 0 {
			return out, nil
		}
		if err := waitForChange(ctx, status.Changed, left); err != nil {
			return out, err
		}
	}
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

// fullReply adds the full state to a reply.
func (n *Node) fullReply(out peer.UpdatesReply) (peer.UpdatesReply, error) {
	n.updateMu.Lock()
	u := &Update{Published: n.publishedConfig}
	instances, zonesOut := n.directory.Published()
	// The state may have changed since the position was read.
	status := n.updateLog.Status()
	n.updateMu.Unlock()
	out.Era, out.Revision, out.ConfirmedAgeMs = status.Era, status.Revision, status.Age.Milliseconds()
	for _, i := range instances {
		if n.verifyingRemoval.Load() && i.Address == n.settings().BackendAddress {
			// Only this node keeps the instance, see holdLocalRemoval.
			continue
		}
		u.Changes = append(u.Changes, fleet.Change{Kind: fleet.InstanceSet, Instance: i})
	}
	for zone := range zonesOut {
		u.Changes = append(u.Changes, fleet.Change{Kind: fleet.ZoneOut, Zone: zone})
	}
	b, err := encodeUpdate(u)
	out.Whole, out.EncodedUpdates = true, [][]byte{b}
	return out, err
}

// nodeSource returns a Source that reads from another node.
func (n *Node) nodeSource(address string) Source {
	read := func(ctx context.Context, q peer.UpdatesRequest) (*Update, error) {
		asked := time.Now()
		q.Reader = n.settings().ControlAddress
		r, err := n.controlClient.Updates(ctx, hosts.Host{ID: address, ControlAddress: address}, q)
		if err != nil {
			return nil, err
		}
		if r.Origin == q.Reader {
			return nil, ErrStale.New("node %s has its state from this node", address)
		}
		age := time.Duration(r.ConfirmedAgeMs) * time.Millisecond
		if !r.StoreRead || age > maxRelayAge {
			return nil, ErrStale.New("node %s has no recent state of the store: read %t, confirmed %s ago", address, r.StoreRead, age)
		}
		// ConfirmedAgeMs is the age when the reply was sent, not when the request
		// was.
		return mergeReply(r, asked.Add(time.Duration(r.WaitedMs)*time.Millisecond-age))
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

// mergeReply combines the updates of a reply into one.
func mergeReply(r peer.UpdatesReply, confirmedAt time.Time) (*Update, error) {
	u := &Update{Origin: r.Origin, Era: r.Era, Revision: r.Revision, Full: r.Whole, ConfirmedAt: confirmedAt}
	for _, b := range r.EncodedUpdates {
		update, err := decodeUpdate(b)
		if err != nil {
			return nil, err
		}
		u.Changes = append(u.Changes, update.Changes...)
		if update.Published != nil && (u.Published == nil || update.Published.Version > u.Published.Version) {
			u.Published = update.Published
		}
	}
	return u, nil
}

// recordUpdate adds an update to the log for the nodes that read from this one.
// If no node reads, the update is not encoded, and a node that starts to read
// later gets the full state.
func (n *Node) recordUpdate(u *Update) {
	isRead := n.lastAsked.age(time.Now()) <= readerTimeout
	switch {
	case u.Full, !isRead && (len(u.Changes) > 0 || u.Published != nil):
		n.updateLog.Reset(u.position(), u.ConfirmedAt)
	case len(u.Changes) == 0 && u.Published == nil:
		n.updateLog.Confirm(u.Revision, u.ConfirmedAt)
	default:
		b, err := encodeUpdate(&Update{Changes: u.Changes, Published: u.Published})
		if err != nil {
			n.Log.Error("update cannot be encoded for other nodes, which will read the full state", "error", err)
			n.updateLog.Reset(u.position(), u.ConfirmedAt)
			return
		}
		n.updateLog.Append(relay.Entry{Revision: u.Revision, Body: b}, u.ConfirmedAt)
	}
}

package distribution

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/internal/configservice"
	"quetzaldock.example/quetzaldock/pkg/replication"
)

// The keys in the configuration service. A part is stored under partKeyPrefix
// followed by its digest.
const (
	manifestKey   = "manifest"
	hostListKey   = "hosts"
	partKeyPrefix = "parts/"
)

// runFetches fetches what the Replica asks for, from peers and from the source,
// and calls its Tick.
func (d *Distributor) runFetches(ctx context.Context) {
	pulls, reads := pond.NewPool(maxConcurrentPulls), pond.NewPool(maxConcurrentPartReads)
	defer pulls.StopAndWait()
	defer reads.StopAndWait()
	for {
		now := d.Replica.Now()
		d.apply(d.Replica.Tick(now))
		for pulls.RunningWorkers() < maxConcurrentPulls {
			p, ok := d.Replica.NextPull(now)
			if !ok {
				break
			}
			pulls.Submit(func() { d.pullFrom(ctx, p) })
		}
		for _, digest := range d.Replica.NextPartReads(now) {
			reads.Submit(func() { d.readPart(ctx, digest) })
		}
		t := time.NewTimer(fetchCheckInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-d.fetchRequested:
		case <-t.C:
		}
		t.Stop()
	}
}

func (d *Distributor) pullFrom(ctx context.Context, p replication.Pull) {
	reply, err := d.Peers.Pull(ctx, p.To, p.Request)
	if err != nil || reply.Busy || reply.PayloadBytes() == 0 {
		if ctx.Err() == nil {
			d.Replica.PullFailed(p, err == nil && reply.Busy)
		}
		return
	}
	if reply.HostList != nil {
		d.offerHostList(reply.HostList)
	}
	if reply.Manifest != nil || reply.Parts != nil {
		d.deliver(reply.Manifest, reply.Parts)
	}
}

func (d *Distributor) deliver(manifest []byte, parts map[string][]byte) {
	a, err := d.Replica.Deliver(manifest, parts)
	a.Fetch = true
	d.apply(a)
	if errorx.IsOfType(err, replication.BadDigest) {
		d.Log.Warn("part has other bytes than its digest", "error", err)
	}
}

func (d *Distributor) offerHostList(b []byte) {
	a, err := d.Replica.OfferHostList(b)
	if err != nil {
		d.Log.Warn("host list refused", "error", err)
		return
	}
	d.apply(a)
}

func (d *Distributor) readPart(ctx context.Context, digest string) {
	if !d.awaitReadBudget(ctx) || d.Replica.Part(digest) != nil {
		return
	}
	v, err := d.Source.Read(ctx, partKeyPrefix+digest)
	if err != nil {
		// The manifest may be published before its parts. The Replica asks
		// for this part again later.
		d.Log.Debug("part not read", "digest", digest, "error", err)
		return
	}
	d.deliver(nil, map[string][]byte{digest: v.Bytes})
}

// awaitReadBudget waits until the node's budget allows a read and uses it. It
// returns false if ctx ended first.
func (d *Distributor) awaitReadBudget(ctx context.Context) bool {
	for {
		d.mu.Lock()
		now := d.Replica.Now()
		ok, next := d.budget.Take(now), d.budget.NextAt(now)
		d.mu.Unlock()
		if ok {
			return true
		}
		if !sleep(ctx, next.Sub(now)) {
			return false
		}
	}
}

// A sourceReadState holds the manifest and its revision from the last read, and
// whether the source was last logged as not readable.
type sourceReadState struct {
	manifest    []byte
	revision    uint64
	unavailable bool
}

// runSourceReads reads the manifest and the host list at the source when the
// Replica plans it.
func (d *Distributor) runSourceReads(ctx context.Context) {
	backoff := configservice.Backoff{First: initialBackoff, Max: maxBackoff, Rand: d.random}
	var s sourceReadState
	for {
		now := d.Replica.Now()
		plan := d.Replica.NextSourceReads(now)
		var err error
		if plan.Hosts && d.awaitReadBudget(ctx) {
			err = d.readHostList(ctx)
		}
		if plan.Manifest && d.awaitReadBudget(ctx) {
			err = d.readManifest(ctx, &s)
		}
		if ctx.Err() != nil {
			return
		}
		if plan.Hosts || plan.Manifest {
			d.logSourceAvailability(&s, err)
		}
		wait := min(plan.NextAt.Sub(d.Replica.Now()), 2*fetchCheckInterval)
		if err != nil {
			wait = backoff.Wait()
		} else if plan.Manifest {
			backoff.Reset()
		}
		if !sleep(ctx, wait) {
			return
		}
	}
}

// logSourceAvailability logs that reads at the source began to fail or succeed
// again.
func (d *Distributor) logSourceAvailability(s *sourceReadState, err error) {
	switch {
	case err != nil && !s.unavailable:
		d.Log.Warn("configuration service not readable", "error", err)
	case err == nil && s.unavailable:
		d.Log.Info("configuration service readable again")
	}
	s.unavailable = err != nil
}

func (d *Distributor) readHostList(ctx context.Context) error {
	v, err := d.Source.Read(ctx, hostListKey)
	if err != nil {
		return err
	}
	d.offerHostList(v.Bytes)
	return nil
}

// readManifest reads the manifest if it changed since the last read, and hands
// it to the Replica.
func (d *Distributor) readManifest(ctx context.Context, s *sourceReadState) error {
	manifestReadAt := d.Replica.Now()
	var v configservice.Value
	var err error
	changed := true
	if s.manifest != nil {
		v, changed, err = d.Source.Watch(ctx, manifestKey, s.revision, 0)
	} else {
		v, err = d.Source.Read(ctx, manifestKey)
	}
	if err != nil {
		// The next read ignores the last revision, in case the service was
		// restored to an earlier state and counts from a lower one.
		s.manifest = nil
		return err
	}
	if changed {
		s.manifest, s.revision = v.Bytes, v.Revision
	}
	d.apply(d.Replica.ObserveSourceManifest(s.manifest, manifestReadAt))
	return nil
}

// HandleExchange handles a peer's exchange request and returns the reply.
func (d *Distributor) HandleExchange(_ context.Context, _ string, in replication.Message) (replication.Message, error) {
	if !d.running.Load() {
		return replication.Message{}, NotRunning.New("distribution has not started")
	}
	d.apply(d.Replica.ObserveSummary(in.Host(), in.Summary, time.Time{}))
	return d.Replica.ExchangeReply(), nil
}

// HandlePush handles a push of a peer.
func (d *Distributor) HandlePush(_ context.Context, _ string, in replication.Message) error {
	if !d.running.Load() {
		return NotRunning.New("distribution has not started")
	}
	d.apply(d.Replica.ObserveSummary(in.Host(), in.Summary, time.Time{}))
	return nil
}

// HandlePull returns the requested bytes that the node has.
func (d *Distributor) HandlePull(_ context.Context, _ string, q replication.PullRequest) (replication.PullReply, error) {
	if !d.running.Load() {
		return replication.PullReply{}, NotRunning.New("distribution has not started")
	}
	return d.Replica.AnswerPull(q), nil
}

package distribution

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/internal/configservice"
	"quetzaldock.example/quetzaldock/pkg/replication"
)

// The keys of the configuration service.
const (
	manifestKey = "manifest"
	hostsKey    = "hosts"
	partsPrefix = "parts/"
)

// pull fetches what the Replica wants, from peers and from the source, and
// keeps its deadlines.
func (d *Distributor) pull(ctx context.Context) {
	pulls, reads := pond.NewPool(pullWorkers), pond.NewPool(readWorkers)
	defer pulls.StopAndWait()
	defer reads.StopAndWait()
	for {
		now := d.Replica.Now()
		d.apply(d.Replica.Tick(now))
		for pulls.RunningWorkers() < pullWorkers {
			p, ok := d.Replica.NextPull(now)
			if !ok {
				break
			}
			pulls.Submit(func() { d.pullFrom(ctx, p) })
		}
		for _, digest := range d.Replica.NextPartReads(now) {
			reads.Submit(func() { d.readPart(ctx, digest) })
		}
		t := time.NewTimer(fetchCheck)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-d.fetch:
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
		d.offerHosts(reply.HostList)
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

func (d *Distributor) offerHosts(b []byte) {
	a, err := d.Replica.OfferHostList(b)
	if err != nil {
		d.Log.Warn("host list refused", "error", err)
		return
	}
	d.apply(a)
}

func (d *Distributor) readPart(ctx context.Context, digest string) {
	if !d.takeRead(ctx) || d.Replica.Part(digest) != nil {
		return
	}
	v, err := d.Source.Read(ctx, partsPrefix+digest)
	if err != nil {
		// A manifest may show before its parts; the Replica asks again.
		d.Log.Debug("part not read", "digest", digest, "error", err)
		return
	}
	d.deliver(nil, map[string][]byte{digest: v.Bytes})
}

// takeRead waits for a read of the node's budget.
func (d *Distributor) takeRead(ctx context.Context) bool {
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

// A sourceState is what the source reader remembers between reads.
type sourceState struct {
	manifest []byte
	revision uint64
	down     bool
}

// readSource reads and watches the configuration service as planned by the
// Replica.
func (d *Distributor) readSource(ctx context.Context) {
	backoff := configservice.Backoff{First: firstBackoff, Max: maxBackoff, Rand: d.random}
	var s sourceState
	for {
		now := d.Replica.Now()
		plan := d.Replica.NextSourceReads(now)
		var err error
		if plan.Hosts && d.takeRead(ctx) {
			err = d.readHosts(ctx)
		}
		if plan.Manifest && d.takeRead(ctx) {
			err = d.readManifest(ctx, &s)
		}
		if ctx.Err() != nil {
			return
		}
		if plan.Hosts || plan.Manifest {
			d.noteSource(&s, err)
		}
		wait := min(plan.NextAt.Sub(d.Replica.Now()), 2*fetchCheck)
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

// noteSource logs that the source was lost or came back.
func (d *Distributor) noteSource(s *sourceState, err error) {
	switch {
	case err != nil && !s.down:
		d.Log.Warn("configuration service not readable", "error", err)
	case err == nil && s.down:
		d.Log.Info("configuration service readable again")
	}
	s.down = err != nil
}

func (d *Distributor) readHosts(ctx context.Context) error {
	v, err := d.Source.Read(ctx, hostsKey)
	if err != nil {
		return err
	}
	d.offerHosts(v.Bytes)
	return nil
}

// readManifest reads the manifest, if it changed.
func (d *Distributor) readManifest(ctx context.Context, s *sourceState) error {
	askedAt := d.Replica.Now()
	var v configservice.Value
	var err error
	changed := true
	if s.manifest != nil {
		v, changed, err = d.Source.Watch(ctx, manifestKey, s.revision, 0)
	} else {
		v, err = d.Source.Read(ctx, manifestKey)
	}
	if err != nil {
		// The next read starts anew, in case the service went back in time.
		s.manifest = nil
		return err
	}
	if changed {
		s.manifest, s.revision = v.Bytes, v.Revision
	}
	d.apply(d.Replica.ObserveSourceManifest(s.manifest, askedAt))
	return nil
}

// HandleExchange answers a peer's summary with the node's own.
func (d *Distributor) HandleExchange(_ context.Context, _ string, in replication.Message) (replication.Message, error) {
	if !d.running.Load() {
		return replication.Message{}, NotRunning.New("distribution has not started")
	}
	d.apply(d.Replica.ObserveSummary(in.Host(), in.Summary, time.Time{}))
	return d.Replica.ExchangeReply(), nil
}

// HandlePush takes a peer's summary.
func (d *Distributor) HandlePush(_ context.Context, _ string, in replication.Message) error {
	if !d.running.Load() {
		return NotRunning.New("distribution has not started")
	}
	d.apply(d.Replica.ObserveSummary(in.Host(), in.Summary, time.Time{}))
	return nil
}

// HandlePull answers with the held bytes.
func (d *Distributor) HandlePull(_ context.Context, _ string, q replication.PullRequest) (replication.PullReply, error) {
	if !d.running.Load() {
		return replication.PullReply{}, NotRunning.New("distribution has not started")
	}
	return d.Replica.AnswerPull(q), nil
}

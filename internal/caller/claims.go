package caller

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/idempotency"
)

const (
	// claimRounds is how often the witnesses that did not answer are asked.
	// Connections that went silent are replaced after each round.
	maxClaimRounds = 3
	// reportWorkers and reportQueue bound the reports of ended requests. A
	// report that finds the queue full is dropped: repeats are then answered
	// as possibly running instead of by their status.
	reportWorkers     = 8
	reportQueueLength = 4096
)

// Claims asks the witnesses of idempotency keys for consent. Its exported
// fields are set before first use.
type KeyClaimer struct {
	HostID  string
	Witness *idempotency.Witness
	// Panel returns the witnesses of the configuration in force.
	Selector func() *idempotency.WitnessSelector
	// Host returns a listed host.
	Host func(id string) (hosts.Host, bool)
	// Ask sends a claim or a report to another host.
	Send func(ctx context.Context, to hosts.Host, in peer.ClaimRequest) (peer.ClaimReply, error)
	Now  func() time.Time

	reportPool pond.Pool
	// ending holds the claims that ended before all witnesses had answered.
	delayedReports sync.WaitGroup
}

// NewClaims returns claims whose reports are sent by a bounded pool.
func NewKeyClaimer() *KeyClaimer {
	return &KeyClaimer{Now: time.Now, reportPool: pond.NewPool(reportWorkers, pond.WithQueueSize(reportQueueLength), pond.WithNonBlocking(true))}
}

// Close waits for the reports that are under way.
func (c *KeyClaimer) Close() {
	c.delayedReports.Wait()
	c.reportPool.StopAndWait()
}

// A Claim is the right to run one request with a key.
type Claim struct {
	c         *KeyClaimer
	key       idempotency.Key
	holder    string
	witnesses []string
	// asks counts the questions to witnesses that are under way.
	pendingAsks     sync.WaitGroup
	pendingAskCount atomic.Int64
}

// Begin claims a key. It fails with *call.NotRun, *call.Repeat or
// *call.Unknown.
func (c *KeyClaimer) ClaimKey(ctx context.Context, k idempotency.Key) (*Claim, error) {
	x := &Claim{c: c, key: k, holder: rand.Text(), witnesses: c.Selector().Witnesses(k)}
	t := idempotency.NewTally(x.witnesses)
	for round := 0; round < maxClaimRounds && ctx.Err() == nil && t.Decide(false) == idempotency.DecisionPending; round++ {
		c.askRound(ctx, x, t)
	}
	d := t.Decide(true)
	if d == idempotency.DecisionRun {
		return x, nil
	}
	x.ReportOutcome(idempotency.OutcomeNotRun, 0)
	switch d {
	case idempotency.DecisionAnswered:
		return nil, &call.DuplicateRequest{Status: t.Status}
	case idempotency.DecisionInProgress:
		return nil, &call.DuplicateRequest{}
	case idempotency.DecisionOutcomeUnknown:
		return nil, &call.OutcomeUnknown{Reason: "an earlier request with this key may have run"}
	default:
		return nil, &call.NotRun{Reason: "NoMajority"}
	}
}

// vote is one witness's answer.
type witnessAnswer struct {
	host   string
	answer idempotency.Answer
}

// round asks the witnesses that have not answered yet and returns once the
// answers decide or all have come.
func (c *KeyClaimer) askRound(ctx context.Context, x *Claim, t *idempotency.Tally) {
	unanswered := t.Unanswered()
	answers := make(chan witnessAnswer, len(unanswered))
	for _, id := range unanswered {
		if id == c.HostID {
			answers <- witnessAnswer{id, c.Witness.Claim(x.key, x.holder, c.Now())}
			continue
		}
		// A call that is broken off costs its connection, so it outlives the
		// decision; ClaimTimeout bounds it.
		x.pendingAskCount.Add(1)
		x.pendingAsks.Go(func() {
			answers <- witnessAnswer{id, c.askWitness(context.WithoutCancel(ctx), id, x)}
			x.pendingAskCount.Add(-1)
		})
	}
	for range unanswered {
		select {
		case v := <-answers:
			t.Add(v.host, v.answer)
		case <-ctx.Done():
			return
		}
		if t.Decide(false) != idempotency.DecisionPending {
			return
		}
	}
}

func (c *KeyClaimer) askWitness(ctx context.Context, id string, x *Claim) idempotency.Answer {
	h, ok := c.Host(id)
	if !ok {
		return idempotency.Answer{}
	}
	r, err := c.Send(ctx, h, peer.ClaimRequest{Key: x.key, Holder: x.holder})
	if err != nil {
		return idempotency.Answer{}
	}
	return r.Answer
}

// End tells the witnesses how the request ended. It does not wait. A report
// must not overtake a claim that is still under way: the witness would then
// hold the key for a request that has ended.
func (x *Claim) ReportOutcome(o idempotency.Outcome, status int) {
	c := x.c
	for _, id := range x.witnesses {
		if id == c.HostID {
			c.Witness.Finish(x.key, x.holder, o, status)
		}
	}
	if x.pendingAskCount.Load() == 0 {
		x.sendReports(o, status)
		return
	}
	c.delayedReports.Go(func() {
		x.pendingAsks.Wait()
		x.sendReports(o, status)
	})
}

// report sends the end of the request to the other witnesses.
func (x *Claim) sendReports(o idempotency.Outcome, status int) {
	c := x.c
	for _, id := range x.witnesses {
		if id == c.HostID {
			continue
		}
		h, ok := c.Host(id)
		if !ok {
			continue
		}
		_ = c.reportPool.Go(func() {
			_, _ = c.Send(context.Background(), h, peer.ClaimRequest{Key: x.key, Holder: x.holder, Ended: true, Outcome: o, Status: status})
		})
	}
}

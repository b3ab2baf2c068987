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
	// maxClaimRounds is the maximum number of times that a claim is sent to a
	// witness that does not answer. After a claim without an answer, the next
	// one is sent over a new connection.
	maxClaimRounds = 3
	// reportWorkers is the number of goroutines that send reports, and
	// reportQueueLength the number of reports that may wait for them. Further
	// reports are dropped. A witness without the report still takes the request
	// for running, so a repeat of the request may be refused as running although
	// the request has ended.
	reportWorkers     = 8
	reportQueueLength = 4096
)

// A KeyClaimer claims idempotency keys from their witnesses, before a request
// runs, and reports to them how the request ended. Its exported fields are set
// before first use.
type KeyClaimer struct {
	// HostID is the ID of this host, and Witness its own witness.
	HostID  string
	Witness *idempotency.Witness
	// Selector returns the selector of the configuration in force, which knows
	// the witnesses of each key.
	Selector func() *idempotency.WitnessSelector
	// Host returns the entry of a host in the host list.
	Host func(id string) (hosts.Host, bool)
	// Send sends a claim or a report to another host.
	Send func(ctx context.Context, to hosts.Host, in peer.ClaimRequest) (peer.ClaimReply, error)
	Now  func() time.Time

	reportPool pond.Pool
	// delayedReports counts the ended requests whose reports wait until no
	// claim is under way.
	delayedReports sync.WaitGroup
}

// NewKeyClaimer returns a KeyClaimer without its functions and IDs.
func NewKeyClaimer() *KeyClaimer {
	return &KeyClaimer{Now: time.Now, reportPool: pond.NewPool(reportWorkers, pond.WithQueueSize(reportQueueLength), pond.WithNonBlocking(true))}
}

// Close waits until all reports are sent.
func (c *KeyClaimer) Close() {
	c.delayedReports.Wait()
	c.reportPool.StopAndWait()
}

// A Claim is one request's claim to an idempotency key. A Claim that ClaimKey
// returns allows the request to run.
type Claim struct {
	c   *KeyClaimer
	key idempotency.Key
	// holder is the random identity of this claim at the witnesses.
	holder string
	// witnesses are the host IDs of the key's witnesses.
	witnesses []string
	// pendingAsks waits for the claims sent to other hosts that are not
	// answered yet, and pendingAskCount counts them.
	pendingAsks     sync.WaitGroup
	pendingAskCount atomic.Int64
}

// ClaimKey claims a key from its witnesses. It fails with *call.NotRun,
// *call.DuplicateRequest or *call.OutcomeUnknown.
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

// A witnessAnswer is the answer of the witness with the given host ID.
type witnessAnswer struct {
	host   string
	answer idempotency.Answer
}

// askRound sends the claim to the witnesses that have not answered yet. It
// returns once the answers suffice for a decision, all have arrived or failed,
// or ctx has ended.
func (c *KeyClaimer) askRound(ctx context.Context, x *Claim, t *idempotency.Tally) {
	unanswered := t.Unanswered()
	answers := make(chan witnessAnswer, len(unanswered))
	for _, id := range unanswered {
		if id == c.HostID {
			answers <- witnessAnswer{id, c.Witness.Claim(x.key, x.holder, c.Now())}
			continue
		}
		// Canceling a control call closes its connection. The call therefore
		// goes on after the decision, for at most peer.ClaimTimeout.
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

// askWitness sends the claim to another host. It returns the zero Answer if
// the host is not listed or does not answer.
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

// ReportOutcome reports to the witnesses how the request ended, with the HTTP
// status of the response for idempotency.OutcomeAnswered. It does not block.
// The reports are sent once no claim is under way: a witness that got the
// report before the claim would keep the key for a request that has ended.
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

// sendReports queues a report for each witness on another host.
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

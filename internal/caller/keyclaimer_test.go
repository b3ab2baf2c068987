package caller_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/caller"
	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/idempotency"
)

var errNoReply = errors.New("no reply")

// newSelector returns the selector for three hosts in three zones. Each host is
// a witness of each key of the service.
func newSelector(t *testing.T) *idempotency.WitnessSelector {
	t.Helper()
	s := &config.Snapshot{Hosts: map[string]*config.Host{}}
	for _, id := range []string{"self", "w1", "w2"} {
		s.Hosts[id] = &config.Host{ID: id, Service: "desk", Zone: "z-" + id}
	}
	return idempotency.NewWitnessSelector(s)
}

// fakeWitnesses answers claims with a fixed answer for each host. A host
// without one does not answer. It records the claims and reports it gets.
type fakeWitnesses struct {
	mu      sync.Mutex
	answers map[string]idempotency.Answer
	// unansweredClaims is the number of first claims to each host that get no
	// answer.
	unansweredClaims map[string]int
	claimCount       map[string]int
	reports          map[string]peer.ClaimRequest
	holders          map[string]bool
}

func newFakeWitnesses(answers map[string]idempotency.Answer) *fakeWitnesses {
	return &fakeWitnesses{
		answers: answers, unansweredClaims: map[string]int{}, claimCount: map[string]int{},
		reports: map[string]peer.ClaimRequest{}, holders: map[string]bool{},
	}
}

func (v *fakeWitnesses) send(_ context.Context, to hosts.Host, in peer.ClaimRequest) (peer.ClaimReply, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if in.Ended {
		v.reports[to.ID] = in
		return peer.ClaimReply{}, nil
	}
	v.claimCount[to.ID]++
	v.holders[in.Holder] = true
	if v.claimCount[to.ID] <= v.unansweredClaims[to.ID] {
		return peer.ClaimReply{}, errNoReply
	}
	a, ok := v.answers[to.ID]
	if !ok {
		return peer.ClaimReply{}, errNoReply
	}
	return peer.ClaimReply{Answer: a}, nil
}

// newClaimer returns a KeyClaimer whose own witness abstains, because it is not
// configured.
func newClaimer(t *testing.T, send func(context.Context, hosts.Host, peer.ClaimRequest) (peer.ClaimReply, error)) *caller.KeyClaimer {
	t.Helper()
	c, selector := caller.NewKeyClaimer(), newSelector(t)
	c.HostID, c.Witness, c.Send = "self", idempotency.NewWitness("self"), send
	c.Selector = func() *idempotency.WitnessSelector { return selector }
	c.Host = func(id string) (hosts.Host, bool) { return hosts.Host{ID: id}, true }
	return c
}

// Guards against a request that runs without the grants of a majority, and
// against refusals that give the wrong cause.
func TestClaimsFollowTheMajority(t *testing.T) {
	granted, inProgress, abstained := idempotency.Answer{Verdict: idempotency.VerdictGranted}, idempotency.Answer{Verdict: idempotency.VerdictInProgress}, idempotency.Answer{Verdict: idempotency.VerdictAbstained}
	answered, outcomeUnknown, memoryFull := idempotency.Answer{Verdict: idempotency.VerdictAnswered, Status: 201}, idempotency.Answer{Verdict: idempotency.VerdictOutcomeUnknown}, idempotency.Answer{Verdict: idempotency.VerdictMemoryFull}
	for _, c := range []struct {
		name    string
		answers map[string]idempotency.Answer
		want    string
	}{
		{"two grant", map[string]idempotency.Answer{"w1": granted, "w2": granted}, ""},
		{"no other answers", nil, "outcome unknown: an earlier request with this key may have run"},
		{"one does not answer", map[string]idempotency.Answer{"w1": granted}, "outcome unknown: an earlier request with this key may have run"},
		{"both abstain", map[string]idempotency.Answer{"w1": abstained, "w2": abstained}, "outcome unknown: an earlier request with this key may have run"},
		{"one has the request in progress", map[string]idempotency.Answer{"w1": inProgress, "w2": granted}, "a request with the same key is running"},
		{"one knows the status", map[string]idempotency.Answer{"w1": answered, "w2": granted}, "a request with the same key ended with status 201"},
		{"one does not know the outcome", map[string]idempotency.Answer{"w1": outcomeUnknown, "w2": granted}, "outcome unknown: an earlier request with this key may have run"},
		{"one has no memory left", map[string]idempotency.Answer{"w1": memoryFull, "w2": granted}, "outcome unknown: an earlier request with this key may have run"},
	} {
		v := newFakeWitnesses(c.answers)
		x := newClaimer(t, v.send)
		claim, err := x.ClaimKey(context.Background(), idempotency.Key{Service: "desk", Account: "club", Value: "k"})
		if c.want == "" {
			assert.NilError(t, err, c.name)
			claim.ReportOutcome(idempotency.OutcomeAnswered, 200)
		} else {
			assert.Error(t, err, c.want)
		}
		x.Close()
		assert.Equal(t, len(v.holders), 1, c.name)
		// Each witness that may have granted the key gets a report.
		want := idempotency.OutcomeNotRun
		if c.want == "" {
			want = idempotency.OutcomeAnswered
		}
		assert.Equal(t, v.reports["w1"].Outcome, want, c.name)
		assert.Equal(t, v.reports["w2"].Outcome, want, c.name)
	}
}

// Guards against requests that are refused because the first claim to a witness
// was sent over a connection that no longer works.
func TestClaimsAskSilentWitnessesAgain(t *testing.T) {
	v := newFakeWitnesses(map[string]idempotency.Answer{"w1": {Verdict: idempotency.VerdictGranted}, "w2": {Verdict: idempotency.VerdictGranted}})
	v.unansweredClaims["w2"] = 1
	x := newClaimer(t, v.send)
	defer x.Close()
	_, err := x.ClaimKey(context.Background(), idempotency.Key{Service: "desk", Value: "k"})
	assert.NilError(t, err)
	v.mu.Lock()
	defer v.mu.Unlock()
	assert.Equal(t, v.claimCount["w1"], 1)
	assert.Equal(t, v.claimCount["w2"], 2)
}

// Guards against a key without witnesses that is taken for granted.
func TestClaimsNeedWitnesses(t *testing.T) {
	x := newClaimer(t, newFakeWitnesses(nil).send)
	defer x.Close()
	_, err := x.ClaimKey(context.Background(), idempotency.Key{Service: "unpublished", Value: "k"})
	assert.Error(t, err, "not run: NoMajority")
}

// Guards against calls that wait for reports when the queue of reports is full
// because the witnesses do not answer.
func TestClaimsDropReportsBeyondTheQueue(t *testing.T) {
	release := make(chan struct{})
	var reports atomic.Int64
	v := newFakeWitnesses(map[string]idempotency.Answer{"w1": {Verdict: idempotency.VerdictGranted}, "w2": {Verdict: idempotency.VerdictGranted}})
	x := newClaimer(t, func(ctx context.Context, to hosts.Host, in peer.ClaimRequest) (peer.ClaimReply, error) {
		if in.Ended {
			reports.Add(1)
			<-release
		}
		return v.send(ctx, to, in)
	})
	claim, err := x.ClaimKey(context.Background(), idempotency.Key{Service: "desk", Value: "k"})
	assert.NilError(t, err)
	for range 5000 {
		claim.ReportOutcome(idempotency.OutcomeAnswered, 200)
	}
	close(release)
	x.Close()
	assert.Assert(t, reports.Load() < 2*5000, "%d reports", reports.Load())
	assert.Assert(t, reports.Load() >= 4096, "%d reports", reports.Load())
}

// Guards against a key that stays claimed although its request certainly did
// not run: repeats of the request would be refused for ten minutes.
func TestIncompleteBodyLeavesItsKeyFree(t *testing.T) {
	x := newTestHandler(t)
	x.addLocalHost(respondOK)
	v := newFakeWitnesses(map[string]idempotency.Answer{"w1": {Verdict: idempotency.VerdictGranted}, "w2": {Verdict: idempotency.VerdictGranted}})
	x.Dispatcher.KeyClaimer = newClaimer(t, v.send)
	c := x.dial()
	_, err := io.WriteString(c, "POST /entries HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+clientKey+"\r\nIdempotency-Key: k\r\nContent-Length: 10\r\n\r\nhalf")
	assert.NilError(t, err)
	assert.NilError(t, c.(interface{ CloseWrite() error }).CloseWrite())
	a, body := x.readResponse(c)
	assert.Equal(t, a.StatusCode, 400, body)
	x.Dispatcher.KeyClaimer.Close()
	assert.Equal(t, len(v.holders), 0)
	assert.Equal(t, len(v.reports), 0)
}

// Guards against witnesses that get no report of a claimed request, or a report
// that a request did not run although it may have run.
func TestDispatcherReportsTheEndOfClaims(t *testing.T) {
	for _, c := range []struct {
		name   string
		local  runFunc
		status int
		want   idempotency.Outcome
	}{
		{"answered", respondWith(201), 201, idempotency.OutcomeAnswered},
		{"not run", failWith(&call.NotRun{Reason: "Late", Final: true}), 503, idempotency.OutcomeNotRun},
		{"unknown", failWith(errReset), 502, idempotency.OutcomeUnknown},
	} {
		x := newTestHandler(t)
		x.addLocalHost(c.local)
		v := newFakeWitnesses(map[string]idempotency.Answer{"w1": {Verdict: idempotency.VerdictGranted}, "w2": {Verdict: idempotency.VerdictGranted}})
		x.Dispatcher.KeyClaimer = newClaimer(t, v.send)
		a, body := x.do(http.MethodPost, "/entries", "Idempotency-Key: k", "Content-Length: 0")
		assert.Equal(t, a.StatusCode, c.status, body)
		x.Dispatcher.KeyClaimer.Close()
		assert.Equal(t, v.reports["w1"].Outcome, c.want, c.name)
		if c.want == idempotency.OutcomeAnswered {
			assert.Equal(t, v.reports["w1"].Status, c.status)
		}
	}
}

// Guards against a claim that goes on after the end of its call while no
// witness answers.
func TestClaimsEndWithTheirCall(t *testing.T) {
	release := make(chan struct{})
	x := newClaimer(t, func(_ context.Context, _ hosts.Host, in peer.ClaimRequest) (peer.ClaimReply, error) {
		if !in.Ended {
			<-release
		}
		return peer.ClaimReply{}, errNoReply
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := x.ClaimKey(ctx, idempotency.Key{Service: "desk", Value: "k"})
	assert.Assert(t, err != nil)
	close(release)
	x.Close()
}

// Guards against a report that reaches a witness before the claim: the witness
// would keep the key for ten minutes for a request that has ended.
func TestClaimsReportAfterTheirLastClaim(t *testing.T) {
	claimed := make(chan struct{})
	var mu sync.Mutex
	var order []string
	x := newClaimer(t, func(_ context.Context, to hosts.Host, in peer.ClaimRequest) (peer.ClaimReply, error) {
		if to.ID == "w1" {
			return peer.ClaimReply{Answer: idempotency.Answer{Verdict: idempotency.VerdictInProgress}}, nil
		}
		kind := "report"
		if !in.Ended {
			<-claimed
			kind = "claim"
		}
		mu.Lock()
		defer mu.Unlock()
		order = append(order, kind)
		return peer.ClaimReply{Answer: idempotency.Answer{Verdict: idempotency.VerdictGranted}}, nil
	})
	// The own witness abstains and w1 does not grant the key, so the claim is
	// refused before w2 answers.
	_, err := x.ClaimKey(context.Background(), idempotency.Key{Service: "desk", Value: "k"})
	assert.Error(t, err, "a request with the same key is running")
	close(claimed)
	x.Close()
	assert.DeepEqual(t, order, []string{"claim", "report"})
}

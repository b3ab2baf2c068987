package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fleet"
)

// Guards against an account that gets the pool of its limit once more, from the node that
// lends after the instance of the former one has left.
func TestNewLendingNodeBeginsWithAnEmptyPool(t *testing.T) {
	m := newMesh(t, 3)
	d := testDocument()
	rate, burst := 2.0, 20.0
	d.Exceptions = []config.Exception{{Name: "limit", Reason: "test", Account: "club", Values: config.Values{Rate: &rate, Burst: &burst}}}
	m.store.publish(&PublishedConfig{Version: 2, Document: d})
	for _, n := range m.nodes {
		waitFor(t, "version 2", func() bool { return n.snapshot.Load().Version == 2 })
	}
	lends := func(n *Node) bool {
		return n.accountLimits.lendingNode("club") == n.accountLimits.selfAddress
	}
	lender := 0
	for i, n := range m.nodes {
		if lends(n) {
			lender = i
		}
	}
	tokens, _ := m.nodes[lender].rateLimiter.Lend("club")
	assert.Assert(t, tokens > 0, "the limit is new")
	time.Sleep(time.Second)
	m.store.publish(nil, fleet.Change{Kind: fleet.InstanceRemoved, ID: m.backends[lender].id})
	var next *Node
	for _, n := range m.nodes {
		waitFor(t, "removal", func() bool { return len(n.directory.View().Instances) == 2 && len(n.accountLimits.nodes()) == 2 })
		if lends(n) {
			next = n
		}
	}
	tokens, _ = next.rateLimiter.Lend("club")
	assert.Equal(t, tokens, 0)
	tokens, _ = m.nodes[lender].rateLimiter.Lend("club")
	assert.Equal(t, tokens, 0)
	waitFor(t, "token", func() bool {
		tokens, _ := next.rateLimiter.Lend("club")
		return tokens > 0
	})
}

// Guards against a node that keeps its pools while it is cut off and another one lends.
func TestLendingNodeThatIsCutOffGivesUpItsPools(t *testing.T) {
	n := testNode(t, "127.0.0.1:9")
	l := n.accountLimits
	age := time.Duration(0)
	l.stateAge = func() time.Duration { return age }
	l.nodeAddresses.Store(&[]string{l.selfAddress, l.selfAddress})
	n.rateLimiter.SetNodeCount(60)
	l.hear()
	setRate := func(rate float64) {
		d := testDocument()
		d.Exceptions = []config.Exception{{Name: "limit", Reason: "test", Account: "club", Values: config.Values{Rate: &rate, Burst: &rate}}}
		v, err := config.AcceptDocument(uint64(rate), d)
		assert.NilError(t, err)
		n.rateLimiter.Configure(limitsByAccount(v))
	}
	setRate(1000)
	setRate(20)
	time.Sleep(200 * time.Millisecond)
	_, _, detail := l.requestTokens(t.Context(), "club")
	assert.Equal(t, detail, detailPoolEmpty)
	age = time.Minute
	l.reviewCutOff()
	assert.Assert(t, !l.cutOff.Load(), "other nodes are heard")
	l.lastHeard.set(time.Now().Add(-time.Minute))
	l.reviewCutOff()
	tokens, _, detail := l.requestTokens(t.Context(), "club")
	assert.Assert(t, tokens == 0 && detail == detailCutOff, detail)
	l.hear()
	assert.Assert(t, !l.cutOff.Load())
	tokens, _, _ = l.requestTokens(t.Context(), "club")
	assert.Equal(t, tokens, 0, "the pool fills anew")
}

// Guards against nodes that go on to take requests after their instances were lost, while
// the others divide the limits of accounts among fewer nodes.
func TestNodesWithoutInstancesCount(t *testing.T) {
	var h requestHosts
	published := map[string]bool{"10.0.0.1": true}
	now := time.Unix(1000, 0)
	h.add("10.0.0.1:4000", now)
	h.add("10.0.0.2:4000", now)
	h.add("10.0.0.3:4000", now.Add(-hostMemory))
	h.add("no address", now)
	assert.Equal(t, h.countOthers(published, now), 1)
	assert.Equal(t, h.countOthers(published, now.Add(hostMemory)), 0)
	for range 3 {
		h.add("10.0.0.2:4000", now.Add(hostMemory))
	}
	assert.Equal(t, h.countOthers(published, now.Add(hostMemory)), 1)
}

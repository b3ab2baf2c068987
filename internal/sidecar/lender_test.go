package sidecar

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/ratelimit"
)

// newBorrower returns a node of a large fleet whose account club has its pool at a
// lending node that answers after delay.
func newBorrower(t *testing.T, delay *atomic.Int64) *accountLimiter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := testNode(t, "127.0.0.1:9")
	lend := func(ctx context.Context, _ peer.TokensRequest) (peer.TokensReply, error) {
		_ = sleep(ctx, time.Duration(delay.Load()))
		return peer.TokensReply{Tokens: 1}, nil
	}
	go func() { _ = (&peer.Server{Tokens: lend, Log: n.Log}).Serve(t.Context(), l) }()
	n.rateLimiter.SetNodeCount(60)
	n.rateLimiter.Configure(map[string]ratelimit.Limit{"club": {Rate: 10, Burst: 10}})
	addresses := []string{l.Addr().String()}
	n.accountLimits.nodeAddresses.Store(&addresses)
	return n.accountLimits
}

// Guards against requests of accounts within their limit that are refused because the
// link of a host is full of long responses and tokens arrive some tenths of a second
// late.
func TestTokensThatArriveLateAreWaitedFor(t *testing.T) {
	var delay atomic.Int64
	delay.Store(int64(200 * time.Millisecond))
	b := newBorrower(t, &delay)
	for range 5 {
		ok, after, detail := b.takeToken(t.Context(), "club")
		assert.Assert(t, ok, "%s, again after %s", detail, after)
	}
}

// Guards against callers that wait long for a lending node that does not answer, each
// of them, and against one that waits although its own time is nearly over.
func TestSilentLenderIsNotWaitedForAgain(t *testing.T) {
	var delay atomic.Int64
	delay.Store(int64(time.Hour))
	b := newBorrower(t, &delay)
	take := func(ctx context.Context) (bool, time.Duration) {
		began := time.Now()
		ok, _, detail := b.takeToken(ctx, "club")
		assert.Assert(t, ok || detail == detailNoLender, detail)
		return ok, time.Since(began)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	ok, took := take(ctx)
	cancel()
	assert.Assert(t, !ok && took < 350*time.Millisecond, "%s of 600 ms", took)
	time.Sleep(tokenRetryDelay)
	ok, took = take(t.Context())
	assert.Assert(t, !ok && took < 200*time.Millisecond, "%s", took)
	ok, took = take(t.Context())
	assert.Assert(t, !ok && took < 30*time.Millisecond, "asked again at once, %s", took)
	delay.Store(0)
	time.Sleep(tokenRetryDelay)
	ok, _ = take(t.Context())
	assert.Assert(t, ok)
	_, known := b.silentSince.Load(b.lendingNode("club"))
	assert.Assert(t, !known)
}

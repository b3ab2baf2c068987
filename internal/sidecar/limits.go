package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/ratelimit"
)

const (
	// askTimeout bounds the question for a token. It is answered in about 2 ms.
	tokenTimeout = 60 * time.Millisecond
	// askRest is how long a deciding node that does not answer is not asked.
	tokenRetryDelay = 250 * time.Millisecond
)

// An accountLimits charges requests to their accounts: from this node's own
// part of the limit, and where that is spent from the pool that the account's
// deciding node holds.
type accountLimiter struct {
	quota         *ratelimit.Limiter
	controlClient *peer.Client
	now           func() time.Time
	// self is this node's control address.
	selfAddress string
	// members holds the control addresses of the nodes beside instances.
	nodeAddresses atomic.Pointer[[]string]
}

// take charges one request. Without a token it returns the time after which
// there may be one.
func (l *accountLimiter) takeToken(ctx context.Context, account string) (bool, time.Duration) {
	ok, after := l.quota.Take(account)
	if ok || !l.quota.ShouldBorrow(account) {
		return ok, after
	}
	askedAt := l.now()
	tokens, wait := l.requestTokens(ctx, account)
	if l.quota.AcceptLoan(account, tokens, wait, askedAt) {
		return true, 0
	}
	return false, min(after, wait)
}

// ask asks the account's deciding node for tokens.
func (l *accountLimiter) requestTokens(ctx context.Context, account string) (int, time.Duration) {
	to := l.poolOwner(account)
	if to == "" || to == l.selfAddress {
		return l.quota.Lend(account)
	}
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	r, err := l.controlClient.Tokens(ctx, hosts.Host{ID: to, ControlAddress: to}, peer.TokensRequest{Account: account})
	if err != nil {
		// The node's own part goes on; a log line for each would flood.
		return 0, tokenRetryDelay
	}
	return r.Tokens, time.Duration(r.RetryAfterMs) * time.Millisecond
}

// deciding returns the control address of the node that holds an account's
// pool. Two nodes that disagree for a moment cost part of the tolerated overage.
func (l *accountLimiter) poolOwner(account string) string {
	addresses := l.nodeAddresses.Load()
	if addresses == nil {
		return ""
	}
	return hosts.HighestRanked(account, *addresses)
}

// serveTokens lends another node tokens of an account's pool.
func (l *accountLimiter) serveTokens(_ context.Context, q peer.TokensRequest) (peer.TokensReply, error) {
	tokens, after := l.quota.Lend(q.Account)
	return peer.TokensReply{Tokens: tokens, RetryAfterMs: after.Milliseconds()}, nil
}

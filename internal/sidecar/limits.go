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
	// tokenTimeout limits one request for tokens. It usually takes about 2 ms.
	tokenTimeout = 60 * time.Millisecond
	// tokenRetryDelay is how long a lending node that did not answer is not asked
	// again.
	tokenRetryDelay = 250 * time.Millisecond
)

// An accountLimiter charges requests to their accounts: first to this node's own
// share of the limit, then to the pool that the account's lending node holds.
type accountLimiter struct {
	rateLimiter   *ratelimit.Limiter
	controlClient *peer.Client
	// selfAddress is the control address of this node.
	selfAddress string
	// nodeAddresses holds the control addresses of the nodes beside instances.
	nodeAddresses atomic.Pointer[[]string]
}

// takeToken charges one request. If there is no token, it returns after which
// time there may be one.
func (l *accountLimiter) takeToken(ctx context.Context, account string) (bool, time.Duration) {
	ok, after := l.rateLimiter.Take(account)
	if ok || !l.rateLimiter.ShouldBorrow(account) {
		return ok, after
	}
	askedAt := l.rateLimiter.Moment()
	tokens, wait := l.requestTokens(ctx, account)
	if l.rateLimiter.AcceptLoan(account, tokens, wait, askedAt) {
		return true, 0
	}
	return false, min(after, wait)
}

// requestTokens asks the account's lending node for tokens.
func (l *accountLimiter) requestTokens(ctx context.Context, account string) (int, time.Duration) {
	to := l.lendingNode(account)
	if to == "" || to == l.selfAddress {
		return l.rateLimiter.Lend(account)
	}
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	r, err := l.controlClient.Tokens(ctx, hosts.Host{ID: to, ControlAddress: to}, peer.TokensRequest{Account: account})
	if err != nil {
		// This node's own share stays usable. Logging each failure would flood
		// the log.
		return 0, tokenRetryDelay
	}
	return r.Tokens, time.Duration(r.RetryAfterMs) * time.Millisecond
}

// lendingNode returns the control address of the node that holds an account's pool.
// If two nodes disagree for a moment, the account may exceed its limit by part of
// the tolerated overage.
func (l *accountLimiter) lendingNode(account string) string {
	return hosts.HighestRanked(account, l.nodes())
}

// nodes returns the control addresses of the nodes beside instances, or nil if they
// are not known yet.
func (l *accountLimiter) nodes() []string {
	if addresses := l.nodeAddresses.Load(); addresses != nil {
		return *addresses
	}
	return nil
}

// serveTokens lends tokens of an account's pool to another node.
func (l *accountLimiter) serveTokens(_ context.Context, q peer.TokensRequest) (peer.TokensReply, error) {
	tokens, after := l.rateLimiter.Lend(q.Account)
	return peer.TokensReply{Tokens: tokens, RetryAfterMs: after.Milliseconds()}, nil
}

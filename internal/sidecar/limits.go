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
	askTimeout = 60 * time.Millisecond
	// askRest is how long a deciding node that does not answer is not asked.
	askRest = 250 * time.Millisecond
)

// An accountLimits charges requests to their accounts: from this node's own
// part of the limit, and where that is spent from the pool that the account's
// deciding node holds.
type accountLimits struct {
	split   *ratelimit.Limiter
	control *peer.Client
	now     func() time.Time
	// self is this node's control address.
	self string
	// members holds the control addresses of the nodes beside instances.
	members atomic.Pointer[[]string]
}

// take charges one request. Without a token it returns the time after which
// there may be one.
func (l *accountLimits) take(ctx context.Context, account string) (bool, time.Duration) {
	ok, after := l.split.Take(account)
	if ok || !l.split.ShouldBorrow(account) {
		return ok, after
	}
	asked := l.now()
	tokens, wait := l.ask(ctx, account)
	if l.split.AcceptLoan(account, tokens, wait, asked) {
		return true, 0
	}
	return false, min(after, wait)
}

// ask asks the account's deciding node for tokens.
func (l *accountLimits) ask(ctx context.Context, account string) (int, time.Duration) {
	to := l.deciding(account)
	if to == "" || to == l.self {
		return l.split.Lend(account)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := l.control.Tokens(ctx, hosts.Host{ID: to, ControlAddress: to}, peer.TokensRequest{Account: account})
	if err != nil {
		// The node's own part goes on; a log line for each would flood.
		return 0, askRest
	}
	return r.Tokens, time.Duration(r.RetryAfterMs) * time.Millisecond
}

// deciding returns the control address of the node that holds an account's
// pool. Two nodes that disagree for a moment cost part of the tolerated overage.
func (l *accountLimits) deciding(account string) string {
	m := l.members.Load()
	if m == nil {
		return ""
	}
	return hosts.HighestRanked(account, *m)
}

// serveTokens lends another node tokens of an account's pool.
func (l *accountLimits) serveTokens(_ context.Context, q peer.TokensRequest) (peer.TokensReply, error) {
	n, after := l.split.Lend(q.Account)
	return peer.TokensReply{Tokens: n, RetryAfterMs: after.Milliseconds()}, nil
}

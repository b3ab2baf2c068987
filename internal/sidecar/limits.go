package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/ratelimit"
)

const (
	// tokenTimeout limits one request for tokens. It usually takes about 2 ms, but on a
	// host whose link is full of long responses several hundred. A caller that waits is
	// served better than one that is refused although its account is within its limit.
	tokenTimeout = 400 * time.Millisecond
	// silentTokenTimeout is the limit for a lending node whose last answer did not
	// arrive in time, for silentFor.
	silentTokenTimeout = 60 * time.Millisecond
	silentFor          = 2 * time.Second
	// tokenWaitDivisor bounds the wait for tokens to a part of the time that the caller
	// has left.
	tokenWaitDivisor = 4
	// tokenRetryDelay is how long a lending node that did not answer is not asked
	// again.
	tokenRetryDelay = 250 * time.Millisecond
	// maxLenderAge is the age of the published state above which a lending node that hears
	// of no other node gives up its pools: it may be cut off, and its instance's entry
	// expire. It is shorter than the life of an entry.
	maxLenderAge = 2500 * time.Millisecond
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
	// stateAge returns the time since the store confirmed the published nodes that this
	// node knows. lastHeard is when another node last sent something to this one.
	stateAge  func() time.Duration
	lastHeard steadyTime
	// cutOff is set while other nodes may have turned to another lending node without
	// this one's knowledge.
	cutOff atomic.Bool
	// details holds, by account, why the last question to its lending node brought no
	// token.
	details sync.Map
	// silentSince holds, by address, when a lending node did not answer, until it does.
	silentSince sync.Map
}

// Why a request is refused for its account's limit, in logs.
const (
	// detailShareSpent: this node's share is spent, and the account has no pool.
	detailShareSpent = "share spent"
	// detailPoolEmpty: the pool has no token, now or when it was asked a moment ago.
	detailPoolEmpty = "pool empty"
	// detailCutOff: this node is the lending node, but cut off from all others.
	detailCutOff = "cut off from other nodes"
	// detailNoLender: the lending node does not answer, or did not a moment ago.
	detailNoLender = "lending node does not answer"
)

// takeToken charges one request. If there is no token, it returns after which
// time there may be one, and the reason in a few words.
func (l *accountLimiter) takeToken(ctx context.Context, account string) (ok bool, after time.Duration, detail string) {
	ok, after = l.rateLimiter.Take(account)
	switch {
	case ok:
		return true, 0, ""
	case !l.rateLimiter.HasPool(account):
		return false, after, detailShareSpent
	case !l.rateLimiter.ShouldBorrow(account):
		return false, after, l.lastDetail(account)
	}
	askedAt := l.rateLimiter.Moment()
	tokens, wait, detail := l.requestTokens(ctx, account)
	if l.rateLimiter.AcceptLoan(account, tokens, wait, askedAt) {
		return true, 0, ""
	}
	l.details.Store(account, detail)
	return false, min(after, wait), detail
}

// lastDetail returns why the last question to the account's lending node brought no
// token.
func (l *accountLimiter) lastDetail(account string) string {
	if d, ok := l.details.Load(account); ok {
		return d.(string)
	}
	return detailPoolEmpty
}

// requestTokens asks the account's lending node for tokens.
func (l *accountLimiter) requestTokens(ctx context.Context, account string) (tokens int, wait time.Duration, detail string) {
	to := l.lendingNode(account)
	if to == "" || to == l.selfAddress {
		if l.cutOff.Load() {
			return 0, tokenRetryDelay, detailCutOff
		}
		tokens, wait = l.rateLimiter.Lend(account)
		return tokens, wait, detailPoolEmpty
	}
	ctx, cancel := context.WithTimeout(ctx, l.timeoutFor(ctx, to))
	defer cancel()
	r, err := l.controlClient.Tokens(ctx, hosts.Host{ID: to, ControlAddress: to}, peer.TokensRequest{Account: account})
	if err != nil {
		l.silentSince.Store(to, time.Now())
		// This node's own share stays usable. Logging each failure would flood
		// the log.
		return 0, tokenRetryDelay, detailNoLender
	}
	l.silentSince.Delete(to)
	return r.Tokens, time.Duration(r.RetryAfterMs) * time.Millisecond, detailPoolEmpty
}

// timeoutFor returns how long a request of a caller waits for tokens of a lending node.
func (l *accountLimiter) timeoutFor(ctx context.Context, lender string) time.Duration {
	timeout := tokenTimeout
	if since, ok := l.silentSince.Load(lender); ok && time.Since(since.(time.Time)) < silentFor {
		timeout = silentTokenTimeout
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)/tokenWaitDivisor)
	}
	return timeout
}

// hear records that another node sent something to this one.
func (l *accountLimiter) hear() {
	l.reviewCutOff()
	l.lastHeard.set(time.Now())
	if l.cutOff.Load() {
		l.reviewCutOff()
	}
}

// reviewCutOff gives up the pools of this node while it may be cut off from the others.
// When it is in touch again, its pools are empty: another node may have lent meanwhile.
func (l *accountLimiter) reviewCutOff() {
	cutOff := l.lastHeard.age(time.Now()) > maxLenderAge && l.stateAge() > maxLenderAge && len(l.nodes()) > 1
	if l.cutOff.Swap(cutOff) != cutOff {
		l.rateLimiter.UpdateLending()
	}
}

// lendingNode returns the control address of the node that holds an account's pool.
// If two nodes disagree for a moment, the account may exceed its limit by part of
// the tolerated overage.
func (l *accountLimiter) lendingNode(account string) string {
	return hosts.HighestRanked(account, l.nodes())
}

// isLender reports whether this node holds an account's pool. It does as long as no nodes
// are known.
func (l *accountLimiter) isLender(account string) bool {
	if l.cutOff.Load() {
		return false
	}
	to := l.lendingNode(account)
	return to == "" || to == l.selfAddress
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
	l.hear()
	tokens, after := l.rateLimiter.Lend(q.Account)
	return peer.TokensReply{Tokens: tokens, RetryAfterMs: after.Milliseconds()}, nil
}

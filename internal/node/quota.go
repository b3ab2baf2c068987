package node

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"quetzaldock.example/quetzaldock/internal/operator"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/quota"
)

// accountCounters counts the requests of each client account at this node.
// Account names come only from accepted configurations, so their number is
// bounded.
type accountCounters struct {
	mu        sync.Mutex
	byAccount map[string]*accountCounter
}

// An accountCounter counts the requests of one account that its rate admitted
// and refused.
type accountCounter struct {
	admitted, refused atomic.Uint64
}

// forAccount returns the counter of an account and creates it if necessary.
func (c *accountCounters) forAccount(account string) *accountCounter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byAccount == nil {
		c.byAccount = map[string]*accountCounter{}
	}
	counter := c.byAccount[account]
	if counter == nil {
		counter = &accountCounter{}
		c.byAccount[account] = counter
	}
	return counter
}

// charge takes one token of an account for a request, counts the result, and
// reports whether the request is admitted.
func (n *Node) charge(ctx context.Context, account string, deadline time.Time) bool {
	c := n.counters.forAccount(account)
	ok := n.takeToken(ctx, account, deadline)
	if ok {
		c.admitted.Add(1)
	} else {
		c.refused.Add(1)
	}
	return ok
}

// takeToken takes one token of an account, or returns false if there is none. The
// limiter may wait for a token, but not past the deadline.
func (n *Node) takeToken(ctx context.Context, account string, deadline time.Time) bool {
	if n.FixedSplit {
		return n.fixedLimiter.Take(account)
	}
	return n.limiter.TakeWait(ctx, account, deadline)
}

// buildQuota creates the limiters of the accounts' rates and the exchange of quota
// reports with other hosts.
func (n *Node) buildQuota() {
	n.fixedLimiter = &quota.FixedSplit{Now: time.Now}
	n.limiter = &quota.Limiter{Now: time.Now, MayAdmit: n.distributor.Replica.KeyedAllowed}
	n.quotaRunner = &quota.Runner{
		Self: n.HostEntry(), Limiter: n.limiter, Broker: &quota.Broker{Now: time.Now},
		Call: n.sendQuotaReport, Placement: n.distributor.Replica.Placement, Snapshot: n.snapshot,
	}
	n.quotaRunner.Init()
	n.controlServer.Quota = n.handleQuotaReport
}

// configureFixedSplit applies a configuration to the fixed split. Without the
// fixed split, the quota runner applies configurations itself.
func (n *Node) configureFixedSplit(s *config.Snapshot) {
	if !n.FixedSplit {
		return
	}
	for name := range s.Accounts {
		e := s.EffectiveValues("", "", name)
		n.fixedLimiter.Configure(name, e.Rate, e.Burst, max(1, len(s.Hosts)))
	}
}

// sendQuotaReport sends a quota report to another host and returns the reply.
func (n *Node) sendQuotaReport(ctx context.Context, to hosts.Host, r quota.Report) (quota.Reply, error) {
	b, err := r.Encode()
	if err != nil {
		return quota.Reply{}, err
	}
	a, err := n.controlClient.Quota(ctx, to, b)
	if err != nil {
		return quota.Reply{}, err
	}
	return quota.DecodeReply(a)
}

// handleQuotaReport answers another host's quota report. Without TLS the sender
// has no verified host ID; it is identified by the random number of its process.
func (n *Node) handleQuotaReport(ctx context.Context, from string, body []byte) ([]byte, error) {
	r, err := quota.DecodeReport(body)
	if err != nil {
		return nil, err
	}
	if from == "" {
		from = fmt.Sprintf("process-%x", r.Boot)
	}
	a, err := n.quotaRunner.HandleReport(ctx, from, r)
	if err != nil {
		return nil, err
	}
	return a.Encode()
}

// accountStatuses returns the status of every account, ordered by name.
func (n *Node) accountStatuses(v *appliedState) []operator.AccountStatus {
	states := map[string]quota.AccountState{}
	for _, s := range n.limiter.States() {
		states[s.Account] = s
	}
	var out []operator.AccountStatus
	for name := range v.snapshot.Accounts {
		e, c, s := v.snapshot.EffectiveValues("", "", name), n.counters.forAccount(name), states[name]
		out = append(out, operator.AccountStatus{
			Account: name, Rate: e.Rate, Burst: e.Burst, Capacity: s.Capacity, Tokens: s.Tokens,
			Admitted: c.admitted.Load(), Refused: c.refused.Load(),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Account < out[j].Account })
	return out
}

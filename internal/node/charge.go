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

// charges counts what the accounts of the mesh were charged at this node.
// Accounts come from accepted configurations only, so their number is bounded.
type charges struct {
	mu     sync.Mutex
	counts map[string]*charge
}

// A charge counts one account's requests.
type charge struct {
	admitted, refused atomic.Uint64
}

func (c *charges) of(account string) *charge {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]*charge{}
	}
	x := c.counts[account]
	if x == nil {
		x = &charge{}
		c.counts[account] = x
	}
	return x
}

// charge takes one request from an account's rate.
func (n *Node) charge(ctx context.Context, account string, deadline time.Time) bool {
	c := n.charges.of(account)
	ok := n.take(ctx, account, deadline)
	if ok {
		c.admitted.Add(1)
	} else {
		c.refused.Add(1)
	}
	return ok
}

func (n *Node) take(ctx context.Context, account string, deadline time.Time) bool {
	if n.FixedSplit {
		return n.fixed.Take(account)
	}
	return n.ledger.TakeWait(ctx, account, deadline)
}

func (n *Node) buildQuota() {
	n.fixed = &quota.FixedSplit{Now: time.Now}
	n.ledger = &quota.Limiter{Now: time.Now, MayAdmit: n.distributor.Replica.KeyedAllowed}
	n.quota = &quota.Runner{
		Self: n.HostEntry(), Limiter: n.ledger, Broker: &quota.Broker{Now: time.Now},
		Call: n.callQuota, Placement: n.distributor.Replica.Placement, Snapshot: n.snapshot,
	}
	n.quota.Init()
	n.controlIn.Quota = n.handleQuota
}

// configureQuota applies a configuration where the runner does not.
func (n *Node) configureQuota(s *config.Snapshot) {
	if !n.FixedSplit {
		return
	}
	for name := range s.Accounts {
		e := s.EffectiveValues("", "", name)
		n.fixed.Configure(name, e.Rate, e.Burst, max(1, len(s.Hosts)))
	}
}

func (n *Node) callQuota(ctx context.Context, to hosts.Host, r quota.Report) (quota.Reply, error) {
	b, err := r.Encode()
	if err != nil {
		return quota.Reply{}, err
	}
	a, err := n.control.Quota(ctx, to, b)
	if err != nil {
		return quota.Reply{}, err
	}
	return quota.DecodeReply(a)
}

// handleQuota answers a report. Without TLS the sender is known by the random
// number of its process only.
func (n *Node) handleQuota(ctx context.Context, from string, body []byte) ([]byte, error) {
	r, err := quota.DecodeReport(body)
	if err != nil {
		return nil, err
	}
	if from == "" {
		from = fmt.Sprintf("process-%x", r.Boot)
	}
	a, err := n.quota.HandleReport(ctx, from, r)
	if err != nil {
		return nil, err
	}
	return a.Encode()
}

func (n *Node) accountStatus(v *view) []operator.AccountStatus {
	states := map[string]quota.AccountState{}
	for _, s := range n.ledger.States() {
		states[s.Account] = s
	}
	var out []operator.AccountStatus
	for name := range v.snapshot.Accounts {
		e, c, s := v.snapshot.EffectiveValues("", "", name), n.charges.of(name), states[name]
		out = append(out, operator.AccountStatus{
			Account: name, Rate: e.Rate, Burst: e.Burst, Capacity: s.Capacity, Tokens: s.Tokens,
			Admitted: c.admitted.Load(), Refused: c.refused.Load(),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Account < out[j].Account })
	return out
}

package sidecar

import (
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fleet"
	"quetzaldock.example/quetzaldock/pkg/ratelimit"
)

const (
	// budgetPart is the part of the tolerated repeats that nodes use. The rest
	// covers windows in which requests and repeats are spread unevenly.
	budgetPart = 0.75
	percent    = 100
)

// accept applies what a read returned and hands it on.
func (n *Node) accept(u *Update) {
	n.acceptMu.Lock()
	defer n.acceptMu.Unlock()
	n.directory.Confirm(u.ConfirmedAt)
	changes := u.Changes
	if u.held != nil {
		changes = u.held
	}
	if u.Full {
		n.directory.Replace(changes)
		n.listed.Store(true)
	} else if len(changes) > 0 {
		n.directory.Apply(changes)
	}
	for i := range u.Changes {
		c := &u.Changes[i]
		if c.Reason != "" {
			n.Log.Warn("entry names no instance", "instance", c.ID, "reason", c.Reason)
		}
		if i := &c.Instance; c.Kind == fleet.InstanceSet && i.ColdFor > 0 && i.Address == n.settings().BackendAddress {
			n.publishedCold(i)
		}
	}
	if u.Published != nil {
		n.acceptConfig(u.Published)
	}
	n.record(u)
}

// acceptConfig puts a published configuration in force if it is newer than
// the present one and has no fault.
func (n *Node) acceptConfig(p *PublishedConfig) {
	old := n.snapshot.Load()
	if old != nil && p.Version <= old.Version {
		return
	}
	if p.DecodeErr != nil {
		n.Log.Error("configuration cannot be read", "error", p.DecodeErr)
		return
	}
	v, err := config.AcceptDocument(p.Version, p.Document)
	if err != nil {
		n.Log.Error("configuration refused", "version", p.Version, "error", err)
		return
	}
	if old == nil {
		n.guardFirst(v)
	}
	n.snapshot.Store(v)
	n.published = p
	n.quota.Configure(limits(v))
	n.Log.Info("configuration in force", "version", v.Version, "routes", len(v.Routes), "accounts", len(v.Accounts))
	n.applyFleet()
}

// limits returns the limit of each account.
func limits(v *config.Snapshot) map[string]ratelimit.Limit {
	all := make(map[string]ratelimit.Limit, len(v.Accounts))
	for name := range v.Accounts {
		e := v.EffectiveValues("", "", name)
		if e.Rate < config.UnlimitedRate {
			all[name] = ratelimit.Limit{Rate: e.Rate, Burst: e.Burst}
		}
	}
	return all
}

// setBudget divides the tolerated repeats over the nodes.
func (n *Node) setBudget(nodes int) {
	v := n.snapshot.Load()
	if v == nil {
		return
	}
	for name := range v.Services {
		n.budget.Configure(name, int(budgetPart*n.Bounds.RetryRatio*percent))
	}
	n.budget.SetMaxBurst(budgetPart * n.Bounds.RetryExtra / float64(max(1, nodes)))
}

// publishedCold applies what an instance at the backend server's address
// published of its start. Entries of earlier instances at that address come
// late and say nothing of the present one. The entry is older than what the
// server says itself, so it never shortens a cold time.
func (n *Node) publishedCold(i *fleet.Instance) {
	own := n.directory.View().ByAddress[i.Address]
	if own == nil || own.ID != i.ID || own.Born != i.Born {
		return
	}
	if s := n.ownService(); s != nil && time.Now().Add(i.ColdFor).After(n.door.ColdUntil()) {
		n.setCold(i.ColdFor, s)
	}
}

// guardFirst takes the local server for cold before the door opens for the
// first time: whether it has just been started is not known.
func (n *Node) guardFirst(v *config.Snapshot) {
	if s := v.Services[n.settings().Service]; s != nil && s.ColdPerSecond > 0 {
		n.setCold(coldUnknown, s)
	}
	n.askSoon()
}

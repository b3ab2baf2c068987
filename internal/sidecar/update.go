package sidecar

import (
	"slices"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fleet"
	"quetzaldock.example/quetzaldock/pkg/ratelimit"
)

const (
	// retryBudgetShare is the fraction of the tolerated retries that nodes use.
	// The rest covers windows in which requests and retries are spread unevenly.
	retryBudgetShare = 0.75
	percent          = 100
	// slowUpdate is the duration of a read, beyond its wait, or of its application that
	// is reported.
	slowUpdate = 250 * time.Millisecond
)

// applyUpdate applies an update that was read and records it for other nodes.
func (n *Node) applyUpdate(u *Update) {
	n.updateMu.Lock()
	defer n.updateMu.Unlock()
	n.directory.Confirm(u.ConfirmedAt)
	n.stateOrigin.Store(&u.Origin)
	changes := u.forThisNode()
	switch {
	case n.isRestored(u):
		n.directory.Restore(changes)
		n.logRestore(u)
	case u.Full:
		n.directory.Replace(changes)
		n.storeRead.Store(true)
	case len(changes) > 0:
		n.directory.Apply(changes)
	}
	for i := range u.Changes {
		c := &u.Changes[i]
		if c.Reason != "" {
			n.Log.Warn("store entry does not describe an instance", "instance", c.ID, "reason", c.Reason)
		}
		if i := &c.Instance; c.Kind == fleet.InstanceSet && i.ColdFor > 0 && i.Address == n.settings().BackendAddress {
			n.applyPublishedCold(i)
		}
	}
	before := n.publishedConfig
	if u.Published != nil {
		n.applyConfig(u.Published)
	}
	n.recordUpdate(u, before)
	n.logUpdate(u, len(changes))
}

// logUpdate reports the times of an update that was applied. Beats of instances are only
// reported if they took long.
func (n *Node) logUpdate(u *Update, changes int) {
	read, applied := u.readAt.Sub(u.askedAt), time.Since(u.readAt)
	if u.readAt.IsZero() || (u.Published == nil && applied < slowUpdate && read < watchWait+slowUpdate) {
		return
	}
	version := uint64(0)
	if u.Published != nil {
		version = u.Published.Version
	}
	n.Log.Info("published state applied", "source", sourceName(u.source), "revision", u.Revision, "full", u.Full, "changes", changes, "version", version,
		"read_ms", read.Milliseconds(), "apply_ms", applied.Milliseconds())
}

// applyConfig puts a published configuration in force if it is newer than the
// current one and valid.
func (n *Node) applyConfig(p *PublishedConfig) {
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
		n.assumeColdAtStart(v)
	}
	n.snapshot.Store(v)
	// Large bodies make each try dear, and a choice that is refused costs a try.
	n.chooser.SetEvenLoad(slices.ContainsFunc(p.Document.Routes, func(r config.Route) bool { return r.LargeBodies }))
	n.publishedConfig = p
	n.rateLimiter.Configure(limitsByAccount(v))
	n.Log.Info("configuration in force", "version", v.Version, "routes", len(v.Routes), "accounts", len(v.Accounts))
	n.applyInstances()
}

// limitsByAccount returns the limit of each account.
func limitsByAccount(v *config.Snapshot) map[string]ratelimit.Limit {
	all := make(map[string]ratelimit.Limit, len(v.Accounts))
	for name := range v.Accounts {
		e := v.EffectiveValues("", "", name)
		if e.Rate < config.UnlimitedRate {
			all[name] = ratelimit.Limit{Rate: e.Rate, Burst: e.Burst}
		}
	}
	return all
}

// configureRetryBudget divides the tolerated retries among the nodes.
func (n *Node) configureRetryBudget(nodes int) {
	v := n.snapshot.Load()
	if v == nil {
		return
	}
	for name := range v.Services {
		n.retryBudget.Configure(name, int(retryBudgetShare*n.Bounds.RetryRatio*percent))
	}
	n.retryBudget.SetMaxBurst(retryBudgetShare * n.Bounds.RetryExtra / float64(max(1, nodes)))
}

// applyPublishedCold applies the cold time that the instance at the backend
// server's address published. Entries of earlier instances at that address may
// arrive late and do not apply to the current one; neither does an outdated entry
// of a restored store. The entry is older than what
// the backend server says itself, so it never shortens a cold time.
func (n *Node) applyPublishedCold(i *fleet.Instance) {
	current := n.directory.View().ByAddress[i.Address]
	if current == nil || current.ID != i.ID || current.Born != i.Born || current.Sequence != i.Sequence {
		return
	}
	if s := n.localService(); s != nil && time.Now().Add(i.ColdFor).After(n.admission.ColdUntil()) {
		n.setCold(i.ColdFor, s)
	}
}

// assumeColdAtStart treats the backend server as cold before requests are
// admitted for the first time, because it may have just been started.
func (n *Node) assumeColdAtStart(v *config.Snapshot) {
	if s := v.Services[n.settings().Service]; s != nil && s.ColdPerSecond > 0 {
		n.setCold(assumedColdTime, s)
	}
	n.checkHealthSoon()
}

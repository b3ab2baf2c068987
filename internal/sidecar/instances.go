package sidecar

import (
	"net"
	"time"

	"quetzaldock.example/quetzaldock/pkg/balance"
	"quetzaldock.example/quetzaldock/pkg/fleet"
	"quetzaldock.example/quetzaldock/pkg/relay"
)

// applyInstances passes the known instances to the components that depend on
// them. What depends on the instances alone is done only if they have changed: with
// hundreds of them that would be most of a node's work.
func (n *Node) applyInstances() {
	n.instancesMu.Lock()
	defer n.instancesMu.Unlock()
	v := n.directory.View()
	if v != n.appliedView {
		n.chooser.SetTargets(n.balanceTargets(v))
		n.logEndedUse(n.appliedView, v)
		n.appliedView = v
	}
	hosts, hidden := n.requestHosts.count(), n.verifyingRemoval.Load()
	if v.Addresses != n.appliedAddresses || hosts != n.appliedHosts || hidden != n.appliedHidden {
		n.updateSources(v, hidden)
		n.appliedAddresses, n.appliedHosts, n.appliedHidden = v.Addresses, hosts, hidden
	}
	nodes := n.countNodes()
	n.rateLimiter.SetNodeCount(nodes)
	n.configureRetryBudget(nodes)
	if i := v.ByAddress[n.settings().BackendAddress]; i != nil {
		n.admission.SetSlots(i.Slots)
	}
	n.updateAdmission()
}

// countNodes returns the number of nodes that take requests of callers, as far as this
// node knows: those beside published instances, this one, and those that send requests
// here although their instance is lost. The caller holds instancesMu.
func (n *Node) countNodes() int {
	nodes := len(n.publishedHosts) + n.requestHosts.countOthers(n.publishedHosts, time.Now())
	if !n.publishedHosts[hostOf(n.settings().ControlAddress)] {
		nodes++
	}
	return nodes
}

// hostOf returns the host of an address.
func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// logEndedUse reports the instances that get no new requests any more.
func (n *Node) logEndedUse(before, now *fleet.View) {
	if before == nil {
		return
	}
	for id, i := range before.Instances {
		if o := now.Instances[id]; before.Usable(i) && (o == nil || !now.Usable(o)) {
			n.Log.Info("instance gets no new requests", "instance", id, "published", o != nil)
		}
	}
}

// updateSources tells the source selector which nodes exist: those beside
// instances and those that sent requests. hidden states that other nodes do not know the
// local instance, see holdLocalRemoval: they ask another lending node.
func (n *Node) updateSources(v *fleet.View, hidden bool) {
	_, port, _ := net.SplitHostPort(n.settings().ControlAddress)
	var all []relay.Member
	for address, zone := range v.Addresses.Zones {
		if host, _, err := net.SplitHostPort(address); err == nil {
			all = append(all, relay.Member{Address: net.JoinHostPort(host, port), Zone: zone})
		}
	}
	n.publishedHosts = map[string]bool{}
	addresses := make([]string, 0, len(all))
	for _, m := range all {
		n.publishedHosts[hostOf(m.Address)] = true
		if !hidden || m.Address != n.accountLimits.selfAddress {
			addresses = append(addresses, m.Address)
		}
	}
	if old := n.accountLimits.nodeAddresses.Swap(&addresses); len(addresses) > 0 && (old == nil || len(*old) == 0) {
		n.crashReports.RecordNodesKnown()
	}
	n.rateLimiter.UpdateLending()
	for _, host := range n.requestHosts.list() {
		all = append(all, relay.Member{Address: net.JoinHostPort(host, port)})
	}
	n.selectorMu.Lock()
	defer n.selectorMu.Unlock()
	n.sourceSelector.SetMembers(all)
}

// balanceTargets lists the nodes beside the instances, without those that another one
// has replaced at their address. The port of CallAddress is the same on all hosts.
func (n *Node) balanceTargets(v *fleet.View) []balance.Target {
	_, port, _ := net.SplitHostPort(n.settings().CallAddress)
	all := make([]balance.Target, 0, len(v.Instances))
	for _, i := range v.Instances {
		if !v.Current(i) {
			continue
		}
		host, _, err := net.SplitHostPort(i.Address)
		if err != nil {
			n.Log.Warn("instance has an invalid address and gets no requests", "instance", i.ID, "address", i.Address)
			continue
		}
		all = append(all, balance.Target{
			ID: i.ID, Service: i.Service, Zone: i.Zone, CallAddress: net.JoinHostPort(host, port),
			OutOfService: v.ZonesOut[i.Zone], Leaving: i.State != fleet.Ready, Permits: i.Slots,
		})
	}
	return all
}

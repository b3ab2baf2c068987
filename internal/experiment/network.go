package experiment

import (
	"fmt"

	"quetzaldock.example/quetzaldock/internal/standin"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// A network holds the fault proxies between nodes, and between the nodes of each
// zone and the configuration service. A host has separate proxies for each zone
// that connects to it, so that a partition can distinguish the zones.
type network struct {
	zones []string
	links map[[2]string]*linkProxies // by connecting zone and host connected to
	// sourceProxies are the proxies in front of the configuration service by
	// zone. advertisedControl are those in front of the control listeners by
	// host, for the addresses that nodes advertise to each other.
	sourceProxies     map[string]*standin.FaultProxy
	advertisedControl map[string]*standin.FaultProxy
	zoneOf            map[string]string
}

// linkProxies are the proxies in front of the call and the control listener of a
// host, for one connecting zone.
type linkProxies struct{ call, control *standin.FaultProxy }

// viewName returns the name of a zone's host list at the configuration service;
// zone is the index of the zone.
func viewName(zone int) string { return fmt.Sprintf("z%d", zone) }

// newNetwork starts the proxies in front of the configuration service, which
// listens at serviceAddress.
func newNetwork(zones []string, serviceAddress string, seed uint64) (*network, error) {
	n := &network{
		zones: zones, links: map[[2]string]*linkProxies{}, zoneOf: map[string]string{},
		sourceProxies: map[string]*standin.FaultProxy{}, advertisedControl: map[string]*standin.FaultProxy{},
	}
	for _, z := range zones {
		p, err := startProxy(serviceAddress, seed)
		if err != nil {
			n.close()
			return nil, err
		}
		n.sourceProxies[z] = p
	}
	return n, nil
}

func startProxy(target string, seed uint64) (*standin.FaultProxy, error) {
	p := standin.NewFaultProxy(target, seed)
	return p, p.Start()
}

// addHost starts the proxies in front of a host's listeners.
func (n *network) addHost(h hosts.Host, seed uint64) error {
	n.zoneOf[h.ID] = h.Zone
	p, err := startProxy(h.ControlAddress, seed)
	if err != nil {
		return err
	}
	n.advertisedControl[h.ID] = p
	for _, z := range n.zones {
		call, err := startProxy(h.CallAddress, seed)
		if err != nil {
			return err
		}
		control, err := startProxy(h.ControlAddress, seed)
		if err != nil {
			return err
		}
		n.links[[2]string{z, h.ID}] = &linkProxies{call, control}
	}
	return nil
}

// hostListFor returns the host list with the proxy addresses that nodes of the
// zone connect to.
func (n *network) hostListFor(zone string, l hosts.List) hosts.List {
	out := hosts.List{Hosts: make([]hosts.Host, 0, len(l.Hosts))}
	for _, h := range l.Hosts {
		p := n.links[[2]string{zone, h.ID}]
		h.CallAddress, h.ControlAddress = p.call.Address(), p.control.Address()
		out.Hosts = append(out.Hosts, h)
	}
	return out
}

// partition separates a zone from the other zones and from the configuration
// service if on, and reconnects it otherwise. Traffic inside the zone continues,
// except to advertised control addresses: their proxies don't know which zone
// connects, so those of the zone's hosts are unreachable for all.
func (n *network) partition(zone string, on bool) {
	for k, p := range n.links {
		from, to := k[0], n.zoneOf[k[1]]
		if (from == zone) != (to == zone) {
			p.call.SetPartitioned(on)
			p.control.SetPartitioned(on)
		}
	}
	for id, p := range n.advertisedControl {
		if n.zoneOf[id] == zone {
			p.SetPartitioned(on)
		}
	}
	n.sourceProxies[zone].SetPartitioned(on)
}

// silenceOpen makes the open connections between nodes silent and returns their
// number.
func (n *network) silenceOpen() int {
	silenced := 0
	for _, p := range n.nodeProxies() {
		silenced += p.SilenceOpenLinks()
	}
	return silenced
}

// nodeProxies returns all proxies between nodes.
func (n *network) nodeProxies() []*standin.FaultProxy {
	var out []*standin.FaultProxy
	for _, p := range n.links {
		out = append(out, p.call, p.control)
	}
	for _, p := range n.advertisedControl {
		out = append(out, p)
	}
	return out
}

func (n *network) close() {
	for _, p := range n.nodeProxies() {
		p.Close()
	}
	for _, p := range n.sourceProxies {
		p.Close()
	}
}

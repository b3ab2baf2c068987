package experiment

import (
	"fmt"

	"quetzaldock.example/quetzaldock/internal/standin"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// A network holds the fault proxies between nodes: one pair for each zone that
// dials and host that is dialled, so that a partition can tell who dials, and
// one for each zone's way to the configuration service.
type network struct {
	zones []string
	links map[[2]string]*linkProxies // by dialling zone and dialled host
	// sources are the proxies in front of the configuration service by zone,
	// and advertised those of the control addresses that nodes tell others.
	sourceProxies     map[string]*standin.FaultProxy
	advertisedControl map[string]*standin.FaultProxy
	zoneOf            map[string]string
}

type linkProxies struct{ call, control *standin.FaultProxy }

// viewOf names the platform's view of a zone.
func viewName(zone int) string { return fmt.Sprintf("z%d", zone) }

func newNetwork(zones []string, platform string, seed uint64) (*network, error) {
	n := &network{
		zones: zones, links: map[[2]string]*linkProxies{}, zoneOf: map[string]string{},
		sourceProxies: map[string]*standin.FaultProxy{}, advertisedControl: map[string]*standin.FaultProxy{},
	}
	for _, z := range zones {
		p, err := startProxy(platform, seed)
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

// add puts proxies in front of a host's listeners.
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

// view gives the host list the addresses that nodes of the zone dial.
func (n *network) hostListFor(zone string, l hosts.List) hosts.List {
	out := hosts.List{Hosts: make([]hosts.Host, 0, len(l.Hosts))}
	for _, h := range l.Hosts {
		p := n.links[[2]string{zone, h.ID}]
		h.CallAddress, h.ControlAddress = p.call.Address(), p.control.Address()
		out.Hosts = append(out.Hosts, h)
	}
	return out
}

// partition cuts a zone off from the other zones and the configuration
// service, or joins it again. Inside the zone traffic goes on. The addresses
// that nodes tell others do not show who dials, so those of the zone's hosts
// are cut off for everybody.
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

func (n *network) silenceOpen() int {
	silenced := 0
	for _, p := range n.nodeProxies() {
		silenced += p.SilenceOpenLinks()
	}
	return silenced
}

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

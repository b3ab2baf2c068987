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
	pairs map[[2]string]*proxyPair // by dialling zone and dialled host
	// sources are the proxies in front of the configuration service by zone,
	// and advertised those of the control addresses that nodes tell others.
	sources    map[string]*standin.FaultProxy
	advertised map[string]*standin.FaultProxy
	zoneOf     map[string]string
}

type proxyPair struct{ call, control *standin.FaultProxy }

// viewOf names the platform's view of a zone.
func viewOf(zone int) string { return fmt.Sprintf("z%d", zone) }

func newNetwork(zones []string, platform string, seed uint64) (*network, error) {
	n := &network{
		zones: zones, pairs: map[[2]string]*proxyPair{}, zoneOf: map[string]string{},
		sources: map[string]*standin.FaultProxy{}, advertised: map[string]*standin.FaultProxy{},
	}
	for _, z := range zones {
		p, err := startProxy(platform, seed)
		if err != nil {
			n.close()
			return nil, err
		}
		n.sources[z] = p
	}
	return n, nil
}

func startProxy(target string, seed uint64) (*standin.FaultProxy, error) {
	p := standin.NewFaultProxy(target, seed)
	return p, p.Start()
}

// add puts proxies in front of a host's listeners.
func (n *network) add(h hosts.Host, seed uint64) error {
	n.zoneOf[h.ID] = h.Zone
	p, err := startProxy(h.ControlAddress, seed)
	if err != nil {
		return err
	}
	n.advertised[h.ID] = p
	for _, z := range n.zones {
		call, err := startProxy(h.CallAddress, seed)
		if err != nil {
			return err
		}
		control, err := startProxy(h.ControlAddress, seed)
		if err != nil {
			return err
		}
		n.pairs[[2]string{z, h.ID}] = &proxyPair{call, control}
	}
	return nil
}

// view gives the host list the addresses that nodes of the zone dial.
func (n *network) view(zone string, l hosts.List) hosts.List {
	out := hosts.List{Hosts: make([]hosts.Host, 0, len(l.Hosts))}
	for _, h := range l.Hosts {
		p := n.pairs[[2]string{zone, h.ID}]
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
	for k, p := range n.pairs {
		from, to := k[0], n.zoneOf[k[1]]
		if (from == zone) != (to == zone) {
			p.call.SetPartitioned(on)
			p.control.SetPartitioned(on)
		}
	}
	for id, p := range n.advertised {
		if n.zoneOf[id] == zone {
			p.SetPartitioned(on)
		}
	}
	n.sources[zone].SetPartitioned(on)
}

func (n *network) silence() int {
	links := 0
	for _, p := range n.all() {
		links += p.SilenceOpenLinks()
	}
	return links
}

func (n *network) all() []*standin.FaultProxy {
	var out []*standin.FaultProxy
	for _, p := range n.pairs {
		out = append(out, p.call, p.control)
	}
	for _, p := range n.advertised {
		out = append(out, p)
	}
	return out
}

func (n *network) close() {
	for _, p := range n.all() {
		p.Close()
	}
	for _, p := range n.sources {
		p.Close()
	}
}

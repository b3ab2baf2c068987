package sidecar

import (
	"net"
	"sync"
)

// heardMost bounds the hosts that are remembered.
const maxRequestHosts = 16

// A heard remembers hosts whose nodes sent requests. A node that the store
// turns away right after its start knows no others but by them.
type requestHosts struct {
	mu  sync.Mutex
	all map[string]bool
}

// add remembers the host of a remote address.
func (h *requestHosts) add(remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.all == nil {
		h.all = map[string]bool{}
	}
	if len(h.all) < maxRequestHosts {
		h.all[host] = true
	}
}

// hosts lists the remembered hosts.
func (h *requestHosts) list() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []string
	for host := range h.all {
		all = append(all, host)
	}
	return all
}

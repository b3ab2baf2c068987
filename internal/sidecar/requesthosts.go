package sidecar

import (
	"net"
	"sync"
)

// maxRequestHosts limits the hosts that are remembered.
const maxRequestHosts = 16

// requestHosts remembers the hosts of nodes that sent requests, as further sources
// of published state. A node that the store rejects right after its start knows
// no other nodes.
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

// count returns the number of remembered hosts. Hosts are never forgotten.
func (h *requestHosts) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.all)
}

// list returns the remembered hosts.
func (h *requestHosts) list() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []string
	for host := range h.all {
		all = append(all, host)
	}
	return all
}

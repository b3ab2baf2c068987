package sidecar

import (
	"net"
	"sync"
	"time"
)

const (
	// maxRequestHosts limits the hosts that are remembered for good.
	maxRequestHosts = 16
	// maxRecentHosts limits those that are remembered for hostMemory after a request.
	maxRecentHosts = 4096
	hostMemory     = 3 * time.Second
)

// requestHosts remembers the hosts of nodes that sent requests, as further sources
// of published state. A node that the store rejects right after its start knows
// no other nodes.
type requestHosts struct {
	mu  sync.Mutex
	all map[string]bool
	// lastRequest holds when each host sent its latest request.
	lastRequest map[string]time.Time
}

// add remembers the host of a remote address, which sent a request at the given time.
func (h *requestHosts) add(remote string, now time.Time) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.all == nil {
		h.all, h.lastRequest = map[string]bool{}, map[string]time.Time{}
	}
	if len(h.all) < maxRequestHosts {
		h.all[host] = true
	}
	if _, known := h.lastRequest[host]; known || len(h.lastRequest) < maxRecentHosts {
		h.lastRequest[host] = now
	}
}

// countOthers returns the number of hosts that sent requests in the last hostMemory and
// are not published. It forgets older ones.
func (h *requestHosts) countOthers(published map[string]bool, now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	others := 0
	for host, at := range h.lastRequest {
		switch {
		case now.Sub(at) >= hostMemory:
			delete(h.lastRequest, host)
		case !published[host]:
			others++
		}
	}
	return others
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

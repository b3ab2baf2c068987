package balance

import "time"

// ejectIfFailing excludes a host from the choice for a while if it has failed
// often enough and not too many hosts are ejected already. A host that was
// ejected before and has not answered since is ejected again after one failure.
func (c *Chooser) ejectIfFailing(h *hostState, now time.Time) {
	if now.Before(h.ejectedUntil) || (h.failures < c.EjectAfterFailures && h.ejections == 0) {
		return
	}
	ejected, total := 0, 0
	for _, o := range c.byService[h.Service] {
		if o.OutOfService || o.Leaving {
			continue
		}
		total++
		if now.Before(o.ejectedUntil) {
			ejected++
		}
	}
	if float64(ejected+1) > c.MaxEjectedShare*float64(total) {
		return
	}
	d := c.EjectFor
	for range h.ejections {
		d = min(2*d, c.MaxEjectFor)
	}
	h.ejections++
	h.failures = 0
	h.ejectedUntil = now.Add(d)
	h.rampStart = h.ejectedUntil
}

// Ejected returns the IDs of the service's hosts that are currently ejected.
func (c *Chooser) Ejected(service string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	var ids []string
	for _, h := range c.byService[service] {
		if now.Before(h.ejectedUntil) {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

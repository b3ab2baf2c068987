package balance

import "time"

// eject takes a failing host out of the choice for a while. A host that
// returns from an ejection and fails again at once is ejected again.
func (c *Chooser) eject(p *peer, now time.Time) {
	if now.Before(p.ejectedUntil) || (p.failures < c.EjectAfterFailures && p.ejections == 0) {
		return
	}
	ejected, total := 0, 0
	for _, o := range c.services[p.Service] {
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
	for range p.ejections {
		d = min(2*d, c.MaxEjectFor)
	}
	p.ejections++
	p.failures = 0
	p.ejectedUntil = now.Add(d)
	p.rampFrom = p.ejectedUntil
}

// Ejected returns the IDs of the service's hosts that are ejected now.
func (c *Chooser) Ejected(service string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	var ids []string
	for _, p := range c.services[service] {
		if now.Before(p.ejectedUntil) {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

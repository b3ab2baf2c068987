package http1

import "time"

// AgeIdle makes all idle connections appear to have been idle for d longer.
func (p *Pool) AgeIdle(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.idleSince = c.idleSince.Add(-d)
	}
}

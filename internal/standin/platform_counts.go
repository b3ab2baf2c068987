package standin

import (
	"strings"
	"time"
)

// Counts are the reads a platform was asked for since its start. A watch that
// waits counts as one read.
type ReadCounts struct {
	Total     int
	Manifest  int
	Parts     int
	Hosts     int
	Throttled int // answered with 429
	// PeakPerSecond is the largest number of reads in a sliding second.
	PeakPerSecond int
}

// Counts returns the reads so far.
func (p *ConfigService) ReadCounts() ReadCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// ResetCounts starts counting anew, for a measurement of one phase.
func (p *ConfigService) ResetReadCounts() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts = ReadCounts{}
	p.recent = nil
}

// count records a read and reports whether it is within capacity.
func (p *ConfigService) count(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	i := 0
	for i < len(p.recent) && now.Sub(p.recent[i]) >= time.Second {
		i++
	}
	p.recent = append(p.recent[i:], now)
	c := &p.counts
	c.Total++
	c.PeakPerSecond = max(c.PeakPerSecond, len(p.recent))
	switch {
	case key == "manifest":
		c.Manifest++
	case key == "hosts":
		c.Hosts++
	case strings.HasPrefix(key, "parts/"):
		c.Parts++
	}
	if p.MaxReadsPerSecond > 0 && len(p.recent) > p.MaxReadsPerSecond {
		c.Throttled++
		return false
	}
	return true
}

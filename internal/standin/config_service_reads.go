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
func (c *ConfigService) ReadCounts() ReadCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readCounts
}

// ResetCounts starts counting anew, for a measurement of one phase.
func (c *ConfigService) ResetReadCounts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readCounts = ReadCounts{}
	c.recentReads = nil
}

// count records a read and reports whether it is within capacity.
func (c *ConfigService) recordRead(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	i := 0
	for i < len(c.recentReads) && now.Sub(c.recentReads[i]) >= time.Second {
		i++
	}
	c.recentReads = append(c.recentReads[i:], now)
	counts := &c.readCounts
	counts.Total++
	counts.PeakPerSecond = max(counts.PeakPerSecond, len(c.recentReads))
	switch {
	case key == "manifest":
		counts.Manifest++
	case key == "hosts":
		counts.Hosts++
	case strings.HasPrefix(key, "parts/"):
		counts.Parts++
	}
	if c.MaxReadsPerSecond > 0 && len(c.recentReads) > c.MaxReadsPerSecond {
		counts.Throttled++
		return false
	}
	return true
}

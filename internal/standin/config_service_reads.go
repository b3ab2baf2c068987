package standin

import (
	"strings"
	"time"
)

// ReadCounts holds the numbers of reads that a ConfigService received since its
// start or the last ResetReadCounts. A watch counts as one read, however long it
// waits.
type ReadCounts struct {
	Total     int
	Manifest  int
	Parts     int
	Hosts     int
	Throttled int // answered with 429
	// PeakPerSecond is the maximum number of reads in any sliding second.
	PeakPerSecond int
}

// ReadCounts returns the numbers of reads so far.
func (c *ConfigService) ReadCounts() ReadCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readCounts
}

// ResetReadCounts sets all counts to zero, to measure one phase of a run.
func (c *ConfigService) ResetReadCounts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readCounts = ReadCounts{}
	c.recentReads = nil
}

// recordRead counts a read of the key and reports whether it is within the
// capacity.
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

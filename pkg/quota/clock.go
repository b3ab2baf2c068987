package quota

import (
	"math/rand/v2"
	"sync"
	"time"
)

// A clock converts wall clock readings to durations since its start. One run
// of a process has one clock and one boot number.
type clock struct {
	once  sync.Once
	start time.Time
	boot  uint64
}

// instant returns the time since the first call.
func (c *clock) instant(now func() time.Time, boot uint64) time.Duration {
	t := now()
	c.once.Do(func() {
		c.start, c.boot = t, boot
		if c.boot == 0 {
			// 48 random bits encode to fewer bytes than 64.
			c.boot = rand.Uint64()>>16 | 1
		}
	})
	return t.Sub(c.start)
}

// brokerTime returns the reading at now, rounded down so that rounding can
// only shorten loans.
func (c *clock) brokerTime(now time.Duration) BrokerTime {
	return BrokerTime{Boot: c.boot, AtUs: uint64(max(now, 0) / time.Microsecond)}
}

// instantOf converts a reading back to an instant. It returns false if the
// reading comes from another run or is too old to start a loan.
func (c *clock) instantOf(b BrokerTime, now time.Duration) (time.Duration, bool) {
	if b.Boot != c.boot || b.AtUs > uint64(now/time.Microsecond) {
		return 0, false
	}
	t := time.Duration(b.AtUs) * time.Microsecond
	return t, now-t < MaxLoanTerm
}

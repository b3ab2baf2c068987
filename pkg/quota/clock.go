package quota

import (
	"math/rand/v2"
	"sync"
	"time"
)

// A clock turns readings of Now into instants since its start. One run of a
// process has one clock and one boot number; a broker's clock starts with it.
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
			// 48 random bits keep the encoded number short.
			c.boot = rand.Uint64()>>16 | 1
		}
	})
	return t.Sub(c.start)
}

// base returns the clock's reading rounded down, which shortens loans.
func (c *clock) base(now time.Duration) BrokerTime {
	return BrokerTime{Boot: c.boot, AtUs: uint64(max(now, 0) / time.Microsecond)}
}

// instantOf returns the instant of a base, or false if it is from another
// run or too old to carry a loan.
func (c *clock) instantOf(b BrokerTime, now time.Duration) (time.Duration, bool) {
	if b.Boot != c.boot || b.AtUs > uint64(now/time.Microsecond) {
		return 0, false
	}
	t := time.Duration(b.AtUs) * time.Microsecond
	return t, now-t < MaxLoanTerm
}

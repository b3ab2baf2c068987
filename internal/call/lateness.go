package call

import (
	"sync"
	"time"
)

// latenessWindow is how long a smallest offset is trusted. Clocks that differ
// by 100 ppm drift 60 ms apart in this time.
const latenessWindow = 10 * time.Minute

// Lateness tells how long requests of one sender lay in the network and in
// this process's socket, without a common clock.
//
// The difference of the receiver's and the sender's monotonic clocks is a
// constant plus the delay of the message. The smallest difference seen stands
// for the constant, so what exceeds it is extra delay. A process that was
// paused finds requests with a large extra delay when it wakes.
type DelayEstimator struct {
	mu sync.Mutex
	// current and previous are the smallest offsets of two windows.
	current, previous time.Duration
	hasPrevious       bool
	// turnsAt is when current becomes previous; zero before the first call.
	turnsAt time.Time
}

// Observe takes the sender's clock reading and the time of receipt and
// returns the extra delay of the message.
func (l *DelayEstimator) ExtraDelay(sent time.Duration, at time.Time, clock time.Duration) time.Duration {
	offset := clock - sent
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.turnsAt.IsZero():
		l.current = offset
		l.turnsAt = at.Add(latenessWindow)
	case at.After(l.turnsAt):
		// The old minimum stays for one more window, so that a first message
		// after a long pause is still judged against it.
		l.previous, l.hasPrevious = l.current, true
		l.current = offset
		l.turnsAt = at.Add(latenessWindow)
	}
	least := l.current
	if l.hasPrevious {
		least = min(least, l.previous)
	}
	l.current = min(l.current, offset)
	return max(0, offset-least)
}

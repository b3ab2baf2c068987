package call

import (
	"sync"
	"time"
)

// latenessWindow is how long a smallest offset is trusted. Clocks that differ
// by 100 ppm drift 60 ms apart in this time.
const offsetWindow = 10 * time.Minute

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
	currentMin, previousMin time.Duration
	hasPrevious             bool
	// turnsAt is when current becomes previous; zero before the first call.
	windowEnd time.Time
}

// Observe takes the sender's clock reading and the time of receipt and
// returns the extra delay of the message.
func (l *DelayEstimator) ExtraDelay(sentAt time.Duration, receivedAt time.Time, receiverClock time.Duration) time.Duration {
	offset := receiverClock - sentAt
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.windowEnd.IsZero():
		l.currentMin = offset
		l.windowEnd = receivedAt.Add(offsetWindow)
	case receivedAt.After(l.windowEnd):
		// The old minimum stays for one more window, so that a first message
		// after a long pause is still judged against it.
		l.previousMin, l.hasPrevious = l.currentMin, true
		l.currentMin = offset
		l.windowEnd = receivedAt.Add(offsetWindow)
	}
	minOffset := l.currentMin
	if l.hasPrevious {
		minOffset = min(minOffset, l.previousMin)
	}
	l.currentMin = min(l.currentMin, offset)
	return max(0, offset-minOffset)
}

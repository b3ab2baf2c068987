package call

import (
	"sync"
	"time"
)

// offsetWindow is the length of each of the two windows over which the minimum
// offset is kept. Clocks that differ by 100 ppm drift 60 ms apart in one window.
const offsetWindow = 10 * time.Minute

// A DelayEstimator estimates how much longer than usual the messages of one
// sender took to be received, without a common clock. It is safe for concurrent
// use.
//
// The offset of a message is the receiver's monotonic clock at receipt minus
// the sender's monotonic clock at sending. It is the delay of the message plus a
// constant. The minimum offset stands for the constant plus the usual delay, so
// an offset above it is extra delay, in the network or in the socket of the
// receiver. The messages that waited in the socket while the receiving process
// was paused have a large extra delay.
type DelayEstimator struct {
	mu sync.Mutex
	// currentMin and previousMin are the minimum offsets of the current window
	// and of the one before it.
	currentMin, previousMin time.Duration
	hasPrevious             bool
	// windowEnd is the end of the current window; zero before the first message.
	windowEnd time.Time
}

// ExtraDelay returns the extra delay of a message that was sent when the
// sender's clock was senderClock and received at receivedAt, when the receiver's
// clock was receiverClock.
func (e *DelayEstimator) ExtraDelay(senderClock time.Duration, receivedAt time.Time, receiverClock time.Duration) time.Duration {
	offset := receiverClock - senderClock
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.windowEnd.IsZero():
		e.currentMin = offset
		e.windowEnd = receivedAt.Add(offsetWindow)
	case receivedAt.After(e.windowEnd):
		// The old minimum is kept for one more window, so that the delay of the
		// first message after a long pause is measured against it.
		e.previousMin, e.hasPrevious = e.currentMin, true
		e.currentMin = offset
		e.windowEnd = receivedAt.Add(offsetWindow)
	}
	minOffset := e.currentMin
	if e.hasPrevious {
		minOffset = min(minOffset, e.previousMin)
	}
	e.currentMin = min(e.currentMin, offset)
	return max(0, offset-minOffset)
}

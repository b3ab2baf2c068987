package call

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// maxDiscardBytes and discardTimeout bound how much of a body Release reads
	// and discards, and for how long.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 20 * time.Millisecond
)

// A DuplexBody is the body of an incoming request that another goroutine may
// read while the handler writes the response. After Release no read reaches the
// connection: net/http panics if the body of a full-duplex request is read
// while it waits for the next request on the connection.
type DuplexBody struct {
	r io.ReadCloser
	w http.ResponseWriter

	// readLock is held during a read.
	readLock sync.Mutex
	// mu guards the fields below.
	mu sync.Mutex
	// released is set by Release. Later reads fail.
	released bool
	// ended is set once the body was read to its end.
	ended bool
	// deadlineSet is set while a read deadline of SetDeadline is in force.
	deadlineSet bool
}

// NewDuplexBody makes the request full duplex and replaces its body with a
// DuplexBody. It leaves a request without a body unchanged.
func NewDuplexBody(w http.ResponseWriter, r *http.Request) *DuplexBody {
	b := &DuplexBody{r: r.Body, w: w, ended: r.ContentLength == 0}
	if !b.ended {
		_ = http.NewResponseController(w).EnableFullDuplex()
		r.Body = b
	}
	return b
}

// Read implements io.Reader.
func (b *DuplexBody) Read(p []byte) (int, error) {
	b.readLock.Lock()
	defer b.readLock.Unlock()
	if b.isReleased() {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.r.Read(p)
	if err != nil {
		b.mu.Lock()
		b.ended = err == io.EOF
		if b.ended && b.deadlineSet {
			// After the body, net/http reads from the connection to notice when
			// the client closes it. It would take a read timeout for a close.
			b.deadlineSet = false
			_ = http.NewResponseController(b.w).SetReadDeadline(time.Time{})
		}
		b.mu.Unlock()
	}
	return n, err
}

// SetDeadline sets the time by which the body has to arrive. Without it, a body
// that stalls would occupy its handler until the client closes the connection.
func (b *DuplexBody) SetDeadline(deadline time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		b.deadlineSet = true
		_ = http.NewResponseController(b.w).SetReadDeadline(deadline)
	}
}

// Close implements io.Closer. It does nothing: net/http closes the body.
func (b *DuplexBody) Close() error { return nil }

func (b *DuplexBody) isReleased() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.released
}

// Release ends all reading. It must be called before the handler returns. If
// the rest of the body is short, Release reads it, so that the connection can be
// reused. If the rest is long or a read is waiting for the client, the
// connection is closed after the response.
func (b *DuplexBody) Release() {
	b.mu.Lock()
	b.released = true
	ended := b.ended
	b.mu.Unlock()
	if ended {
		return
	}
	c := http.NewResponseController(b.w)
	if !b.readLock.TryLock() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		b.readLock.Lock()
	}
	defer b.readLock.Unlock()
	_ = c.Flush()
	_ = c.SetReadDeadline(time.Now().Add(discardTimeout))
	n, err := io.CopyN(io.Discard, b.r, maxDiscardBytes)
	if err == nil || !errors.Is(err, io.EOF) || n == maxDiscardBytes {
		// If net/http reached the end of the body after the handler returned, it
		// would start to wait for the next request a second time and panic.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

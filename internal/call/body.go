package call

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// restBytes and restTimeout bound what is read of a body that nobody
	// wants any more.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 20 * time.Millisecond
)

// A Body is a request's body that another goroutine sends on while the
// handler answers. After Release no read reaches the connection any more:
// net/http panics when the body of a full-duplex request is read while it
// already waits for the next request.
type DuplexBody struct {
	r io.ReadCloser
	w http.ResponseWriter

	// reading is held while a read is in progress.
	readLock sync.Mutex
	mu       sync.Mutex
	// released is set by Release; later reads fail.
	released bool
	// ended is set once the body was read to its end.
	ended bool
	// limited is set while a read deadline of Limit is in force.
	deadlineSet bool
}

// NewBody makes the request full duplex and guards its body. A request
// without a body is left as it is.
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
			// net/http now watches the connection for the client's close; a
			// read deadline would look like one.
			b.deadlineSet = false
			_ = http.NewResponseController(b.w).SetReadDeadline(time.Time{})
		}
		b.mu.Unlock()
	}
	return n, err
}

// Limit bounds the time that the body may take to arrive. Without it a body
// that stops midway would hold its handler for as long as the client likes.
func (b *DuplexBody) SetDeadline(deadline time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		b.deadlineSet = true
		_ = http.NewResponseController(b.w).SetReadDeadline(deadline)
	}
}

// Close implements io.Closer. The server closes the body itself.
func (b *DuplexBody) Close() error { return nil }

func (b *DuplexBody) isReleased() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.released
}

// Release ends all reading before the handler returns. A short rest of the
// body is read, so that the connection can be used again. Otherwise, or if a
// read waits for the client, the connection closes after the answer.
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
		// net/http must not find the end of the body after the handler: it
		// would wait for the next request twice and panic.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

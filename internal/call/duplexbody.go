package call

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/internal/http1"
)

const (
	// BodyGrace is how long after the deadline of a call its request body may still
	// arrive. A call whose body stalls then ends by its deadline: a read that fails
	// ends the context of the request, and no response can be sent.
	BodyGrace = 250 * time.Millisecond
	// maxDiscardBytes bounds how much of a body is read and discarded at once.
	maxDiscardBytes = 64 << 10
	// discardTimeout is how long a response waits for the rest of the body.
	discardTimeout = 20 * time.Millisecond
	// closeDelay is how long a client that is still sending its body has to read
	// the response before the connection is closed, as in net/http.
	closeDelay = 500 * time.Millisecond
)

// A DuplexBody is the body of an incoming request that another goroutine may
// read while the handler writes the response. After Release no read reaches the
// connection: net/http panics if the body of a full-duplex request is read
// while it waits for the next request on the connection.
//
// net/http does not notice that the body of a full-duplex request was not read to
// its end, and would serve the rest as the next request. The response is
// therefore written to ResponseWriter, which closes the connection in that case.
type DuplexBody struct {
	// ctx is the context of the request.
	ctx context.Context
	r   io.ReadCloser
	w   responseWriter
	// size is the size of the body, or -1 if it is not known.
	size int64
	// expectsContinue is set if the client sends the body only once it is read.
	expectsContinue bool

	// readLock is held during a read.
	readLock sync.Mutex
	// mu guards the fields below.
	mu sync.Mutex
	// released is set by Release. Later reads fail.
	released bool
	// ended is set once the body was read to its end.
	ended bool
	// failed is set once a read failed before the end of the body. A read that
	// took too long has not failed: the client may go on sending.
	failed bool
	// late is set once a read took too long.
	late bool
	// limit is the largest size that is read, zero for no limit. received counts the bytes
	// that were read, and tooLarge is set once they exceed it.
	limit, received int64
	tooLarge        bool
	// deadlineSet is set while a read deadline of SetDeadline is in force.
	deadlineSet bool
}

// NewDuplexBody makes the request full duplex and replaces its body with a
// DuplexBody. It leaves a request without a body unchanged.
func NewDuplexBody(w http.ResponseWriter, r *http.Request) *DuplexBody {
	b := &DuplexBody{
		ctx: r.Context(), r: r.Body, size: r.ContentLength, ended: r.ContentLength == 0,
		expectsContinue: r.Header.Get("Expect") != "",
	}
	b.w = responseWriter{ResponseWriter: w, body: b}
	if !b.ended {
		_ = b.controller().EnableFullDuplex()
		r.Body = b
	}
	return b
}

// ResponseWriter returns the writer for the response to the request. It must be
// used instead of the one that was given to NewDuplexBody.
func (b *DuplexBody) ResponseWriter() http.ResponseWriter {
	if b.size == 0 {
		return b.w.ResponseWriter
	}
	return &b.w
}

func (b *DuplexBody) controller() *http.ResponseController {
	return http.NewResponseController(b.w.ResponseWriter)
}

// Read implements io.Reader.
func (b *DuplexBody) Read(p []byte) (int, error) {
	b.readLock.Lock()
	defer b.readLock.Unlock()
	b.mu.Lock()
	released := b.released
	b.mu.Unlock()
	if released {
		return 0, http.ErrBodyReadAfterClose
	}
	return b.read(p)
}

// read reads from the connection. The caller holds readLock.
func (b *DuplexBody) read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.limit > 0 {
		if b.received += int64(n); b.received > b.limit {
			return 0, b.rejectSize()
		}
	}
	if err != nil {
		b.mu.Lock()
		late := errors.Is(err, os.ErrDeadlineExceeded)
		b.ended, b.failed, b.late = err == io.EOF, err != io.EOF && !late, b.late || late
		if b.ended && b.deadlineSet {
			// After the body, net/http reads from the connection to notice when
			// the client closes it. It would take a read timeout for a close.
			b.deadlineSet = false
			_ = b.controller().SetReadDeadline(time.Time{})
		}
		b.mu.Unlock()
	}
	return n, err
}

// BodyTooLarge is the error of a read beyond the limit of a body. The request may have
// run.
type BodyTooLarge struct{ Limit int64 }

// Error implements error.
func (e *BodyTooLarge) Error() string {
	return "the request body exceeds " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// SetLimit sets the largest size of the body, zero for no limit. It is called before the
// first read.
func (b *DuplexBody) SetLimit(bytes int64) { b.limit = bytes }

// IsTooLarge reports whether the body has exceeded its limit.
func (b *DuplexBody) IsTooLarge() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tooLarge
}

// rejectSize ends the body, since it exceeds its limit.
func (b *DuplexBody) rejectSize() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tooLarge = true
	return &BodyTooLarge{Limit: b.limit}
}

// SetDeadline sets the time by which the body has to arrive. Without it, a body
// that stalls would occupy its handler until the client closes the connection.
func (b *DuplexBody) SetDeadline(deadline time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		b.deadlineSet = true
		_ = b.controller().SetReadDeadline(deadline)
	}
}

// Close implements io.Closer. It does nothing: net/http closes the body.
func (b *DuplexBody) Close() error { return nil }

func (b *DuplexBody) hasEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// restRemains reports whether a read may return more of the body, and whether one
// took too long.
func (b *DuplexBody) restRemains() (remains, late bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.ended && !b.failed, b.late
}

// DiscardBody ends all reading of a DuplexBody. It is called before a response
// that does not come from a backend server is written: if the rest of the body is
// short and arrives soon, it is read and discarded, so that the response need not
// close the connection.
func DiscardBody(r *http.Request) {
	b, ok := r.Body.(*DuplexBody)
	if !ok {
		return
	}
	b.mu.Lock()
	b.released = true
	discard := !b.ended && !b.failed && !b.expectsContinue && b.size <= maxDiscardBytes
	b.mu.Unlock()
	if discard && b.readLock.TryLock() {
		defer b.readLock.Unlock()
		b.discard(discardTimeout)
	}
}

// discard reads a short rest of the body that arrives within d. The caller holds
// readLock.
func (b *DuplexBody) discard(d time.Duration) {
	b.SetDeadline(time.Now().Add(d))
	_, _ = io.CopyN(io.Discard, connectionReader{b}, maxDiscardBytes)
}

// A connectionReader reads a body whose readLock is held.
type connectionReader struct{ b *DuplexBody }

// Read implements io.Reader.
func (r connectionReader) Read(p []byte) (int, error) { return r.b.read(p) }

// Release ends all reading. It must be called before the handler returns. If the
// body has not ended, the connection is closed after the response.
func (b *DuplexBody) Release() {
	b.mu.Lock()
	b.released = true
	ended := b.ended
	b.mu.Unlock()
	if ended {
		return
	}
	if !b.readLock.TryLock() {
		_ = b.controller().SetReadDeadline(time.Unix(1, 0))
		b.readLock.Lock()
	}
	defer b.readLock.Unlock()
	if !b.w.headerWritten {
		// The handler aborts the request, or net/http writes the header.
		b.w.Header().Set("Connection", "close")
		_ = b.controller().SetReadDeadline(time.Unix(1, 0))
		return
	}
	complete := b.w.FlushError() == nil && b.w.left == 0
	// Unread bytes turn the close into a reset. A client that is still sending may
	// lose the response by it, so it gets time to read the response first. net/http
	// completes a response without a length only after the handler has returned, so
	// a client that sends slowly would get the end of that response late.
	wait, d := time.After(closeDelay), discardTimeout
	if complete {
		d = closeDelay
	}
	b.discard(d)
	// net/http reads no more of a chunked body after a read that took too long. The
	// wait after it lasts until closeDelay, whatever the client sends.
	remains, late := b.restRemains()
	switch {
	case remains && (complete || !late):
		<-wait
	case remains:
		// The client gets the time once net/http has completed the response.
		http1.LingerOnClose(b.ctx)
	}
	if !b.hasEnded() {
		// net/http reads the rest of the body after the handler has returned. It
		// must not wait for it.
		_ = b.controller().SetReadDeadline(time.Unix(1, 0))
	}
}

// A responseWriter makes the response close the connection if the body has not
// ended when the header is written.
type responseWriter struct {
	http.ResponseWriter
	body          *DuplexBody
	headerWritten bool
	// left is how much of the response's body is not yet written, or negative if
	// its length is not known.
	left int64
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	interim := status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
	if !interim && !w.headerWritten {
		w.headerWritten = true
		w.left = bodySize(w.Header(), status)
		if !w.body.hasEnded() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// bodySize returns the size of the body of a response, or -1 if it is not known.
func bodySize(h http.Header, status int) int64 {
	if status == http.StatusNoContent || status == http.StatusNotModified {
		return 0
	}
	n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// Write implements io.Writer.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.writeDefaultHeader()
	n, err := w.ResponseWriter.Write(p)
	if w.left > 0 {
		w.left -= int64(n)
	}
	return n, err
}

// FlushError is called by http.ResponseController.
func (w *responseWriter) FlushError() error {
	w.writeDefaultHeader()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

func (w *responseWriter) writeDefaultHeader() {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
}

// Unwrap lets http.ResponseController reach the connection.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

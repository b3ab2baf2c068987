package call

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
)

// maxBufferedBytes is the maximum size of a request body that is buffered, so
// that each attempt can send it.
const maxBufferedBytes = 64 << 10

// A RetryBody provides the body of a request for each attempt to run the
// request. A body of known length up to maxBufferedBytes is buffered. Any other
// body is streamed and can be sent only once.
type RetryBody struct {
	// source is the body of the request; nil if it has none.
	source io.Reader
	// content is the whole body if buffered is set, otherwise the start that
	// BufferStart has read.
	content  []byte
	buffered bool

	mu sync.Mutex
	// currentStream is the body of the latest attempt if it is streamed. Only it
	// may read from source: a goroutine of an earlier, refused attempt may still
	// be about to send its body.
	currentStream *streamedBody
	// readStarted is set once a streamed body reads from source.
	readStarted bool
}

// A streamedBody is the body of one attempt if the body is not buffered.
type streamedBody struct{ b *RetryBody }

// Read implements io.Reader.
func (s *streamedBody) Read(p []byte) (int, error) {
	s.b.mu.Lock()
	if s.b.currentStream != s {
		s.b.mu.Unlock()
		return 0, http.ErrBodyReadAfterClose
	}
	s.b.readStarted = true
	s.b.mu.Unlock()
	return s.b.source.Read(p)
}

// Close implements io.Closer. It does nothing: the handler's server closes the
// body of the request.
func (s *streamedBody) Close() error { return nil }

// IncompleteBody is the error of a request whose body did not arrive
// completely. The request did not run.
type IncompleteBody struct {
	// TimedOut is set if the read deadline passed before the end of the body.
	TimedOut bool
}

// Error implements error.
func (e *IncompleteBody) Error() string {
	if e.TimedOut {
		return "not run: the request body did not arrive in time"
	}
	return "not run: the request body is incomplete"
}

// streamBytes is what a streamed body takes: the buffer with which it is copied.
const streamBytes = 32 << 10

// BodyMemory returns the memory that the body of a request takes while it is buffered or
// streamed.
func BodyMemory(r *http.Request) int64 {
	switch {
	case r.ContentLength == 0:
		return 0
	case r.ContentLength < 0 || r.ContentLength > maxBufferedBytes:
		return streamBytes
	}
	return r.ContentLength
}

// NewRetryBody returns a RetryBody for the body of r. It reads a body that is
// to be buffered, so an incomplete one is detected before the first attempt. The
// error is an *IncompleteBody.
func NewRetryBody(r *http.Request) (*RetryBody, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &RetryBody{buffered: true}, nil
	}
	b := &RetryBody{source: r.Body}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBytes {
		return b, nil
	}
	b.content, b.buffered = make([]byte, r.ContentLength), true
	switch _, err := io.ReadFull(r.Body, b.content); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &IncompleteBody{TimedOut: true}
	case err != nil:
		return nil, &IncompleteBody{}
	}
	return b, nil
}

// BufferStart reads up to n bytes of a body that is streamed, before the first
// attempt. A body that ends within them is buffered from then on. It reports false if
// they did not arrive in time; the body is then streamed as before. The error is an
// *IncompleteBody.
func (b *RetryBody) BufferStart(n int) (bool, error) {
	if b.buffered {
		return true, nil
	}
	s, err := ReadStart(b.source, n)
	if err != nil {
		return false, &IncompleteBody{TimedOut: errors.Is(err, os.ErrDeadlineExceeded)}
	}
	b.content, b.buffered, b.source = s.Content, s.Ended, s.Body
	return s.Content != nil, nil
}

// Start returns what is buffered of the body: all of it if IsBuffered.
func (b *RetryBody) Start() []byte { return b.content }

// Next returns the body for the next attempt.
func (b *RetryBody) Next() io.ReadCloser {
	switch {
	case b.source == nil:
		return http.NoBody
	case b.buffered:
		return io.NopCloser(bytes.NewReader(b.content))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentStream = &streamedBody{b}
	return b.currentStream
}

// CanResend reports whether another attempt can send the whole body. A streamed
// body can be sent again if nothing of it was read. The previous attempt can
// then no longer read it.
func (b *RetryBody) CanResend() bool {
	if b.buffered {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.readStarted {
		b.currentStream = nil
	}
	return !b.readStarted
}

// IsBuffered reports whether the body is buffered or empty, so that every
// attempt can send it.
func (b *RetryBody) IsBuffered() bool { return b.buffered }

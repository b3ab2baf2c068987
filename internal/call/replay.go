package call

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
)

// replayBytes is the largest request body that is kept for another attempt.
const maxBufferedBytes = 64 << 10

// A Replay hands out the body of a request for each attempt. A body of known
// length up to replayBytes is kept; any other can be sent only once.
type RetryBody struct {
	// src is the body; nil without one.
	source io.Reader
	// kept is the whole body if small is set.
	content  []byte
	buffered bool

	mu sync.Mutex
	// owner is the latest body handed out that reads from src. Only it may
	// read: an attempt that was refused may still have a goroutine that is
	// about to send the body.
	currentStream *streamedBody
	// started is set once src was read.
	readStarted bool
}

// A streamed is a body that can be sent only once.
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

// Close implements io.Closer. The handler closes the body itself.
func (s *streamedBody) Close() error { return nil }

// A BadBody error means that the body of a request did not arrive whole. The
// request did not run.
type IncompleteBody struct {
	// Late is set if the time for the body ran out.
	TimedOut bool
}

// Error implements error.
func (e *IncompleteBody) Error() string {
	if e.TimedOut {
		return "not run: the body came too slowly"
	}
	return "not run: the body is incomplete"
}

// NewReplay reads a short body whole before the first attempt, so that a body
// that breaks off is noticed before any backend server sees the request. The
// error is a *BadBody.
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

// CanRepeat reports whether another attempt could send the same body. A body
// of which nothing was read can be; the former attempt then no longer can.
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

// Kept reports whether every attempt can send the whole body.
func (b *RetryBody) IsBuffered() bool { return b.buffered }

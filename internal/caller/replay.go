package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
)

// replayBytes is the largest request body that is kept for another attempt.
const replayBytes = 64 << 10

// A replay hands out the body of a request for each attempt. A body of known
// length up to replayBytes is kept; any other can be sent only once.
type replay struct {
	// src is the body; nil without one.
	src io.Reader
	// kept is the whole body if small is set.
	kept  []byte
	small bool

	mu sync.Mutex
	// owner is the latest body handed out that reads from src. Only it may
	// read: an attempt that was refused may still have a goroutine that is
	// about to send the body.
	owner *streamed
	// started is set once src was read.
	started bool
}

// A streamed is a body that can be sent only once.
type streamed struct{ b *replay }

// Read implements io.Reader.
func (s *streamed) Read(p []byte) (int, error) {
	s.b.mu.Lock()
	if s.b.owner != s {
		s.b.mu.Unlock()
		return 0, http.ErrBodyReadAfterClose
	}
	s.b.started = true
	s.b.mu.Unlock()
	return s.b.src.Read(p)
}

// Close implements io.Closer. The handler closes the body itself.
func (s *streamed) Close() error { return nil }

// newReplay reads a short body whole before the first attempt, so that a body
// that breaks off is noticed before any backend server sees the request.
func newReplay(r *http.Request) (*replay, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &replay{small: true}, nil
	}
	b := &replay{src: r.Body}
	if r.ContentLength < 0 || r.ContentLength > replayBytes {
		return b, nil
	}
	b.kept, b.small = make([]byte, r.ContentLength), true
	switch _, err := io.ReadFull(r.Body, b.kept); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &Rejection{Status: http.StatusRequestTimeout, Reason: "BodyLate"}
	case err != nil:
		return nil, &Rejection{Status: http.StatusBadRequest, Reason: "BodyIncomplete"}
	}
	return b, nil
}

// next returns the body for the next attempt.
func (b *replay) next() io.ReadCloser {
	switch {
	case b.src == nil:
		return http.NoBody
	case b.small:
		return io.NopCloser(bytes.NewReader(b.kept))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.owner = &streamed{b}
	return b.owner
}

// canRepeat reports whether another attempt could send the same body. A body
// of which nothing was read can be; the former attempt then no longer can.
func (b *replay) canRepeat() bool {
	if b.small {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.started {
		b.owner = nil
	}
	return !b.started
}

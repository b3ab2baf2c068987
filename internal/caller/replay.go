package caller

import (
	"bytes"
	"io"
	"net/http"
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
	// started is set with the first attempt that may read from src.
	started bool
}

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
	if _, err := io.ReadFull(r.Body, b.kept); err != nil {
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
	default:
		b.started = true
		return io.NopCloser(b.src)
	}
}

// canRepeat reports whether another attempt could send the same body.
func (b *replay) canRepeat() bool { return b.small || !b.started }

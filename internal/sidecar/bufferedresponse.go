package sidecar

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"quetzaldock.example/quetzaldock/internal/call"
)

// buffer reads a response into memory, up to maxBufferedResponseBytes.
func buffer(a *http.Response) error {
	var b bytes.Buffer
	if a.ContentLength > 0 {
		b.Grow(int(a.ContentLength))
	}
	n, err := io.CopyN(&b, a.Body, maxBufferedResponseBytes+1)
	switch {
	case err == nil && n > maxBufferedResponseBytes:
		a.Body = &bufferedBody{io.MultiReader(&b, a.Body), a.Body}
		return nil
	case err == nil || errors.Is(err, io.EOF):
		_ = a.Body.Close()
		a.Body, a.ContentLength = &wholeBody{b}, n
		return nil
	}
	_ = a.Body.Close()
	return &call.OutcomeUnknown{Reason: "the answer broke off", Cause: err, Crashes: call.CrashesIn(err)}
}

// isBuffered reports whether the whole body of a response is in memory.
func isBuffered(a *http.Response) bool {
	_, ok := a.Body.(*wholeBody)
	return ok
}

// responseMemory returns the memory that buffer takes for a response.
func responseMemory(a *http.Response) int64 {
	if a.ContentLength >= 0 {
		return a.ContentLength
	}
	return maxBufferedResponseBytes
}

// A wholeBody is a body that is in memory.
type wholeBody struct{ bytes.Buffer }

// Close implements io.Closer.
func (b *wholeBody) Close() error { return nil }

// A bufferedBody is the buffered start of a body followed by its rest.
type bufferedBody struct {
	io.Reader
	rest io.Closer
}

// Close implements io.Closer.
func (j *bufferedBody) Close() error { return j.rest.Close() }

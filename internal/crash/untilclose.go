package crash

import (
	"context"
	"errors"
	"io"
	"net/http"

	"quetzaldock.example/quetzaldock/internal/http1"
)

// CheckEnd makes the body of a response without a length, which ends with its
// connection, fail with an error of type http1.Interrupted if a crash may have closed the
// connection. Responses with a length stay as they are.
func (d *Detector) CheckEnd(ctx context.Context, x *Running, method string, a *http.Response) {
	if a.ContentLength < 0 && len(a.TransferEncoding) == 0 && method != http.MethodHead {
		a.Body = &untilCloseBody{ReadCloser: a.Body, cutShort: func() bool { return d.CutShort(ctx, x) }}
	}
}

// An untilCloseBody is the body of a response that ends with its connection.
type untilCloseBody struct {
	io.ReadCloser
	// cutShort is called once, at the end. It reports whether a crash has or may have
	// closed the connection.
	cutShort func() bool
	// err is the error at the end, nil before.
	err error
}

// Read implements io.Reader. The error at the end of a body that was cut short is of
// type http1.Interrupted.
func (b *untilCloseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.cutShort() {
		err = http1.Interrupted.New("the connection closed as if the backend server had crashed before the end of its answer")
	}
	b.err = err
	return n, err
}

package operator

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("operator")

// ErrUnreachable means that a node gave no usable status.
var ErrUnreachable = namespace.NewType("unreachable")

// requestTimeout bounds one request to an operator port.
const requestTimeout = 5 * time.Second

// FetchStatus reads the status of the node whose operator port is at addr. The error
// is of type ErrUnreachable.
func FetchStatus(ctx context.Context, addr string) (*Status, error) {
	s := &Status{}
	a, err := resty.New().SetTimeout(requestTimeout).R().SetContext(ctx).SetResult(s).Get("http://" + addr + "/status")
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "no answer from %s", addr)
	}
	if a.IsError() {
		return nil, ErrUnreachable.New("%s answered %s", addr, a.Status())
	}
	return s, nil
}

// PrintStatus reads a node's status and prints it, as JSON if asked.
func PrintStatus(ctx context.Context, addr string, asJSON bool, w io.Writer) error {
	s, err := FetchStatus(ctx, addr)
	if err != nil {
		return err
	}
	if !asJSON {
		return s.Print(w)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(s)
}

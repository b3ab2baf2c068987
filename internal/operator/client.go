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

// ErrUnreachable means that a node did not return its status.
var ErrUnreachable = namespace.NewType("unreachable")

// statusTimeout bounds the request for a node's status.
const statusTimeout = 5 * time.Second

// FetchStatus returns the status of the node whose operator port is at addr. The
// error is of type ErrUnreachable.
func FetchStatus(ctx context.Context, addr string) (*Status, error) {
	s := &Status{}
	response, err := resty.New().SetTimeout(statusTimeout).R().SetContext(ctx).SetResult(s).Get("http://" + addr + "/status")
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "no answer from %s", addr)
	}
	if response.IsError() {
		return nil, ErrUnreachable.New("%s answered %s", addr, response.Status())
	}
	return s, nil
}

// PrintStatus fetches a node's status and prints it, as JSON if asJSON is set.
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

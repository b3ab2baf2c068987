package command

import (
	"fmt"
	"io"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// NewKey prints a new account key, which the client gets, and its digest, which
// the configuration lists.
func NewKey(w io.Writer, args []string) error {
	if len(args) != 0 {
		return ErrUsage.New("key new takes no arguments, got %q", args)
	}
	key, digest, err := config.NewKey()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "key     %s\ndigest  %s\n", key, digest)
	if err != nil {
		return ErrWrite.New("%s", err)
	}
	return nil
}

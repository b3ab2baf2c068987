package command

import (
	"fmt"
	"io"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// NewKey prints a fresh key for the client and the digest to publish.
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

package peercall_test

import (
	"io"
	"log"
)

// discardLog keeps expected handshake failures out of the test's output.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

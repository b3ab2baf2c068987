package crash

import (
	"errors"
	"io"
	"sync"

	"quetzaldock.example/quetzaldock/pkg/quarantine"
)

// A hashedBody computes the fingerprint of a request while its body is sent.
type hashedBody struct {
	io.ReadCloser

	mu     sync.Mutex
	hasher *quarantine.Hasher
	ended  bool
}

// Read implements io.Reader.
func (b *hashedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = b.hasher.Write(p[:n])
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// fingerprint returns the zero fingerprint if too little of the body has been sent.
func (b *hashedBody) fingerprint() quarantine.Fingerprint {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended && !b.hasher.Complete() {
		return quarantine.Fingerprint{}
	}
	return b.hasher.Fingerprint()
}

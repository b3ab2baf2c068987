package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// MaxBodyBytes is the number of bytes at the beginning of a body that a
// Fingerprint covers.
const MaxBodyBytes = 64 << 10

// A Fingerprint identifies requests that are equal in caller, method, host, target
// and the first MaxBodyBytes of the body. The zero value stands for a request whose
// fingerprint is not known. It is quarantined in no case.
type Fingerprint [16]byte

// ParseFingerprint parses the text form. The error is of type BadFingerprint.
func ParseFingerprint(s string) (Fingerprint, error) {
	var f Fingerprint
	if len(s) != hex.EncodedLen(len(f)) {
		return Fingerprint{}, BadFingerprint.New("%d characters, expected %d", len(s), hex.EncodedLen(len(f)))
	}
	if _, err := hex.Decode(f[:], []byte(s)); err != nil {
		return Fingerprint{}, BadFingerprint.Wrap(err, "not hexadecimal")
	}
	return f, nil
}

// String returns the text form, which is hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// IsZero reports whether f stands for a request whose fingerprint is not known.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// A Request holds what identifies a request besides its body. All fields are
// compared byte by byte.
type Request struct {
	// Account is the client account, or empty.
	Account string
	// Service is the calling service. It counts only without an Account.
	Service string
	Method  string
	// Host is the virtual host.
	Host string
	// Target is the request target with its query.
	Target string
}

// The first byte of what is hashed tells prefixes from fingerprints of requests
// without a body.
const (
	hashOfPrefix  = 'P'
	hashOfRequest = 'R'
)

// The byte before the caller tells accounts from services of the same name.
const (
	callerIsAccount = 'A'
	callerIsService = 'S'
)

// Prefix returns a fingerprint that does not depend on the body. It is the same for
// all requests that differ in nothing else.
func (r *Request) Prefix() Fingerprint {
	return cut(r.newHash(hashOfPrefix))
}

// Fingerprint returns the fingerprint of the request with this body. For a longer
// body its first MaxBodyBytes are enough.
func (r *Request) Fingerprint(body []byte) Fingerprint {
	h := r.newHash(hashOfRequest)
	_, _ = h.Write(body[:min(len(body), MaxBodyBytes)])
	return cut(h)
}

func (r *Request) newHash(kind byte) hash.Hash {
	h := sha256.New()
	caller, callerKind := r.Account, byte(callerIsAccount)
	if caller == "" {
		caller, callerKind = r.Service, callerIsService
	}
	b := make([]byte, 0, 256)
	b = append(b, kind, callerKind)
	for _, s := range [...]string{caller, r.Method, r.Host, r.Target} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	_, _ = h.Write(b)
	return h
}

func cut(h hash.Hash) (f Fingerprint) {
	copy(f[:], h.Sum(nil))
	return f
}

// A Hasher computes the Fingerprint of a request whose body arrives in pieces. It
// is not safe for concurrent use.
type Hasher struct {
	hash hash.Hash
	// missingBytes is the number of bytes that are still covered.
	missingBytes int
}

// NewHasher returns a Hasher that has seen nothing of the body.
func (r *Request) NewHasher() *Hasher {
	return &Hasher{hash: r.newHash(hashOfRequest), missingBytes: MaxBodyBytes}
}

// Write adds a piece of the body. It implements io.Writer and never fails.
func (h *Hasher) Write(p []byte) (int, error) {
	covered := p[:min(len(p), h.missingBytes)]
	h.missingBytes -= len(covered)
	_, _ = h.hash.Write(covered)
	return len(p), nil
}

// Complete reports whether MaxBodyBytes were written. Further pieces then do not
// change the Fingerprint.
func (h *Hasher) Complete() bool { return h.missingBytes == 0 }

// Fingerprint returns the fingerprint of the request if its body ends here, or for
// any rest of the body if the Hasher is Complete.
func (h *Hasher) Fingerprint() Fingerprint { return cut(h.hash) }

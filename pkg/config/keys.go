package config

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
)

const (
	// keyPrefix begins every generated key, so that scanners for leaked secrets
	// recognise it.
	keyPrefix = "qd_"
	// randomKeyBytes is the number of random bytes in a generated key. With it a
	// key is infeasible to guess.
	randomKeyBytes = 32
	// bufferedKeyBytes is the largest length of a key that is looked up without an
	// allocation.
	bufferedKeyBytes = 256
)

// A keyOwner is the digest of a key and the account that owns the key.
type keyOwner struct {
	digest  [sha256.Size]byte
	account *ClientAccount
}

// AccountOfKey returns the account that owns the key. Complete digests are
// compared in constant time; the map lookup before it depends only on the first
// eight bytes of the digest of the key that the caller sent.
func (s *Snapshot) AccountOfKey(key string) (*ClientAccount, bool) {
	if key == "" {
		return nil, false
	}
	var buffer [bufferedKeyBytes]byte
	sum := sha256.Sum256(append(buffer[:0], key...))
	var found *ClientAccount
	owners := s.keyOwners[binary.BigEndian.Uint64(sum[:8])]
	for i := range owners {
		if subtle.ConstantTimeCompare(owners[i].digest[:], sum[:]) == 1 {
			found = owners[i].account
		}
	}
	return found, found != nil
}

// NewKey returns a new random key and its digest, which is what the
// configuration holds. The error is of type ErrRandom.
func NewKey() (key, digest string, err error) {
	b := make([]byte, randomKeyBytes)
	if _, err := rand.Read(b); err != nil {
		return "", "", ErrRandom.Wrap(err, "cannot read random bytes for a key")
	}
	key = keyPrefix + base64.RawURLEncoding.EncodeToString(b)
	return key, DigestOf([]byte(key)), nil
}

// indexKey adds one key digest of the account to keyOwners.
func (s *Snapshot) indexKey(a *ClientAccount, digest string) {
	o := keyOwner{account: a}
	if _, err := hex.Decode(o.digest[:], []byte(digest)); err != nil {
		return
	}
	bucket := binary.BigEndian.Uint64(o.digest[:8])
	s.keyOwners[bucket] = append(s.keyOwners[bucket], o)
}

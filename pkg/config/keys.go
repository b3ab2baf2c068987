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
	// keyPrefix lets scanners for leaked secrets recognise a key.
	keyPrefix = "qd_"
	// keyBytes of randomness make a key infeasible to guess.
	randomKeyBytes = 32
	// keyLimit is the longest key that is looked up, in bytes.
	maxKeyBytes = 256
)

// A keyOwner is one key digest and its account.
type keyOwner struct {
	digest  [sha256.Size]byte
	account *ClientAccount
}

// AccountOfKey returns the account that owns the key. Digests are compared in
// constant time; the map only narrows the choice by eight bytes of the
// digest of what the caller sent.
func (s *Snapshot) AccountOfKey(key string) (*ClientAccount, bool) {
	if key == "" || len(key) > maxKeyBytes {
		return nil, false
	}
	var buffer [maxKeyBytes]byte
	sum := sha256.Sum256(buffer[:copy(buffer[:], key)])
	var found *ClientAccount
	owners := s.keyOwners[binary.BigEndian.Uint64(sum[:8])]
	for i := range owners {
		if subtle.ConstantTimeCompare(owners[i].digest[:], sum[:]) == 1 {
			found = owners[i].account
		}
	}
	return found, found != nil
}

// NewKey returns a fresh random key and the digest to publish for it.
func NewKey() (key, digest string, err error) {
	b := make([]byte, randomKeyBytes)
	if _, err := rand.Read(b); err != nil {
		return "", "", ErrRandom.Wrap(err, "no randomness for a key")
	}
	key = keyPrefix + base64.RawURLEncoding.EncodeToString(b)
	return key, DigestOf([]byte(key)), nil
}

func (s *Snapshot) indexKey(a *ClientAccount, digest string) {
	o := keyOwner{account: a}
	if _, err := hex.Decode(o.digest[:], []byte(digest)); err != nil {
		return
	}
	bucket := binary.BigEndian.Uint64(o.digest[:8])
	s.keyOwners[bucket] = append(s.keyOwners[bucket], o)
}

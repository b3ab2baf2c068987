package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// DigestOf returns the SHA-256 of b in lower-case hexadecimal.
func DigestOf(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// ParseManifest decodes and checks a manifest without its parts. The error is a
// *Faults.
func ParseManifest(b []byte) (*Manifest, error) {
	f := &Faults{}
	m := parseManifest(f, b)
	if err := f.err(); err != nil {
		return nil, err
	}
	return m, nil
}

func parseManifest(f *Faults, b []byte) *Manifest {
	m := &Manifest{}
	if !decode(f, ManifestPart, b, m) {
		return nil
	}
	if m.Version == 0 {
		f.add(ManifestPart, "Version", "must be at least 1")
	}
	if len(m.Parts) == 0 {
		f.add(ManifestPart, "Parts", "must name at least one part")
	}
	if len(m.Parts) > MaxParts {
		f.add(ManifestPart, "Parts", "%d parts exceed the limit of %d", len(m.Parts), MaxParts)
	}
	names, digests := map[string]bool{}, map[string]bool{}
	for i, p := range m.Parts {
		key := entryKey("Parts", p.Name, i)
		checkIdentifier(f, ManifestPart, key+".Name", p.Name)
		if p.Name == ManifestPart {
			f.add(ManifestPart, key+".Name", "is reserved for the manifest")
		}
		if names[p.Name] {
			f.add(ManifestPart, key, "the name occurs twice")
		}
		if !isDigest(p.Digest) {
			f.add(ManifestPart, key+".Digest", "must be 64 lower-case hexadecimal digits")
		} else if digests[p.Digest] {
			f.add(ManifestPart, key+".Digest", "the digest occurs twice")
		}
		names[p.Name], digests[p.Digest] = true, true
	}
	return m
}

// decode decodes TOML into v. It adds faults for unknown and misspelled keys,
// and reports whether v was decoded apart from those.
func decode(f *Faults, part string, b []byte, v any) bool {
	if len(b) > MaxValueBytes {
		f.add(part, "", "%d bytes exceed the limit of %d", len(b), MaxValueBytes)
		return false
	}
	d := toml.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var unknownKeys *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case err == nil:
		checkSpelling(f, part, b)
		return true
	case errors.As(err, &unknownKeys):
		for i := range unknownKeys.Errors {
			line, _ := unknownKeys.Errors[i].Position()
			f.add(part, strings.Join(unknownKeys.Errors[i].Key(), "."), "line %d: unknown key", line)
		}
		checkSpelling(f, part, b)
		return true
	case errors.As(err, &decodeErr):
		line, _ := decodeErr.Position()
		f.add(part, strings.Join(decodeErr.Key(), "."), "line %d: %s", line, strings.TrimPrefix(decodeErr.Error(), "toml: "))
	default:
		f.add(part, "", "%s", strings.TrimPrefix(err.Error(), "toml: "))
	}
	return false
}

// isDigest reports whether s is a SHA-256 digest in lower-case hexadecimal.
func isDigest(s string) bool {
	if len(s) != hex.EncodedLen(sha256.Size) {
		return false
	}
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// entryKey returns the key of one entry of a list, as Fault.Key has it: the
// list with the entry's name, or with its index if it has no name.
func entryKey(list, name string, i int) string {
	if name == "" {
		return fmt.Sprintf("%s[%d]", list, i)
	}
	return fmt.Sprintf("%s[%q]", list, name)
}

package config

import (
	"maps"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Encode encodes the parts of one version, given by name, and the manifest that
// lists them. files maps each part's digest to its bytes. Encode does not
// validate the content; Accept does. The error is of type ErrEncode.
func Encode(version uint64, parts map[string]Document) (manifest []byte, files map[string][]byte, err error) {
	m := Manifest{Version: version}
	files = make(map[string][]byte, len(parts))
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		b, err := toml.Marshal(parts[name])
		if err != nil {
			return nil, nil, ErrEncode.Wrap(err, "part %s", name)
		}
		digest := DigestOf(b)
		files[digest] = b
		m.Parts = append(m.Parts, PartRef{Name: name, Digest: digest})
	}
	manifest, err = toml.Marshal(m)
	if err != nil {
		return nil, nil, ErrEncode.Wrap(err, "manifest of version %d", version)
	}
	return manifest, files, nil
}

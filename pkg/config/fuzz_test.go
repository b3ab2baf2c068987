package config_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// Guards against a publication by which Accept panics, which would stop every
// node at once, and against Accept returning different results for the same
// bytes, by which nodes would disagree.
func FuzzAccept(f *testing.F) {
	_, files, err := config.Encode(3, validParts())
	assert.NilError(f, err)
	for _, b := range files {
		f.Add(b, uint64(1))
	}
	f.Add([]byte("Zones.Name = 'x'"), uint64(0))
	f.Add([]byte("[Defaults]\nRate = nan\nSlots = -9223372036854775808"), uint64(1<<63))
	f.Add([]byte("Hosts = [{ID = 'a', id = 'b'}]\n[[Exceptions]]\n[Exceptions.Values]\nBurst = -inf"), uint64(2))
	f.Fuzz(func(t *testing.T, part []byte, version uint64) {
		manifest, files, err := config.Encode(version, validParts())
		if err != nil {
			return
		}
		digest := config.DigestOf(part)
		files[digest] = part
		manifest = append(manifest, "\n[[Parts]]\nName = 'p'\nDigest = '"+digest+"'\n"...)
		assertSameVerdict(t, manifest, files)
		assertSameVerdict(t, part, files)
	})
}

// assertSameVerdict checks that accepting the same bytes twice gives the same
// result, and that an accepted snapshot can be queried.
func assertSameVerdict(t *testing.T, manifest []byte, files map[string][]byte) {
	t.Helper()
	a, first := config.Accept(manifest, files)
	b, second := config.Accept(manifest, files)
	assert.Equal(t, first == nil, a != nil)
	assert.Equal(t, first == nil, second == nil)
	if first != nil {
		assert.Equal(t, first.Error(), second.Error())
		return
	}
	assert.Equal(t, len(config.Diff(a, b)), 0)
	a.Route("/files/private/1")
	a.Explain("desk", "Surco", "club-a")
}

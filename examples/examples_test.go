package examples_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"quetzaldock.example/quetzaldock/examples"
	"quetzaldock.example/quetzaldock/pkg/config"
)

// Guards against example files that differ from the Go definitions, or that a node
// refuses. With -update the test first writes the files.
func TestFilesAreCurrentAndAccepted(t *testing.T) {
	for dir, parts := range map[string]map[string]config.Document{"lima": examples.Lima(), "antioquia": examples.Antioquia()} {
		manifest, files, err := config.Encode(examples.Version, parts)
		assert.NilError(t, err)
		m, err := config.ParseManifest(manifest)
		assert.NilError(t, err)
		want := map[string][]byte{filepath.Join(dir, "manifest.toml"): manifest}
		for _, p := range m.Parts {
			want[filepath.Join(dir, "parts", p.Name+".toml")] = files[p.Digest]
		}
		if golden.FlagUpdate() {
			write(t, dir, want)
		}
		assert.DeepEqual(t, read(t, dir), want)

		s, err := config.Accept(manifest, files)
		assert.NilError(t, err)
		assert.Equal(t, len(s.Hosts), 13)
		assert.Equal(t, len(s.Zones), 4)
		assert.Equal(t, len(s.Accounts), 8)
		for name := range s.Accounts {
			a, ok := s.AccountOfKey(examples.Key(name))
			assert.Assert(t, ok && a.Name == name, "%s", name)
		}
	}
}

func write(t *testing.T, dir string, files map[string][]byte) {
	t.Helper()
	assert.NilError(t, os.RemoveAll(dir))
	assert.NilError(t, os.MkdirAll(filepath.Join(dir, "parts"), 0o755))
	for path, b := range files {
		assert.NilError(t, os.WriteFile(path, b, 0o644))
	}
}

func read(t *testing.T, dir string) map[string][]byte {
	t.Helper()
	files := map[string][]byte{}
	assert.NilError(t, filepath.WalkDir(dir, func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		files[path], err = os.ReadFile(path)
		return err
	}))
	return files
}

// Guards against a service that has no host left when one availability zone is
// taken out.
func TestEachServiceIsInEachZone(t *testing.T) {
	for _, parts := range []map[string]config.Document{examples.Lima(), examples.Antioquia()} {
		zones := map[string][]string{}
		for _, h := range parts["services"].Hosts {
			if !slices.Contains(zones[h.Service], h.Zone) {
				zones[h.Service] = append(zones[h.Service], h.Zone)
			}
		}
		for service, z := range zones {
			assert.Equal(t, len(z), 4, service)
		}
	}
}

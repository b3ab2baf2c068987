package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// manifestFile is the base name that tells the manifest from the parts.
const manifestFile = "manifest.toml"

// partsFolder holds the parts of a publication in a directory.
const partsFolder = "parts"

// A publication is one version of the configuration as files.
type publication struct {
	// path is the manifest's path.
	path     string
	manifest []byte
	// parts and paths are keyed by the digest of the part's bytes.
	parts map[string][]byte
	paths map[string]string
}

// readFiles reads a manifest and its parts. Exactly one file must be named
// manifest.toml.
func readFiles(files []string) (*publication, error) {
	p := &publication{parts: map[string][]byte{}, paths: map[string]string{}}
	for _, path := range files {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, ErrRead.New("%s", err)
		}
		if filepath.Base(path) != manifestFile {
			digest := config.DigestOf(b)
			p.parts[digest], p.paths[digest] = b, path
			continue
		}
		if p.path != "" {
			return nil, ErrUsage.New("two manifests: %s and %s", p.path, path)
		}
		p.path, p.manifest = path, b
	}
	if p.path == "" {
		return nil, ErrUsage.New("no file is named %s", manifestFile)
	}
	return p, nil
}

// readFolder reads manifest.toml and parts/*.toml of a directory.
func readFolder(dir string) (*publication, error) {
	parts, err := filepath.Glob(filepath.Join(dir, partsFolder, "*.toml"))
	if err != nil {
		return nil, ErrUsage.New("directory %q: %s", dir, err)
	}
	return readFiles(append([]string{filepath.Join(dir, manifestFile)}, parts...))
}

// accept judges the publication. It prints each fault with its file and
// returns ErrRefused when there are any.
func (p *publication) accept(w io.Writer) (*config.Snapshot, error) {
	s, err := config.Accept(p.manifest, p.parts)
	if err == nil {
		return s, nil
	}
	var faults *config.Faults
	if !errors.As(err, &faults) {
		return nil, ErrRefused.New("%s: %s", p.path, err)
	}
	for _, f := range faults.List {
		line := p.pathOf(faults.Manifest, f.Part)
		if f.Key != "" {
			line += ": " + f.Key
		}
		if _, err := fmt.Fprintf(w, "%s: %s\n", line, f.Reason); err != nil {
			return nil, ErrWrite.New("%s", err)
		}
	}
	return nil, ErrRefused.New("%s: faults: %d", p.path, len(faults.List))
}

// pathOf returns the file of a part, or the part's name if it has none.
func (p *publication) pathOf(m *config.Manifest, part string) string {
	if part == config.ManifestPart {
		return p.path
	}
	if path := p.paths[part]; path != "" {
		return path
	}
	if m != nil {
		for _, ref := range m.Parts {
			if path := p.paths[ref.Digest]; ref.Name == part && path != "" {
				return path
			}
		}
	}
	return part
}

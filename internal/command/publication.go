package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// manifestFile is the base name of the manifest's file. Files with other names
// are parts.
const manifestFile = "manifest.toml"

// partsDirectory is the subdirectory of a publication's directory that holds its
// parts.
const partsDirectory = "parts"

// A publication is one version of the configuration, read from files.
type publication struct {
	// path is the path of the manifest's file.
	path     string
	manifest []byte
	// parts and partPaths hold the bytes and the path of each part by the digest
	// of the bytes.
	parts     map[string][]byte
	partPaths map[string]string
}

// readFiles reads a manifest and its parts. Exactly one file must be named
// manifest.toml.
func readFiles(files []string) (*publication, error) {
	p := &publication{parts: map[string][]byte{}, partPaths: map[string]string{}}
	for _, path := range files {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, ErrRead.New("%s", err)
		}
		if filepath.Base(path) != manifestFile {
			digest := config.DigestOf(b)
			p.parts[digest], p.partPaths[digest] = b, path
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

// readDirectory reads manifest.toml and parts/*.toml of a directory.
func readDirectory(dir string) (*publication, error) {
	parts, err := filepath.Glob(filepath.Join(dir, partsDirectory, "*.toml"))
	if err != nil {
		return nil, ErrUsage.New("directory %q: %s", dir, err)
	}
	return readFiles(append([]string{filepath.Join(dir, manifestFile)}, parts...))
}

// accept validates the publication. If it has faults, accept prints each with
// its file and returns ErrRefused.
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

// pathOf returns the path of the file with the part that a fault names, or the
// part's name if there is no such file.
func (p *publication) pathOf(m *config.Manifest, part string) string {
	if part == config.ManifestPart {
		return p.path
	}
	if path := p.partPaths[part]; path != "" {
		return path
	}
	if m != nil {
		for _, ref := range m.Parts {
			if path := p.partPaths[ref.Digest]; ref.Name == part && path != "" {
				return path
			}
		}
	}
	return part
}

package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
)

// ErrorNamespace is the namespace of the package's error types.
var ErrorNamespace = errorx.NewNamespace("config")

var (
	// ErrRefused is the error type of every *Faults.
	ErrRefused = ErrorNamespace.NewType("refused")
	// ErrEncode means that a document cannot be encoded as TOML.
	ErrEncode = ErrorNamespace.NewType("encode")
	// ErrRandom means that the system's random source failed.
	ErrRandom = ErrorNamespace.NewType("random")
)

// ManifestPart is the Part of faults in the manifest.
const ManifestPart = "manifest"

// A Fault is one reason to refuse a configuration.
type Fault struct {
	// Part is the name of the faulty part, ManifestPart for the manifest, or
	// the digest of a part that the manifest does not list.
	Part string
	// Key is the path of the faulty value within the part, as in
	// Exceptions["slow-zone"].Values.Slots.
	Key    string
	Reason string
}

// Faults is the error of a refused configuration. It lists every fault that was
// found. errors.As finds an *errorx.Error of type ErrRefused in it.
type Faults struct {
	// List has the faults of the manifest first, then those of the parts in the
	// manifest's order.
	List []Fault
	// Manifest is the decoded manifest, which may have faults. It is nil if the
	// manifest could not be decoded.
	Manifest *Manifest
}

// Error returns the number of faults and one line for each.
func (f *Faults) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "configuration refused, faults: %d", len(f.List))
	for _, e := range f.List {
		fmt.Fprintf(&b, "\n%s: %s: %s", e.Part, e.Key, e.Reason)
	}
	return b.String()
}

// Unwrap returns an error of type ErrRefused.
func (f *Faults) Unwrap() error {
	return ErrRefused.New("faults: %d", len(f.List))
}

func (f *Faults) add(part, key, reason string, args ...any) {
	f.List = append(f.List, Fault{Part: part, Key: key, Reason: fmt.Sprintf(reason, args...)})
}

// sort orders faults by part: the manifest, then the parts that it lists in its
// order, then others. Faults of one part keep their order.
func (f *Faults) sort(m *Manifest) {
	positions := map[string]int{ManifestPart: -1}
	for i, p := range m.Parts {
		positions[p.Name] = i
	}
	position := func(part string) int {
		if i, ok := positions[part]; ok {
			return i
		}
		return len(positions)
	}
	slices.SortStableFunc(f.List, func(a, b Fault) int { return position(a.Part) - position(b.Part) })
}

// err returns f as an error, or nil if it lists no fault.
func (f *Faults) err() error {
	if len(f.List) == 0 {
		return nil
	}
	return f
}

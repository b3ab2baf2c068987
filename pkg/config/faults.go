package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
)

// ErrorNamespace holds the error types of the package.
var ErrorNamespace = errorx.NewNamespace("config")

var (
	// ErrRefused is the type behind every *Faults.
	ErrRefused = ErrorNamespace.NewType("refused")
	// ErrEncode says that a document cannot be written as TOML.
	ErrEncode = ErrorNamespace.NewType("encode")
	// ErrRandom says that the system's random source failed.
	ErrRandom = ErrorNamespace.NewType("random")
)

// ManifestPart is the Part of a fault that lies in the manifest.
const ManifestPart = "manifest"

// A Fault is one reason to refuse a configuration.
type Fault struct {
	// Part is the name of the faulty part, ManifestPart for the manifest, or
	// the digest of a part that the manifest does not list.
	Part string
	// Key leads to the faulty value, as in Exceptions["slow-zone"].Values.Slots.
	Key    string
	Reason string
}

// Faults lists every fault found in a configuration, in the order of the
// manifest's parts. errors.As finds an *errorx.Error of type ErrRefused in it.
type Faults struct {
	List []Fault
	// Manifest is the manifest as far as it was decoded. It may be faulty, and
	// is nil if it is not TOML of the right form.
	Manifest *Manifest
}

// Error returns one line per fault.
func (f *Faults) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "configuration refused, faults: %d", len(f.List))
	for _, e := range f.List {
		fmt.Fprintf(&b, "\n%s: %s: %s", e.Part, e.Key, e.Reason)
	}
	return b.String()
}

// Unwrap gives the list its errorx type.
func (f *Faults) Unwrap() error {
	return ErrRefused.New("faults: %d", len(f.List))
}

func (f *Faults) add(part, key, reason string, args ...any) {
	f.List = append(f.List, Fault{Part: part, Key: key, Reason: fmt.Sprintf(reason, args...)})
}

// sort orders faults by part: the manifest, the parts in its order, and parts
// that it does not list.
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

// err returns f as an error, or nil when there is no fault.
func (f *Faults) err() error {
	if len(f.List) == 0 {
		return nil
	}
	return f
}

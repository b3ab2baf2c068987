package config

import (
	"reflect"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
)

// ErrPatch means that a Patch does not belong to a document.
var ErrPatch = ErrorNamespace.NewType("patch")

// A Patch holds the difference between two documents. Successive versions of a
// configuration mostly differ in a few entries.
type Patch struct {
	Defaults     *Values
	CallerLimits *CallerLimits
	Zones        EntryPatch[AvailabilityZone] `cbor:",omitzero"`
	Services     EntryPatch[Service]          `cbor:",omitzero"`
	Hosts        EntryPatch[Host]             `cbor:",omitzero"`
	Routes       EntryPatch[Route]            `cbor:",omitzero"`
	Accounts     EntryPatch[ClientAccount]    `cbor:",omitzero"`
	Exceptions   EntryPatch[Exception]        `cbor:",omitzero"`
	// Result is the Checksum of the document that the patch leads to.
	Result uint64
}

// An EntryPatch holds the difference between two lists of entries.
type EntryPatch[T any] struct {
	// Set holds the entries that are new or changed.
	Set []T `cbor:",omitempty"`
	// Removed holds the names of the entries that are gone.
	Removed []string `cbor:",omitempty"`
}

// The names of entries within their lists.
func zoneName(z *AvailabilityZone) string { return z.Name }
func serviceName(s *Service) string       { return s.Name }
func hostName(h *Host) string             { return h.ID }
func routeName(r *Route) string           { return r.Key() }
func accountName(a *ClientAccount) string { return a.Name }
func exceptionName(e *Exception) string   { return e.Name }

// NewPatch returns the difference from one document to another. It reports false if a
// name occurs twice in one of them, as Accept does not allow.
func NewPatch(from, to *Document) (*Patch, bool) {
	p := &Patch{Defaults: to.Defaults, CallerLimits: to.CallerLimits, Result: to.Checksum()}
	ok := diffEntries(&p.Zones, from.Zones, to.Zones, zoneName) &&
		diffEntries(&p.Services, from.Services, to.Services, serviceName) &&
		diffEntries(&p.Hosts, from.Hosts, to.Hosts, hostName) &&
		diffEntries(&p.Routes, from.Routes, to.Routes, routeName) &&
		diffEntries(&p.Accounts, from.Accounts, to.Accounts, accountName) &&
		diffEntries(&p.Exceptions, from.Exceptions, to.Exceptions, exceptionName)
	return p, ok
}

func diffEntries[T any](p *EntryPatch[T], from, to []T, name func(*T) string) bool {
	before := make(map[string]*T, len(from))
	for i := range from {
		before[name(&from[i])] = &from[i]
	}
	kept := make(map[string]bool, len(to))
	for i := range to {
		key := name(&to[i])
		if kept[key] {
			return false
		}
		kept[key] = true
		if b := before[key]; b == nil || !reflect.DeepEqual(b, &to[i]) {
			p.Set = append(p.Set, to[i])
		}
	}
	for key := range before {
		if !kept[key] {
			p.Removed = append(p.Removed, key)
		}
	}
	return len(before) == len(from)
}

// Apply returns the document that the patch leads to from another one. New entries come
// last. The error is ErrPatch if the patch belongs to another document.
func (p *Patch) Apply(from *Document) (*Document, error) {
	to := &Document{
		Defaults: p.Defaults, CallerLimits: p.CallerLimits,
		Zones:      patchEntries(&p.Zones, from.Zones, zoneName),
		Services:   patchEntries(&p.Services, from.Services, serviceName),
		Hosts:      patchEntries(&p.Hosts, from.Hosts, hostName),
		Routes:     patchEntries(&p.Routes, from.Routes, routeName),
		Accounts:   patchEntries(&p.Accounts, from.Accounts, accountName),
		Exceptions: patchEntries(&p.Exceptions, from.Exceptions, exceptionName),
	}
	if got := to.Checksum(); got != p.Result {
		return nil, ErrPatch.New("the patched document has the checksum %x, not %x", got, p.Result)
	}
	return to, nil
}

// patchEntries returns a new list and does not change the old one.
func patchEntries[T any](p *EntryPatch[T], from []T, name func(*T) string) []T {
	if len(p.Set) == 0 && len(p.Removed) == 0 {
		return from
	}
	removed := make(map[string]bool, len(p.Removed))
	for _, key := range p.Removed {
		removed[key] = true
	}
	changed := make(map[string]*T, len(p.Set))
	for i := range p.Set {
		changed[name(&p.Set[i])] = &p.Set[i]
	}
	to := make([]T, 0, len(from)+len(p.Set))
	for i := range from {
		key := name(&from[i])
		switch c := changed[key]; {
		case removed[key]:
		case c != nil:
			to = append(to, *c)
			delete(changed, key)
		default:
			to = append(to, from[i])
		}
	}
	for i := range p.Set {
		if changed[name(&p.Set[i])] != nil {
			to = append(to, p.Set[i])
		}
	}
	return to
}

// Checksum returns a sum over the entries of the document. It does not depend on their
// order.
func (d *Document) Checksum() uint64 {
	sum := checksum(d.Defaults) + checksum(d.CallerLimits)
	sum += sumEntries(d.Zones) + sumEntries(d.Services) + sumEntries(d.Hosts)
	return sum + sumEntries(d.Routes) + sumEntries(d.Accounts) + sumEntries(d.Exceptions)
}

func sumEntries[T any](all []T) (sum uint64) {
	for i := range all {
		sum += checksum(&all[i])
	}
	return sum
}

// checksum includes the type, so that entries of different lists differ.
func checksum[T any](entry *T) uint64 {
	b, err := cbor.Marshal(entry)
	if err != nil {
		panic(errorx.Panic(errorx.AssertionFailed.Wrap(err, "entries consist of plain fields")))
	}
	return xxhash.Sum64(append(b, reflect.TypeFor[T]().Name()...))
}

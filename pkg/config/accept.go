package config

import (
	"cmp"
	"maps"
	"slices"
)

// A candidate is a configuration that is being validated.
type candidate struct {
	faults *Faults
	parts  []candidatePart
	// allDecoded is true while every part could be decoded. References between
	// parts are checked only then, because each reference into a missing part
	// would be reported as a fault of its own.
	allDecoded bool
	// foreign is set for a document that another system has published and
	// validated. The forms of its names and prefixes, and the number of its
	// exceptions, are that system's choice.
	foreign bool
	// defaultsPart is the name of the part that sets Defaults, empty until one
	// is found.
	defaultsPart string
	// callerLimitsPart is the name of the part that sets CallerLimits, empty
	// until one is found.
	callerLimitsPart string
	snapshot         *Snapshot
	// liveExceptions holds the exceptions that are not retired; checkExceptions
	// fills it.
	liveExceptions []liveException
}

// A candidatePart is one decoded part.
type candidatePart struct {
	name string
	doc  Document
}

// Accept validates one version, given the bytes of its manifest and the bytes
// of its parts by digest. It returns a snapshot of the complete version, or a
// *Faults that lists every fault found. The result depends only on the
// arguments.
func Accept(manifest []byte, parts map[string][]byte) (*Snapshot, error) {
	c := &candidate{faults: &Faults{}, allDecoded: true, snapshot: &Snapshot{Digest: DigestOf(manifest)}}
	m := parseManifest(c.faults, manifest)
	if m == nil {
		return nil, c.faults
	}
	c.faults.Manifest, c.snapshot.Version = m, m.Version
	c.decode(m, manifest, parts)
	return c.validate(m)
}

// documentPart is the part name that faults of AcceptDocument carry.
const documentPart = "document"

// AcceptDocument validates a version that consists of one document instead of
// a manifest and parts, and that another system has published and validated. Its
// names may be any text that an HTTP header can hold, the prefix of a route with a
// VirtualHost any path, and it may have any number of exceptions. The snapshot
// refers to the document, so the caller must not change it afterwards. The error is
// a *Faults.
func AcceptDocument(version uint64, doc Document) (*Snapshot, error) {
	m := &Manifest{Version: version, Parts: []PartRef{{Name: documentPart}}}
	c := &candidate{faults: &Faults{Manifest: m}, allDecoded: true, foreign: true, snapshot: &Snapshot{Version: version}}
	if version == 0 {
		c.faults.add(ManifestPart, "Version", "must be at least 1")
	}
	c.parts = []candidatePart{{name: documentPart, doc: doc}}
	return c.validate(m)
}

// validate merges the decoded parts, checks them together and returns the
// snapshot, or the faults as an error.
func (c *candidate) validate(m *Manifest) (*Snapshot, error) {
	c.collect()
	if c.allDecoded {
		c.checkReferences()
		c.checkExceptions()
	}
	if len(c.faults.List) == 0 {
		c.snapshot.index()
		c.checkSlots()
	}
	c.faults.sort(m)
	if err := c.faults.err(); err != nil {
		return nil, err
	}
	return c.snapshot, nil
}

// decode decodes the parts in the order of the manifest. It adds a fault for
// each part that is missing, has another digest, cannot be decoded, or is not
// listed in the manifest.
func (c *candidate) decode(m *Manifest, manifest []byte, parts map[string][]byte) {
	total := len(manifest)
	for _, b := range parts {
		total += len(b)
	}
	if total > MaxTotalBytes {
		c.faults.add(ManifestPart, "", "%d bytes over all parts exceed the limit of %d", total, MaxTotalBytes)
		c.allDecoded = false
		return
	}
	listed := map[string]bool{}
	for i, ref := range m.Parts {
		listed[ref.Digest] = true
		b, ok := parts[ref.Digest]
		if !ok {
			c.faults.add(ManifestPart, entryKey("Parts", ref.Name, i), "the part with digest %s is missing", ref.Digest)
			c.allDecoded = false
			continue
		}
		if sum := DigestOf(b); sum != ref.Digest {
			c.faults.add(ref.Name, "", "the digest is %s, the manifest says %s", sum, ref.Digest)
			c.allDecoded = false
			continue
		}
		p := candidatePart{name: ref.Name}
		if !decode(c.faults, ref.Name, b, &p.doc) {
			c.allDecoded = false
			continue
		}
		c.parts = append(c.parts, p)
	}
	for _, digest := range slices.Sorted(maps.Keys(parts)) {
		if !listed[digest] {
			c.faults.add(digest, "", "the manifest does not list this part")
		}
	}
}

// collect merges the parts into the snapshot and checks each entry on its own,
// apart from exceptions, which checkExceptions checks.
func (c *candidate) collect() {
	s := c.snapshot
	s.Zones, s.Services = map[string]*AvailabilityZone{}, map[string]*Service{}
	s.Hosts, s.Accounts = map[string]*Host{}, map[string]*ClientAccount{}
	s.routesByKey = map[string]*Route{}
	for i := range c.parts {
		p := &c.parts[i]
		c.collectDefaults(p)
		c.collectZones(p)
		c.collectServices(p)
		c.collectHosts(p)
		c.collectRoutes(p)
		c.collectAccounts(p)
		c.collectCallerLimits(p)
		s.Exceptions = append(s.Exceptions, p.doc.Exceptions...)
	}
	if c.allDecoded && c.defaultsPart == "" {
		c.faults.add(ManifestPart, "Defaults", "no part has the defaults")
	}
}

func (c *candidate) collectDefaults(p *candidatePart) {
	v := p.doc.Defaults
	if v == nil {
		return
	}
	if c.defaultsPart != "" {
		c.faults.add(p.name, "Defaults", "part %s has the defaults already", c.defaultsPart)
		return
	}
	c.defaultsPart = p.name
	c.snapshot.Defaults = *v
	for _, field := range valueFields {
		if _, ok := field.get(v); !ok {
			c.faults.add(p.name, "Defaults."+field.name, "every default must be set")
		}
	}
	checkValues(c.faults, p.name, "Defaults", v)
	if v.Slots != nil && v.ColdSlots != nil && *v.ColdSlots > *v.Slots {
		c.faults.add(p.name, "Defaults.ColdSlots", "%d exceeds Slots, %d", *v.ColdSlots, *v.Slots)
	}
}

func (c *candidate) collectZones(p *candidatePart) {
	for i := range p.doc.Zones {
		z := &p.doc.Zones[i]
		key := entryKey("Zones", z.Name, i)
		checkDisplayName(c.faults, p.name, key+".Name", z.Name)
		checkDisplayName(c.faults, p.name, key+".Region", z.Region)
		addNamed(c.faults, p.name, key, c.snapshot.Zones, z.Name, z)
	}
}

func (c *candidate) collectServices(p *candidatePart) {
	for i := range p.doc.Services {
		s := &p.doc.Services[i]
		key := entryKey("Services", s.Name, i)
		c.checkName(p.name, key+".Name", s.Name)
		checkService(c.faults, p.name, key, s)
		addNamed(c.faults, p.name, key, c.snapshot.Services, s.Name, s)
	}
}

func (c *candidate) collectHosts(p *candidatePart) {
	for i := range p.doc.Hosts {
		h := &p.doc.Hosts[i]
		key := entryKey("Hosts", h.ID, i)
		checkHostID(c.faults, p.name, key+".ID", h.ID)
		addNamed(c.faults, p.name, key, c.snapshot.Hosts, h.ID, h)
	}
}

func (c *candidate) collectRoutes(p *candidatePart) {
	for i := range p.doc.Routes {
		r := &p.doc.Routes[i]
		key := entryKey("Routes", r.Prefix, i)
		c.checkPrefix(p.name, key+".Prefix", r)
		checkRoute(c.faults, p.name, key, r)
		addNamed(c.faults, p.name, key, c.snapshot.routesByKey, r.Key(), r)
	}
}

func (c *candidate) collectAccounts(p *candidatePart) {
	for i := range p.doc.Accounts {
		a := &p.doc.Accounts[i]
		key := entryKey("Accounts", a.Name, i)
		c.checkName(p.name, key+".Name", a.Name)
		for _, k := range a.Keys {
			if !isDigest(k) {
				c.faults.add(p.name, key+".Keys", "%q is not a digest of 64 lower-case hexadecimal digits", k)
			}
		}
		addNamed(c.faults, p.name, key, c.snapshot.Accounts, a.Name, a)
	}
}

func (c *candidate) collectCallerLimits(p *candidatePart) {
	l := p.doc.CallerLimits
	if l == nil {
		return
	}
	if c.callerLimitsPart != "" {
		c.faults.add(p.name, "CallerLimits", "part %s has the caller limits already", c.callerLimitsPart)
		return
	}
	c.callerLimitsPart = p.name
	c.snapshot.CallerLimits = *l
	for _, limit := range []struct {
		name  string
		value int
	}{{"HeaderBytes", l.HeaderBytes}, {"BodyBytes", l.BodyBytes}, {"HeaderMs", l.HeaderMs}, {"IdleMs", l.IdleMs}} {
		if limit.value < 0 {
			c.faults.add(p.name, "CallerLimits."+limit.name, "must not be negative")
		}
	}
}

// addNamed adds v to entries, or a fault if the name is taken.
func addNamed[T any](f *Faults, part, key string, entries map[string]*T, name string, v *T) {
	if entries[name] != nil {
		f.add(part, key, "the name occurs twice")
		return
	}
	entries[name] = v
}

// index builds the lookup tables of a configuration without faults.
func (s *Snapshot) index() {
	s.resolvedDefaults.override(&s.Defaults)
	s.exceptionLayers = layerExceptions(s.Exceptions)
	for _, r := range s.routesByKey {
		s.Routes = append(s.Routes, *r)
	}
	slices.SortFunc(s.Routes, func(a, b Route) int {
		return cmp.Or(len(b.Prefix)-len(a.Prefix), cmp.Compare(a.Prefix, b.Prefix), cmp.Compare(a.VirtualHost, b.VirtualHost))
	})
	for i := range s.Routes {
		r := &s.Routes[i]
		s.routesByKey[r.Key()] = r
		if r.VirtualHost != "" {
			s.indexVirtualRoute(r)
			continue
		}
		s.longestPrefixBytes = max(s.longestPrefixBytes, len(r.Prefix))
	}
	s.keyOwners = make(map[uint64][]keyOwner)
	for _, a := range s.Accounts {
		for _, k := range a.Keys {
			s.indexKey(a, k)
		}
	}
}

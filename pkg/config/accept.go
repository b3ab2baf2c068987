package config

import (
	"cmp"
	"maps"
	"slices"
)

// A draft is a configuration while it is being judged.
type draft struct {
	faults *Faults
	parts  []draftPart
	// whole states that every part was decoded. Only then are references
	// between parts judged: they would all fail for a part that is missing.
	whole bool
	// defaultsIn is the name of the part that has the defaults.
	defaultsIn string
	// limitsIn is the name of the part that has the caller limits.
	limitsIn string
	snapshot *Snapshot
	// live is filled by checkExceptions.
	live []liveException
}

type draftPart struct {
	name string
	doc  Document
}

// Accept judges one version: the bytes of its manifest and of its parts by
// digest. It returns the whole version or a *Faults with every fault found,
// and depends on nothing but its arguments.
func Accept(manifest []byte, parts map[string][]byte) (*Snapshot, error) {
	d := &draft{faults: &Faults{}, whole: true, snapshot: &Snapshot{Digest: DigestOf(manifest)}}
	m := parseManifest(d.faults, manifest)
	if m == nil {
		return nil, d.faults
	}
	d.faults.Manifest, d.snapshot.Version = m, m.Version
	d.decode(m, manifest, parts)
	return d.judge(m)
}

// assembledPart is the name of the only part of an assembled version.
const assembledPart = "document"

// AcceptDocument judges a version that came as one document instead of a manifest
// and its parts. The document must not be changed afterwards. The error is a
// *Faults.
func AcceptDocument(version uint64, doc Document) (*Snapshot, error) {
	m := &Manifest{Version: version, Parts: []PartRef{{Name: assembledPart}}}
	d := &draft{faults: &Faults{Manifest: m}, whole: true, snapshot: &Snapshot{Version: version}}
	if version == 0 {
		d.faults.add(ManifestPart, "Version", "must be at least 1")
	}
	d.parts = []draftPart{{name: assembledPart, doc: doc}}
	return d.judge(m)
}

// judge merges the decoded parts and checks the whole.
func (d *draft) judge(m *Manifest) (*Snapshot, error) {
	d.collect()
	if d.whole {
		d.checkReferences()
		d.checkExceptions()
	}
	if len(d.faults.List) == 0 {
		d.snapshot.index()
		d.checkSlots()
	}
	d.faults.sort(m)
	if err := d.faults.err(); err != nil {
		return nil, err
	}
	return d.snapshot, nil
}

// decode reads the parts in the order of the manifest.
func (d *draft) decode(m *Manifest, manifest []byte, parts map[string][]byte) {
	total := len(manifest)
	for _, b := range parts {
		total += len(b)
	}
	if total > MaxTotalBytes {
		d.faults.add(ManifestPart, "", "%d bytes over all parts exceed the limit of %d", total, MaxTotalBytes)
		d.whole = false
		return
	}
	listed := map[string]bool{}
	for i, ref := range m.Parts {
		listed[ref.Digest] = true
		b, ok := parts[ref.Digest]
		if !ok {
			d.faults.add(ManifestPart, entry("Parts", ref.Name, i), "the part with digest %s is missing", ref.Digest)
			d.whole = false
			continue
		}
		if sum := DigestOf(b); sum != ref.Digest {
			d.faults.add(ref.Name, "", "the digest is %s, the manifest says %s", sum, ref.Digest)
			d.whole = false
			continue
		}
		p := draftPart{name: ref.Name}
		if !decode(d.faults, ref.Name, b, &p.doc) {
			d.whole = false
			continue
		}
		d.parts = append(d.parts, p)
	}
	for _, digest := range slices.Sorted(maps.Keys(parts)) {
		if !listed[digest] {
			d.faults.add(digest, "", "the manifest does not list this part")
		}
	}
}

// collect merges the parts into the snapshot and checks each entry by itself.
func (d *draft) collect() {
	s := d.snapshot
	s.Zones, s.Services = map[string]*AvailabilityZone{}, map[string]*Service{}
	s.Hosts, s.Accounts = map[string]*Host{}, map[string]*ClientAccount{}
	s.routes = map[string]*Route{}
	for i := range d.parts {
		p := &d.parts[i]
		d.collectDefaults(p)
		d.collectZones(p)
		d.collectServices(p)
		d.collectHosts(p)
		d.collectRoutes(p)
		d.collectAccounts(p)
		d.collectLimits(p)
		s.Exceptions = append(s.Exceptions, p.doc.Exceptions...)
	}
	if d.whole && d.defaultsIn == "" {
		d.faults.add(ManifestPart, "Defaults", "no part has the defaults")
	}
}

func (d *draft) collectDefaults(p *draftPart) {
	v := p.doc.Defaults
	if v == nil {
		return
	}
	if d.defaultsIn != "" {
		d.faults.add(p.name, "Defaults", "part %s has the defaults already", d.defaultsIn)
		return
	}
	d.defaultsIn = p.name
	d.snapshot.Defaults = *v
	for _, s := range settings {
		if _, ok := s.get(v); !ok {
			d.faults.add(p.name, "Defaults."+s.name, "every default must be set")
		}
	}
	checkValues(d.faults, p.name, "Defaults", v)
	if v.Slots != nil && v.ColdSlots != nil && *v.ColdSlots > *v.Slots {
		d.faults.add(p.name, "Defaults.ColdSlots", "%d exceeds Slots, %d", *v.ColdSlots, *v.Slots)
	}
}

func (d *draft) collectZones(p *draftPart) {
	for i := range p.doc.Zones {
		z := &p.doc.Zones[i]
		key := entry("Zones", z.Name, i)
		checkTitle(d.faults, p.name, key+".Name", z.Name)
		checkTitle(d.faults, p.name, key+".Region", z.Region)
		addNamed(d.faults, p.name, key, d.snapshot.Zones, z.Name, z)
	}
}

func (d *draft) collectServices(p *draftPart) {
	for i := range p.doc.Services {
		s := &p.doc.Services[i]
		key := entry("Services", s.Name, i)
		checkIdentifier(d.faults, p.name, key+".Name", s.Name)
		checkService(d.faults, p.name, key, s)
		addNamed(d.faults, p.name, key, d.snapshot.Services, s.Name, s)
	}
}

func (d *draft) collectHosts(p *draftPart) {
	for i := range p.doc.Hosts {
		h := &p.doc.Hosts[i]
		key := entry("Hosts", h.ID, i)
		checkHostID(d.faults, p.name, key+".ID", h.ID)
		addNamed(d.faults, p.name, key, d.snapshot.Hosts, h.ID, h)
	}
}

func (d *draft) collectRoutes(p *draftPart) {
	for i := range p.doc.Routes {
		r := &p.doc.Routes[i]
		key := entry("Routes", r.Prefix, i)
		checkPrefix(d.faults, p.name, key+".Prefix", r)
		checkRoute(d.faults, p.name, key, r)
		addNamed(d.faults, p.name, key, d.snapshot.routes, r.key(), r)
	}
}

func (d *draft) collectAccounts(p *draftPart) {
	for i := range p.doc.Accounts {
		a := &p.doc.Accounts[i]
		key := entry("Accounts", a.Name, i)
		checkIdentifier(d.faults, p.name, key+".Name", a.Name)
		for _, k := range a.Keys {
			if !isDigest(k) {
				d.faults.add(p.name, key+".Keys", "%q is not a digest of 64 lower-case hexadecimal digits", k)
			}
		}
		addNamed(d.faults, p.name, key, d.snapshot.Accounts, a.Name, a)
	}
}

func (d *draft) collectLimits(p *draftPart) {
	l := p.doc.CallerLimits
	if l == nil {
		return
	}
	if d.limitsIn != "" {
		d.faults.add(p.name, "CallerLimits", "part %s has them already", d.limitsIn)
		return
	}
	d.limitsIn = p.name
	d.snapshot.CallerLimits = *l
	for _, v := range []struct {
		name  string
		value int
	}{{"HeaderBytes", l.HeaderBytes}, {"BodyBytes", l.BodyBytes}, {"HeaderMs", l.HeaderMs}, {"IdleMs", l.IdleMs}} {
		if v.value < 0 {
			d.faults.add(p.name, "CallerLimits."+v.name, "must not be negative")
		}
	}
}

func addNamed[T any](f *Faults, part, key string, to map[string]*T, name string, v *T) {
	if to[name] != nil {
		f.add(part, key, "the name occurs twice")
		return
	}
	to[name] = v
}

// index builds what lookups need from a faultless configuration.
func (s *Snapshot) index() {
	s.base.apply(&s.Defaults)
	s.layers = layersOf(s.Exceptions)
	for _, r := range s.routes {
		s.Routes = append(s.Routes, *r)
	}
	slices.SortFunc(s.Routes, func(a, b Route) int {
		return cmp.Or(len(b.Prefix)-len(a.Prefix), cmp.Compare(a.Prefix, b.Prefix), cmp.Compare(a.VirtualHost, b.VirtualHost))
	})
	for i := range s.Routes {
		r := &s.Routes[i]
		s.routes[r.key()] = r
		if r.VirtualHost != "" {
			s.indexVirtual(r)
			continue
		}
		s.longestPrefix = max(s.longestPrefix, len(r.Prefix))
	}
	s.keys = make(map[uint64][]keyOwner)
	for _, a := range s.Accounts {
		for _, k := range a.Keys {
			s.indexKey(a, k)
		}
	}
}

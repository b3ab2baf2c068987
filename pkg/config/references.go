package config

import "strings"

// exceptionLimit bounds the check of exceptions in pairs. Operators keep a
// short list.
const exceptionLimit = 1000

// checkReferences refuses references that do not resolve and keys that are
// listed twice.
func (d *draft) checkReferences() {
	owners := map[string]string{}
	for i := range d.parts {
		p := &d.parts[i]
		for _, h := range p.doc.Hosts {
			d.checkService(p.name, entry("Hosts", h.ID), h.Service)
			d.checkZone(p.name, entry("Hosts", h.ID), h.Zone)
		}
		for _, r := range p.doc.Routes {
			d.checkService(p.name, entry("Routes", r.Prefix), r.Service)
		}
		for _, a := range p.doc.Accounts {
			for _, k := range a.Keys {
				if owner, ok := owners[k]; ok {
					d.faults.add(p.name, entry("Accounts", a.Name)+".Keys", "account %q has the key %s already", owner, k)
				}
				owners[k] = a.Name
			}
		}
	}
}

func (d *draft) checkService(part, key, name string) {
	if d.snapshot.Services[name] == nil {
		d.faults.add(part, key+".Service", "there is no service %q", name)
	}
}

func (d *draft) checkZone(part, key, name string) {
	if d.snapshot.Zones[name] == nil {
		d.faults.add(part, key+".Zone", "there is no zone %q", name)
	}
}

// checkExceptions checks each exception by itself and live ones in pairs.
func (d *draft) checkExceptions() {
	names := map[string]bool{}
	var live []*Exception
	var partOf []string
	count := 0
	for i := range d.parts {
		p := &d.parts[i]
		for j := range p.doc.Exceptions {
			e := &p.doc.Exceptions[j]
			count++
			if names[e.Name] {
				d.faults.add(p.name, entry("Exceptions", e.Name), "the name occurs twice")
			}
			names[e.Name] = true
			d.checkException(p.name, e)
			if !e.Retired {
				live, partOf = append(live, e), append(partOf, p.name)
			}
		}
	}
	if count > exceptionLimit {
		d.faults.add(ManifestPart, "Exceptions", "%d exceptions exceed the limit of %d", count, exceptionLimit)
		return
	}
	for j := range live {
		for i := range j {
			d.checkPair(partOf[j], live[i], live[j])
		}
	}
}

func (d *draft) checkException(part string, e *Exception) {
	key := entry("Exceptions", e.Name)
	checkIdentifier(d.faults, part, key+".Name", e.Name)
	if strings.TrimSpace(e.Reason) == "" {
		d.faults.add(part, key+".Reason", "every exception needs a reason")
	}
	if e.Service != "" {
		d.checkService(part, key, e.Service)
	}
	if e.Zone != "" {
		d.checkZone(part, key, e.Zone)
	}
	if e.Account != "" && d.snapshot.Accounts[e.Account] == nil {
		d.faults.add(part, key+".Account", "there is no account %q", e.Account)
	}
	if e.rank() == 0 {
		d.faults.add(part, key, "no selector is set; change the defaults instead")
	}
	checkValues(d.faults, part, key+".Values", &e.Values)
	sets := false
	for _, s := range settings {
		if _, ok := s.get(&e.Values); !ok {
			continue
		}
		sets = true
		if s.scope == hostScope && e.Account != "" {
			d.faults.add(part, key+".Values."+s.name, "belongs to a host and cannot depend on the account")
		}
		if s.scope == accountScope && (e.Service != "" || e.Zone != "") {
			d.faults.add(part, key+".Values."+s.name, "counts over the whole fleet and cannot depend on service or zone")
		}
	}
	if !sets {
		d.faults.add(part, key+".Values", "no value is set")
	}
}

// checkPair refuses two exceptions that would decide the same value for the
// same call with equal right.
func (d *draft) checkPair(part string, a, b *Exception) {
	if a.rank() != b.rank() || !a.overlaps(b) {
		return
	}
	for _, s := range settings {
		_, first := s.get(&a.Values)
		_, second := s.get(&b.Values)
		if first && second {
			d.faults.add(part, entry("Exceptions", b.Name)+".Values."+s.name,
				"ambiguous: exception %q has as many selectors, overlaps and sets it too", a.Name)
		}
	}
}

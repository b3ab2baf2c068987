package config

import (
	"maps"
	"slices"
	"strings"
)

// exceptionLimit bounds the check of exceptions in pairs. Operators keep a
// short list.
const exceptionLimit = 1000

// A liveException is an exception in force and where it was published.
type liveException struct {
	part, key string
	*Exception
}

// checkReferences refuses references that do not resolve and keys that are
// listed twice.
func (d *draft) checkReferences() {
	owners := map[string]string{}
	for n := range d.parts {
		p := &d.parts[n]
		for i, h := range p.doc.Hosts {
			d.checkService(p.name, entry("Hosts", h.ID, i), h.Service)
			d.checkZone(p.name, entry("Hosts", h.ID, i), h.Zone)
		}
		for i, r := range p.doc.Routes {
			d.checkTargets(p.name, entry("Routes", r.key(), i), &r)
		}
		for i, a := range p.doc.Accounts {
			for _, k := range a.Keys {
				if owner, ok := owners[k]; ok {
					d.faults.add(p.name, entry("Accounts", a.Name, i)+".Keys", "account %q has the key %s already", owner, k)
				}
				owners[k] = a.Name
			}
		}
	}
}

func (d *draft) checkTargets(part, key string, r *Route) {
	if len(r.Splits) == 0 {
		d.checkService(part, key, r.Service)
	}
	for _, t := range r.Splits {
		d.checkService(part, key, t.Service)
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
	count := 0
	for i := range d.parts {
		p := &d.parts[i]
		for j := range p.doc.Exceptions {
			e := &p.doc.Exceptions[j]
			count++
			if names[e.Name] {
				d.faults.add(p.name, entry("Exceptions", e.Name, j), "the name occurs twice")
			}
			names[e.Name] = true
			key := entry("Exceptions", e.Name, j)
			d.checkException(p.name, key, e)
			if !e.Retired {
				d.live = append(d.live, liveException{p.name, key, e})
			}
		}
	}
	if count > exceptionLimit {
		d.faults.add(ManifestPart, "Exceptions", "%d exceptions exceed the limit of %d", count, exceptionLimit)
		return
	}
	for j := range d.live {
		for i := range j {
			d.checkPair(d.live[i], d.live[j])
		}
	}
}

func (d *draft) checkException(part, key string, e *Exception) {
	checkIdentifier(d.faults, part, key+".Name", e.Name)
	if strings.TrimSpace(e.Reason) == "" {
		d.faults.add(part, key+".Reason", "every exception needs a reason")
	}
	if !e.Retired {
		d.checkSelectors(part, key, e)
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

// checkSelectors refuses names that do not resolve. Retired exceptions are
// spared: their record must not keep a service or account from being removed.
func (d *draft) checkSelectors(part, key string, e *Exception) {
	if e.Service != "" {
		d.checkService(part, key, e.Service)
	}
	if e.Zone != "" {
		d.checkZone(part, key, e.Zone)
	}
	if e.Account != "" && d.snapshot.Accounts[e.Account] == nil {
		d.faults.add(part, key+".Account", "there is no account %q", e.Account)
	}
}

// checkPair refuses two exceptions that would decide the same value for the
// same call with equal right.
func (d *draft) checkPair(a, b liveException) {
	if a.rank() != b.rank() || !a.overlaps(b.Exception) {
		return
	}
	for _, s := range settings {
		_, first := s.get(&a.Values)
		_, second := s.get(&b.Values)
		if first && second {
			d.faults.add(b.part, b.key+".Values."+s.name,
				"ambiguous: exception %q has as many selectors, overlaps and sets it too", a.Name)
		}
	}
}

// checkSlots refuses exceptions that together leave some host with more
// ColdSlots than Slots. It needs the indexed snapshot.
func (d *draft) checkSlots() {
	services, zones := map[string]bool{"": true}, map[string]bool{"": true}
	for i := range d.live {
		if e := &d.live[i]; e.Values.Slots != nil || e.Values.ColdSlots != nil {
			services[e.Service], zones[e.Zone] = true, true
		}
	}
	told := map[string]bool{}
	for _, service := range slices.Sorted(maps.Keys(services)) {
		for _, zone := range slices.Sorted(maps.Keys(zones)) {
			e := d.snapshot.EffectiveValues(service, zone, "")
			if e.ColdSlots <= e.Slots {
				continue
			}
			at := selector{service: service, zone: zone}
			for _, g := range settings[:2] {
				if o := d.snapshot.origin(&g, at); o.Exception != "" && !told[o.Exception] {
					told[o.Exception] = true
					d.addSlots(o, e, at)
				}
			}
		}
	}
}

func (d *draft) addSlots(o Origin, e EffectiveValues, at selector) {
	i := slices.IndexFunc(d.live, func(l liveException) bool { return l.Name == o.Exception })
	d.faults.add(d.live[i].part, d.live[i].key+".Values."+o.Name,
		"service %q in zone %q gets ColdSlots %d, more than Slots %d", at.service, at.zone, e.ColdSlots, e.Slots)
}

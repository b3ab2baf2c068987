package config

import (
	"maps"
	"slices"
	"strings"
)

// maxExceptions is the largest number of exceptions in a manifest. Operators are
// expected to keep a short list.
const maxExceptions = 1000

// A liveException is an exception that is not retired, with the part and the
// key under which it was published.
type liveException struct {
	part, key string
	*Exception
}

// checkReferences adds a fault for each service or zone of a host or route that
// does not exist, and for each account key that is listed twice.
func (c *candidate) checkReferences() {
	owners := map[string]string{}
	for n := range c.parts {
		p := &c.parts[n]
		for i, h := range p.doc.Hosts {
			c.checkServiceRef(p.name, entryKey("Hosts", h.ID, i), h.Service)
			c.checkZoneRef(p.name, entryKey("Hosts", h.ID, i), h.Zone)
		}
		for i, r := range p.doc.Routes {
			c.checkRouteServiceRefs(p.name, entryKey("Routes", r.Key(), i), &r)
		}
		for i, a := range p.doc.Accounts {
			for _, k := range a.Keys {
				if owner, ok := owners[k]; ok {
					c.faults.add(p.name, entryKey("Accounts", a.Name, i)+".Keys", "account %q has the key %s already", owner, k)
				}
				owners[k] = a.Name
			}
		}
	}
}

func (c *candidate) checkRouteServiceRefs(part, key string, r *Route) {
	if len(r.Splits) == 0 {
		c.checkServiceRef(part, key, r.Service)
	}
	for _, t := range r.Splits {
		c.checkServiceRef(part, key, t.Service)
	}
}

func (c *candidate) checkServiceRef(part, key, name string) {
	if c.snapshot.Services[name] == nil {
		c.faults.add(part, key+".Service", "there is no service %q", name)
	}
}

func (c *candidate) checkZoneRef(part, key, name string) {
	if c.snapshot.Zones[name] == nil {
		c.faults.add(part, key+".Zone", "there is no zone %q", name)
	}
}

// checkExceptions checks each exception on its own and the live ones in pairs.
func (c *candidate) checkExceptions() {
	names := map[string]bool{}
	count := 0
	for i := range c.parts {
		p := &c.parts[i]
		for j := range p.doc.Exceptions {
			e := &p.doc.Exceptions[j]
			count++
			if names[e.Name] {
				c.faults.add(p.name, entryKey("Exceptions", e.Name, j), "the name occurs twice")
			}
			names[e.Name] = true
			key := entryKey("Exceptions", e.Name, j)
			c.checkException(p.name, key, e)
			if !e.Retired {
				c.liveExceptions = append(c.liveExceptions, liveException{p.name, key, e})
			}
		}
	}
	if count > maxExceptions && !c.foreign {
		c.faults.add(ManifestPart, "Exceptions", "%d exceptions exceed the limit of %d", count, maxExceptions)
		return
	}
	c.checkAmbiguities()
}

// checkAmbiguities checks the live exceptions in pairs. Of two that select only an
// account, a pair is checked only if it is the same account: there may be one for each
// account of the fleet.
func (c *candidate) checkAmbiguities() {
	byAccount := map[string][]liveException{}
	var others []liveException
	for j, e := range c.liveExceptions {
		earlier := c.liveExceptions[:j]
		accountOnly := e.selector() == selector{account: e.Account}
		if accountOnly {
			earlier = slices.Concat(byAccount[e.Account], others)
			byAccount[e.Account] = append(byAccount[e.Account], e)
		} else {
			others = append(others, e)
		}
		for _, o := range earlier {
			c.checkAmbiguity(o, e)
		}
	}
}

func (c *candidate) checkException(part, key string, e *Exception) {
	c.checkName(part, key+".Name", e.Name)
	if strings.TrimSpace(e.Reason) == "" {
		c.faults.add(part, key+".Reason", "every exception needs a reason")
	}
	if !e.Retired {
		c.checkSelectorRefs(part, key, e)
	}
	if e.specificity() == 0 {
		c.faults.add(part, key, "no selector is set; change the defaults instead")
	}
	checkValues(c.faults, part, key+".Values", &e.Values)
	setsValue := false
	for _, field := range valueFields {
		if _, ok := field.get(&e.Values); !ok {
			continue
		}
		setsValue = true
		if field.scope == hostScope && e.Account != "" {
			c.faults.add(part, key+".Values."+field.name, "belongs to a host and cannot depend on the account")
		}
		if field.scope == accountScope && (e.Service != "" || e.Zone != "") {
			c.faults.add(part, key+".Values."+field.name, "counts over the whole fleet and cannot depend on service or zone")
		}
	}
	if !setsValue {
		c.faults.add(part, key+".Values", "no value is set")
	}
}

// checkSelectorRefs adds a fault for each selector whose service, zone or
// account does not exist. Retired exceptions are not checked, so that their
// record does not prevent the removal of a service, zone or account.
func (c *candidate) checkSelectorRefs(part, key string, e *Exception) {
	if e.Service != "" {
		c.checkServiceRef(part, key, e.Service)
	}
	if e.Zone != "" {
		c.checkZoneRef(part, key, e.Zone)
	}
	if e.Account != "" && c.snapshot.Accounts[e.Account] == nil {
		c.faults.add(part, key+".Account", "there is no account %q", e.Account)
	}
}

// checkAmbiguity adds a fault for each value that both exceptions set, if some
// call matches both and neither has more selectors than the other.
func (c *candidate) checkAmbiguity(a, b liveException) {
	if a.specificity() != b.specificity() || !a.overlaps(b.Exception) {
		return
	}
	for _, field := range valueFields {
		_, inA := field.get(&a.Values)
		_, inB := field.get(&b.Values)
		if inA && inB {
			c.faults.add(b.part, b.key+".Values."+field.name,
				"ambiguous: exception %q has as many selectors, overlaps and sets it too", a.Name)
		}
	}
}

// checkSlots adds a fault for each exception by which a host gets more
// ColdSlots than Slots. The values may come from two exceptions, so they are
// resolved for every combination of service and zone that an exception selects.
// The snapshot must be indexed.
func (c *candidate) checkSlots() {
	services, zones := map[string]bool{"": true}, map[string]bool{"": true}
	for i := range c.liveExceptions {
		if e := &c.liveExceptions[i]; e.Values.Slots != nil || e.Values.ColdSlots != nil {
			services[e.Service], zones[e.Zone] = true, true
		}
	}
	reported := map[string]bool{}
	for _, service := range slices.Sorted(maps.Keys(services)) {
		for _, zone := range slices.Sorted(maps.Keys(zones)) {
			e := c.snapshot.EffectiveValues(service, zone, "")
			if e.ColdSlots <= e.Slots {
				continue
			}
			selected := selector{service: service, zone: zone}
			// The first two fields are Slots and ColdSlots.
			for _, field := range valueFields[:2] {
				if o := c.snapshot.origin(&field, selected); o.Exception != "" && !reported[o.Exception] {
					reported[o.Exception] = true
					c.addSlotsFault(o, e, selected)
				}
			}
		}
	}
}

func (c *candidate) addSlotsFault(origin Origin, e EffectiveValues, selected selector) {
	i := slices.IndexFunc(c.liveExceptions, func(l liveException) bool { return l.Name == origin.Exception })
	c.faults.add(c.liveExceptions[i].part, c.liveExceptions[i].key+".Values."+origin.Name,
		"service %q in zone %q gets ColdSlots %d, more than Slots %d", selected.service, selected.zone, e.ColdSlots, e.Slots)
}

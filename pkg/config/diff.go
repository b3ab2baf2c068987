package config

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// The subject kinds of a Change, in the order in which Diff lists them.
const (
	SubjectFleet     = "fleet"
	SubjectZone      = "zone"
	SubjectException = "exception"
	SubjectService   = "service"
	SubjectAccount   = "account"
)

// A Change is one difference between two configurations.
type Change struct {
	// SubjectKind and SubjectName say what the change belongs to. SubjectName is
	// empty for SubjectFleet.
	SubjectKind string
	SubjectName string
	// Property is what changed, as in "Slots in zone Surco" or "host desk-3".
	Property string
	// Before and After are the property's values as text, empty where it does
	// not exist.
	Before string
	After  string
}

// shortDigestChars is the number of hexadecimal digits by which operators tell
// keys apart.
const shortDigestChars = 12

// A comparison collects the changes from a to b.
type comparison struct {
	a, b    *Snapshot
	changes []Change
}

// Diff lists the changes from a to b: first the fleet's defaults and caller
// limits, then zones and exceptions, then the hosts, routes and effective values
// of each service, and last the keys and effective values of each account. A nil
// snapshot is an empty configuration.
func Diff(a, b *Snapshot) []Change {
	c := &comparison{a: orEmpty(a), b: orEmpty(b)}
	for _, field := range valueFields {
		c.add(SubjectFleet, "", field.name, valueText(&field, &c.a.Defaults), valueText(&field, &c.b.Defaults))
	}
	c.compareCallerLimits()
	for _, name := range unionOfNames(c.a.Zones, c.b.Zones) {
		c.add(SubjectZone, name, "zone", zoneText(c.a.Zones[name]), zoneText(c.b.Zones[name]))
	}
	c.compareExceptions()
	for _, name := range unionOfNames(c.a.Services, c.b.Services) {
		c.compareService(name)
	}
	for _, name := range unionOfNames(c.a.Accounts, c.b.Accounts) {
		c.compareAccount(name)
	}
	return c.changes
}

func orEmpty(s *Snapshot) *Snapshot {
	if s == nil {
		return &Snapshot{}
	}
	return s
}

func (c *comparison) add(subjectKind, subjectName, property, before, after string) {
	if before != after {
		c.changes = append(c.changes, Change{subjectKind, subjectName, property, before, after})
	}
}

func (c *comparison) compareExceptions() {
	a, b := exceptionsByName(c.a), exceptionsByName(c.b)
	for _, name := range unionOfNames(a, b) {
		before, after := a[name], b[name]
		c.add(SubjectException, name, "state", stateText(before), stateText(after))
		c.add(SubjectException, name, "selects", selectorText(before), selectorText(after))
		c.add(SubjectException, name, "reason", reasonText(before), reasonText(after))
		for _, field := range valueFields {
			c.add(SubjectException, name, field.name, valueText(&field, valuesOf(before)), valueText(&field, valuesOf(after)))
		}
	}
}

func (c *comparison) compareService(serviceName string) {
	before, after := c.a.Services[serviceName], c.b.Services[serviceName]
	c.add(SubjectService, serviceName, "service", presenceText(before != nil), presenceText(after != nil))
	c.add(SubjectService, serviceName, "servers", serviceText(before), serviceText(after))
	for _, id := range unionOfNames(c.a.Hosts, c.b.Hosts) {
		c.add(SubjectService, serviceName, "host "+id, hostText(c.a.Hosts[id], serviceName), hostText(c.b.Hosts[id], serviceName))
	}
	for _, routeKey := range unionOfNames(c.a.routesByKey, c.b.routesByKey) {
		c.add(SubjectService, serviceName, "route "+routeKey, routeText(c.a.routesByKey[routeKey], serviceName), routeText(c.b.routesByKey[routeKey], serviceName))
	}
	if before == nil || after == nil {
		return
	}
	c.compareValues(SubjectService, serviceName, selector{service: serviceName}, accountScope, func(e *Exception) (selector, bool) {
		return selector{serviceName, e.Zone, e.Account}, e.Service == serviceName || (e.Service == "" && e.Account == "")
	})
}

func (c *comparison) compareAccount(name string) {
	before, after := c.a.Accounts[name], c.b.Accounts[name]
	c.add(SubjectAccount, name, "account", presenceText(before != nil), presenceText(after != nil))
	c.add(SubjectAccount, name, "priority", priorityText(before), priorityText(after))
	c.compareKeys(name, before, after)
	if before == nil || after == nil {
		return
	}
	c.compareValues(SubjectAccount, name, selector{account: name}, hostScope, func(e *Exception) (selector, bool) {
		return selector{"", e.Zone, name}, e.Service == "" && e.Account == name
	})
}

func (c *comparison) compareKeys(name string, before, after *ClientAccount) {
	var a, b []string
	if before != nil {
		a = before.Keys
	}
	if after != nil {
		b = after.Keys
	}
	for _, k := range slices.Sorted(slices.Values(slices.Concat(a, b))) {
		if had, has := slices.Contains(a, k), slices.Contains(b, k); had != has {
			c.add(SubjectAccount, name, "key "+k[:shortDigestChars], keyState(had), keyState(has))
		}
	}
}

// compareValues compares the effective values of the subject, and those of every
// narrower selector that narrow returns for an exception of either snapshot. A
// narrower selector is listed only where its values differ from the subject's.
// Values of the scope skip do not depend on the subject and are left out.
func (c *comparison) compareValues(kind, name string, subject selector, skip scope, narrow func(e *Exception) (selector, bool)) {
	selectors := map[selector]bool{}
	for _, s := range []*Snapshot{c.a, c.b} {
		for i := range s.Exceptions {
			if p, ok := narrow(&s.Exceptions[i]); ok && p != subject {
				selectors[p] = true
			}
		}
	}
	narrower := slices.SortedFunc(maps.Keys(selectors), selector.compare)
	for i := range valueFields {
		field := &valueFields[i]
		if field.scope == skip {
			continue
		}
		subjectBefore, subjectAfter := formatNumber(c.a.origin(field, subject).Value), formatNumber(c.b.origin(field, subject).Value)
		c.add(kind, name, field.name, subjectBefore, subjectAfter)
		for _, p := range narrower {
			before, after := formatNumber(c.a.origin(field, p).Value), formatNumber(c.b.origin(field, p).Value)
			if before != subjectBefore || after != subjectAfter {
				c.add(kind, name, field.name+p.textBeyond(subject), before, after)
			}
		}
	}
}

func unionOfNames[T any](a, b map[string]T) []string {
	all := maps.Clone(a)
	if all == nil {
		all = map[string]T{}
	}
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}

func exceptionsByName(s *Snapshot) map[string]*Exception {
	m := map[string]*Exception{}
	for i := range s.Exceptions {
		m[s.Exceptions[i].Name] = &s.Exceptions[i]
	}
	return m
}

func valueText(field *valueField, v *Values) string {
	x, ok := field.get(v)
	if !ok {
		return ""
	}
	return formatNumber(x)
}

func zoneText(z *AvailabilityZone) string {
	if z == nil {
		return ""
	}
	return fmt.Sprintf("region %s, %s", z.Region, serviceState(z.Out))
}

// hostText describes a host of the service, empty for a host of another one.
func hostText(h *Host, serviceName string) string {
	if h == nil || h.Service != serviceName {
		return ""
	}
	return fmt.Sprintf("zone %s, %s", h.Zone, serviceState(h.Out))
}

// routeText describes a route with its weight for the service, empty for a route
// that does not use the service.
func routeText(r *Route, name string) string {
	if r == nil || r.weightText(name) == "" {
		return ""
	}
	t := "needs a key"
	if r.Open {
		t = "open"
	}
	if r.Idempotent {
		t += ", idempotent"
	}
	if r.LargeBodies {
		t += ", large bodies"
	}
	if r.Kind != "" {
		t += ", " + string(r.Kind)
	}
	if s := r.weightText(name); s != allRequests {
		t += ", weight " + s
	}
	for _, n := range []struct {
		name  string
		value int
	}{{"timeout", r.TimeoutMs}, {"objective", r.ObjectiveMs}} {
		if n.value != 0 {
			t += fmt.Sprintf(", %s %d ms", n.name, n.value)
		}
	}
	if r.Priority != 0 {
		t += fmt.Sprintf(", priority %d", r.Priority)
	}
	if r.Attempts != 0 {
		t += fmt.Sprintf(", %d attempts", r.Attempts)
	}
	return t
}

func (c *comparison) compareCallerLimits() {
	a, b := c.a.CallerLimits, c.b.CallerLimits
	for _, l := range []struct {
		name          string
		before, after int
	}{
		{"HeaderBytes", a.HeaderBytes, b.HeaderBytes},
		{"BodyBytes", a.BodyBytes, b.BodyBytes},
		{"HeaderMs", a.HeaderMs, b.HeaderMs},
		{"IdleMs", a.IdleMs, b.IdleMs},
	} {
		c.add(SubjectFleet, "", "caller limit "+l.name, limitText(l.before), limitText(l.after))
	}
}

func limitText(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

func serviceText(s *Service) string {
	if s == nil || *s == (Service{Name: s.Name}) {
		return ""
	}
	return fmt.Sprintf("health %s, %d connections, cold for %d ms at %s a second",
		s.HealthPath, s.MaxConnections, s.ColdMs, formatNumber(s.ColdPerSecond))
}

func priorityText(a *ClientAccount) string {
	if a == nil || a.Priority == nil {
		return ""
	}
	return strconv.Itoa(*a.Priority)
}

func serviceState(out bool) string {
	if out {
		return "out of service"
	}
	return "in service"
}

func presenceText(present bool) string {
	if present {
		return "present"
	}
	return ""
}

func keyState(present bool) string {
	if present {
		return "granted"
	}
	return ""
}

func stateText(e *Exception) string {
	switch {
	case e == nil:
		return ""
	case e.Retired:
		return "retired"
	}
	return "live"
}

func selectorText(e *Exception) string {
	if e == nil {
		return ""
	}
	return e.selector().String()
}

func reasonText(e *Exception) string {
	if e == nil {
		return ""
	}
	return e.Reason
}

func valuesOf(e *Exception) *Values {
	if e == nil {
		return &Values{}
	}
	return &e.Values
}

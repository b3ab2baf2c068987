package config

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// Kinds of subject that a Change belongs to, in the order of Diff.
const (
	SubjectFleet     = "fleet"
	SubjectZone      = "zone"
	SubjectException = "exception"
	SubjectService   = "service"
	SubjectAccount   = "account"
)

// A Change is one difference between two configurations.
type Change struct {
	// Kind and Name are the subject. The fleet has no name.
	SubjectKind string
	SubjectName string
	// What changed, as in "Slots in zone Surco" or "host desk-3".
	Property string
	// Before and After are empty where the thing is absent.
	Before string
	After  string
}

// shortDigest is the number of digits that identify a key to an operator.
const shortDigest = 12

// A comparison collects the changes from a to b.
type comparison struct {
	a, b    *Snapshot
	changes []Change
}

// Diff lists the changes from a to b: first the fleet's defaults, then zones
// and exceptions, then the hosts, routes and effective values of each service
// and the keys and effective values of each account. A nil snapshot stands
// for no configuration.
func Diff(a, b *Snapshot) []Change {
	c := &comparison{a: orEmpty(a), b: orEmpty(b)}
	for _, s := range settings {
		c.add(SubjectFleet, "", s.name, text(&s, &c.a.Defaults), text(&s, &c.b.Defaults))
	}
	c.compareLimits()
	for _, name := range namesIn(c.a.Zones, c.b.Zones) {
		c.add(SubjectZone, name, "zone", zoneText(c.a.Zones[name]), zoneText(c.b.Zones[name]))
	}
	c.compareExceptions()
	for _, name := range namesIn(c.a.Services, c.b.Services) {
		c.compareService(name)
	}
	for _, name := range namesIn(c.a.Accounts, c.b.Accounts) {
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

func (c *comparison) add(kind, name, what, before, after string) {
	if before != after {
		c.changes = append(c.changes, Change{kind, name, what, before, after})
	}
}

func (c *comparison) compareExceptions() {
	a, b := exceptionsByName(c.a), exceptionsByName(c.b)
	for _, name := range namesIn(a, b) {
		before, after := a[name], b[name]
		c.add(SubjectException, name, "state", stateText(before), stateText(after))
		c.add(SubjectException, name, "selects", selectorText(before), selectorText(after))
		c.add(SubjectException, name, "reason", reasonText(before), reasonText(after))
		for _, s := range settings {
			c.add(SubjectException, name, s.name, text(&s, valuesOf(before)), text(&s, valuesOf(after)))
		}
	}
}

func (c *comparison) compareService(name string) {
	before, after := c.a.Services[name], c.b.Services[name]
	c.add(SubjectService, name, "service", presence(before != nil), presence(after != nil))
	c.add(SubjectService, name, "servers", serviceText(before), serviceText(after))
	for _, id := range namesIn(c.a.Hosts, c.b.Hosts) {
		c.add(SubjectService, name, "host "+id, hostText(c.a.Hosts[id], name), hostText(c.b.Hosts[id], name))
	}
	for _, prefix := range namesIn(c.a.routes, c.b.routes) {
		c.add(SubjectService, name, "route "+prefix, routeText(c.a.routes[prefix], name), routeText(c.b.routes[prefix], name))
	}
	if before == nil || after == nil {
		return
	}
	c.compareValues(SubjectService, name, selector{service: name}, accountScope, func(e *Exception) (selector, bool) {
		return selector{name, e.Zone, e.Account}, e.Service == name || (e.Service == "" && e.Account == "")
	})
}

func (c *comparison) compareAccount(name string) {
	before, after := c.a.Accounts[name], c.b.Accounts[name]
	c.add(SubjectAccount, name, "account", presence(before != nil), presence(after != nil))
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
		if x, y := slices.Contains(a, k), slices.Contains(b, k); x != y {
			c.add(SubjectAccount, name, "key "+k[:shortDigest], granted(x), granted(y))
		}
	}
}

// compareValues compares effective values at base, and then at every narrower
// selector that an exception of either side gives through at. A narrower
// value is listed only where it changes otherwise than the base.
// Settings of the scope skip are left out: the subject does not decide them.
func (c *comparison) compareValues(kind, name string, base selector, skip scope, at func(e *Exception) (selector, bool)) {
	points := map[selector]bool{}
	for _, s := range []*Snapshot{c.a, c.b} {
		for i := range s.Exceptions {
			if p, ok := at(&s.Exceptions[i]); ok && p != base {
				points[p] = true
			}
		}
	}
	narrower := slices.SortedFunc(maps.Keys(points), selector.compare)
	for i := range settings {
		g := &settings[i]
		if g.scope == skip {
			continue
		}
		x, y := numeral(c.a.origin(g, base).Value), numeral(c.b.origin(g, base).Value)
		c.add(kind, name, g.name, x, y)
		for _, p := range narrower {
			before, after := numeral(c.a.origin(g, p).Value), numeral(c.b.origin(g, p).Value)
			if before != x || after != y {
				c.add(kind, name, g.name+p.beyond(base), before, after)
			}
		}
	}
}

func namesIn[T any](a, b map[string]T) []string {
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

func text(g *setting, v *Values) string {
	x, ok := g.get(v)
	if !ok {
		return ""
	}
	return numeral(x)
}

func zoneText(z *AvailabilityZone) string {
	if z == nil {
		return ""
	}
	return fmt.Sprintf("region %s, %s", z.Region, service(z.Out))
}

// hostText describes a host from the view of one service.
func hostText(h *Host, name string) string {
	if h == nil || h.Service != name {
		return ""
	}
	return fmt.Sprintf("zone %s, %s", h.Zone, service(h.Out))
}

// routeText describes a route from the view of one service.
func routeText(r *Route, name string) string {
	if r == nil || r.share(name) == "" {
		return ""
	}
	t := "needs a key"
	if r.Open {
		t = "open"
	}
	if r.Idempotent {
		t += ", idempotent"
	}
	if r.Kind != "" {
		t += ", " + string(r.Kind)
	}
	if s := r.share(name); s != wholeShare {
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

func (c *comparison) compareLimits() {
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
		s.HealthPath, s.MaxConnections, s.ColdMs, numeral(s.ColdPerSecond))
}

func priorityText(a *ClientAccount) string {
	if a == nil || a.Priority == nil {
		return ""
	}
	return strconv.Itoa(*a.Priority)
}

func service(out bool) string {
	if out {
		return "out of service"
	}
	return "in service"
}

func presence(there bool) string {
	if there {
		return "present"
	}
	return ""
}

func granted(there bool) string {
	if there {
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

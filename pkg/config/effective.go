package config

import (
	"cmp"
	"slices"
	"strings"
)

// A selector is the combination of service, zone and account that an exception
// selects, where an empty field matches all. It also stands for the names of
// one call, where an empty field is a name that no exception selects.
type selector struct {
	service, zone, account string
}

// String names the fields that are set, as in "service desk in zone Surco".
func (s selector) String() string {
	return strings.TrimSpace(s.textBeyond(selector{}))
}

// textBeyond names the fields of s that differ from those of base.
func (s selector) textBeyond(base selector) string {
	t := ""
	if s.service != base.service {
		t += " service " + s.service
	}
	if s.zone != base.zone {
		t += " in zone " + s.zone
	}
	if s.account != base.account {
		t += " for account " + s.account
	}
	return t
}

func (s selector) compare(o selector) int {
	return cmp.Or(cmp.Compare(s.service, o.service), cmp.Compare(s.zone, o.zone), cmp.Compare(s.account, o.account))
}

// specificity is the number of fields that are set.
func (s selector) specificity() int {
	n := 0
	for _, f := range []string{s.service, s.zone, s.account} {
		if f != "" {
			n++
		}
	}
	return n
}

// An exceptionLayer holds the values of all live exceptions that set the same
// selector fields, by the names that they select.
type exceptionLayer struct {
	specificity int
	// service, zone and account say which fields of the selector are set.
	service, zone, account bool
	values                 map[selector]*Values
}

// project clears the fields of s that the layer's exceptions leave empty. The
// result is the key of the layer's values for the call s.
func (l *exceptionLayer) project(s selector) selector {
	if !l.service {
		s.service = ""
	}
	if !l.zone {
		s.zone = ""
	}
	if !l.account {
		s.account = ""
	}
	return s
}

func (e *Exception) selector() selector {
	return selector{e.Service, e.Zone, e.Account}
}

// specificity is the number of selectors that are set. Of two exceptions that
// set the same value for a call, the more specific one applies.
func (e *Exception) specificity() int {
	return e.selector().specificity()
}

// matches reports whether the exception's selectors match the call s.
func (e *Exception) matches(s selector) bool {
	return (e.Service == "" || e.Service == s.service) &&
		(e.Zone == "" || e.Zone == s.zone) &&
		(e.Account == "" || e.Account == s.account)
}

// overlaps reports whether some call matches both exceptions.
func (e *Exception) overlaps(o *Exception) bool {
	compatible := func(a, b string) bool { return a == "" || b == "" || a == b }
	return compatible(e.Service, o.Service) && compatible(e.Zone, o.Zone) && compatible(e.Account, o.Account)
}

// layerExceptions merges the live exceptions into at most eight layers, the
// least specific first. Layers of the same specificity never set the same value
// for one call, because Accept refuses that as ambiguous.
func layerExceptions(exceptions []Exception) []exceptionLayer {
	var layers []exceptionLayer
	for i := range exceptions {
		e := &exceptions[i]
		if e.Retired {
			continue
		}
		index := slices.IndexFunc(layers, func(l exceptionLayer) bool {
			return l.service == (e.Service != "") && l.zone == (e.Zone != "") && l.account == (e.Account != "")
		})
		if index < 0 {
			index = len(layers)
			layers = append(layers, exceptionLayer{e.specificity(), e.Service != "", e.Zone != "", e.Account != "", map[selector]*Values{}})
		}
		v := layers[index].values[e.selector()]
		if v == nil {
			v = &Values{}
			layers[index].values[e.selector()] = v
		}
		v.merge(&e.Values)
	}
	slices.SortStableFunc(layers, func(a, b exceptionLayer) int { return a.specificity - b.specificity })
	return layers
}

// EffectiveValues returns the values that apply to a call: the defaults,
// overridden by every live exception that matches. Of two exceptions that set
// the same value, the one with more selectors applies. An empty name matches
// only exceptions without that selector.
func (s *Snapshot) EffectiveValues(service, zone, account string) EffectiveValues {
	e := s.resolvedDefaults
	call := selector{service, zone, account}
	for i := range s.exceptionLayers {
		if v := s.exceptionLayers[i].values[s.exceptionLayers[i].project(call)]; v != nil {
			e.override(v)
		}
	}
	return e
}

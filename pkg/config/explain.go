package config

// An Origin is one effective value and where it comes from.
type Origin struct {
	// Name is the name of the field of EffectiveValues.
	Name  string
	Value float64
	// Exception is the name of the exception that sets the value, or empty
	// for the fleet's default.
	Exception string
	// Reason is the reason that the exception states.
	Reason string
}

// Explain returns the origin of every value that EffectiveValues returns for
// the same names, in the order of the fields.
func (s *Snapshot) Explain(service, zone, account string) []Origin {
	origins := make([]Origin, 0, len(valueFields))
	call := selector{service, zone, account}
	for i := range valueFields {
		origins = append(origins, s.origin(&valueFields[i], call))
	}
	return origins
}

func (s *Snapshot) origin(field *valueField, call selector) Origin {
	o := Origin{Name: field.name}
	o.Value, _ = field.get(&s.Defaults)
	specificity := 0
	for i := range s.Exceptions {
		e := &s.Exceptions[i]
		x, ok := field.get(&e.Values)
		if ok && !e.Retired && e.matches(call) && e.specificity() > specificity {
			o.Value, o.Exception, o.Reason, specificity = x, e.Name, e.Reason, e.specificity()
		}
	}
	return o
}

package config

// An Origin says where one effective value comes from.
type Origin struct {
	// Name is the field of Effective.
	Name  string
	Value float64
	// Exception is the name of the exception that sets the value, or empty
	// for the fleet's default.
	Exception string
	// Reason is the exception's reason.
	Reason string
}

// Explain returns the origin of every value of Effective for the same names,
// in the order of its fields.
func (s *Snapshot) Explain(service, zone, account string) []Origin {
	origins := make([]Origin, 0, len(settings))
	at := selector{service, zone, account}
	for i := range settings {
		origins = append(origins, s.origin(&settings[i], at))
	}
	return origins
}

func (s *Snapshot) origin(g *setting, at selector) Origin {
	o := Origin{Name: g.name}
	o.Value, _ = g.get(&s.Defaults)
	rank := 0
	for i := range s.Exceptions {
		e := &s.Exceptions[i]
		x, ok := g.get(&e.Values)
		if ok && !e.Retired && e.matches(at) && e.rank() > rank {
			o.Value, o.Exception, o.Reason, rank = x, e.Name, e.Reason, e.rank()
		}
	}
	return o
}

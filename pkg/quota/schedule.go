package quota

import "time"

// A step is the portion that is lent until an instant. Instants are durations
// since the start of the node's clock.
type step struct {
	until   time.Duration
	portion portion
}

// A schedule is a loan as a step function of time that never rises. Each step
// runs from the end of the one before it until its own end. The portion is
// zero after the last step. Both sides of a loan store one.
type schedule []step

// at returns the portion at an instant.
func (s schedule) at(t time.Duration) portion {
	for _, st := range s {
		if t < st.until {
			return st.portion
		}
	}
	return portion{}
}

// end returns the end of the last step, or 0 if there is none.
func (s schedule) end() time.Duration {
	if len(s) == 0 {
		return 0
	}
	return s[len(s)-1].until
}

// withoutEndedSteps returns the steps that end after now.
func (s schedule) withoutEndedSteps(now time.Duration) schedule {
	i := 0
	for i < len(s) && s[i].until <= now {
		i++
	}
	return s[i:]
}

// limitTo limits every step to v.
func (s schedule) limitTo(v portion) schedule {
	out := s[:0:0]
	for _, st := range s {
		out = out.appendStep(step{st.until, st.portion.min(v)})
	}
	return out.withoutZeroSteps()
}

// maxWith returns the maximum of s and o at every instant.
func (s schedule) maxWith(o schedule) schedule {
	var out schedule
	i, j := 0, 0
	for i < len(s) || j < len(o) {
		var a, b portion
		until := time.Duration(-1)
		if i < len(s) {
			a, until = s[i].portion, s[i].until
		}
		if j < len(o) {
			b = o[j].portion
			if until < 0 || o[j].until < until {
				until = o[j].until
			}
		}
		out = out.appendStep(step{until, a.max(b)})
		if i < len(s) && s[i].until == until {
			i++
		}
		if j < len(o) && o[j].until == until {
			j++
		}
	}
	return out.withoutZeroSteps()
}

// addCapacity adds capacity c at every instant before until.
func (s schedule) addCapacity(c Amount, until time.Duration) schedule {
	var out schedule
	for _, st := range s {
		if st.until > until && (len(out) == 0 || out[len(out)-1].until < until) {
			out = append(out, step{until, st.portion.plus(portion{capacity: c})})
		}
		if st.until <= until {
			st.portion.capacity += c
		}
		out = append(out, st)
	}
	if s.end() < until {
		out = append(out, step{until, portion{capacity: c}})
	}
	return out.mergeEqualSteps()
}

// mergeEqualSteps merges adjacent steps of equal portions.
func (s schedule) mergeEqualSteps() schedule {
	var out schedule
	for _, st := range s {
		out = out.appendStep(st)
	}
	return out.withoutZeroSteps()
}

// appendStep appends a step, merged with the one before it if both are equal.
func (s schedule) appendStep(st step) schedule {
	if n := len(s); n > 0 && s[n-1].portion == st.portion {
		s[n-1].until = st.until
		return s
	}
	return append(s, st)
}

// withoutZeroSteps removes zero steps, which can only be at the end.
func (s schedule) withoutZeroSteps() schedule {
	for len(s) > 0 && s[len(s)-1].portion.isZero() {
		s = s[:len(s)-1]
	}
	return s
}

package quota

import "time"

// A level is the volume that holds until an instant. Instants are durations
// since the start of the node's clock.
type level struct {
	until time.Duration
	v     volume
}

// A schedule is a volume over time that only falls: each level holds from the
// end of the one before it until its own end, and nothing holds after the
// last. Both sides of a loan keep one.
type schedule []level

// at returns the volume at an instant.
func (s schedule) at(t time.Duration) volume {
	for _, l := range s {
		if t < l.until {
			return l.v
		}
	}
	return volume{}
}

// end returns the instant from which the schedule is zero.
func (s schedule) end() time.Duration {
	if len(s) == 0 {
		return 0
	}
	return s[len(s)-1].until
}

// trim removes levels that ended.
func (s schedule) trim(now time.Duration) schedule {
	i := 0
	for i < len(s) && s[i].until <= now {
		i++
	}
	return s[i:]
}

// lower limits every level to v.
func (s schedule) lower(v volume) schedule {
	out := s[:0:0]
	for _, l := range s {
		out = out.push(level{l.until, l.v.min(v)})
	}
	return out.clean()
}

// raise returns the larger of s and o at every instant.
func (s schedule) raise(o schedule) schedule {
	var out schedule
	i, j := 0, 0
	for i < len(s) || j < len(o) {
		var a, b volume
		until := time.Duration(-1)
		if i < len(s) {
			a, until = s[i].v, s[i].until
		}
		if j < len(o) {
			b = o[j].v
			if until < 0 || o[j].until < until {
				until = o[j].until
			}
		}
		out = out.push(level{until, a.max(b)})
		if i < len(s) && s[i].until == until {
			i++
		}
		if j < len(o) && o[j].until == until {
			j++
		}
	}
	return out.clean()
}

// add adds capacity to every instant before until.
func (s schedule) add(c Amount, until time.Duration) schedule {
	var out schedule
	for _, l := range s {
		if l.until > until && (len(out) == 0 || out[len(out)-1].until < until) {
			out = append(out, level{until, l.v.plus(volume{c: c})})
		}
		if l.until <= until {
			l.v.c += c
		}
		out = append(out, l)
	}
	if s.end() < until {
		out = append(out, level{until, volume{c: c}})
	}
	return out.joined()
}

// joined joins neighbouring equal levels.
func (s schedule) joined() schedule {
	var out schedule
	for _, l := range s {
		out = out.push(l)
	}
	return out.clean()
}

// push appends a level and joins it with an equal one before it.
func (s schedule) push(l level) schedule {
	if n := len(s); n > 0 && s[n-1].v == l.v {
		s[n-1].until = l.until
		return s
	}
	return append(s, l)
}

// clean removes zero levels, which can only be last.
func (s schedule) clean() schedule {
	for len(s) > 0 && s[len(s)-1].v.isZero() {
		s = s[:len(s)-1]
	}
	return s
}

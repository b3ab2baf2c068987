package quota

import "time"

// A share is the fraction 1/n of every account that a host owns; n is 0 when
// it owns nothing. A fraction that grew is used only after ActivationWait, so
// the smallest of the recent fractions counts.
//
// With it, the fractions in use never add up to more than one: while any node
// may still spend under a version, every node that knows a later one is bound
// by a fraction from that version or an earlier one that all knew.
type share struct {
	version  uint64
	n        int
	accepted time.Duration
	recent   []formerShare
}

// A formerShare still limits the share until an instant.
type formerShare struct {
	n     int
	until time.Duration
}

// configure notes that a version came into force. trusted is false when the
// node may have missed versions: after its start and after a long time
// without confirmation.
func (s *share) configure(version uint64, n int, now time.Duration, trusted bool) {
	if version == s.version {
		return
	}
	former := formerShare{s.n, now + ActivationDelay}
	if !trusted {
		former.n = 0
	}
	s.recent = append(s.recent, former)
	s.version, s.n, s.accepted = version, n, now
}

// confirm notes that the version was in force somewhere at an instant.
func (s *share) confirm(version uint64, at time.Duration) {
	if version != s.version || at >= s.accepted {
		return
	}
	s.accepted = at
	for i := range s.recent {
		s.recent[i].until = min(s.recent[i].until, at+ActivationDelay)
	}
}

// divisor returns the n that is in use, 0 for nothing.
func (s *share) divisor(now time.Duration) int {
	n, keep := s.n, s.recent[:0]
	for _, f := range s.recent {
		if now >= f.until {
			continue
		}
		keep = append(keep, f)
		if f.n == 0 || n == 0 {
			n = 0
		} else {
			n = max(n, f.n)
		}
	}
	s.recent = keep
	return n
}

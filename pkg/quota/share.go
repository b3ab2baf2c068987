package quota

import "time"

// A share is the fraction 1/divisor of every account's rate and burst that a
// host owns. A divisor of 0 means that the host owns nothing. A share that
// grew is used only after ActivationDelay; until then the smallest of the
// recent shares applies.
//
// This keeps the sum of the shares in use at or below one: while any node may
// still admit requests under a version, every node that has a later version is
// limited to a share from that version or from an earlier one that all nodes
// had.
type share struct {
	version    uint64
	divisor    int
	acceptedAt time.Duration
	former     []formerShare
}

// A formerShare is the share of an earlier version. It limits the present
// share until an instant.
type formerShare struct {
	divisor int
	until   time.Duration
}

// configure records that a version came into force. trusted is false when the
// node may have missed versions: after its start and after a long time
// without permission to admit requests.
func (s *share) configure(version uint64, divisor int, now time.Duration, trusted bool) {
	if version == s.version {
		return
	}
	former := formerShare{s.divisor, now + ActivationDelay}
	if !trusted {
		former.divisor = 0
	}
	s.former = append(s.former, former)
	s.version, s.divisor, s.acceptedAt = version, divisor, now
}

// confirm records that the version was in force on another node at an instant,
// which can shorten the activation delay.
func (s *share) confirm(version uint64, at time.Duration) {
	if version != s.version || at >= s.acceptedAt {
		return
	}
	s.acceptedAt = at
	for i := range s.former {
		s.former[i].until = min(s.former[i].until, at+ActivationDelay)
	}
}

// usableDivisor returns the divisor that applies now, or 0 if the host may not
// use any share yet.
func (s *share) usableDivisor(now time.Duration) int {
	n, kept := s.divisor, s.former[:0]
	for _, f := range s.former {
		if now >= f.until {
			continue
		}
		kept = append(kept, f)
		if f.divisor == 0 || n == 0 {
			n = 0
		} else {
			n = max(n, f.divisor)
		}
	}
	s.former = kept
	return n
}

package memorybudget

import (
	"cmp"
	"slices"
	"time"
)

// A candidate is a connection that may be closed.
type candidate struct {
	share  *Share
	reason Limit
	// phase is that of the share when it was chosen.
	phase int32
	// lag orders connections with the same reason: how long they have been idle, or
	// how far their peers lag behind.
	lag int64
	// wait is the track on which the peer of a running request is waited for since the
	// time since, nil for other phases.
	wait  *track
	since int64
}

// await sets the track on which the peer is waited for.
func (c *candidate) await(t *track) { c.wait, c.since = t, t.since.Load() }

// hasMoved reports whether the peer has made progress since it was chosen.
func (c *candidate) hasMoved() bool { return c.wait != nil && c.wait.since.Load() != c.since }

// shedDown closes connections until no more than shedTo of the limit, less n bytes, is in
// use.
func (b *Budget) shedDown(grace time.Duration, limit, n int64) {
	if !b.memoryPace.due(b.clock(), grace) {
		return
	}
	target := limit/percent*shedTo - n
	b.shed(grace, nil, func() bool { return b.used.Load()-b.shedBytes.Load() <= target })
}

// shed closes connections, of one group unless it is nil, until enough returns true.
func (b *Budget) shed(grace time.Duration, g *Group, enough func() bool) {
	all := b.candidates(b.clock(), int64(grace), g)
	for i := range all {
		if enough() {
			return
		}
		b.close(&all[i])
	}
}

// candidates lists the connections that may be closed, the cheapest first.
func (b *Budget) candidates(now, grace int64, g *Group) []candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []candidate
	for s := range b.shares {
		if (g == nil || s.group == g) && s.shedBytes.Load() == 0 {
			if c := s.candidate(now, grace, g); c.reason != "" {
				all = append(all, c)
			}
		}
	}
	slices.SortFunc(all, func(x, y candidate) int {
		if (x.reason == Idle) != (y.reason == Idle) {
			if x.reason == Idle {
				return -1
			}
			return 1
		}
		return cmp.Compare(y.lag, x.lag)
	})
	return all
}

// candidate returns the reason for which a connection may be closed, of a group that has
// too many unless it is nil. It is empty if there is none.
func (s *Share) candidate(now, grace int64, g *Group) candidate {
	c := candidate{share: s, phase: s.phase.Load()}
	more := int64(0)
	if g == nil {
		more = int64(s.group.Grace)
	}
	if c.phase == phaseNew && grace == int64(hardGrace) {
		grace, more = int64(silentGrace), min(more, int64(hardGrace))
	}
	grace += more
	switch c.phase {
	case phaseIdle:
		if idle := now - s.idleSince.Load(); idle >= int64(s.group.MinIdle) {
			c.reason, c.lag = Idle, idle
		}
	case phaseNew, phaseHeader:
		if lag := s.in.lag(now); lag > grace {
			c.reason, c.lag = StalledHeader, lag
		}
	case phaseRunning:
		in, out := s.in.lag(now), s.out.lag(now)
		if in > grace && in >= out {
			c.reason, c.lag = StalledBody, in
			c.await(&s.in)
		} else if out > grace {
			c.reason, c.lag = StalledReader, out
			c.await(&s.out)
		}
	}
	return c
}

// close closes a connection if it is still as it was when it was chosen.
func (b *Budget) close(c *candidate) {
	s := c.share
	if (c.phase == phaseNew || c.phase == phaseHeader) && !s.phase.CompareAndSwap(c.phase, phaseShed) {
		return
	}
	if c.hasMoved() || !s.conn.Shed(c.reason) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := s.bytes.Load(); n > 0 && !s.left.Load() && s.shedBytes.CompareAndSwap(0, n) {
		b.shedBytes.Add(n)
		b.shedOpen.Add(1)
		s.group.shedOpen.Add(1)
	}
}

// TimeLimits are the times after which a peer is closed whether or not memory is short.
// Zero sets no limit.
type TimeLimits struct {
	// New is for the first byte of a connection, Header for a header from its first
	// byte on.
	New, Header time.Duration
	// Body and Read are for one part of a body or of a response.
	Body, Read time.Duration
}

// Sweep closes the connections of the group whose peers exceed a time limit.
func (g *Group) Sweep(l TimeLimits) {
	b := g.Budget
	now := b.clock()
	var late []candidate
	b.mu.Lock()
	for s := range b.shares {
		if s.group == g && s.shedBytes.Load() == 0 {
			if c := s.exceeds(&l, now); c.reason != "" {
				late = append(late, c)
			}
		}
	}
	b.mu.Unlock()
	for i := range late {
		b.close(&late[i])
	}
}

// exceeds returns the time limit that a peer exceeds. It is empty if there is none.
func (s *Share) exceeds(l *TimeLimits, now int64) candidate {
	c := candidate{share: s, phase: s.phase.Load()}
	in, out := time.Duration(s.in.wait(now)), time.Duration(s.out.wait(now))
	switch {
	case c.phase == phaseNew && l.New > 0 && in > l.New, c.phase == phaseHeader && l.Header > 0 && in > l.Header:
		c.reason = HeaderTime
	case c.phase == phaseRunning && l.Body > 0 && in > l.Body:
		c.reason = BodyTime
		c.await(&s.in)
	case c.phase == phaseRunning && l.Read > 0 && out > l.Read:
		c.reason = ReadTime
		c.await(&s.out)
	}
	return c
}

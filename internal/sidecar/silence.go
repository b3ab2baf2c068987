package sidecar

import (
	"context"
	"sync"
	"time"
)

const (
	// minSilenceCheckDelay is the least time that a request waits for the response of
	// another node before that node is asked whether it still answers; usually it is
	// silenceLatencies times the typical latency. Each further check follows as long
	// after the one before.
	minSilenceCheckDelay = 250 * time.Millisecond
	silenceLatencies     = 2
	// silenceCheckTimeout limits one check. A host short of processor time may need
	// some hundred milliseconds to answer.
	silenceCheckTimeout = 350 * time.Millisecond
	// silenceCheckLife is how long the result of a check counts for other requests.
	silenceCheckLife = 200 * time.Millisecond
)

// errNodeSilent is the cause of a try that waits for a node which answers nothing: its host
// stands still, has lost its power or is cut off, or its link is full.
var errNodeSilent = namespace.NewType("node_silent").New("the node does not answer")

// A silenceDetector finds nodes that answer nothing while a request waits for them, so
// that it can be sent to other ones while there is time. A node that is only slow answers
// a check, unless its link is full.
type silenceDetector struct {
	// answers reports whether the node at an address answers before ctx ends.
	answers func(ctx context.Context, address string) bool
	// stopping reports whether this node stops. No request is then sent elsewhere, since
	// its callers cannot send it again.
	stopping func() bool

	mu     sync.Mutex
	checks map[string]*silenceCheck
	// heardAt holds when a node answered last, by address.
	heardAt map[string]time.Time
}

// A silenceCheck is a check that is running or has ended.
type silenceCheck struct {
	// done is closed at the end, after endedAt and answers have been set.
	done    chan struct{}
	endedAt time.Time
	answers bool
}

// heard records that the node at the address has answered something.
func (s *silenceDetector) heard(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heardAt == nil {
		s.heardAt = map[string]time.Time{}
	}
	s.heardAt[address] = time.Now()
}

// watch returns a channel that is closed once the node at the address answers neither a
// request nor a check. typical is the latency of most requests, zero if unknown. stop ends
// the checks.
func (s *silenceDetector) watch(ctx context.Context, address string, typical time.Duration) (silent <-chan struct{}, stop func()) {
	found, stopped := make(chan struct{}), make(chan struct{})
	delay := max(minSilenceCheckDelay, silenceLatencies*typical)
	t := time.AfterFunc(delay, func() {
		for s.wasHeard(address) || s.check(ctx, address) {
			select {
			case <-stopped:
				return
			case <-ctx.Done():
				return
			case <-time.After(delay):
			}
		}
		select {
		case <-stopped:
		default:
			if !s.stopping() {
				close(found)
			}
		}
	})
	return found, func() {
		close(stopped)
		t.Stop()
	}
}

// wasHeard reports whether the node has answered something within the least delay of a
// check.
func (s *silenceDetector) wasHeard(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.heardAt[address]) < minSilenceCheckDelay
}

// check reports whether the node at the address answers. Requests that check the same
// node share the result.
func (s *silenceDetector) check(ctx context.Context, address string) bool {
	s.mu.Lock()
	c := s.checks[address]
	if c == nil || c.isOver() && time.Since(c.endedAt) > silenceCheckLife {
		c = &silenceCheck{done: make(chan struct{})}
		if s.checks == nil {
			s.checks = map[string]*silenceCheck{}
		}
		s.checks[address] = c
		go s.run(c, address)
	}
	s.mu.Unlock()
	select {
	case <-c.done:
		return c.answers
	case <-ctx.Done():
		return true
	}
}

func (s *silenceDetector) run(c *silenceCheck, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), silenceCheckTimeout)
	defer cancel()
	c.answers = s.answers(ctx, address)
	c.endedAt = time.Now()
	close(c.done)
	s.mu.Lock()
	defer s.mu.Unlock()
	for a, old := range s.checks {
		if old != c && old.isOver() && time.Since(old.endedAt) > silenceCheckLife {
			delete(s.checks, a)
		}
	}
	for a, at := range s.heardAt {
		if time.Since(at) > minSilenceCheckDelay {
			delete(s.heardAt, a)
		}
	}
}

func (c *silenceCheck) isOver() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

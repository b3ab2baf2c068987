package crash

import (
	"sync"
	"time"
)

const (
	// maxRoundCalls is the number of calls that begin in a round of pushes and one of
	// comparisons, and timePerCall the mean time between pushes. Calls in place of others
	// are made while the calls so far, spread over time like this, are no more than
	// maxRoundCalls ahead. In a storm of crashes rounds alone are as many.
	maxRoundCalls = pushFanout + compareFanout
	timePerCall   = pushInterval / pushFanout
	// maxCallsWithoutAnswer is the number of calls in a row without an answer after
	// which the node is taken as cut off, so that no call is replaced.
	maxCallsWithoutAnswer = 16
	// answerLife is the time for which a node that has answered is preferred to others as a spare.
	answerLife = 5 * time.Second
)

// answerRecord tells which nodes have answered lately, and whether a call without an
// answer may be replaced. The zero value is ready for use.
type answerRecord struct {
	mu sync.Mutex
	// answeringUntil holds the nodes that have answered their last call, and the times
	// until which they are preferred.
	answeringUntil map[string]time.Time
	// idleAt is the time at which the calls so far would end if each took timePerCall.
	// A series of calls moves it ahead by no more than twice the time of maxRoundCalls.
	idleAt time.Time
	// sinceAnswer is the number of calls since the last answer.
	sinceAnswer int
}

// recordCall records a call that begins.
func (r *answerRecord) recordCall(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idleAt.Before(now) {
		r.idleAt = now
	}
	if latest := now.Add(2 * maxRoundCalls * timePerCall); r.idleAt.Before(latest) {
		r.idleAt = r.idleAt.Add(timePerCall)
	}
	r.sinceAnswer++
}

// recordAnswer records that a node has answered a call.
func (r *answerRecord) recordAnswer(from string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sinceAnswer = 0
	if r.answeringUntil == nil {
		r.answeringUntil = map[string]time.Time{}
	}
	r.answeringUntil[from] = now.Add(answerLife)
}

// recordSilence records that a node has failed or not answered a call soon.
func (r *answerRecord) recordSilence(to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.answeringUntil, to)
}

// answering returns which of nodes have answered lately, in their order.
func (r *answerRecord) answering(nodes []string, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n, until := range r.answeringUntil {
		if !until.After(now) {
			delete(r.answeringUntil, n)
		}
	}
	var all []string
	for _, n := range nodes {
		if _, ok := r.answeringUntil[n]; ok {
			all = append(all, n)
		}
	}
	return all
}

// allowsReplacement reports whether a call may be made in place of another one.
func (r *answerRecord) allowsReplacement(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sinceAnswer < maxCallsWithoutAnswer && !r.idleAt.After(now.Add(maxRoundCalls*timePerCall))
}

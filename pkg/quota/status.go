package quota

import (
	"maps"
	"slices"
)

// AccountState is a node's view of one account, in tokens and tokens per
// second.
type AccountState struct {
	Account string
	// Rate and Burst are the published limits over all hosts.
	Rate  float64
	Burst float64
	// OwnRate and OwnCapacity are the part of the node's share that it may use.
	// They are 0 while the node waits after a start or after it may have missed
	// configurations. They do not grow for ActivationDelay after a change of
	// hosts.
	OwnRate     float64
	OwnCapacity float64
	// UsableRate and Capacity are what the node may use now: its share minus
	// what it lent plus what it borrowed.
	UsableRate float64
	Capacity   float64
	Tokens     float64
	// Waiting is the number of requests that wait for a token.
	Waiting int
}

// States returns the state of every account, ordered by name.
func (l *Limiter) States() []AccountState {
	now := l.instant()
	all := l.allAccounts()
	var out []AccountState
	for _, name := range slices.Sorted(maps.Keys(all)) {
		a := all[name]
		a.mu.Lock()
		b := a.bucket
		b.advance(now)
		out = append(out, AccountState{
			Account: name, Rate: a.rate, Burst: a.burst,
			OwnRate: b.owned.rate.Tokens(), OwnCapacity: b.owned.capacity.Tokens(),
			UsableRate: b.usable.nonNegative().rate.Tokens(), Capacity: b.usable.nonNegative().capacity.Tokens(),
			Tokens: b.tokens / float64(OneToken), Waiting: len(a.queue),
		})
		a.mu.Unlock()
	}
	return out
}

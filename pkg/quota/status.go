package quota

import (
	"maps"
	"slices"
)

// A State is a node's view of one account, in tokens and tokens per second.
type AccountState struct {
	Account string
	// Rate and Burst are published and count over all hosts.
	Rate  float64
	Burst float64
	// OwnRate and OwnCapacity are the node's share. They are 0 while it waits
	// after a start or a change of hosts.
	OwnRate     float64
	OwnCapacity float64
	// UsableRate and Capacity are what the node may use now: its share, less
	// what it lent, and what it borrowed.
	UsableRate float64
	Capacity   float64
	Tokens     float64
	// Waiting is the number of requests that wait for a token.
	Waiting int
}

// States returns the accounts in the order of their names.
func (l *Limiter) States() []AccountState {
	now := l.instant()
	all := l.all()
	var out []AccountState
	for _, name := range slices.Sorted(maps.Keys(all)) {
		a := all[name]
		a.mu.Lock()
		b := a.book
		b.advance(now)
		out = append(out, AccountState{
			Account: name, Rate: a.rate, Burst: a.burst,
			OwnRate: b.own.r.Tokens(), OwnCapacity: b.own.c.Tokens(),
			UsableRate: b.v.floor().r.Tokens(), Capacity: b.v.floor().c.Tokens(),
			Tokens: b.k / float64(OneToken), Waiting: len(a.queue),
		})
		a.mu.Unlock()
	}
	return out
}

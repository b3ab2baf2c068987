// Package idempotency keeps a non-idempotent request from running twice when its
// caller repeats it with the same Idempotency-Key, perhaps through another
// host.
//
// Each key has up to three witnesses: published hosts of the service, in
// different availability zones where there are as many. A node that wants to
// run a request claims its key and needs the consent of a majority. A witness
// grants a key to one holder only, so two claims cannot both succeed. A
// witness that cannot know about a key, because the key is older than its own
// memory, abstains. Nothing is stored: witnesses keep keys in memory for a
// bounded time.
package idempotency

import (
	"time"

	"github.com/google/uuid"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

const (
	// Window is how long a key is remembered. Older keys are refused.
	KeyRetention = 10 * time.Minute
	// Skew is how far a caller's clock may be ahead of a witness's.
	MaxClockSkew = 2 * time.Second
	// Settle is how long a host abstains from keys after its process started
	// or after it became a witness. A configuration is in force everywhere
	// within 4 s and a host that is cut off accepts no keyed call after 3 s,
	// so by then nobody asks the former witnesses any more.
	ActivationDelay = 10 * time.Second
	// MaxKeys bounds a witness's memory. At the target a node sees about 155
	// calls a second; if each were keyed it would witness some 280,000 keys
	// in a window.
	MaxKeys = 300_000
	// witnesses is the number of hosts that vouch for a key. With three, one
	// may be down, restarting or out of reach.
	witnesses = 3
)

// A Key names a non-idempotent request.
type Key struct {
	Service string
	Account string
	// Value is the header Idempotency-Key.
	Value string
}

func (k Key) String() string { return k.Service + "\x00" + k.Account + "\x00" + k.Value }

// made returns when the key was made, if it is a UUIDv7.
func (k Key) made() (time.Time, bool) {
	u, err := uuid.Parse(k.Value)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	ms := int64(0)
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// A Panel tells the witnesses of keys. It is derived from a configuration
// alone, without regard to what is out, so that taking a zone or host out
// changes no witness. It is never changed.
type WitnessSelector struct {
	// zones holds the IDs of published hosts by service and zone.
	zones map[string]map[string][]string
}

// NewPanel derives the witnesses from a configuration.
func NewWitnessSelector(s *config.Snapshot) *WitnessSelector {
	p := &WitnessSelector{zones: map[string]map[string][]string{}}
	for id, h := range s.Hosts {
		z := p.zones[h.Service]
		if z == nil {
			z = map[string][]string{}
			p.zones[h.Service] = z
		}
		z[h.Zone] = append(z[h.Zone], id)
	}
	return p
}

// Witnesses returns the hosts that vouch for a key: the best ranked of each
// of the best ranked zones, then further hosts.
func (p *WitnessSelector) Witnesses(k Key) []string {
	rank, zones := k.String(), p.zones[k.Service]
	var firsts, all []string
	for _, ids := range zones {
		firsts = append(firsts, hosts.HighestRanked(rank, ids))
		all = append(all, ids...)
	}
	w := hosts.Rank(rank, firsts)
	if len(w) < witnesses {
		for _, id := range hosts.Rank(rank, all) {
			if len(w) < witnesses && !contains(w, id) {
				w = append(w, id)
			}
		}
	}
	return w[:min(len(w), witnesses)]
}

func contains(ids []string, id string) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}

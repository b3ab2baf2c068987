// Package idempotency keeps a non-idempotent request from running twice when
// its caller repeats it with the same Idempotency-Key, possibly through another
// host.
//
// Each key has up to three witnesses. They are published hosts of the service,
// in different availability zones if the service has enough zones. A node that
// wants to run a request claims its key from the witnesses and needs the grants
// of a majority. A witness grants a key to one holder only, so two claims cannot
// both succeed. A witness abstains if the key may be older than its memory.
// Witnesses keep keys in memory for a bounded time and store nothing on disk.
//
// The package decides on claims. The caller of the package sends them to the
// witnesses and runs the request.
package idempotency

import (
	"time"

	"github.com/google/uuid"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

const (
	// KeyRetention is how long a key is remembered. Older keys are refused.
	KeyRetention = 10 * time.Minute
	// MaxClockSkew is how far a caller's clock may be ahead of a witness's.
	MaxClockSkew = 2 * time.Second
	// ActivationDelay is how long a host abstains after its process started or
	// after it became a witness. A configuration is in force everywhere within
	// 4 s and a host that is cut off accepts no keyed call after 3 s, so after
	// the delay no host asks the former witnesses.
	ActivationDelay = 10 * time.Second
	// MaxKeys is the maximum number of keys that a witness remembers. At the
	// target load a node gets about 155 calls per second. If each had a key, it
	// would be the witness of about 280,000 keys within KeyRetention.
	MaxKeys = 300_000
	// witnessesPerKey is the number of witnesses of a key. With three, one may
	// be down, restarting or unreachable.
	witnessesPerKey = 3
)

// A Key identifies a non-idempotent request.
type Key struct {
	Service string
	Account string
	// Value is the value of the header Idempotency-Key.
	Value string
}

// String returns the fields separated by NUL. Witnesses are ranked by it.
func (k Key) String() string { return k.Service + "\x00" + k.Account + "\x00" + k.Value }

// createdAt returns the time in the key if its value is a UUIDv7.
func (k Key) createdAt() (time.Time, bool) {
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

// A WitnessSelector selects the witnesses of keys. It depends on the published
// hosts only and ignores which zones and hosts are out, so that taking one out
// changes no witness. It is immutable.
type WitnessSelector struct {
	// hostIDs holds the IDs of published hosts by service and zone.
	hostIDs map[string]map[string][]string
}

// NewWitnessSelector returns the selector for a configuration.
func NewWitnessSelector(s *config.Snapshot) *WitnessSelector {
	selector := &WitnessSelector{hostIDs: map[string]map[string][]string{}}
	for id, h := range s.Hosts {
		zone := selector.hostIDs[h.Service]
		if zone == nil {
			zone = map[string][]string{}
			selector.hostIDs[h.Service] = zone
		}
		zone[h.Zone] = append(zone[h.Zone], id)
	}
	return selector
}

// Witnesses returns the host IDs of a key's witnesses. It takes the host that
// ranks first in each zone, in order of rank, and if the service has fewer than
// witnessesPerKey zones, further hosts in order of rank.
func (s *WitnessSelector) Witnesses(k Key) []string {
	seed, zones := k.String(), s.hostIDs[k.Service]
	var firstPerZone, all []string
	for _, ids := range zones {
		firstPerZone = append(firstPerZone, hosts.HighestRanked(seed, ids))
		all = append(all, ids...)
	}
	witnesses := hosts.Rank(seed, firstPerZone)
	if len(witnesses) < witnessesPerKey {
		for _, id := range hosts.Rank(seed, all) {
			if len(witnesses) < witnessesPerKey && !contains(witnesses, id) {
				witnesses = append(witnesses, id)
			}
		}
	}
	return witnesses[:min(len(witnesses), witnessesPerKey)]
}

func contains(ids []string, id string) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}

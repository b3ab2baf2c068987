package replication

import (
	"time"

	"quetzaldock.example/quetzaldock/pkg/hosts"
)

const (
	// zoneAgeUnit is the unit of the ages in Summary.ZoneAges. With it
	// FreshnessWindow fits in a byte.
	zoneAgeUnit = 16 * time.Millisecond
	// zoneNotReached stands in Summary.ZoneAges for a zone without information
	// within FreshnessWindow.
	zoneNotReached = 255
)

// KeyedAllowed reports whether keyed calls may be accepted: the source
// confirmed the version in force within FreshnessWindow, or information from
// every zone arrived within FreshnessWindow and shows no newer version. A
// withdrawn key is therefore accepted for at most FreshnessWindow at a node
// that is cut off.
func (r *Replica) KeyedAllowed(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keyedAllowedLocked(now)
}

func (r *Replica) keyedAllowedLocked(now time.Time) bool {
	return r.ready && (r.recentlyConfirmed(now) || r.allZonesReached(now))
}

func (r *Replica) recentlyConfirmed(now time.Time) bool {
	return !r.confirmedAt.IsZero() && now.Sub(r.confirmedAt) <= FreshnessWindow
}

// allZonesReached reports whether information arrived within FreshnessWindow
// from every zone that has a live host and is not out of service, none of it
// showed a version newer than the one in force, and no other digest of that
// version was confirmed within FreshnessWindow. Information about the
// node's own zone comes from another of its hosts; without another live host
// the zone is not needed.
func (r *Replica) allZonesReached(now time.Time) bool {
	if r.hostList.Load() == nil || r.floor.Load() > r.accepted.snapshot.Version {
		return false
	}
	if !r.conflictAt.IsZero() && now.Sub(r.conflictAt) <= FreshnessWindow {
		return false
	}
	for z, n := range r.topology.liveByZone {
		if n == 0 {
			continue
		}
		if c := r.accepted.snapshot.Zones[z]; c != nil && c.Out {
			continue
		}
		if t, ok := r.zoneReachedAt[z]; !ok || now.Sub(t) > FreshnessWindow {
			return false
		}
	}
	return true
}

// observeAges handles the ages in a reply. They are subtracted from the time at
// which the request was sent, so that the resulting times are never too late.
func (r *Replica) observeAges(from hosts.Host, s Summary, sentAt time.Time) {
	if s.ConfirmedAgeMs >= 0 && r.accepted != nil {
		t := sentAt.Add(-time.Duration(s.ConfirmedAgeMs) * time.Millisecond)
		switch {
		case string(s.Digest) == r.accepted.snapshot.Digest:
			r.recordConfirmation(t)
		case s.Version == r.accepted.snapshot.Version && t.After(r.conflictAt):
			r.conflictAt = t
		}
	}
	if !s.Serving {
		return
	}
	r.recordZoneReached(from.Zone, sentAt)
	if s.ZonesHash != r.topology.zonesHash || len(s.ZoneAges) != len(r.topology.zones) {
		return
	}
	for i, z := range r.topology.zones {
		// A peer's age of this node's own zone may come from this node alone.
		if z != r.Self.Zone && s.ZoneAges[i] != zoneNotReached {
			r.recordZoneReached(z, sentAt.Add(-time.Duration(s.ZoneAges[i])*zoneAgeUnit))
		}
	}
}

func (r *Replica) recordConfirmation(t time.Time) {
	if t.After(r.confirmedAt) {
		r.confirmedAt = t
	}
}

func (r *Replica) recordZoneReached(zone string, t time.Time) {
	if _, known := r.topology.liveByZone[zone]; known && t.After(r.zoneReachedAt[zone]) {
		r.zoneReachedAt[zone] = t
	}
}

// zoneAges returns the value of Summary.ZoneAges, with ages rounded up.
func (r *Replica) zoneAges(now time.Time) []byte {
	out := make([]byte, len(r.topology.zones))
	for i, z := range r.topology.zones {
		out[i] = zoneNotReached
		if t, ok := r.zoneReachedAt[z]; ok && now.Sub(t) <= FreshnessWindow {
			out[i] = byte((now.Sub(t) + zoneAgeUnit - 1) / zoneAgeUnit)
		}
	}
	return out
}

package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/fleet"
)

// A clock stands still until it is moved.
type clock struct{ now time.Time }

func newDirectory() (*fleet.Directory, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	d := fleet.NewDirectory(2 * time.Second)
	d.Now = func() time.Time { return c.now }
	return d, c
}

func set(id, service, address string, born int64) fleet.Change {
	return fleet.Change{Kind: fleet.InstanceSet, Instance: fleet.Instance{
		ID: id, Service: service, Zone: "surco", Address: address, Slots: 12, Born: born,
	}}
}

func gone(id string) fleet.Change { return fleet.Change{Kind: fleet.InstanceRemoved, ID: id} }

// Guards against an entry of an earlier start that is published late and takes
// the place of the present one.
func TestEarlierStartDoesNotReturn(t *testing.T) {
	d, _ := newDirectory()
	d.Apply([]fleet.Change{set("a", "desk", "10.0.0.1:80", 200)})
	d.Apply([]fleet.Change{set("a", "records", "10.0.0.2:80", 100)})
	assert.Equal(t, d.View().Instances["a"].Service, "desk")
	d.Apply([]fleet.Change{set("a", "records", "10.0.0.2:80", 300)})
	assert.Equal(t, d.View().Instances["a"].Service, "records")
}

// Guards against an address that still names the instance that had it before.
func TestAddressBelongsToTheLatestStart(t *testing.T) {
	d, _ := newDirectory()
	d.Apply([]fleet.Change{set("old", "desk", "10.0.0.1:80", 100), set("new", "records", "10.0.0.1:80", 200)})
	assert.Equal(t, d.View().ByAddress["10.0.0.1:80"].ID, "new")
}

// Guards against live instances that are forgotten because their entries
// lapsed while the store was down, and against dead ones that are kept.
func TestEntriesThatLapseInAnOutageHaveTimeToReturn(t *testing.T) {
	d, c := newDirectory()
	d.Apply([]fleet.Change{set("a", "desk", "10.0.0.1:80", 1), set("b", "desk", "10.0.0.2:80", 1)})
	d.Confirm(c.now)
	c.now = c.now.Add(10 * time.Second)
	d.Confirm(c.now)
	d.Replace(nil)
	assert.Equal(t, len(d.View().Instances), 2)
	c.now = c.now.Add(time.Second)
	d.Apply([]fleet.Change{set("a", "desk", "10.0.0.1:80", 1)})
	d.RemoveExpired()
	assert.Equal(t, len(d.View().Instances), 2)
	c.now = c.now.Add(time.Second)
	d.RemoveExpired()
	assert.Assert(t, d.View().Instances["a"] != nil)
	assert.Assert(t, d.View().Instances["b"] == nil)
}

// Guards against an instance that left while the store was in order and still
// gets work.
func TestRemovedEntryIsGoneAtOnce(t *testing.T) {
	d, _ := newDirectory()
	d.Apply([]fleet.Change{set("a", "desk", "10.0.0.1:80", 1)})
	d.Apply([]fleet.Change{gone("a")})
	assert.Equal(t, len(d.View().ByService["desk"]), 0)
}

// Guards against work for draining instances and zones that are out, also
// after a listing that no longer names the zone.
func TestUsable(t *testing.T) {
	d, _ := newDirectory()
	draining := set("b", "desk", "10.0.0.2:80", 1)
	draining.Instance.State = fleet.Draining
	d.Apply([]fleet.Change{set("a", "desk", "10.0.0.1:80", 1), draining})
	v := d.View()
	assert.Assert(t, v.Usable(v.Instances["a"]))
	assert.Assert(t, !v.Usable(v.Instances["b"]))
	d.Apply([]fleet.Change{{Kind: fleet.ZoneOut, Zone: "surco"}})
	v = d.View()
	assert.Assert(t, !v.Usable(v.Instances["a"]))
	d.Replace([]fleet.Change{set("a", "desk", "10.0.0.1:80", 1)})
	v = d.View()
	assert.Assert(t, v.Usable(v.Instances["a"]))
}

// Guards against instances that are kept for seconds after they left although
// the node knew the store's state all the while, as happened to readers of a
// node that was cut from the store.
func TestOnlyAnOutageKeepsMissingEntries(t *testing.T) {
	d, c := newDirectory()
	d.Apply([]fleet.Change{set("a", "desk", "10.0.0.1:80", 1), set("b", "desk", "10.0.0.2:80", 1)})
	for range 10 {
		d.Confirm(c.now)
		c.now = c.now.Add(1900 * time.Millisecond)
	}
	d.Confirm(c.now.Add(-time.Second))
	d.Apply([]fleet.Change{gone("a")})
	assert.Assert(t, d.View().Instances["a"] == nil)
	c.now = c.now.Add(3 * time.Second)
	d.Confirm(c.now)
	d.Confirm(c.now.Add(-time.Second))
	d.Apply([]fleet.Change{gone("b")})
	assert.Assert(t, d.View().Instances["b"] != nil)
	c.now = c.now.Add(2 * time.Second)
	d.RemoveExpired()
	assert.Assert(t, d.View().Instances["b"] == nil)
}

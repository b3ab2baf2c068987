package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/fleet"
)

// A clock stands still until a test moves it.
type clock struct{ now time.Time }

func newDirectory() (*fleet.Directory, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	d := fleet.NewDirectory(2 * time.Second)
	d.Now = func() time.Time { return c.now }
	return d, c
}

func instanceSet(id, service, address string, born int64) fleet.Change {
	return fleet.Change{Kind: fleet.InstanceSet, Instance: fleet.Instance{
		ID: id, Service: service, Zone: "surco", Address: address, Slots: 12, Born: born,
	}}
}

func instanceRemoved(id string) fleet.Change {
	return fleet.Change{Kind: fleet.InstanceRemoved, ID: id}
}

// Guards against a late entry of an earlier start that replaces the current one.
func TestEarlierStartDoesNotReturn(t *testing.T) {
	d, _ := newDirectory()
	d.Apply([]fleet.Change{instanceSet("a", "desk", "10.0.0.1:80", 200)})
	d.Apply([]fleet.Change{instanceSet("a", "records", "10.0.0.2:80", 100)})
	assert.Equal(t, d.View().Instances["a"].Service, "desk")
	d.Apply([]fleet.Change{instanceSet("a", "records", "10.0.0.2:80", 300)})
	assert.Equal(t, d.View().Instances["a"].Service, "records")
}

// Guards against an address that still maps to its previous instance.
func TestAddressBelongsToTheLatestStart(t *testing.T) {
	d, _ := newDirectory()
	d.Apply([]fleet.Change{instanceSet("old", "desk", "10.0.0.1:80", 100), instanceSet("new", "records", "10.0.0.1:80", 200)})
	assert.Equal(t, d.View().ByAddress["10.0.0.1:80"].ID, "new")
}

// Guards against live instances that are removed because their entries expired
// while the store was down, and against dead ones that are kept.
func TestEntriesThatExpireInAnOutageHaveTimeToReturn(t *testing.T) {
	d, c := newDirectory()
	d.Apply([]fleet.Change{instanceSet("a", "desk", "10.0.0.1:80", 1), instanceSet("b", "desk", "10.0.0.2:80", 1)})
	d.Confirm(c.now)
	c.now = c.now.Add(10 * time.Second)
	d.Confirm(c.now)
	d.Replace(nil)
	assert.Equal(t, len(d.View().Instances), 2)
	c.now = c.now.Add(time.Second)
	d.Apply([]fleet.Change{instanceSet("a", "desk", "10.0.0.1:80", 1)})
	d.Expire()
	assert.Equal(t, len(d.View().Instances), 2)
	c.now = c.now.Add(time.Second)
	d.Expire()
	assert.Assert(t, d.View().Instances["a"] != nil)
	assert.Assert(t, d.View().Instances["b"] == nil)
}

// Guards against requests for an instance that left while the store was
// available.
func TestRemovedEntryIsGoneAtOnce(t *testing.T) {
	d, _ := newDirectory()
	d.Apply([]fleet.Change{instanceSet("a", "desk", "10.0.0.1:80", 1)})
	d.Apply([]fleet.Change{instanceRemoved("a")})
	assert.Equal(t, len(d.View().ByService["desk"]), 0)
}

// Guards against requests for draining instances and for zones that are out, and
// against a zone that stays out although a full listing no longer names it.
func TestUsable(t *testing.T) {
	d, _ := newDirectory()
	draining := instanceSet("b", "desk", "10.0.0.2:80", 1)
	draining.Instance.State = fleet.Draining
	d.Apply([]fleet.Change{instanceSet("a", "desk", "10.0.0.1:80", 1), draining})
	v := d.View()
	assert.Assert(t, v.Usable(v.Instances["a"]))
	assert.Assert(t, !v.Usable(v.Instances["b"]))
	d.Apply([]fleet.Change{{Kind: fleet.ZoneOut, Zone: "surco"}})
	v = d.View()
	assert.Assert(t, !v.Usable(v.Instances["a"]))
	d.Replace([]fleet.Change{instanceSet("a", "desk", "10.0.0.1:80", 1)})
	v = d.View()
	assert.Assert(t, v.Usable(v.Instances["a"]))
}

// Guards against instances that are kept for seconds after they left although the
// node knew the store's state all the time. This happened to nodes that read from
// a node which was cut off from the store.
func TestOnlyAnOutageKeepsMissingEntries(t *testing.T) {
	d, c := newDirectory()
	d.Apply([]fleet.Change{instanceSet("a", "desk", "10.0.0.1:80", 1), instanceSet("b", "desk", "10.0.0.2:80", 1)})
	for range 10 {
		d.Confirm(c.now)
		c.now = c.now.Add(1900 * time.Millisecond)
	}
	d.Confirm(c.now.Add(-time.Second))
	d.Apply([]fleet.Change{instanceRemoved("a")})
	assert.Assert(t, d.View().Instances["a"] == nil)
	c.now = c.now.Add(3 * time.Second)
	d.Confirm(c.now)
	d.Confirm(c.now.Add(-time.Second))
	d.Apply([]fleet.Change{instanceRemoved("b")})
	assert.Assert(t, d.View().Instances["b"] != nil)
	c.now = c.now.Add(2 * time.Second)
	d.Expire()
	assert.Assert(t, d.View().Instances["b"] == nil)
}

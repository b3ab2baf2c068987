package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/fleet"
)

// Guards against an instance that drains or has left and gets requests again because the
// store does an earlier write of it late.
func TestLateEntryDoesNotReturnAnInstance(t *testing.T) {
	d, c := newDirectory()
	d.Apply([]fleet.Change{instanceWith("a", fleet.Draining, 100, 9), instanceWith("b", fleet.Ready, 100, 9), instanceRemoved("b")})
	late := []fleet.Change{instanceWith("a", fleet.Ready, 100, 4), instanceWith("b", fleet.Ready, 100, 9)}
	for _, read := range []func([]fleet.Change){d.Apply, d.Replace, d.Apply} {
		read(late)
		assert.Equal(t, d.View().Instances["a"].State, fleet.Draining)
		assert.Assert(t, d.View().Instances["b"] == nil)
	}
	d.Apply([]fleet.Change{instanceWith("a", fleet.Draining, 100, 10), instanceRemoved("b")})
	assert.Equal(t, d.Kept(), fleet.Kept{})
	c.now = c.now.Add(time.Minute)
	d.Expire()
	assert.Equal(t, d.View().Instances["a"].State, fleet.Draining)
	assert.Assert(t, d.View().Instances["b"] == nil)
}

// Guards against a start that is ignored for good because the clock of its host went
// back, and against one that replaces a later start at once.
func TestStartWithAnEarlierTimeCountsIfItStays(t *testing.T) {
	d, c := newDirectory()
	d.Apply([]fleet.Change{instanceWith("a", fleet.Ready, 200, 3)})
	for sequence := uint64(1); sequence < 5; sequence++ {
		d.Apply([]fleet.Change{instanceWith("a", fleet.Draining, 100, sequence)})
		assert.Equal(t, d.View().Instances["a"].Born, int64(200))
		c.now = c.now.Add(1500 * time.Millisecond)
	}
	c.now = c.now.Add(500 * time.Millisecond)
	d.Expire()
	assert.Equal(t, d.View().Instances["a"].State, fleet.Draining)
	d.Apply([]fleet.Change{instanceWith("a", fleet.Ready, 200, 4)})
	assert.Equal(t, d.View().Instances["a"].Born, int64(200), "the later start is published again")
}

// Guards against an outdated entry that is applied while its instance cannot write
// another one, or this node cannot read it.
func TestOutdatedEntryIsHeldBackThroughAnOutage(t *testing.T) {
	d, c := newDirectory()
	d.Confirm(c.now)
	d.Apply([]fleet.Change{instanceWith("a", fleet.Draining, 100, 9), instanceWith("a", fleet.Ready, 100, 4)})
	c.now = c.now.Add(20 * time.Second)
	d.Expire()
	assert.Equal(t, d.View().Instances["a"].State, fleet.Draining, "the store was not read")
	d.Confirm(c.now)
	d.Expire()
	assert.Equal(t, d.View().Instances["a"].State, fleet.Draining, "the instance has had no time to write")
	for range 7 {
		c.now = c.now.Add(time.Second)
		d.Confirm(c.now)
	}
	d.Expire()
	assert.Equal(t, d.View().Instances["a"].State, fleet.Ready, "what stays published counts")
}

// Guards against changes that a node gets twice, from two sources, of which an earlier
// one undoes a later one.
func TestRepeatedChangesAreApplied(t *testing.T) {
	d, _ := newDirectory()
	numbered := func(c fleet.Change, revision uint64) fleet.Change {
		c.Instance.Revision, c.Revision = revision, revision
		return c
	}
	all := []fleet.Change{
		numbered(instanceWith("a", fleet.Ready, 100, 4), 1), numbered(instanceRemoved("a"), 2), numbered(instanceWith("a", fleet.Ready, 200, 1), 3),
	}
	d.Apply(all)
	for first := range all {
		d.Apply(all[first:])
		assert.Assert(t, d.View().Instances["a"] != nil, "from %d on", first)
		d.Apply(all[:first+1])
		assert.Assert(t, d.View().Instances["a"] != nil, "up to %d", first)
	}
	d.Restore([]fleet.Change{numbered(instanceWith("a", fleet.Draining, 200, 2), 1)})
	assert.Equal(t, d.View().Instances["a"].State, fleet.Draining, "revisions are given out again after a restore")
}

// A readWay brings a change of the store to a directory. published is what the store has
// after it.
type readWay func(d *fleet.Directory, c fleet.Change, published []fleet.Change)

// Guards against any order of the writes of two starts, late, lost, doubled or removed
// between, after which an instance gets requests that its latest write refuses, or none
// that it accepts.
func TestLatestWriteCountsInEachOrder(t *testing.T) {
	writes := []fleet.Change{
		instanceWith("a", fleet.Ready, 100, 1), instanceWith("a", fleet.Ready, 100, 2), instanceWith("a", fleet.Draining, 100, 3),
		instanceWith("a", fleet.Ready, 200, 1), instanceWith("a", fleet.Draining, 200, 2), instanceWith("a", fleet.Ready, 100, 2),
		instanceRemoved("a"),
	}
	watch := func(d *fleet.Directory, c fleet.Change, _ []fleet.Change) { d.Apply([]fleet.Change{c}) }
	list := func(d *fleet.Directory, _ fleet.Change, published []fleet.Change) { d.Replace(published) }
	turns := 0
	both := func(d *fleet.Directory, c fleet.Change, published []fleet.Change) {
		turns++
		[]readWay{watch, list}[turns%2](d, c, published)
	}
	for name, read := range map[string]readWay{"watch": watch, "listing": list, "both in turn": both} {
		eachOrder(nil, writes, func(order []fleet.Change) { checkOrder(t, name, order, read) })
	}
}

// eachOrder calls f with all orders of each subset of the rest after the first changes.
func eachOrder(first, rest []fleet.Change, f func([]fleet.Change)) {
	f(first)
	for i := range rest {
		others := append(append([]fleet.Change(nil), rest[:i]...), rest[i+1:]...)
		eachOrder(append(first[:len(first):len(first)], rest[i]), others, f)
	}
}

// checkOrder checks the state after the last change of an order.
func checkOrder(t *testing.T, name string, order []fleet.Change, read readWay) {
	d, c := newDirectory()
	var latest *fleet.Instance
	removed := false
	for i := range order {
		change := order[i]
		var published []fleet.Change
		if change.Kind == fleet.InstanceSet {
			published = order[i : i+1]
			if o := &order[i].Instance; latest == nil || o.Born > latest.Born || (o.Born == latest.Born && o.Sequence > latest.Sequence) {
				latest, removed = o, false
			}
		} else {
			removed = true
		}
		read(d, change, published)
		c.now = c.now.Add(50 * time.Millisecond)
		d.Expire()
	}
	usable := latest != nil && !removed && latest.State == fleet.Ready
	i := d.View().Instances["a"]
	if got := i != nil && d.View().Usable(i); got != usable {
		t.Fatalf("%s: usable %t, want %t after %s", name, got, usable, describe(order))
	}
}

func describe(order []fleet.Change) (s string) {
	for _, c := range order {
		if c.Kind == fleet.InstanceRemoved {
			s += " removed"
		} else {
			s += fmt.Sprintf(" %d/%d:%d", c.Instance.Born, c.Instance.Sequence, c.Instance.State)
		}
	}
	return s
}

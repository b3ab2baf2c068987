package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/fleet"
)

// entryLife is the EntryLife of a new directory.
const entryLife = 4500 * time.Millisecond

func instanceWith(id string, state fleet.State, born int64, sequence uint64) fleet.Change {
	c := instanceSet(id, "desk", "10.0.0.1:80", born)
	c.Instance.State, c.Instance.Sequence = state, sequence
	return c
}

func published(d *fleet.Directory) map[string]fleet.Instance {
	all, _ := d.Published()
	byID := map[string]fleet.Instance{}
	for _, i := range all {
		byID[i.ID] = i
	}
	return byID
}

// Guards against live instances that are dropped because the store has come back
// from a copy without their entries, also after a short outage and twice in a row,
// and against dead ones that are kept.
func TestInstancesThatACopyLacksHaveTimeToWriteAgain(t *testing.T) {
	d, c := newDirectory()
	d.Apply([]fleet.Change{instanceSet("a", "desk", "10.0.0.1:80", 1), instanceSet("b", "desk", "10.0.0.2:80", 1)})
	d.Confirm(c.now)
	c.now = c.now.Add(200 * time.Millisecond)
	d.Confirm(c.now)
	d.Restore(nil)
	assert.Equal(t, len(d.View().Instances), 2)
	assert.Equal(t, len(published(d)), 0)
	assert.Assert(t, d.AwaitsRewrites())
	c.now = c.now.Add(1500 * time.Millisecond)
	d.Restore(nil)
	c.now = c.now.Add(1500 * time.Millisecond)
	d.Expire()
	assert.Equal(t, len(d.View().Instances), 2, "the second restore may have lost what was written after the first")
	d.Apply([]fleet.Change{instanceSet("a", "desk", "10.0.0.1:80", 1)})
	c.now = c.now.Add(500 * time.Millisecond)
	d.Expire()
	assert.Assert(t, d.View().Instances["a"] != nil && d.View().Instances["b"] == nil)
	assert.Assert(t, !d.AwaitsRewrites())
}

// Guards against an instance that leaves and gets requests again because a copy of
// the store shows an earlier entry, and against an entry that is never applied.
func TestEarlierEntryOfACopyIsHeldBack(t *testing.T) {
	d, c := newDirectory()
	d.Apply([]fleet.Change{instanceWith("a", fleet.Draining, 100, 9), instanceWith("b", fleet.Draining, 100, 9)})
	d.Restore([]fleet.Change{instanceWith("a", fleet.Ready, 100, 4), instanceWith("b", fleet.Ready, 90, 12)})
	v := d.View()
	assert.Assert(t, v.Instances["a"].State == fleet.Draining && v.Instances["b"].State == fleet.Draining)
	assert.Equal(t, published(d)["a"].State, fleet.Ready, "other nodes learn what is published")
	assert.Equal(t, d.Kept(), fleet.Kept{Outdated: 2})
	d.Apply([]fleet.Change{instanceWith("a", fleet.Ready, 100, 10)})
	assert.Equal(t, d.View().Instances["a"].State, fleet.Ready, "a later entry counts at once")
	d.Apply([]fleet.Change{instanceWith("a", fleet.Draining, 100, 11), instanceWith("a", fleet.Ready, 100, 10)})
	assert.Equal(t, d.View().Instances["a"].State, fleet.Draining)
	c.now = c.now.Add(entryLife + 2*time.Second)
	d.Expire()
	assert.Equal(t, d.View().Instances["a"].State, fleet.Ready, "still published after its time")
	assert.Equal(t, d.Kept(), fleet.Kept{})
}

// Guards against requests for an instance that has left and is in the copy from
// which the store has come back.
func TestRemovedInstanceDoesNotReturnWithACopy(t *testing.T) {
	d, c := newDirectory()
	entries := []fleet.Change{
		instanceWith("left", fleet.Ready, 100, 4), instanceWith("again", fleet.Ready, 100, 4), instanceWith("lapsed", fleet.Ready, 100, 4),
	}
	d.Apply(entries)
	d.Apply([]fleet.Change{instanceRemoved("left"), instanceRemoved("again"), instanceRemoved("lapsed")})
	c.now = c.now.Add(20 * time.Second)
	d.Expire()
	d.Restore(entries)
	assert.Equal(t, len(d.View().Instances), 0)
	assert.Equal(t, len(published(d)), 3)
	d.Apply([]fleet.Change{instanceRemoved("left"), instanceWith("again", fleet.Ready, 200, 1)})
	assert.Assert(t, d.View().Instances["again"] != nil, "a later start counts at once")
	c.now = c.now.Add(entryLife + 2*time.Second)
	d.Expire()
	v := d.View()
	assert.Assert(t, v.Instances["left"] == nil && v.Instances["lapsed"] != nil, "%v", v.Instances)
}

// Guards against an entry that is held back although nothing tells that it is
// outdated.
func TestEntriesWithoutOrderAreApplied(t *testing.T) {
	d, _ := newDirectory()
	d.Apply([]fleet.Change{instanceWith("a", fleet.Draining, 0, 9), instanceWith("b", fleet.Draining, 100, 0), instanceWith("c", fleet.Draining, 0, 9)})
	d.Apply([]fleet.Change{instanceRemoved("c")})
	d.Restore([]fleet.Change{instanceWith("a", fleet.Ready, 0, 4), instanceWith("b", fleet.Ready, 100, 0), instanceWith("c", fleet.Ready, 0, 4)})
	for _, id := range []string{"a", "b", "c"} {
		assert.Equal(t, d.View().Instances[id].State, fleet.Ready, id)
	}
}

// Guards against a zone that gets requests because the copy lacks its mark, against
// one that stays out for good, and against a mark that ends late.
func TestZoneThatACopyLacksStaysOutForAWhile(t *testing.T) {
	d, c := newDirectory()
	d.Apply([]fleet.Change{{Kind: fleet.ZoneOut, Zone: "surco"}, {Kind: fleet.ZoneOut, Zone: "ate"}, {Kind: fleet.ZoneOut, Zone: "callao"}})
	d.Restore(nil)
	assert.DeepEqual(t, d.View().ZonesOut, map[string]bool{"surco": true, "ate": true, "callao": true})
	_, out := d.Published()
	assert.Equal(t, len(out), 0)
	d.Apply([]fleet.Change{{Kind: fleet.ZoneIn, Zone: "callao"}, {Kind: fleet.ZoneOut, Zone: "ate"}})
	assert.DeepEqual(t, d.View().ZonesOut, map[string]bool{"surco": true, "ate": true})
	c.now = c.now.Add(2200 * time.Millisecond)
	d.Expire()
	assert.Assert(t, d.View().ZonesOut["surco"], "the operator may write later than the instances")
	c.now = c.now.Add(entryLife)
	d.Expire()
	assert.DeepEqual(t, d.View().ZonesOut, map[string]bool{"ate": true})
	d.Apply([]fleet.Change{{Kind: fleet.ZoneIn, Zone: "ate"}})
	assert.Equal(t, len(d.View().ZonesOut), 0)
}

// Guards against removed instances that fill the memory.
func TestRecordedRemovalsAreBounded(t *testing.T) {
	const all, recorded = 1100, 1024
	d, c := newDirectory()
	var entries []fleet.Change
	for i := range all {
		id := fmt.Sprint(i)
		entries = append(entries, instanceWith(id, fleet.Ready, 100, 4))
		d.Apply([]fleet.Change{entries[i], instanceRemoved(id)})
		c.now = c.now.Add(time.Millisecond)
	}
	d.Restore(entries)
	assert.Equal(t, d.Kept().Outdated, recorded)
	assert.Assert(t, d.View().Instances["0"] != nil, "the oldest removal is dropped first")
	d.Replace(nil)
	c.now = c.now.Add(time.Minute)
	d.Expire()
	c.now = c.now.Add(time.Minute)
	d.Expire()
	d.Restore(entries)
	assert.Equal(t, d.Kept().Outdated, 0)
}

// Guards against an instance whose removal was seen after an outage or a restore,
// while missing entries are kept, and that is ready again with the next copy.
func TestRemovalSeenInAGraceHoldsInARestore(t *testing.T) {
	d, c := newDirectory()
	entry := instanceWith("left", fleet.Ready, 100, 4)
	d.Apply([]fleet.Change{entry})
	d.Restore([]fleet.Change{entry})
	c.now = c.now.Add(500 * time.Millisecond)
	d.Apply([]fleet.Change{instanceRemoved("left")})
	c.now = c.now.Add(500 * time.Millisecond)
	d.Restore([]fleet.Change{entry})
	c.now = c.now.Add(2 * time.Second)
	d.Expire()
	assert.Assert(t, d.View().Instances["left"] == nil, "the copy has the entry that was removed")
}

// Guards against an earlier entry that is applied at the end of its time although a
// later one has been published since.
func TestLaterEntryEndsWhatIsHeldBack(t *testing.T) {
	d, c := newDirectory()
	d.Apply([]fleet.Change{instanceWith("a", fleet.Draining, 100, 9)})
	d.Restore([]fleet.Change{instanceWith("a", fleet.Ready, 100, 4)})
	d.Apply([]fleet.Change{instanceWith("a", fleet.Draining, 100, 10)})
	assert.Equal(t, d.Kept().Outdated, 0)
	all, _ := d.Published()
	assert.Equal(t, len(all), 1)
	c.now = c.now.Add(entryLife + 2*time.Second)
	d.Expire()
	assert.Equal(t, d.View().Instances["a"].State, fleet.Draining)
}

// Guards against an entry that is applied at the end of its time although a listing
// no longer has it.
func TestListingEndsWhatIsHeldBack(t *testing.T) {
	d, c := newDirectory()
	entry := instanceWith("left", fleet.Ready, 100, 4)
	d.Apply([]fleet.Change{entry, instanceRemoved("left")})
	d.Restore([]fleet.Change{entry})
	assert.Equal(t, d.Kept().Outdated, 1)
	d.Replace(nil)
	c.now = c.now.Add(entryLife + 2*time.Second)
	d.Expire()
	assert.Assert(t, d.View().Instances["left"] == nil)
}

// Guards against earlier entries that are applied while the store may still hold
// the entry of an instance that has left, and against two entries of one instance
// for other nodes.
func TestEarlierEntryIsHeldBackUntilTheStoreHasDroppedIt(t *testing.T) {
	d, c := newDirectory()
	d.Apply([]fleet.Change{instanceWith("a", fleet.Draining, 100, 9)})
	d.Restore([]fleet.Change{instanceWith("a", fleet.Ready, 100, 4)})
	all, _ := d.Published()
	assert.Equal(t, len(all), 1)
	c.now = c.now.Add(entryLife + 2*time.Second - time.Millisecond)
	d.Expire()
	assert.Equal(t, d.View().Instances["a"].State, fleet.Draining)
}

// Guards against a zone mark that ends early because a second restore follows.
func TestZoneMarkIsKeptAnewAfterASecondRestore(t *testing.T) {
	d, c := newDirectory()
	d.Apply([]fleet.Change{{Kind: fleet.ZoneOut, Zone: "surco"}})
	d.Restore(nil)
	c.now = c.now.Add(1500 * time.Millisecond)
	d.Restore(nil)
	c.now = c.now.Add(1500 * time.Millisecond)
	d.Expire()
	assert.Assert(t, d.View().ZonesOut["surco"])
}

// Guards against an instance whose removal the new era itself shows, and that gets
// requests until the end of the grace, which began with a late first listing.
func TestRemovalOfAnEntryThatTheNewEraHadIsNoGap(t *testing.T) {
	d, c := newDirectory()
	entry := instanceWith("a", fleet.Ready, 100, 4)
	d.Apply([]fleet.Change{entry})
	d.Confirm(c.now)
	c.now = c.now.Add(200 * time.Millisecond)
	d.Confirm(c.now)
	d.Restore([]fleet.Change{entry})
	d.Apply([]fleet.Change{instanceWith("a", fleet.Ready, 100, 5)})
	c.now = c.now.Add(100 * time.Millisecond)
	d.Apply([]fleet.Change{instanceRemoved("a")})
	assert.Assert(t, d.View().Instances["a"] == nil, "the store had the entry in this era, written anew, and removed it")
}

// Guards against a live instance that gets no requests for seconds because it wrote
// its entry again a little after the grace, unchanged.
func TestEntryThatReturnsAfterItsGraceIsUsed(t *testing.T) {
	d, c := newDirectory()
	entry := instanceWith("late", fleet.Ready, 100, 1)
	d.Apply([]fleet.Change{entry})
	d.Restore(nil)
	c.now = c.now.Add(2 * time.Second)
	d.Expire()
	assert.Assert(t, d.View().Instances["late"] == nil)
	c.now = c.now.Add(200 * time.Millisecond)
	d.Apply([]fleet.Change{entry})
	assert.Assert(t, d.View().Instances["late"] != nil, "nobody has said that it left")
}

package relay_test

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/relay"
)

func entry(revision uint64) relay.Entry {
	return relay.Entry{Revision: revision, Body: []byte(fmt.Sprint(revision))}
}

// at returns a position of the first era.
func at(revision uint64) relay.Position { return relay.Position{Revision: revision} }

// Guards against a reader that misses an update or gets one twice.
func TestLogReturnsWhatCameAfterARevision(t *testing.T) {
	now := time.Unix(1000, 0)
	l := relay.NewLog()
	l.Now = func() time.Time { return now }
	_, _, ok := l.Since(at(0))
	assert.Assert(t, !ok)
	l.Reset(at(10), now)
	for r := uint64(11); r <= 400; r++ {
		l.Append(entry(r), now)
	}
	got, p, ok := l.Since(at(398))
	assert.Assert(t, ok)
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].Revision, uint64(399))
	assert.Equal(t, p.Revision, uint64(400))
	_, _, ok = l.Since(at(100))
	assert.Assert(t, !ok, "what is no longer held")
	got, _, ok = l.Since(at(144))
	assert.Assert(t, ok)
	assert.Equal(t, len(got), 256)
	_, _, ok = l.Since(at(143))
	assert.Assert(t, !ok)
	got, _, ok = l.Since(at(500))
	assert.Assert(t, ok && len(got) == 0, "a reader that is ahead")
	l.Reset(at(390), now)
	_, _, ok = l.Since(at(389))
	assert.Assert(t, !ok)
}

// Guards against a log that looks current although its node has lost the store,
// and against readers that are not notified.
func TestLogTellsAgeAndChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	l := relay.NewLog()
	l.Now = func() time.Time { return now }
	l.Reset(at(10), now)
	now = now.Add(3 * time.Second)
	_, p, _ := l.Since(at(10))
	assert.Equal(t, p.Age, 3*time.Second)
	l.Confirm(12, now.Add(-time.Second))
	l.Confirm(12, now.Add(-2*time.Second))
	_, p, _ = l.Since(at(10))
	assert.Equal(t, p.Age, time.Second)
	assert.Equal(t, p.Revision, uint64(12))
	select {
	case <-p.Changed:
		t.Fatal("woken without an update")
	default:
	}
	l.Append(entry(13), now)
	<-p.Changed
	_, p, _ = l.Since(at(13))
	l.Confirm(13, now.Add(time.Millisecond))
	<-p.Changed
}

// Guards against a log that goes on from a revision which the restored store has
// given out again, and against a latest revision of the era before.
func TestLogHoldsOneEra(t *testing.T) {
	now := time.Unix(1000, 0)
	l := relay.NewLog()
	l.Now = func() time.Time { return now }
	l.Reset(relay.Position{Era: 1, Revision: 100}, now)
	l.Append(entry(101), now)
	_, s, ok := l.Since(relay.Position{Era: 1, Revision: 101})
	assert.Assert(t, ok)
	l.Reset(relay.Position{Era: 2, Revision: 60}, now)
	<-s.Changed
	for _, after := range []relay.Position{{Era: 1, Revision: 101}, {Era: 1, Revision: 60}, {Era: 3, Revision: 60}, {Revision: 101}} {
		_, s, ok = l.Since(after)
		assert.Assert(t, !ok, "%v", after)
		assert.Equal(t, s.Position, relay.Position{Era: 2, Revision: 60})
	}
	l.Append(entry(61), now)
	got, s, ok := l.Since(relay.Position{Era: 2, Revision: 60})
	assert.Assert(t, ok && len(got) == 1)
	assert.Equal(t, s.Position, relay.Position{Era: 2, Revision: 61})
}

// Guards against a revision of an earlier era that counts as newer.
func TestLaterErasComeAfterEarlierOnes(t *testing.T) {
	ordered := []relay.Position{{}, {Revision: 9}, {Era: 1}, {Era: 1, Revision: 5}, {Era: 1, Revision: 6}, {Era: 2, Revision: 1}}
	for i, a := range ordered {
		for j, b := range ordered {
			assert.Equal(t, a.Compare(b), cmp.Compare(i, j), "%v %v", a, b)
		}
	}
}

// Guards against configurations in quick succession that exhaust memory, and
// against a reader that misses a dropped one without notice.
func TestLogIsBoundedInBytes(t *testing.T) {
	now := time.Unix(1000, 0)
	l := relay.NewLog()
	l.Now = func() time.Time { return now }
	l.Reset(at(1), now)
	const size = 100 << 10
	for r := uint64(2); r <= 20; r++ {
		l.Append(relay.Entry{Revision: r, Body: make([]byte, size)}, now)
	}
	got, _, ok := l.Since(at(18))
	assert.Assert(t, ok)
	assert.Equal(t, len(got), 2)
	_, _, ok = l.Since(at(10))
	assert.Assert(t, !ok)
	l.Append(relay.Entry{Revision: 21, Body: make([]byte, 10*size)}, now)
	got, _, ok = l.Since(at(20))
	assert.Assert(t, ok && len(got) == 1, "one that is larger than all may be")
}

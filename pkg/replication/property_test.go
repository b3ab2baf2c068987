package replication_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/replication"
)

// Guards against an order of messages and deliveries that makes a Replica go
// back to an older version, lowers its floor or puts in force a version that was
// not delivered as a whole.
func TestReplicaNeverLowersVersionOrFloor(t *testing.T) {
	t.Parallel()
	type release struct {
		manifest []byte
		parts    map[string][]byte
	}
	var all []release
	for v := uint64(1); v <= 6; v++ {
		m, p := newVersion(t, v, 1, v == 4)
		all = append(all, release{m, p})
	}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		r := &replication.Replica{
			Self: hosts.Host{ID: "h-1", Zone: "z-00"}, Now: func() time.Time { return now },
			Rand: rand.New(rand.NewPCG(1, 1)), Accept: cachedAccept,
		}
		r.Start(now)
		last, floor := uint64(0), uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				r.Tick(now)
			},
			"source": func(t *rapid.T) {
				r.ObserveSourceManifest(rapid.SampledFrom(all).Draw(t, "release").manifest, now)
			},
			"peer": func(t *rapid.T) {
				s := replication.Summary{
					Version: rapid.Uint64Range(0, 7).Draw(t, "version"), Serving: rapid.Bool().Draw(t, "serving"),
					Digest: replication.Digest(rapid.SampledFrom([]string{"aa", "bb"}).Draw(t, "digest")),
				}
				r.ObserveSummary(hosts.Host{ID: "h-2", Zone: "z-00", ControlAddress: "x"}, s, now)
			},
			"part": func(t *rapid.T) {
				i := rapid.IntRange(0, len(all)-1).Draw(t, "release")
				for d, b := range all[i].parts {
					_, _ = r.Deliver(nil, map[string][]byte{d: b})
					if rapid.Bool().Draw(t, "one only") {
						return
					}
				}
			},
			"": func(t *rapid.T) {
				assert.Assert(t, r.Floor() >= floor)
				floor = r.Floor()
				c := r.Current()
				if c == nil {
					return
				}
				assert.Assert(t, c.Version >= last)
				assert.Assert(t, c.Version != 4, "the bad version is in force")
				assert.Assert(t, c.Version == last || len(c.Accounts) == 1 && len(c.Services) == 1)
				last = c.Version
			},
		})
	})
}

// Guards against a pattern of attempts with which a node reads the source more
// often than its budget allows.
func TestReadBudgetLimitsReads(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		b, now := replication.NewReadBudget(), time.Unix(1_000_000, 0)
		start, taken := now, 0.0
		for _, ms := range rapid.SliceOfN(rapid.IntRange(0, 900), 1, 200).Draw(t, "gaps") {
			now = now.Add(time.Duration(ms) * time.Millisecond)
			if b.Take(now) {
				taken++
			}
			assert.Assert(t, taken <= 8+4*now.Sub(start).Seconds()+1e-6)
		}
	})
}

// Guards against a node that sends bulk replies to any number of peers at once.
func TestBulkReplyLimiterLimitsReplies(t *testing.T) {
	t.Parallel()
	var a replication.BulkReplyLimiter
	const bulk = replication.MaxSmallReplyBytes + 1
	assert.Assert(t, a.Begin(bulk))
	assert.Assert(t, a.Begin(bulk))
	assert.Assert(t, !a.Begin(bulk))
	assert.Assert(t, a.Begin(replication.MaxSmallReplyBytes), "small replies are never refused")
	a.End(bulk)
	assert.Assert(t, a.Begin(bulk))
}

// Guards against an older version that replaces a newer one because its
// validation was slow and ended after the newer one came into force.
func TestSlowValidationOfAnOlderVersion(t *testing.T) {
	t.Parallel()
	f := startedFleet(t, 1, 1, 1, 0)
	replica := f.orderedNodes[0].replica
	m2, p2 := newVersion(t, 2, 1, false)
	m3, p3 := newVersion(t, 3, 1, false)
	replica.Accept = func(m []byte, p map[string][]byte) (*config.Snapshot, error) {
		if string(m) == string(m2) {
			_, err := replica.OfferVersion(m3, p3)
			assert.NilError(t, err)
		}
		return cachedAccept(m, p)
	}
	_, err := replica.OfferVersion(m2, p2)
	assert.NilError(t, err)
	assert.Equal(t, replica.Current().Version, uint64(3))
}

// Guards against a pull that takes a round trip for the manifest and another
// for the parts, or sends parts that the peer has.
func TestAnswerBringsManifestAndMissingParts(t *testing.T) {
	t.Parallel()
	f := startedFleet(t, 1, 1, 1, 0)
	replica := f.orderedNodes[0].replica
	digest := replica.Current().Digest
	a := replica.AnswerPull(replication.PullRequest{Manifest: digest})
	assert.Equal(t, config.DigestOf(a.Manifest), digest)
	assert.Equal(t, len(a.Parts), 2)
	for d := range a.Parts {
		b := replica.AnswerPull(replication.PullRequest{Manifest: digest, HeldParts: []replication.Digest{replication.Digest(d)}})
		assert.Equal(t, len(b.Parts), 1)
		assert.Assert(t, b.Parts[d] == nil)
	}
	a = replica.AnswerPull(replication.PullRequest{Parts: []string{"absent"}})
	assert.Equal(t, a.PayloadBytes(), 0)
}

package config_test

import (
	"flag"
	"net/url"
	"path"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// init fixes the seed of property tests. The flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

func ptr[T any](v T) *T { return &v }

func validDefaults() *config.Values {
	return &config.Values{
		Slots: ptr(12), ColdSlots: ptr(3), ConnectionsPerSecond: ptr(200), QueuePerAccount: ptr(50),
		CallTimeoutMs: ptr(2000), RetryPercent: ptr(10), MaxHeaderBytes: ptr(16384),
		Rate: ptr(100.0), Burst: ptr(50.0),
	}
}

const deskKey = "qd_test-key"

// validParts returns a small configuration without faults.
func validParts() map[string]config.Document {
	return map[string]config.Document{
		"fleet": {
			Defaults: validDefaults(),
			Zones:    []config.AvailabilityZone{{Name: "Surco", Region: "Lima"}, {Name: "Medellín Centro", Region: "Antioquia"}},
			Services: []config.Service{{Name: "desk"}, {Name: "records"}},
			Hosts:    []config.Host{{ID: "desk-1", Service: "desk", Zone: "Surco"}, {ID: "records-1", Service: "records", Zone: "Medellín Centro"}},
			Routes:   []config.Route{{Prefix: "/", Service: "desk"}, {Prefix: "/files", Service: "records", Open: true, Idempotent: true}, {Prefix: "/files/private", Service: "records"}},
		},
		"accounts": {
			Accounts: []config.ClientAccount{{Name: "club-a", Keys: []string{config.DigestOf([]byte(deskKey))}}, {Name: "club-b"}},
		},
		"exceptions": {
			Exceptions: []config.Exception{
				{Name: "small-desk", Reason: "half of the memory", Service: "desk", Values: config.Values{Slots: ptr(6)}},
				{Name: "surco-desk", Reason: "replaced by larger hosts", Service: "desk", Zone: "Surco", Values: config.Values{Slots: ptr(8)}},
				{Name: "club-b-rate", Reason: "contract of May", Account: "club-b", Values: config.Values{Rate: ptr(500.0)}},
				{Name: "old", Reason: "until the show", Retired: true, Service: "desk", Values: config.Values{Slots: ptr(1)}},
			},
		},
	}
}

// accept encodes the parts as version 7 and passes them to Accept.
func accept(t *testing.T, parts map[string]config.Document) (*config.Snapshot, error) {
	t.Helper()
	manifest, files, err := config.Encode(7, parts)
	assert.NilError(t, err)
	return config.Accept(manifest, files)
}

// Guards against a valid configuration being refused or misread.
func TestAcceptResolvesAWholeConfiguration(t *testing.T) {
	s, err := accept(t, validParts())
	assert.NilError(t, err)
	assert.Equal(t, s.Version, uint64(7))
	assert.Equal(t, s.Zones["Medellín Centro"].Region, "Antioquia")
	assert.Equal(t, s.Hosts["desk-1"].Service, "desk")

	assert.Equal(t, s.EffectiveValues("desk", "Surco", "").Slots, 8)
	assert.Equal(t, s.EffectiveValues("desk", "Medellín Centro", "club-a").Slots, 6)
	assert.Equal(t, s.EffectiveValues("records", "Surco", "").Slots, 12)
	assert.Equal(t, s.EffectiveValues("", "", "club-b").Rate, 500.0)
	assert.Equal(t, s.EffectiveValues("", "", "club-a").Rate, 100.0)

	a, ok := s.AccountOfKey(deskKey)
	assert.Assert(t, ok)
	assert.Equal(t, a.Name, "club-a")
	_, ok = s.AccountOfKey(deskKey + "x")
	assert.Assert(t, !ok)
}

// Guards against a prefix that matches within a segment, and against a path
// that a backend server interprets as one of a protected route but that matches
// an open route.
func TestRoute(t *testing.T) {
	s, err := accept(t, validParts())
	assert.NilError(t, err)
	for _, c := range []struct{ path, prefix string }{
		{"/", "/"},
		{"/entries/1", "/"},
		{"/files", "/files"},
		{"/files/", "/files"},
		{"/files/a/b/c/d/e/f/g/h", "/files"},
		{"/filesystem", "/"},
		{"/files/private", "/files/private"},
		{"/files/private/1", "/files/private"},
		{"/files/privates", "/files"},
		{"/files/%70rivate/1", "/files/private"},
		{"/files/a%20b", "/files"},
		{"/files;x/1", ""},
		{"/files%3Bx/1", ""},
		{"", ""},
		{"files", ""},
		{"/files/../entries", ""},
		{"/files/%2e%2E/entries", ""},
		{"/files/x/..;/private", ""},
		{"/files/.", ""},
		{"/files//private", ""},
		{"/files%2fprivate", ""},
		{"/files/..%5cprivate", ""},
		{"/files\\private", ""},
		{"/files/%zz", ""},
	} {
		r, ok := s.Route(c.path)
		assert.Equal(t, ok, c.prefix != "", "path %q", c.path)
		if ok {
			assert.Equal(t, r.Prefix, c.prefix, "path %q", c.path)
		}
	}
}

// Guards against a request that matches an open route and reaches a path that a
// route with keys protects. The route that is found must be that of the path
// that a backend server gets by decoding and cleaning.
func TestRouteIsThatOfTheCleanPath(t *testing.T) {
	s, err := accept(t, validParts())
	assert.NilError(t, err)
	found := 0
	rapid.Check(t, func(rt *rapid.T) {
		pieces := rapid.SliceOfN(rapid.SampledFrom([]string{
			"/", "/", "/files", "/private", "files", "private", "x", ".", "..", "%2e", "%2F", "%5C", "%70rivate", "%25", "\\", ";", "//",
		}), 1, 8).Draw(rt, "pieces")
		escaped := strings.Join(pieces, "")
		r, ok := s.Route(escaped)
		if !ok {
			return
		}
		found++
		plain, err := url.PathUnescape(escaped)
		assert.NilError(rt, err)
		clean := path.Clean(strings.ReplaceAll(plain, "\\", "/"))
		want := "/"
		for _, prefix := range []string{"/files", "/files/private"} {
			if clean == prefix || strings.HasPrefix(clean, prefix+"/") {
				want = prefix
			}
		}
		assert.Equal(rt, r.Prefix, want, "%q", escaped)
	})
	assert.Assert(t, found > 0)
}

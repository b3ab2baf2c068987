package config_test

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// faultsOf accepts validParts after edit and returns the faults as lines of the
// form "part: key: reason".
func faultsOf(t *testing.T, edit func(fleet, accounts, exceptions *config.Document)) []string {
	t.Helper()
	p := validParts()
	fleet, accounts, exceptions := p["fleet"], p["accounts"], p["exceptions"]
	edit(&fleet, &accounts, &exceptions)
	_, err := accept(t, map[string]config.Document{"fleet": fleet, "accounts": accounts, "exceptions": exceptions})
	return faultLines(t, err)
}

// faultLines returns the faults of err as lines, none if err is nil.
func faultLines(t *testing.T, err error) []string {
	t.Helper()
	var f *config.Faults
	if !errors.As(err, &f) {
		assert.NilError(t, err)
		return nil
	}
	var typed *errorx.Error
	assert.Assert(t, errors.As(err, &typed) && typed.IsOfType(config.ErrRefused))
	var out []string
	for _, e := range f.List {
		out = append(out, e.Part+": "+e.Key+": "+e.Reason)
	}
	return out
}

// Guards against an invalid configuration being accepted, and against a fault
// that is reported for the wrong part or key or along with faults that do not
// exist.
func TestAcceptRefusesEachFault(t *testing.T) {
	type doc = config.Document
	for _, c := range []struct {
		want string
		edit func(fleet, accounts, exceptions *doc)
	}{
		{`fleet: Zones["Surco"]: the name occurs twice`, func(f, _, _ *doc) { f.Zones = append(f.Zones, f.Zones[0]) }},
		{`fleet: Services["desk"]: the name occurs twice`, func(f, _, _ *doc) { f.Services = append(f.Services, f.Services[0]) }},
		{`fleet: Hosts["desk-1"]: the name occurs twice`, func(f, _, _ *doc) { f.Hosts = append(f.Hosts, f.Hosts[0]) }},
		{`fleet: Routes["/files"]: the name occurs twice`, func(f, _, _ *doc) { f.Routes = append(f.Routes, f.Routes[1]) }},
		{`accounts: Accounts["club-b"]: the name occurs twice`, func(_, a, _ *doc) { a.Accounts = append(a.Accounts, a.Accounts[1]) }},
		{`exceptions: Exceptions["old"]: the name occurs twice`, func(_, _, e *doc) { e.Exceptions = append(e.Exceptions, e.Exceptions[3]) }},
		{`fleet: Defaults: part exceptions has the defaults already`, func(f, _, e *doc) { e.Defaults = f.Defaults }},
		{`manifest: Defaults: no part has the defaults`, func(f, _, _ *doc) { f.Defaults = nil }},
		{`fleet: Defaults.Rate: every default must be set`, func(f, _, _ *doc) { f.Defaults.Rate = nil }},
		{`fleet: Defaults.Rate: NaN is not between 0.001 and 10000000`, func(f, _, _ *doc) { f.Defaults.Rate = ptr(math.NaN()) }},
		{`fleet: Defaults.Rate: +Inf is not between 0.001 and 10000000`, func(f, _, _ *doc) { f.Defaults.Rate = ptr(math.Inf(1)) }},
		{`fleet: Defaults.Burst: -1 is not between 1 and 10000000`, func(f, _, _ *doc) { f.Defaults.Burst = ptr(-1.0) }},
		{`fleet: Defaults.RetryPercent: 101 is not between 0 and 100`, func(f, _, _ *doc) { f.Defaults.RetryPercent = ptr(101) }},
		{`fleet: Defaults.CallTimeoutMs: 0 is not between 1 and 300000`, func(f, _, _ *doc) { f.Defaults.CallTimeoutMs = ptr(0) }},
		{`fleet: Defaults.ColdSlots: 13 exceeds Slots, 12`, func(f, _, _ *doc) { f.Defaults.ColdSlots = ptr(13) }},
		{`fleet: Hosts["desk-1"].Service: there is no service "desks"`, func(f, _, _ *doc) { f.Hosts[0].Service = "desks" }},
		{`fleet: Hosts["desk-1"].Zone: there is no zone "Ate"`, func(f, _, _ *doc) { f.Hosts[0].Zone = "Ate" }},
		{`fleet: Hosts["Desk 1"].ID: must be a DNS label`, func(f, _, _ *doc) { f.Hosts[0].ID = "Desk 1" }},
		{`fleet: Services["x\r\ny"].Name: must be 1 to 63 ASCII`, func(f, _, _ *doc) { f.Services = append(f.Services, config.Service{Name: "x\r\ny"}) }},
		{`fleet: Services["-x"].Name: must be 1 to 63 ASCII`, func(f, _, _ *doc) { f.Services = append(f.Services, config.Service{Name: "-x"}) }},
		{`fleet: Services["` + strings.Repeat("x", 64) + `"].Name: must be 1 to 63 ASCII`, func(f, _, _ *doc) {
			f.Services = append(f.Services, config.Service{Name: strings.Repeat("x", 64)})
		}},
		{`fleet: Zones[2].Name: must be 1 to 63 bytes`, func(f, _, _ *doc) { f.Zones = append(f.Zones, config.AvailabilityZone{Region: "Lima"}) }},
		{`fleet: Routes["/files"].Service: there is no service "file"`, func(f, _, _ *doc) { f.Routes[1].Service = "file" }},
		{`fleet: Routes["/a/../b"].Prefix: must be a path`, func(f, _, _ *doc) { f.Routes[1].Prefix = "/a/../b" }},
		{`fleet: Routes["/files/"].Prefix: must be a path`, func(f, _, _ *doc) { f.Routes[1].Prefix = "/files/" }},
		{`accounts: Accounts["club-a"].Keys: "secret" is not a digest`, func(_, a, _ *doc) { a.Accounts[0].Keys = []string{"secret"} }},
		{`accounts: Accounts["club-b"].Keys: account "club-a" has the key`, func(_, a, _ *doc) { a.Accounts[1].Keys = a.Accounts[0].Keys }},
		{`exceptions: Exceptions["small-desk"].Reason: every exception needs a reason`, func(_, _, e *doc) { e.Exceptions[0].Reason = " \n" }},
		{`exceptions: Exceptions["small-desk"].Values: no value is set`, func(_, _, e *doc) { e.Exceptions[0].Values = config.Values{} }},
		{`exceptions: Exceptions["small-desk"].Values.Slots: 0 is not between`, func(_, _, e *doc) { e.Exceptions[0].Values.Slots = ptr(0) }},
		{`exceptions: Exceptions["small-desk"].Service: there is no service "desks"`, func(_, _, e *doc) { e.Exceptions[0].Service = "desks" }},
		{`exceptions: Exceptions["surco-desk"].Zone: there is no zone "Ate"`, func(_, _, e *doc) { e.Exceptions[1].Zone = "Ate" }},
		{`exceptions: Exceptions["club-b-rate"].Account: there is no account "club-c"`, func(_, _, e *doc) { e.Exceptions[2].Account = "club-c" }},
		{`exceptions: Exceptions["club-b-rate"]: no selector is set`, func(_, _, e *doc) { e.Exceptions[2].Account = "" }},
		{`exceptions: Exceptions["club-b-rate"].Values.Rate: counts over the whole fleet`, func(_, _, e *doc) { e.Exceptions[2].Zone = "Surco" }},
		{`exceptions: Exceptions["old"].Values.Slots: belongs to a host`, func(_, _, e *doc) { e.Exceptions[3].Account = "club-a" }},
		{`exceptions: Exceptions["old"].Values.Slots: ambiguous: exception "small-desk" has as many selectors`, func(_, _, e *doc) { e.Exceptions[3].Retired = false }},
		{`exceptions: Exceptions["old"].Values.Slots: ambiguous: exception "small-desk" has as many selectors`, func(_, _, e *doc) {
			e.Exceptions[3].Retired, e.Exceptions[3].Service, e.Exceptions[3].Zone = false, "", "Surco"
		}},
		{`exceptions: Exceptions["twice"].Values.Rate: ambiguous: exception "club-b-rate" has as many selectors`, func(_, _, e *doc) {
			e.Exceptions = append(e.Exceptions, config.Exception{Name: "twice", Reason: "r", Account: "club-b", Values: config.Values{Rate: ptr(1.0)}})
		}},
		{`exceptions: Exceptions["queue-b"].Values.QueuePerAccount: ambiguous: exception "queue" has as many selectors`, func(_, _, e *doc) {
			e.Exceptions = append(
				e.Exceptions, config.Exception{Name: "queue", Reason: "r", Service: "desk", Values: config.Values{QueuePerAccount: ptr(1)}},
				config.Exception{Name: "queue-b", Reason: "r", Account: "club-b", Values: config.Values{QueuePerAccount: ptr(2)}},
			)
		}},
		{`exceptions: Exceptions["small-desk"].Values.Slots: service "desk" in zone "" gets ColdSlots 3, more than Slots 2`, func(_, _, e *doc) { e.Exceptions[0].Values.Slots = ptr(2) }},
	} {
		got := faultsOf(t, c.edit)
		assert.Equal(t, len(got), 1, "%s\n%s", c.want, strings.Join(got, "\n"))
		assert.Assert(t, strings.HasPrefix(got[0], c.want), "%s", got[0])
	}
}

// Guards against a retired exception that prevents the removal of the service
// that it selects.
func TestRetiredExceptionMayNameWhatIsGone(t *testing.T) {
	assert.Equal(t, len(faultsOf(t, func(_, _, e *config.Document) { e.Exceptions[3].Service = "gone" })), 0)
}

// Guards against a publication that overloads every node: exceptions are
// checked in pairs, and each part is fetched on its own.
func TestAcceptBoundsExceptionsAndParts(t *testing.T) {
	got := faultsOf(t, func(_, _, e *config.Document) {
		for i := range 997 {
			x := e.Exceptions[3]
			x.Name = fmt.Sprintf("x%d", i)
			e.Exceptions = append(e.Exceptions, x)
		}
	})
	assert.DeepEqual(t, got, []string{"manifest: Exceptions: 1001 exceptions exceed the limit of 1000"})

	tooMany := validParts()
	for i := range config.MaxParts - 2 {
		tooMany[fmt.Sprintf("part-%d", i)] = config.Document{Services: []config.Service{{Name: fmt.Sprintf("s%d", i)}}}
	}
	_, err := accept(t, tooMany)
	assert.DeepEqual(t, faultLines(t, err), []string{"manifest: Parts: 257 parts exceed the limit of 256"})
}

// Guards against only some faults being reported, so that an operator would
// have to publish once for each.
func TestAcceptReportsAllFaultsInOrderOfTheManifest(t *testing.T) {
	got := faultsOf(t, func(fleet, accounts, exceptions *config.Document) {
		fleet.Hosts[0].Zone = "Ate"
		fleet.Defaults.Burst = ptr(0.0)
		accounts.Accounts[0].Keys = []string{"x"}
		exceptions.Exceptions[2].Reason = ""
		exceptions.Exceptions[1].Zone = "Bello"
	})
	assert.DeepEqual(t, got, []string{
		`accounts: Accounts["club-a"].Keys: "x" is not a digest of 64 lower-case hexadecimal digits`,
		`exceptions: Exceptions["surco-desk"].Zone: there is no zone "Bello"`,
		`exceptions: Exceptions["club-b-rate"].Reason: every exception needs a reason`,
		`fleet: Defaults.Burst: 0 is not between 1 and 10000000`,
		`fleet: Hosts["desk-1"].Zone: there is no zone "Ate"`,
	})
}

// Guards against parts of two versions being combined, and against missing,
// altered, unlisted or too large parts being accepted.
func TestAcceptRefusesWrongParts(t *testing.T) {
	manifest, files, err := config.Encode(7, validParts())
	assert.NilError(t, err)
	m, err := config.ParseManifest(manifest)
	assert.NilError(t, err)
	digest := m.Parts[0].Digest
	for _, c := range []struct {
		want string
		edit func(files map[string][]byte)
	}{
		{`manifest: Parts["accounts"]: the part with digest ` + digest + ` is missing`, func(f map[string][]byte) { delete(f, digest) }},
		{`accounts: : the digest is `, func(f map[string][]byte) { f[digest] = append([]byte("# altered\n"), f[digest]...) }},
		{`00: : the manifest does not list this part`, func(f map[string][]byte) { f["00"] = nil }},
		{`manifest: : 4194305 bytes over all parts exceed the limit`, func(f map[string][]byte) {
			f[digest] = make([]byte, config.MaxTotalBytes+1-totalBytes(manifest, f)+len(f[digest]))
		}},
	} {
		altered := map[string][]byte{}
		for k, v := range files {
			altered[k] = v
		}
		c.edit(altered)
		_, err := config.Accept(manifest, altered)
		got := faultLines(t, err)
		assert.Equal(t, len(got), 1, "%s\n%s", c.want, strings.Join(got, "\n"))
		assert.Assert(t, strings.HasPrefix(got[0], c.want), "%s", got[0])
	}
}

func totalBytes(manifest []byte, files map[string][]byte) int {
	n := len(manifest)
	for _, f := range files {
		n += len(f)
	}
	return n
}

// Guards against a part that the decoder reads differently from what its author
// meant: unknown keys, keys in another case, wrong types, overflow.
func TestAcceptRefusesLooseTOML(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"Colour = 1\n[[Zones]]\nName = 'x'\nRegion = 'r'\nOuts = true", "p: Colour: line 1: unknown key; p: Zones.Outs: line 5: unknown key"},
		{"[[Zones]]\nName = 'x'\nRegion = 'r'\nout = true\nOut = false", "p: Zones.out: must be written Out"},
		{"[[Zones]]\nName = 1", "p: Zones.Name: line 2: cannot decode TOML integer into struct field config.AvailabilityZone.Name of type string"},
		{"[Defaults]\nSlots = 99999999999999999999", "p: Defaults.Slots: line 2: decimal number is too large to fit in a 64-bit signed integer"},
		{"[Defaults]\nRate = 1e999", `p: Defaults.Rate: line 2: unable to parse float: strconv.ParseFloat: parsing "1e999": value out of range`},
		{"[[Zones]", "p: : line 1: expected ']]' to close array table name"},
		{"# " + strings.Repeat("x", config.MaxValueBytes), "p: : 1048578 bytes exceed the limit of 1048576"},
	} {
		manifest, files, err := config.Encode(1, validParts())
		assert.NilError(t, err)
		digest := config.DigestOf([]byte(c.text))
		files[digest] = []byte(c.text)
		manifest = fmt.Appendf(manifest, "\n[[Parts]]\nName = 'p'\nDigest = '%s'\n", digest)
		_, err = config.Accept(manifest, files)
		assert.Equal(t, strings.Join(faultLines(t, err), "; "), c.want)
	}
}

// Guards against a manifest being accepted that is incomplete or lists a part
// name or digest twice.
func TestParseManifestRefuses(t *testing.T) {
	a, b := strings.Repeat("a", 64), strings.Repeat("b", 64)
	part := func(name, digest string) string {
		return fmt.Sprintf("[[Parts]]\nName = '%s'\nDigest = '%s'\n", name, digest)
	}
	for _, c := range []struct{ text, want string }{
		{"Version = 0\n" + part("x", a), "manifest: Version: must be at least 1"},
		{"Version = -1\n" + part("x", a), "manifest: Version: line 1: negative integer value -1 cannot be stored in uint64"},
		{"Version = 1", "manifest: Parts: must name at least one part"},
		{"Version = 1\n" + part("x", a) + part("x", b), `manifest: Parts["x"]: the name occurs twice`},
		{"Version = 1\n" + part("x", a) + part("y", a), `manifest: Parts["y"].Digest: the digest occurs twice`},
		{"Version = 1\n" + part("manifest", a), `manifest: Parts["manifest"].Name: is reserved for the manifest`},
		{"Version = 1\n" + part("x", "AA"), `manifest: Parts["x"].Digest: must be 64 lower-case hexadecimal digits`},
		{"Version = 1\nversion = 2\n" + part("x", a), "manifest: version: must be written Version"},
	} {
		_, err := config.ParseManifest([]byte(c.text))
		assert.Equal(t, strings.Join(faultLines(t, err), "; "), c.want)
	}
}

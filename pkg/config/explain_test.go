package config_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// Guards against EffectiveValues, which nodes apply, and Explain, which
// operators read, returning different values. Both are compared with a linear
// search over random exceptions.
func TestEffectiveAndExplainAgree(t *testing.T) {
	draw := func(t *rapid.T, label string, choices ...string) string {
		return rapid.SampledFrom(choices).Draw(t, label)
	}
	accepted := 0
	rapid.Check(t, func(rt *rapid.T) {
		p := validParts()
		var e config.Document
		for i := range rapid.IntRange(0, 5).Draw(rt, "exceptions") {
			x := config.Exception{
				Name: fmt.Sprintf("e%d", i), Reason: "r",
				Service: draw(rt, "service", "", "desk", "records"),
				Zone:    draw(rt, "zone", "", "Surco", "Medellín Centro"),
				Account: draw(rt, "account", "", "club-a"),
				Retired: rapid.Bool().Draw(rt, "retired"),
			}
			v := rapid.IntRange(3, 100).Draw(rt, "value")
			if rapid.Bool().Draw(rt, "timeout") || x.Account != "" {
				x.Values.CallTimeoutMs = &v
			} else {
				x.Values.Slots = &v
			}
			e.Exceptions = append(e.Exceptions, x)
		}
		p["exceptions"] = e
		s, err := accept(t, p)
		if err != nil {
			return
		}
		accepted++
		service, zone, account := draw(rt, "s", "", "desk", "records", "none"), draw(rt, "z", "", "Surco"), draw(rt, "a", "", "club-a", "club-b")
		got := reflect.ValueOf(s.EffectiveValues(service, zone, account))
		origins := s.Explain(service, zone, account)
		assert.Equal(rt, len(origins), got.NumField())
		for i, o := range origins {
			assert.Equal(rt, o.Name, got.Type().Field(i).Name)
			want, wantException, wantSpecificity := reflect.ValueOf(s.Defaults).Field(i).Elem(), "", 0
			for _, x := range e.Exceptions {
				v := reflect.ValueOf(x.Values).Field(i)
				specificity := 0
				match := !x.Retired && !v.IsNil()
				for _, pair := range [][2]string{{x.Service, service}, {x.Zone, zone}, {x.Account, account}} {
					if pair[0] != "" {
						specificity++
						match = match && pair[0] == pair[1]
					}
				}
				if match && specificity > wantSpecificity {
					want, wantException, wantSpecificity = v.Elem(), x.Name, specificity
				}
			}
			assert.Equal(rt, got.Field(i).Interface(), want.Interface())
			assert.Equal(rt, fmt.Sprint(o.Value), fmt.Sprint(want.Interface()))
			assert.Equal(rt, o.Exception, wantException)
		}
	})
	assert.Assert(t, accepted > 0)
}

// Guards against a change that Diff leaves out or lists under the wrong subject.
func TestDiff(t *testing.T) {
	before, err := accept(t, validParts())
	assert.NilError(t, err)
	p := validParts()
	fleet, accounts, exceptions := p["fleet"], p["accounts"], p["exceptions"]
	fleet.Defaults.Slots, fleet.Defaults.CallTimeoutMs = ptr(16), ptr(1500)
	fleet.Zones[0].Out = true
	fleet.Zones = append(fleet.Zones, config.AvailabilityZone{Name: "Ate", Region: "Lima"})
	fleet.Services = append(fleet.Services, config.Service{Name: "sheets"})
	fleet.Hosts[0].Zone = "Ate"
	fleet.Hosts[1] = config.Host{ID: "sheets-1", Service: "sheets", Zone: "Ate", Out: true}
	fleet.Routes[1].Open = false
	fleet.Routes[2].Service = "sheets"
	accounts.Accounts[0].Keys = []string{config.DigestOf([]byte("new"))}
	accounts.Accounts[1] = config.ClientAccount{Name: "club-c"}
	exceptions.Exceptions[0].Retired = true
	exceptions.Exceptions[1].Values.Slots = ptr(9)
	exceptions.Exceptions[2].Account = "club-a"
	exceptions.Exceptions = append(exceptions.Exceptions[:3],
		config.Exception{Name: "slow-files", Reason: "large scans", Service: "records", Account: "club-a", Values: config.Values{CallTimeoutMs: ptr(9000)}})
	after, err := accept(t, map[string]config.Document{"fleet": fleet, "accounts": accounts, "exceptions": exceptions})
	assert.NilError(t, err)

	golden.Assert(t, changesText(config.Diff(before, after)), "diff.golden")
	assert.Equal(t, len(config.Diff(after, after)), 0)
	assert.Assert(t, len(config.Diff(nil, after)) > 0)
}

// changesText returns one line for each change.
func changesText(changes []config.Change) string {
	var b strings.Builder
	for _, c := range changes {
		fmt.Fprintf(&b, "%s %s | %s | %s -> %s\n", c.SubjectKind, c.SubjectName, c.Property, c.Before, c.After)
	}
	return b.String()
}

// Guards against NewKey returning the same key twice, and against a digest by
// which the key's account is not found.
func TestNewKey(t *testing.T) {
	key, digest, err := config.NewKey()
	assert.NilError(t, err)
	other, _, err := config.NewKey()
	assert.NilError(t, err)
	assert.Assert(t, key != other)
	p := validParts()
	p["accounts"].Accounts[1].Keys = []string{digest}
	s, err := accept(t, p)
	assert.NilError(t, err)
	a, ok := s.AccountOfKey(key)
	assert.Assert(t, ok)
	assert.Equal(t, a.Name, "club-b")
	for _, k := range []string{"", other, digest, strings.Repeat("x", 300)} {
		_, ok = s.AccountOfKey(k)
		assert.Assert(t, !ok, "%q", k)
	}
}

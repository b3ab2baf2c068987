package config_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// Sizes of the target deployment. The numbers of accounts and exceptions are
// assumptions.
const (
	targetZones      = 19
	targetRegions    = 6
	targetServices   = 93
	targetHosts      = 1100
	targetAccounts   = 40
	targetExceptions = 24
)

// targetParts returns a configuration of the size of the target deployment.
func targetParts() map[string]config.Document {
	fleet := config.Document{Defaults: validDefaults()}
	for i := range targetZones {
		fleet.Zones = append(fleet.Zones, config.AvailabilityZone{Name: fmt.Sprintf("zone-%02d", i), Region: fmt.Sprintf("region-%d", i%targetRegions)})
	}
	var services, hosts, accounts, exceptions config.Document
	for i := range targetServices {
		name := fmt.Sprintf("service-%02d", i)
		services.Services = append(services.Services, config.Service{Name: name})
		services.Routes = append(services.Routes,
			config.Route{Prefix: "/" + name, Service: name},
			config.Route{Prefix: "/" + name + "/public/files", Service: name, Open: true, Idempotent: true})
	}
	for i := range targetHosts {
		hosts.Hosts = append(hosts.Hosts, config.Host{
			ID: fmt.Sprintf("host-%04d", i), Service: fmt.Sprintf("service-%02d", i%targetServices), Zone: fmt.Sprintf("zone-%02d", i%targetZones),
		})
	}
	for i := range targetAccounts {
		a := config.ClientAccount{Name: fmt.Sprintf("account-%02d", i)}
		for j := range 3 {
			a.Keys = append(a.Keys, config.DigestOf(fmt.Appendf(nil, "key-%d-%d", i, j)))
		}
		accounts.Accounts = append(accounts.Accounts, a)
	}
	for i := range targetExceptions {
		e := config.Exception{Name: fmt.Sprintf("exception-%02d", i), Reason: "measured capacity of this size"}
		switch i % 3 {
		case 0:
			e.Service, e.Values.Slots = fmt.Sprintf("service-%02d", i), ptr(6)
		case 1:
			e.Service, e.Zone, e.Values.Slots = fmt.Sprintf("service-%02d", i-1), "zone-03", ptr(9)
		case 2:
			e.Account, e.Values.Rate = fmt.Sprintf("account-%02d", i), ptr(900.0)
		}
		exceptions.Exceptions = append(exceptions.Exceptions, e)
	}
	return map[string]config.Document{"fleet": fleet, "services": services, "hosts": hosts, "accounts": accounts, "exceptions": exceptions}
}

// acceptTarget encodes and accepts targetParts.
func acceptTarget(tb testing.TB) (manifest []byte, files map[string][]byte, s *config.Snapshot) {
	tb.Helper()
	manifest, files, err := config.Encode(1, targetParts())
	assert.NilError(tb, err)
	s, err = config.Accept(manifest, files)
	assert.NilError(tb, err)
	return manifest, files, s
}

func BenchmarkAccept(b *testing.B) {
	manifest, files, _ := acceptTarget(b)
	size := len(manifest)
	for _, f := range files {
		size += len(f)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := config.Accept(manifest, files); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "published-bytes")
}

func BenchmarkRoute(b *testing.B) {
	_, _, s := acceptTarget(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.Route("/service-42/public/files/ring/7/sheet.pdf"); !ok {
			b.Fatal("no route")
		}
	}
}

func BenchmarkAccountOfKey(b *testing.B) {
	_, _, s := acceptTarget(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.AccountOfKey("key-17-1"); !ok {
			b.Fatal("no account")
		}
	}
}

func BenchmarkEffective(b *testing.B) {
	_, _, s := acceptTarget(b)
	b.ReportAllocs()
	for b.Loop() {
		if e := s.EffectiveValues("service-03", "zone-03", "account-05"); e.Slots != 9 || e.Rate != 900 {
			b.Fatal(e)
		}
	}
}

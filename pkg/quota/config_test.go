package quota

import (
	"fmt"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// An accountLimit is the limit of an account in a test's configuration.
type accountLimit struct{ rate, burst float64 }

func ptr[T any](v T) *T { return &v }

// hostIDs returns the IDs of n hosts.
func hostIDs(n int) []string {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("h-%04d", i))
	}
	return ids
}

// snapshot returns an accepted configuration with hosts and accounts.
func snapshot(version uint64, ids []string, accounts map[string]accountLimit) *config.Snapshot {
	d := config.Document{
		Defaults: &config.Values{
			Slots: ptr(12), ColdSlots: ptr(3), ConnectionsPerSecond: ptr(200), QueuePerAccount: ptr(50),
			CallTimeoutMs: ptr(2000), RetryPercent: ptr(10), MaxHeaderBytes: ptr(16384),
			Rate: ptr(1.0), Burst: ptr(1.0),
		},
		Zones:    []config.AvailabilityZone{{Name: "z", Region: "r"}},
		Services: []config.Service{{Name: "desk"}},
		Routes:   []config.Route{{Prefix: "/", Service: "desk"}},
	}
	for _, id := range ids {
		d.Hosts = append(d.Hosts, config.Host{ID: id, Service: "desk", Zone: "z"})
	}
	for name, l := range accounts {
		d.Accounts = append(d.Accounts, config.ClientAccount{Name: name})
		d.Exceptions = append(d.Exceptions, config.Exception{
			Name: name, Reason: "test", Account: name, Values: config.Values{Rate: ptr(l.rate), Burst: ptr(l.burst)},
		})
	}
	m, files, err := config.Encode(version, map[string]config.Document{"all": d})
	if err != nil {
		panic(err)
	}
	s, err := config.Accept(m, files)
	if err != nil {
		panic(err)
	}
	return s
}

// Package examples holds the configurations of two deployments. The files
// under lima and antioquia are written from it, so that their digests match:
//
//	go test ./examples -update
package examples

import (
	"fmt"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// Version is the version of both published examples.
const Version = 1

// Key returns the key of an account of the examples. It is public, so no
// deployment may grant it.
func Key(account string) string {
	return "qd_example-" + account
}

// hosts spreads n hosts of a service over the zones in turn, starting at
// first. The hosts are named service-1 to service-n.
func hosts(service string, n, first int, zones []config.AvailabilityZone) []config.Host {
	var out []config.Host
	for i := range n {
		out = append(out, config.Host{
			ID:      fmt.Sprintf("%s-%d", service, i+1),
			Service: service,
			Zone:    zones[(first+i)%len(zones)].Name,
		})
	}
	return out
}

// zones returns zones of one region.
func zones(region string, names ...string) []config.AvailabilityZone {
	var out []config.AvailabilityZone
	for _, name := range names {
		out = append(out, config.AvailabilityZone{Name: name, Region: region})
	}
	return out
}

// accounts grants each account its example key.
func accounts(names ...string) []config.ClientAccount {
	var out []config.ClientAccount
	for _, name := range names {
		out = append(out, config.ClientAccount{Name: name, Keys: []string{config.DigestOf([]byte(Key(name)))}})
	}
	return out
}

func ptr[T any](v T) *T {
	return &v
}

// Package examples defines example configurations of two deployments. The files
// in the folders lima and antioquia are generated from it, because a manifest
// contains the digests of its parts:
//
//	go test ./examples -update
package examples

import (
	"fmt"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// Version is the configuration version in both manifests.
const Version = 1

// Key returns the key of an example account. Real deployments must not use these
// keys, because they are public.
func Key(account string) string {
	return "qd_example-" + account
}

// hosts returns n hosts of a service with the IDs SERVICE-1 to SERVICE-n. They are
// assigned to the zones in turn, beginning with the zone of index first.
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

// zones returns availability zones of one region.
func zones(region string, names ...string) []config.AvailabilityZone {
	var out []config.AvailabilityZone
	for _, name := range names {
		out = append(out, config.AvailabilityZone{Name: name, Region: region})
	}
	return out
}

// accounts returns client accounts with their example keys.
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

// Package config holds the accepted configuration of the mesh.
//
// Operators publish a manifest and its parts. Accept turns their bytes into
// an immutable Snapshot or refuses them whole. It is a pure function, so
// every node reaches the same verdict on the same bytes.
package config

// ValueLimit is the largest value, in bytes, that the platform's
// configuration service holds.
const ValueLimit = 1 << 20

// TotalLimit is the largest configuration in bytes, manifest and parts. It is
// forty times the target's size and keeps Accept within a node's memory.
const TotalLimit = 4 << 20

// PartLimit is the largest number of parts. It bounds what a node fetches for
// one manifest.
const PartLimit = 256

// A Manifest names the parts that make up one version of the configuration.
type Manifest struct {
	// Version is at least 1 and only rises from one publication to the next.
	Version uint64
	// Parts is not empty; no two entries share a name.
	Parts []PartRef
}

// A PartRef points at one part of a configuration by its content.
type PartRef struct {
	Name string
	// Digest is the SHA-256 of the part's bytes in lower-case hexadecimal.
	// The part is published under the key "parts/<Digest>".
	Digest string
}

// A Document is one part, or all parts of a version merged into one.
// A name that occurs twice over all parts is refused.
type Document struct {
	// Defaults is set in exactly one part and sets every value.
	Defaults   *Values            `toml:",omitempty"`
	Zones      []AvailabilityZone `toml:",omitempty"`
	Services   []Service          `toml:",omitempty"`
	Hosts      []Host             `toml:",omitempty"`
	Routes     []Route            `toml:",omitempty"`
	Accounts   []ClientAccount    `toml:",omitempty"`
	Exceptions []Exception        `toml:",omitempty"`
}

// An AvailabilityZone is a group of hosts that can fail or be taken out
// together.
type AvailabilityZone struct {
	Name   string
	Region string
	// Out excludes every backend server of the zone from new work.
	Out bool `toml:",omitempty"`
}

// A Service is a set of interchangeable backend servers.
type Service struct {
	Name string
}

// A Host is a published host. Published hosts own quota shares and
// idempotency keys; hosts known only from the platform's host list own
// nothing.
type Host struct {
	// ID is never given to another host.
	ID string
	// Service and Zone name entries of the same configuration.
	Service string
	Zone    string
	// Out excludes the host's backend server from new work.
	Out bool `toml:",omitempty"`
}

// A Route sends requests whose path lies under Prefix to a service.
type Route struct {
	// Prefix starts with a slash and matches on path segment bounds.
	Prefix  string
	Service string
	// Open lets requests without a key pass.
	Open bool `toml:",omitempty"`
	// Idempotent states that repeating any request of the route is safe,
	// whatever its method.
	Idempotent bool `toml:",omitempty"`
}

// A ClientAccount is a customer whose keys and rate count fleet-wide.
type ClientAccount struct {
	Name string
	// Keys holds the SHA-256 digests of the account's keys in lower-case
	// hexadecimal. No digest belongs to two accounts.
	Keys []string
}

// An Exception overrides defaults for what its selectors match.
type Exception struct {
	Name string
	// Reason is never empty: operators explain every exception.
	Reason string
	// Service, Zone and Account select; an empty selector matches all.
	Service string `toml:",omitempty"`
	Zone    string `toml:",omitempty"`
	Account string `toml:",omitempty"`
	// Retired exceptions stay on record and have no effect.
	Retired bool `toml:",omitempty"`
	// Values sets at least one value.
	Values Values
}

// Values are settings that may be left out; an unset value is inherited.
type Values struct {
	// Slots is the largest number of requests a backend server runs at once.
	Slots *int
	// ColdSlots is the number of requests a freshly started server bears.
	ColdSlots *int
	// ConnectionsPerSecond limits new connections to one backend server.
	ConnectionsPerSecond *int
	// QueuePerAccount limits the requests one account may queue at a gate.
	QueuePerAccount *int
	// CallTimeoutMs is the deadline, in milliseconds, of a call that brings
	// none.
	CallTimeoutMs *int
	// RetryPercent is the share of calls that may be retried.
	RetryPercent *int
	// MaxHeaderBytes limits the header of a caller's request.
	MaxHeaderBytes *int
	// Rate is the requests per second of one account over the whole fleet.
	Rate *float64
	// Burst is the requests an account may send at once over its rate.
	Burst *float64
}

// An Effective holds the resolved values for one service, zone and account.
type Effective struct {
	Slots                int
	ColdSlots            int
	ConnectionsPerSecond int
	QueuePerAccount      int
	CallTimeoutMs        int
	RetryPercent         int
	MaxHeaderBytes       int
	Rate                 float64
	Burst                float64
}

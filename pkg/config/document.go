// Package config holds the accepted configuration of the mesh.
//
// Operators publish a manifest and its parts. Accept turns their bytes into
// an immutable Snapshot or refuses them whole. It is a pure function, so
// every node reaches the same verdict on the same bytes.
package config

// MaxValueBytes is the largest value, in bytes, that the platform's
// configuration service holds.
const MaxValueBytes = 1 << 20

// MaxTotalBytes is the largest configuration in bytes, manifest and parts. It is
// forty times the target's size and keeps Accept within a node's memory.
const MaxTotalBytes = 4 << 20

// MaxParts is the largest number of parts. It bounds what a node fetches for
// one manifest.
const MaxParts = 256

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
	// CallerLimits is set in at most one part.
	CallerLimits *CallerLimits `toml:",omitempty"`
}

// CallerLimits bound what a caller may send and how long it may take. A zero
// sets no limit beyond the node's own.
type CallerLimits struct {
	// HeaderBytes and BodyBytes bound one request, in bytes.
	HeaderBytes int `toml:",omitempty"`
	BodyBytes   int `toml:",omitempty"`
	// HeaderMs bounds the time a request's header may take, IdleMs the time a
	// connection may stay without a request, in milliseconds.
	HeaderMs int `toml:",omitempty"`
	IdleMs   int `toml:",omitempty"`
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
	// HealthPath is where a backend server answers about its health; empty
	// means that it is not asked.
	HealthPath string `toml:",omitempty"`
	// MaxConnections is what one backend server accepts from all nodes
	// together; zero means unknown.
	MaxConnections int `toml:",omitempty"`
	// ColdPerSecond is the requests per second that a cold backend server
	// bears; zero means that a cold server bears as much as a warm one.
	ColdPerSecond float64 `toml:",omitempty"`
	// ColdMs is how long, in milliseconds, a server stays cold after a start.
	ColdMs int `toml:",omitempty"`
}

// A RouteKind says how the requests of a route may be treated.
type RouteKind string

// The kinds of a route. The empty kind leaves it to the request's method and
// Route.Idempotent whether a request may be repeated.
const (
	// RouteSafe requests may run more than once.
	RouteSafe RouteKind = "Safe"
	// RouteUnsafe requests run at most once.
	RouteUnsafe RouteKind = "Unsafe"
	// RouteDownload requests are safe and have large answers.
	RouteDownload RouteKind = "Download"
)

// A Split is one service's part of a route's requests.
type Split struct {
	// Service names an entry of the same configuration.
	Service string
	// Weight is the part relative to the other splits of the route.
	Weight int
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
	// VirtualHost limits the route to requests for this host name, in lower
	// case and without port; empty matches the hosts without routes of their
	// own.
	VirtualHost string `toml:",omitempty"`
	// Prefix starts with a slash and matches on path segment bounds. With a
	// VirtualHost it may end with a slash, and then does not match the bare
	// path before that slash.
	Prefix string
	// Service is empty where Splits is set.
	Service string `toml:",omitempty"`
	// Splits divides the requests over services by weight.
	Splits []Split   `toml:",omitempty"`
	Kind   RouteKind `toml:",omitempty"`
	// TimeoutMs is the longest time that a caller is kept waiting and
	// ObjectiveMs the time within which an answer is worth most, in
	// milliseconds; zero means none.
	TimeoutMs   int `toml:",omitempty"`
	ObjectiveMs int `toml:",omitempty"`
	// Priority ranks requests, 0 first. An account's priority goes before it.
	Priority int `toml:",omitempty"`
	// Attempts is the largest number of backend servers that one request is
	// sent to; zero leaves it to the node.
	Attempts int `toml:",omitempty"`
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
	// Priority, if set, ranks the account's requests in place of the route's.
	Priority *int `toml:",omitempty"`
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

// EffectiveValues holds the resolved values for one service, zone and account.
type EffectiveValues struct {
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

// Package config defines the fleet's published configuration and validates it.
//
// Operators publish a manifest and the parts that it lists. Accept turns their
// bytes into an immutable Snapshot, which answers lookups of routes, account
// keys and effective values, or refuses the version as a whole. Accept depends
// only on its arguments, so every node reaches the same result for the same
// bytes. Diff and Explain serve operators.
//
// The package neither fetches nor stores configurations: package replication
// distributes them between nodes. The settings of a single process are read by
// package settings.
package config

// MaxValueBytes is the size limit of one value in the platform's configuration
// service, and so of a manifest and of each part.
const MaxValueBytes = 1 << 20

// MaxTotalBytes is the size limit of a manifest and its parts together. It is
// forty times the size of the target deployment's configuration and bounds the
// memory that Accept needs.
const MaxTotalBytes = 4 << 20

// MaxParts is the largest number of parts in a manifest. It bounds the values
// that a node fetches for one version.
const MaxParts = 256

// A Manifest names the parts that make up one version of the configuration.
type Manifest struct {
	// Version is at least 1 and increases with each publication.
	Version uint64
	// Parts is not empty, and no two entries share a name or a digest.
	Parts []PartRef
}

// A PartRef refers to one part of a configuration by the digest of its bytes.
type PartRef struct {
	Name string
	// Digest is the SHA-256 of the part's bytes in lower-case hexadecimal.
	// The part is published under the key "parts/<Digest>".
	Digest string
}

// A Document is the content of one part, or a complete configuration. A name
// may occur only once among the entries of the same list in all parts.
type Document struct {
	// Defaults is set in exactly one part and sets every field of Values.
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

// CallerLimits bound the size and the duration of callers' requests. Zero sets
// no limit beyond the node's own.
type CallerLimits struct {
	// HeaderBytes and BodyBytes bound the header and the body of one request.
	HeaderBytes int `toml:",omitempty"`
	BodyBytes   int `toml:",omitempty"`
	// HeaderMs bounds the time in which a request's header must arrive, IdleMs
	// the time that a connection may stay open without a request, both in
	// milliseconds.
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
	// HealthPath is the URL path of a backend server's health check; empty
	// means that there is no health check.
	HealthPath string `toml:",omitempty"`
	// MaxConnections is the number of connections that one backend server
	// accepts from all nodes together; zero means unknown.
	MaxConnections int `toml:",omitempty"`
	// ColdPerSecond is the number of requests per second that a cold backend
	// server can handle, that is one that started recently; zero means as many
	// as a warm one.
	ColdPerSecond float64 `toml:",omitempty"`
	// ColdMs is how long a backend server stays cold after its start, in
	// milliseconds.
	ColdMs int `toml:",omitempty"`
}

// A RouteKind says whether the requests of a route may be repeated.
type RouteKind string

// The kinds of a route. If a route has none, a request may be repeated if its
// method is idempotent or Route.Idempotent is set.
const (
	// RouteSafe requests may run more than once.
	RouteSafe RouteKind = "Safe"
	// RouteUnsafe requests run at most once.
	RouteUnsafe RouteKind = "Unsafe"
	// RouteDownload requests may run more than once and have large responses.
	RouteDownload RouteKind = "Download"
)

// A Split assigns a share of a route's requests to one service.
type Split struct {
	// Service names an entry of the same configuration.
	Service string
	// Weight divided by the sum of the weights of the route's splits is the
	// service's share.
	Weight int
}

// A Host is a host that the configuration lists. Only such hosts own shares of
// account quotas and idempotency keys; hosts that are known only from the
// platform's host list own none.
type Host struct {
	// ID identifies the host for good: it is never reused for another host.
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
	// case and without port. If it is empty, the route applies to all host
	// names that no other route names as VirtualHost.
	VirtualHost string `toml:",omitempty"`
	// Prefix starts with a slash and matches whole path segments. With a
	// VirtualHost it may end with a slash, and then does not match the path
	// without that slash.
	Prefix string
	// Service is empty where Splits is set.
	Service string `toml:",omitempty"`
	// Splits divides the requests between services by weight.
	Splits []Split   `toml:",omitempty"`
	Kind   RouteKind `toml:",omitempty"`
	// TimeoutMs is the longest time that a caller waits for the response,
	// ObjectiveMs the latency objective, both in milliseconds; zero means none.
	TimeoutMs   int `toml:",omitempty"`
	ObjectiveMs int `toml:",omitempty"`
	// Priority orders requests, 0 first. An account's Priority overrides it.
	Priority int `toml:",omitempty"`
	// Attempts is the largest number of backend servers to which one request is
	// sent; zero means the node's own limit.
	Attempts int `toml:",omitempty"`
	// LargeBodies states that requests usually have large bodies, whose transfer counts
	// when a host is chosen.
	LargeBodies bool `toml:",omitempty"`
	// Open admits requests without an account key.
	Open bool `toml:",omitempty"`
	// Idempotent states that every request of the route may be repeated,
	// whatever its method. It has no effect if Kind is set.
	Idempotent bool `toml:",omitempty"`
}

// A ClientAccount is a customer. Its keys are valid, and its rate is counted,
// over the whole fleet.
type ClientAccount struct {
	Name string
	// Keys holds the SHA-256 digests of the account's keys in lower-case
	// hexadecimal. A digest occurs in only one account.
	Keys []string
	// Priority, if set, overrides the Priority of routes.
	Priority *int `toml:",omitempty"`
}

// An Exception overrides default values for the calls that its selectors match.
type Exception struct {
	Name string
	// Reason tells operators why the exception exists. It must not be empty.
	Reason string
	// Service, Zone and Account are the selectors. An empty one matches every
	// call.
	Service string `toml:",omitempty"`
	Zone    string `toml:",omitempty"`
	Account string `toml:",omitempty"`
	// Retired exceptions have no effect and are kept for the record.
	Retired bool `toml:",omitempty"`
	// Values sets at least one value.
	Values Values
}

// Values holds optional settings. One that is nil is inherited from a less
// specific exception or from the defaults.
type Values struct {
	// Slots is the largest number of requests that a backend server runs at
	// once.
	Slots *int
	// ColdSlots is the number of requests that a backend server can run at once
	// right after its start.
	ColdSlots *int
	// ConnectionsPerSecond limits new connections to one backend server.
	ConnectionsPerSecond *int
	// QueuePerAccount is the largest number of requests of one account that may
	// wait for one backend server.
	QueuePerAccount *int
	// CallTimeoutMs is the timeout, in milliseconds, of a call that states
	// none.
	CallTimeoutMs *int
	// RetryPercent is the percentage of calls that may be retried.
	RetryPercent *int
	// MaxHeaderBytes limits the header of a caller's request.
	MaxHeaderBytes *int
	// Rate is the number of requests per second that one account may send over
	// the whole fleet.
	Rate *float64
	// Burst is the number of requests that one account may send at once beyond
	// its Rate.
	Burst *float64
}

// EffectiveValues holds the values that apply to one service, zone and account.
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

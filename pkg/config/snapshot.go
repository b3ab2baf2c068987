package config

// A Snapshot is one accepted version of the configuration. It is never
// changed after Accept returns it, so it may be shared between goroutines.
type Snapshot struct {
	Version uint64
	// Digest is the SHA-256 of the manifest's bytes in lower-case hexadecimal,
	// empty for a version that came without one, see AcceptDocument.
	Digest string
	// Zones, Services, Hosts and Accounts are keyed by name (hosts by ID).
	Zones    map[string]*AvailabilityZone
	Services map[string]*Service
	Hosts    map[string]*Host
	Accounts map[string]*ClientAccount
	// Routes is sorted by prefix, longest first.
	Routes     []Route
	Defaults   Values
	Exceptions []Exception
	// CallerLimits is the zero value if no part sets it.
	CallerLimits CallerLimits

	// base is Defaults resolved; layers override it, lowest rank first.
	resolvedDefaults EffectiveValues
	exceptionLayers  []exceptionLayer
	// routes maps Route.key to entries of Routes.
	routesByKey map[string]*Route
	// virtual maps host names, and prefixes without a last slash, to the
	// routes that name a virtual host.
	routesByVirtualHost map[string]map[string]*Route
	longestPrefix       int
	// keys maps the first eight bytes of key digests to their owners.
	keyOwners map[uint64][]keyOwner
}

package config

// A Snapshot is one accepted version of the configuration. It does not change
// after Accept returns it, so goroutines may share it.
type Snapshot struct {
	Version uint64
	// Digest is the SHA-256 of the manifest's bytes in lower-case hexadecimal.
	// It is empty for a version without manifest, see AcceptDocument.
	Digest string
	// Zones, Services and Accounts are keyed by name, Hosts by ID.
	Zones    map[string]*AvailabilityZone
	Services map[string]*Service
	Hosts    map[string]*Host
	Accounts map[string]*ClientAccount
	// Routes is sorted by the length of the prefix, longest first.
	Routes     []Route
	Defaults   Values
	Exceptions []Exception
	// CallerLimits is the zero value if no part sets it.
	CallerLimits CallerLimits

	// resolvedDefaults holds Defaults without pointers. exceptionLayers
	// override it in their order, the least specific first.
	resolvedDefaults EffectiveValues
	exceptionLayers  []exceptionLayer
	// routesByKey maps Route.key to entries of Routes.
	routesByKey map[string]*Route
	// routesByVirtualHost maps host names and then prefixes to the entries of
	// Routes that have a VirtualHost.
	routesByVirtualHost map[string]map[string]*Route
	// longestPrefixBytes is the length of the longest prefix of a route without
	// VirtualHost.
	longestPrefixBytes int
	// keyOwners maps the first eight bytes of key digests to the keys that
	// share them.
	keyOwners map[uint64][]keyOwner
}

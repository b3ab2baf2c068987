package stand

// A Route is a route of a configuration.
type Route struct {
	Name, Host, Prefix, Type, Service string
	TimeoutS, TargetLatencyS          float64
	MaxAttempts                       int
	Public                            bool
}

// A Tenant is a tenant of a configuration.
type Tenant struct {
	Name            string
	Keys            []string
	RatePerS, Burst float64
}

// A Service is a service of a configuration.
type Service struct {
	Name                 string
	ColdStartS, ColdPerS float64
}

// Configuration returns a configuration as the operator writes it.
func Configuration(version int, services []Service, routes []Route, tenants []Tenant) map[string]any {
	var all []any
	add := func(kind, name string, spec map[string]any) {
		all = append(all, map[string]any{"resourceKind": kind, "metadata": map[string]any{"name": name}, "spec": spec})
	}
	for _, r := range routes {
		add("routes", r.Name, map[string]any{
			"host": r.Host, "pathPrefix": r.Prefix, "type": r.Type, "timeoutS": r.TimeoutS, "targetLatencyS": r.TargetLatencyS,
			"priority": 1, "service": r.Service, "maxAttempts": r.MaxAttempts, "public": r.Public,
		})
	}
	for _, s := range services {
		add("services", s.Name, map[string]any{
			"healthPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false,
			"coldStartS": s.ColdStartS, "coldPerS": s.ColdPerS,
		})
	}
	for _, t := range tenants {
		add("tenants", t.Name, map[string]any{"apiKeys": t.Keys, "priority": 1, "ratePerS": t.RatePerS, "burst": t.Burst})
	}
	add("limits", "", map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15})
	return map[string]any{"version": version, "resources": all}
}

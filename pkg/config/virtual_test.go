package config_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/config"
)

func pointerTo[T any](v T) *T { return &v }

func meshDefaults() *config.Values {
	return &config.Values{
		Slots: pointerTo(8), ColdSlots: pointerTo(1), ConnectionsPerSecond: pointerTo(10), QueuePerAccount: pointerTo(8),
		CallTimeoutMs: pointerTo(1000), RetryPercent: pointerTo(10), MaxHeaderBytes: pointerTo(4096),
		Rate: pointerTo(10.0), Burst: pointerTo(10.0),
	}
}

// meshDocument returns a valid document with two services and the routes.
func meshDocument(routes ...config.Route) config.Document {
	return config.Document{
		Defaults: meshDefaults(),
		Services: []config.Service{{Name: "desk"}, {Name: "records"}},
		Routes:   routes,
	}
}

// Guards against a request that gets the route of another virtual host, or one
// whose prefix ends within a segment of the path.
func TestRouteOfVirtualHost(t *testing.T) {
	v, err := config.AcceptDocument(3, meshDocument(
		config.Route{VirtualHost: "a.example", Prefix: "/x/", Service: "desk"},
		config.Route{VirtualHost: "a.example", Prefix: "/x/deep/", Service: "records"},
		config.Route{VirtualHost: "b.example", Prefix: "/x/", Service: "records"},
		config.Route{Prefix: "/x", Service: "records"},
	))
	assert.NilError(t, err)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "desk"},
		{"A.EXAMPLE:8443", "/x/1", "desk"},
		{"a.example", "/x/deep/1", "records"},
		{"a.example", "/x/deep", "desk"},
		{"a.example", "/x/deeper/1", "desk"},
		{"a.example", "/x/../y", "desk"},
		{"a.example", "/x", ""},
		{"a.example", "/xy/1", ""},
		{"a.example", "/", ""},
		{"b.example", "/x/1", "records"},
		{"other.example", "/x/1", "records"},
		{"other.example", "/x/../y", ""},
	} {
		r, ok := v.RouteForHost(c.host, c.path)
		got := ""
		if ok {
			got = r.Service
		}
		assert.Equal(t, got, c.want, "%s%s", c.host, c.path)
	}
}

// Guards against contradictory or incomplete routes being accepted.
func TestAcceptDocumentRefusesBadRoutes(t *testing.T) {
	for name, c := range map[string]struct {
		route config.Route
		want  string
	}{
		"no service":       {config.Route{Prefix: "/x"}, "needs either"},
		"service twice":    {config.Route{Prefix: "/x", Service: "desk", Splits: []config.Split{{Service: "desk", Weight: 1}}}, "needs either"},
		"unknown split":    {config.Route{Prefix: "/x", Splits: []config.Split{{Service: "nobody", Weight: 1}}}, "no service"},
		"no weight":        {config.Route{Prefix: "/x", Splits: []config.Split{{Service: "desk"}}}, "over 0"},
		"negative weight":  {config.Route{Prefix: "/x", Splits: []config.Split{{Service: "desk", Weight: -1}, {Service: "records", Weight: 2}}}, "negative"},
		"unknown kind":     {config.Route{Prefix: "/x", Service: "desk", Kind: "Risky"}, "Kind"},
		"host with port":   {config.Route{VirtualHost: "a:80", Prefix: "/x/", Service: "desk"}, "VirtualHost"},
		"negative timeout": {config.Route{Prefix: "/x", Service: "desk", TimeoutMs: -1}, "TimeoutMs"},
		"trailing slash":   {config.Route{Prefix: "/x/", Service: "desk"}, "Prefix"},
	} {
		_, err := config.AcceptDocument(3, meshDocument(c.route))
		assert.ErrorContains(t, err, c.want, name)
	}
	_, err := config.AcceptDocument(0, meshDocument())
	assert.ErrorContains(t, err, "Version")
}

// Guards against changes of routes, services and caller limits that Diff leaves
// out.
func TestDiffShowsRouteSettings(t *testing.T) {
	a, err := config.AcceptDocument(1, meshDocument(config.Route{VirtualHost: "a.example", Prefix: "/x/", Service: "desk", TimeoutMs: 500}))
	assert.NilError(t, err)
	d := meshDocument(config.Route{
		VirtualHost: "a.example", Prefix: "/x/", Kind: config.RouteSafe, TimeoutMs: 700,
		Splits: []config.Split{{Service: "desk", Weight: 3}, {Service: "records", Weight: 1}},
	})
	d.Services[0].ColdPerSecond = 20
	d.CallerLimits = &config.CallerLimits{IdleMs: 900}
	b, err := config.AcceptDocument(2, d)
	assert.NilError(t, err)
	var all []string
	for _, c := range config.Diff(a, b) {
		all = append(all, c.SubjectKind+" "+c.SubjectName+" "+c.Property+": "+c.Before+" -> "+c.After)
	}
	text := strings.Join(all, "\n")
	for _, want := range []string{
		"service desk route a.example/x/: needs a key, timeout 500 ms -> needs a key, Safe, weight 3, timeout 700 ms",
		"service records route a.example/x/:  -> needs a key, Safe, weight 1, timeout 700 ms",
		"cold for 0 ms at 20 a second", "caller limit IdleMs:  -> 900",
	} {
		assert.Assert(t, strings.Contains(text, want), "%s missing in\n%s", want, text)
	}
}

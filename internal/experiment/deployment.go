package experiment

import (
	"fmt"
	"net/http"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// A Deployment is a users' mesh at its present size.
type Deployment struct {
	Name string
	// Region holds all Zones.
	Region   string
	Zones    []string
	Services []ServiceSize
	Routes   []Route
	Accounts []Account
	Slots    int
}

// A ServiceSize is a service and its number of instances.
type ServiceSize struct {
	Name      string
	Instances int
	// ServiceTime is the median time of one request at a backend server.
	ServiceTime time.Duration
}

// A Route is a published route and the calls that the load makes on it.
type Route struct {
	// Class names the calls in reports.
	Class      string
	Prefix     string
	Service    string
	Method     string
	Open       bool
	Idempotent bool
	// Share is the part of all calls that go to the route; all shares add up
	// to 1.
	Share float64
	// Size is the size of an answer's filler in bytes.
	AnswerBytes int
	// Nest is the path that the backend server calls before it answers.
	NestedPath string
}

// NeedsKey reports whether the route's calls carry an Idempotency-Key.
func (r *Route) NeedsIdempotencyKey() bool { return r.Method == http.MethodPost && !r.Idempotent }

// An Account is a client account; Rate and Burst count fleet-wide.
type Account struct {
	Name  string
	Rate  float64 // requests per second
	Burst float64 // requests
}

// serviceTime keeps about two thirds of the slots busy at the full rate of all
// accounts, so that queues, spill and cold starts matter at a load that one
// process can carry together with the fleet.
const serviceTime = 50 * time.Millisecond

// FindDeployment returns the deployment with the name.
func FindDeployment(name string) (*Deployment, error) {
	switch name {
	case "lima":
		return lima(), nil
	case "antioquia":
		return antioquia(), nil
	}
	return nil, BadSpec.New("no deployment %q, there are lima and antioquia", name)
}

func lima() *Deployment {
	return &Deployment{
		Name: "lima", Region: "Lima", Slots: 12,
		Zones: []string{"Miraflores", "Surco", "Callao", "Ate"},
		Services: []ServiceSize{
			{Name: "entry-desk", Instances: 9, ServiceTime: serviceTime},
			{Name: "records", Instances: 4, ServiceTime: serviceTime},
		},
		Routes: []Route{
			{Class: "entry", Prefix: "/entries", Service: "entry-desk", Method: http.MethodPost, Share: 0.25},
			{Class: "eligibility", Prefix: "/eligibility", Service: "entry-desk", Method: http.MethodGet, Share: 0.40},
			{Class: "standing", Prefix: "/standings", Service: "entry-desk", Method: http.MethodGet, Share: 0.05, NestedPath: "/records/standing"},
			{Class: "catalogue", Prefix: "/catalogue", Service: "records", Method: http.MethodGet, Share: 0.10, AnswerBytes: 24 << 10},
			{Class: "record", Prefix: "/records", Service: "records", Method: http.MethodGet, Share: 0.15},
			{Class: "ring-sheet", Prefix: "/ring-sheets", Service: "records", Method: http.MethodGet, Open: true, Share: 0.05, AnswerBytes: 4 << 10},
		},
		Accounts: accountsWithRates("club-norte", "club-sur", "club-andino", "stewards", "judges", "breeders", "vets", "press"),
	}
}

func antioquia() *Deployment {
	return &Deployment{
		Name: "antioquia", Region: "Antioquia", Slots: 18,
		Zones: []string{"Medellín Centro", "Bello", "Envigado", "Rionegro"},
		Services: []ServiceSize{
			{Name: "roster", Instances: 9, ServiceTime: serviceTime},
			{Name: "routes", Instances: 4, ServiceTime: serviceTime},
		},
		Routes: []Route{
			{Class: "confirmation", Prefix: "/confirmations", Service: "roster", Method: http.MethodPost, Share: 0.25},
			{Class: "roster", Prefix: "/roster", Service: "roster", Method: http.MethodGet, Share: 0.40},
			{Class: "round", Prefix: "/rounds", Service: "roster", Method: http.MethodGet, Share: 0.05, NestedPath: "/stops/round"},
			{Class: "dietary-sheet", Prefix: "/dietary-sheets", Service: "routes", Method: http.MethodGet, Share: 0.10, AnswerBytes: 16 << 10},
			{Class: "stop", Prefix: "/stops", Service: "routes", Method: http.MethodGet, Share: 0.15},
			{Class: "notice", Prefix: "/notices", Service: "routes", Method: http.MethodGet, Open: true, Share: 0.05, AnswerBytes: 2 << 10},
		},
		Accounts: accountsWithRates("kitchen-centro", "kitchen-bello", "kitchen-envigado", "rionegro-van", "diocese", "clinics", "schools", "volunteers"),
	}
}

// accounts gives eight names their rates: three large ones, as rival clubs
// are, and five smaller ones; 2,000 requests per second together.
func accountsWithRates(names ...string) []Account {
	rates := []float64{500, 400, 400, 200, 150, 150, 100, 100}
	out := make([]Account, len(names))
	for i, n := range names {
		out[i] = Account{Name: n, Rate: rates[i], Burst: rates[i] / 2}
	}
	return out
}

// Hosts spreads the instances of each service over the zones.
func (d *Deployment) Hosts() []config.Host {
	var out []config.Host
	n := 0
	for _, s := range d.Services {
		for i := range s.Instances {
			out = append(out, config.Host{
				ID: fmt.Sprintf("%s-%d", s.Name, i+1), Service: s.Name, Zone: d.Zones[n%len(d.Zones)],
			})
			n++
		}
	}
	return out
}

// Service returns the size of the named service.
func (d *Deployment) Service(name string) ServiceSize {
	for _, s := range d.Services {
		if s.Name == name {
			return s
		}
	}
	return ServiceSize{}
}

// Account returns the named account.
func (d *Deployment) Account(name string) (Account, bool) {
	for _, a := range d.Accounts {
		if a.Name == name {
			return a, true
		}
	}
	return Account{}, false
}

func (d *Deployment) hasZone(name string) bool {
	for _, z := range d.Zones {
		if z == name {
			return true
		}
	}
	return false
}

func (d *Deployment) hasHost(id string) bool {
	for _, h := range d.Hosts() {
		if h.ID == id {
			return true
		}
	}
	return false
}

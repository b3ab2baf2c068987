package experiment

import (
	"fmt"
	"net/http"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// A Deployment describes a mesh of the users at its present size: zones,
// services, routes and client accounts.
type Deployment struct {
	Name string
	// Region is the region of all Zones.
	Region   string
	Zones    []string
	Services []ServiceSize
	Routes   []Route
	Accounts []Account
	// Slots is how many requests each backend server runs at once.
	Slots int
}

// A ServiceSize is a service with its number of instances.
type ServiceSize struct {
	Name      string
	Instances int
	// ServiceTime is the median time that a backend server takes for a request.
	ServiceTime time.Duration
}

// A Route is a published route and the calls that the load sends to it.
type Route struct {
	// Class names the calls in reports.
	Class      string
	Prefix     string
	Service    string
	Method     string
	Open       bool // calls need no account key
	Idempotent bool // calls may run twice
	// Share is the fraction of all calls that go to the route; all shares add
	// up to 1.
	Share float64
	// AnswerBytes is the number of filler bytes in an answer.
	AnswerBytes int
	// NestedPath is the path that the backend server calls through the mesh
	// before it answers.
	NestedPath string
}

// NeedsIdempotencyKey reports whether the route's calls carry an
// Idempotency-Key.
func (r *Route) NeedsIdempotencyKey() bool { return r.Method == http.MethodPost && !r.Idempotent }

// An Account is a client account; Rate and Burst apply to the whole fleet.
type Account struct {
	Name  string
	Rate  float64 // requests per second
	Burst float64 // requests
}

// serviceTime keeps about two thirds of the slots busy when all accounts send
// their full rate. Queues, forwarding between hosts and cold starts then matter
// at a load that one process can generate while it also runs the fleet.
const serviceTime = 50 * time.Millisecond

// FindDeployment returns the deployment with the name: lima or antioquia.
func FindDeployment(name string) (*Deployment, error) {
	switch name {
	case "lima":
		return lima(), nil
	case "antioquia":
		return antioquia(), nil
	}
	return nil, BadSpec.New("Deployment %q must be lima or antioquia", name)
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

// accountsWithRates gives eight accounts their rates: three large ones, as rival
// clubs are, and five smaller ones, 2,000 requests per second in total.
func accountsWithRates(names ...string) []Account {
	rates := []float64{500, 400, 400, 200, 150, 150, 100, 100}
	out := make([]Account, len(names))
	for i, n := range names {
		out[i] = Account{Name: n, Rate: rates[i], Burst: rates[i] / 2}
	}
	return out
}

// Hosts returns all hosts; the instances of each service are distributed over
// the zones in turn.
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

// Service returns the named service, or a zero ServiceSize if there is none.
func (d *Deployment) Service(name string) ServiceSize {
	for _, s := range d.Services {
		if s.Name == name {
			return s
		}
	}
	return ServiceSize{}
}

// Account returns the named client account.
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

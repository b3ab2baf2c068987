package config_test

import (
	"errors"
	"fmt"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// exampleParts returns a small configuration with one exception.
func exampleParts(digest string) map[string]config.Document {
	return map[string]config.Document{"all": {
		Defaults: &config.Values{
			Slots: ptr(12), ColdSlots: ptr(2), ConnectionsPerSecond: ptr(100), QueuePerAccount: ptr(24),
			CallTimeoutMs: ptr(3000), RetryPercent: ptr(10), MaxHeaderBytes: ptr(16384),
			Rate: ptr(80.0), Burst: ptr(160.0),
		},
		Zones:    []config.AvailabilityZone{{Name: "Surco", Region: "Lima"}},
		Services: []config.Service{{Name: "desk"}},
		Hosts:    []config.Host{{ID: "desk-1", Service: "desk", Zone: "Surco"}},
		Routes:   []config.Route{{Prefix: "/desk", Service: "desk"}},
		Accounts: []config.ClientAccount{{Name: "club-a", Keys: []string{digest}}},
		Exceptions: []config.Exception{{
			Name: "club-a-rate", Reason: "hosts the regional show", Account: "club-a",
			Values: config.Values{Rate: ptr(120.0)},
		}},
	}}
}

// A program accepts a version and then queries the snapshot.
func Example() {
	key, digest, err := config.NewKey()
	if err != nil {
		fmt.Println(err)
		return
	}
	manifest, files, err := config.Encode(42, exampleParts(digest))
	if err != nil {
		fmt.Println(err)
		return
	}
	s, err := config.Accept(manifest, files)
	if err != nil {
		fmt.Println(err)
		return
	}
	r, ok := s.Route("/desk/entries")
	fmt.Println(s.Version, r.Service, ok)
	a, ok := s.AccountOfKey(key)
	fmt.Println(a.Name, ok)
	e := s.EffectiveValues("desk", "Surco", "club-a")
	fmt.Println(e.Slots, e.Rate)
	for _, o := range s.Explain("desk", "Surco", "club-a") {
		if o.Exception != "" {
			fmt.Println(o.Name, "from", o.Exception+":", o.Reason)
		}
	}
	// Output:
	// 42 desk true
	// club-a true
	// 12 120
	// Rate from club-a-rate: hosts the regional show
}

// The error of a refused version lists all of its faults.
func ExampleFaults() {
	p := exampleParts(config.DigestOf([]byte("a key")))
	d := p["all"]
	d.Hosts[0].Zone, d.Routes[0].Service = "Barranco", "counter"
	manifest, files, err := config.Encode(43, p)
	if err != nil {
		fmt.Println(err)
		return
	}
	_, err = config.Accept(manifest, files)
	var f *config.Faults
	if errors.As(err, &f) {
		for _, x := range f.List {
			fmt.Printf("%s: %s: %s\n", x.Part, x.Key, x.Reason)
		}
	}
	// Output:
	// all: Hosts["desk-1"].Zone: there is no zone "Barranco"
	// all: Routes["/desk"].Service: there is no service "counter"
}

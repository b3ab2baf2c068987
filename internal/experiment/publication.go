package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// A Publication is the configuration of a run and the changes an operator
// makes to it. Each change raises Version; Encode gives the bytes to publish.
type Publication struct {
	Version uint64
	// Keys holds the present key of each account; keys are fresh for each
	// seed and worth nothing outside the run.
	Keys map[string]string

	deployment *Deployment
	seed       uint64
	granted    int
	mesh       config.Document
	accounts   config.Document
	exceptions config.Document
}

// NewPublication builds the first version of a deployment's configuration.
func NewPublication(d *Deployment, seed uint64) *Publication {
	p := &Publication{Version: 1, Keys: map[string]string{}, deployment: d, seed: seed}
	p.mesh.Defaults = &config.Values{
		Slots: ptr(d.Slots), ColdSlots: ptr(2), ConnectionsPerSecond: ptr(200), QueuePerAccount: ptr(64),
		CallTimeoutMs: ptr(2000), RetryPercent: ptr(20), MaxHeaderBytes: ptr(16 << 10),
		Rate: ptr(50.0), Burst: ptr(25.0),
	}
	for _, z := range d.Zones {
		p.mesh.Zones = append(p.mesh.Zones, config.AvailabilityZone{Name: z, Region: d.Region})
	}
	for _, s := range d.Services {
		p.mesh.Services = append(p.mesh.Services, config.Service{Name: s.Name})
	}
	p.mesh.Hosts = d.Hosts()
	for _, r := range d.Routes {
		p.mesh.Routes = append(p.mesh.Routes, config.Route{
			Prefix: r.Prefix, Service: r.Service, Open: r.Open, Idempotent: r.Idempotent,
		})
	}
	for _, a := range d.Accounts {
		key, digest := p.newKey(a.Name)
		p.Keys[a.Name] = key
		p.accounts.Accounts = append(p.accounts.Accounts, config.ClientAccount{Name: a.Name, Keys: []string{digest}})
		p.exceptions.Exceptions = append(p.exceptions.Exceptions, config.Exception{
			Name: "rate-" + a.Name, Reason: "contracted rate", Account: a.Name,
			Values: config.Values{Rate: ptr(a.Rate), Burst: ptr(a.Burst)},
		})
	}
	return p
}

func ptr[T any](v T) *T { return &v }

func (p *Publication) newKey(account string) (key, digest string) {
	p.granted++
	s := sha256.Sum256(fmt.Appendf(nil, "%d/%s/%d", p.seed, account, p.granted))
	key = "trial-" + hex.EncodeToString(s[:16])
	d := sha256.Sum256([]byte(key))
	return key, hex.EncodeToString(d[:])
}

// Encode returns the manifest and the parts, keyed by digest.
func (p *Publication) Encode() (manifest []byte, parts map[string][]byte, err error) {
	return config.Encode(p.Version, map[string]config.Document{
		"mesh": p.mesh, "accounts": p.accounts, "exceptions": p.exceptions,
	})
}

// Touch makes a change without effect on traffic: it replaces one exception.
func (p *Publication) Touch() {
	p.Version++
	e := config.Exception{
		Name: "call-timeout", Reason: fmt.Sprintf("trial change %d", p.Version), Service: p.deployment.Services[0].Name,
		Values: config.Values{CallTimeoutMs: ptr(2000 + int(p.Version))},
	}
	x := &p.exceptions.Exceptions
	if i := slices.IndexFunc(*x, func(o config.Exception) bool { return o.Name == e.Name }); i >= 0 {
		(*x)[i] = e
		return
	}
	*x = append(*x, e)
}

// SetZone takes a zone out or back in.
func (p *Publication) SetZone(name string, out bool) {
	p.Version++
	for i := range p.mesh.Zones {
		if p.mesh.Zones[i].Name == name {
			p.mesh.Zones[i].Out = out
		}
	}
}

// SetHost takes a host out or back in.
func (p *Publication) SetHost(id string, out bool) {
	p.Version++
	for i := range p.mesh.Hosts {
		if p.mesh.Hosts[i].ID == id {
			p.mesh.Hosts[i].Out = out
		}
	}
}

// Withdraw takes all keys of an account away.
func (p *Publication) Withdraw(account string) {
	p.Version++
	p.setKeys(account, nil)
}

// Grant gives an account one new key in place of its keys.
func (p *Publication) Grant(account string) {
	p.Version++
	key, digest := p.newKey(account)
	p.Keys[account] = key
	p.setKeys(account, []string{digest})
}

func (p *Publication) setKeys(account string, digests []string) {
	for i := range p.accounts.Accounts {
		if p.accounts.Accounts[i].Name == account {
			p.accounts.Accounts[i].Keys = digests
		}
	}
}

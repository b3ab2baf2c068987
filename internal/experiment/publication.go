package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// A Publication is the configuration of a run. Its methods make the changes of
// an operator; each raises Version by 1. Encode returns the bytes to publish.
type Publication struct {
	Version uint64
	// Keys holds the key of each account granted last. Keys depend on the seed
	// and are valid only in the run.
	Keys map[string]string

	deployment     *Deployment
	seed           uint64
	keysIssued     int
	meshPart       config.Document
	accountsPart   config.Document
	exceptionsPart config.Document
}

// NewPublication returns version 1 of a deployment's configuration.
func NewPublication(d *Deployment, seed uint64) *Publication {
	p := &Publication{Version: 1, Keys: map[string]string{}, deployment: d, seed: seed}
	p.meshPart.Defaults = &config.Values{
		Slots: ptr(d.Slots), ColdSlots: ptr(2), ConnectionsPerSecond: ptr(200), QueuePerAccount: ptr(64),
		CallTimeoutMs: ptr(2000), RetryPercent: ptr(20), MaxHeaderBytes: ptr(16 << 10),
		Rate: ptr(50.0), Burst: ptr(25.0),
	}
	for _, z := range d.Zones {
		p.meshPart.Zones = append(p.meshPart.Zones, config.AvailabilityZone{Name: z, Region: d.Region})
	}
	for _, s := range d.Services {
		p.meshPart.Services = append(p.meshPart.Services, config.Service{Name: s.Name})
	}
	p.meshPart.Hosts = d.Hosts()
	for _, r := range d.Routes {
		p.meshPart.Routes = append(p.meshPart.Routes, config.Route{
			Prefix: r.Prefix, Service: r.Service, Open: r.Open, Idempotent: r.Idempotent,
		})
	}
	for _, a := range d.Accounts {
		key, digest := p.newKey(a.Name)
		p.Keys[a.Name] = key
		p.accountsPart.Accounts = append(p.accountsPart.Accounts, config.ClientAccount{Name: a.Name, Keys: []string{digest}})
		p.exceptionsPart.Exceptions = append(p.exceptionsPart.Exceptions, config.Exception{
			Name: "rate-" + a.Name, Reason: "contracted rate", Account: a.Name,
			Values: config.Values{Rate: ptr(a.Rate), Burst: ptr(a.Burst)},
		})
	}
	return p
}

func ptr[T any](v T) *T { return &v }

// newKey returns a key that no account had before, and its digest.
func (p *Publication) newKey(account string) (key, digest string) {
	p.keysIssued++
	s := sha256.Sum256(fmt.Appendf(nil, "%d/%s/%d", p.seed, account, p.keysIssued))
	key = "trial-" + hex.EncodeToString(s[:16])
	d := sha256.Sum256([]byte(key))
	return key, hex.EncodeToString(d[:])
}

// Encode returns the manifest and the parts by digest.
func (p *Publication) Encode() (manifest []byte, parts map[string][]byte, err error) {
	return config.Encode(p.Version, map[string]config.Document{
		"mesh": p.meshPart, "accounts": p.accountsPart, "exceptions": p.exceptionsPart,
	})
}

// ChangeCallTimeout replaces the exception for the call timeout of the first
// service. The timeout stays at or above callTimeoutMs, so the load sees no
// difference.
func (p *Publication) ChangeCallTimeout() {
	p.Version++
	e := config.Exception{
		Name: "call-timeout", Reason: fmt.Sprintf("trial change %d", p.Version), Service: p.deployment.Services[0].Name,
		Values: config.Values{CallTimeoutMs: ptr(2000 + int(p.Version))},
	}
	x := &p.exceptionsPart.Exceptions
	if i := slices.IndexFunc(*x, func(o config.Exception) bool { return o.Name == e.Name }); i >= 0 {
		(*x)[i] = e
		return
	}
	*x = append(*x, e)
}

// SetZoneOut takes a zone out of service or puts it back.
func (p *Publication) SetZoneOut(name string, out bool) {
	p.Version++
	for i := range p.meshPart.Zones {
		if p.meshPart.Zones[i].Name == name {
			p.meshPart.Zones[i].Out = out
		}
	}
}

// SetHostOut takes a host out of service or puts it back.
func (p *Publication) SetHostOut(id string, out bool) {
	p.Version++
	for i := range p.meshPart.Hosts {
		if p.meshPart.Hosts[i].ID == id {
			p.meshPart.Hosts[i].Out = out
		}
	}
}

// WithdrawKeys removes all keys of an account.
func (p *Publication) WithdrawKeys(account string) {
	p.Version++
	p.setKeys(account, nil)
}

// ReplaceKey gives an account one new key in place of all its keys.
func (p *Publication) ReplaceKey(account string) {
	p.Version++
	key, digest := p.newKey(account)
	p.Keys[account] = key
	p.setKeys(account, []string{digest})
}

func (p *Publication) setKeys(account string, digests []string) {
	for i := range p.accountsPart.Accounts {
		if p.accountsPart.Accounts[i].Name == account {
			p.accountsPart.Accounts[i].Keys = digests
		}
	}
}

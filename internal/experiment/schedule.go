package experiment

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// An Arrival is one scheduled call.
type Arrival struct {
	// At counts from the start of the warm-up.
	At time.Duration
	// Account, Route and Host are indexes into the deployment's accounts and
	// routes and the fleet's hosts.
	Account int
	Route   int
	Host    int
	// Trial identifies the call at the backend servers.
	Trial string
	// RepeatHost is the host of the same call's repetition, or -1.
	RepeatHost int
	// Intruder marks a call without a valid key to a route that needs one.
	Intruder bool
}

// Path is the path and query of the call.
func (a *Arrival) Path(d *Deployment) string {
	r := &d.Routes[a.Route]
	p := r.Prefix + "/" + a.Trial
	if r.Nest != "" {
		return p + "?nest=" + r.Nest
	}
	if r.Size > 0 {
		return fmt.Sprintf("%s?size=%d", p, r.Size)
	}
	return p
}

// Schedule fixes the calls of a run from its seed: per account a Poisson
// process whose rate follows the account's load.
func Schedule(s *Spec, d *Deployment, hosts int) []Arrival {
	var out []Arrival
	for i := range d.Accounts {
		out = append(out, scheduleAccount(s, d, i, hosts)...)
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return out
}

// scheduleAccount thins a Poisson process of the account's highest rate down
// to its rate at each moment.
func scheduleAccount(s *Spec, d *Deployment, account, hosts int) []Arrival {
	a := &d.Accounts[account]
	r := rand.New(rand.NewPCG(s.Seed, uint64(account)))
	top := s.Load
	for _, l := range s.Loads {
		if l.Account == a.Name {
			top = max(top, l.Load)
		}
	}
	if top == 0 {
		return nil
	}
	warmUp, end := ms(s.WarmUpMs), ms(s.WarmUpMs+s.RunMs)
	var out []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / (top * a.Rate) * float64(time.Second))
		if at >= end {
			return out
		}
		keep := r.Float64() < s.loadOf(a.Name, at-warmUp)/top
		v := Arrival{
			At: at, Account: account, Route: pickRoute(d, r.Float64()),
			Host: s.pickHost(r, account, at, hosts), Trial: fmt.Sprintf("%s-%d", a.Name, len(out)), RepeatHost: -1,
		}
		if x := r.Float64(); d.Routes[v.Route].NeedsKey() && x < s.Repeat {
			v.RepeatHost = (v.Host + 1 + r.IntN(max(1, hosts-1))) % hosts
		}
		v.Intruder = r.Float64() < s.Intruders && !d.Routes[v.Route].Open
		if keep {
			out = append(out, v)
		}
	}
}

func pickRoute(d *Deployment, x float64) int {
	for i := range d.Routes {
		x -= d.Routes[i].Share
		if x < 0 {
			return i
		}
	}
	return len(d.Routes) - 1
}

func (s *Spec) pickHost(r *rand.Rand, account int, at time.Duration, hosts int) int {
	random := r.IntN(hosts)
	switch s.Ingress {
	case One:
		return account % hosts
	case Hopping:
		return (account + int(at/ms(s.HopMs))) % hosts
	default:
		return random
	}
}

package experiment

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// An Arrival is one scheduled call.
type ScheduledCall struct {
	// At counts from the start of the warm-up.
	At time.Duration
	// Account, Route and Host are indexes into the deployment's accounts and
	// routes and the fleet's hosts.
	AccountIndex int
	RouteIndex   int
	HostIndex    int
	// Trial identifies the call at the backend servers.
	TrialID string
	// RepeatHost is the host of the same call's repetition, or -1.
	RepeatHostIndex int
	// Intruder marks a call without a valid key to a route that needs one.
	Intruder bool
}

// Path is the path and query of the call.
func (c *ScheduledCall) Path(d *Deployment) string {
	r := &d.Routes[c.RouteIndex]
	p := r.Prefix + "/" + c.TrialID
	if r.NestedPath != "" {
		return p + "?nest=" + r.NestedPath
	}
	if r.AnswerBytes > 0 {
		return fmt.Sprintf("%s?size=%d", p, r.AnswerBytes)
	}
	return p
}

// Schedule fixes the calls of a run from its seed: per account a Poisson
// process whose rate follows the account's load.
func Schedule(s *Spec, d *Deployment, hostCount int) []ScheduledCall {
	var out []ScheduledCall
	for i := range d.Accounts {
		out = append(out, scheduleAccount(s, d, i, hostCount)...)
	}
	slices.SortStableFunc(out, func(a, b ScheduledCall) int { return cmp.Compare(a.At, b.At) })
	return out
}

// scheduleAccount thins a Poisson process of the account's highest rate down
// to its rate at each moment.
func scheduleAccount(s *Spec, d *Deployment, account, hostCount int) []ScheduledCall {
	a := &d.Accounts[account]
	r := rand.New(rand.NewPCG(s.Seed, uint64(account)))
	maxLoad := s.Load
	for _, l := range s.Loads {
		if l.Account == a.Name {
			maxLoad = max(maxLoad, l.Load)
		}
	}
	if maxLoad == 0 {
		return nil
	}
	warmUp, end := ms(s.WarmUpMs), ms(s.WarmUpMs+s.RunMs)
	var out []ScheduledCall
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / (maxLoad * a.Rate) * float64(time.Second))
		if at >= end {
			return out
		}
		keep := r.Float64() < s.loadAt(a.Name, at-warmUp)/maxLoad
		c := ScheduledCall{
			At: at, AccountIndex: account, RouteIndex: pickRoute(d, r.Float64()),
			HostIndex: s.pickHost(r, account, at, hostCount), TrialID: fmt.Sprintf("%s-%d", a.Name, len(out)), RepeatHostIndex: -1,
		}
		if x := r.Float64(); d.Routes[c.RouteIndex].NeedsIdempotencyKey() && x < s.Repeat {
			c.RepeatHostIndex = (c.HostIndex + 1 + r.IntN(max(1, hostCount-1))) % hostCount
		}
		c.Intruder = r.Float64() < s.Intruders && !d.Routes[c.RouteIndex].Open
		if keep {
			out = append(out, c)
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

func (s *Spec) pickHost(r *rand.Rand, account int, at time.Duration, hostCount int) int {
	random := r.IntN(hostCount)
	switch s.Ingress {
	case IngressOne:
		return account % hostCount
	case IngressHopping:
		return (account + int(at/ms(s.HopMs))) % hostCount
	default:
		return random
	}
}

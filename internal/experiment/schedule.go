package experiment

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// A ScheduledCall is one call of the load.
type ScheduledCall struct {
	// At counts from the start of the warm-up.
	At time.Duration
	// AccountIndex and RouteIndex are indexes into the deployment's accounts
	// and routes, HostIndex into the fleet's hosts: the host that is called.
	AccountIndex int
	RouteIndex   int
	HostIndex    int
	// TrialID identifies the call in the records of the backend servers; both
	// sendings of a repeated call have the same.
	TrialID string
	// RepeatHostIndex is the host that gets the call a second time, or -1.
	RepeatHostIndex int
	// Intruder marks a call with an unknown account key to a route that
	// requires a valid one.
	Intruder bool
}

// Path returns the path and query of the call.
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

// Schedule derives the calls of a run from its seed: per account a Poisson
// process whose rate follows the account's load. hostCount is the number of
// hosts that can be called.
func Schedule(s *Spec, d *Deployment, hostCount int) []ScheduledCall {
	var out []ScheduledCall
	for i := range d.Accounts {
		out = append(out, scheduleAccount(s, d, i, hostCount)...)
	}
	slices.SortStableFunc(out, func(a, b ScheduledCall) int { return cmp.Compare(a.At, b.At) })
	return out
}

// scheduleAccount generates a Poisson process at the account's highest load
// and thins it to the load at each moment.
func scheduleAccount(s *Spec, d *Deployment, accountIndex, hostCount int) []ScheduledCall {
	a := &d.Accounts[accountIndex]
	r := rand.New(rand.NewPCG(s.Seed, uint64(accountIndex)))
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
			At: at, AccountIndex: accountIndex, RouteIndex: pickRoute(d, r.Float64()),
			HostIndex: s.pickHost(r, accountIndex, at, hostCount), TrialID: fmt.Sprintf("%s-%d", a.Name, len(out)), RepeatHostIndex: -1,
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

// pickRoute selects a route by its share; x is uniform in [0, 1).
func pickRoute(d *Deployment, x float64) int {
	for i := range d.Routes {
		x -= d.Routes[i].Share
		if x < 0 {
			return i
		}
	}
	return len(d.Routes) - 1
}

// pickHost returns the index of the host to call under the ingress pattern. at
// counts from the start of the warm-up.
func (s *Spec) pickHost(r *rand.Rand, accountIndex int, at time.Duration, hostCount int) int {
	random := r.IntN(hostCount)
	switch s.Ingress {
	case IngressOne:
		return accountIndex % hostCount
	case IngressHopping:
		return (accountIndex + int(at/ms(s.HopMs))) % hostCount
	default:
		return random
	}
}

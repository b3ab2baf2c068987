package sidecar

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"quetzaldock.example/quetzaldock/internal/operator"
	"quetzaldock.example/quetzaldock/pkg/balance"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
	"quetzaldock.example/quetzaldock/pkg/ratelimit"
)

// Notes of a RouteAnswer.
const (
	noteService  = "The service of a request is drawn by weight; shares are those of many requests."
	noteOrder    = "Instances are listed by cost. A choice compares a random sample of each zone and lets instances on their ramp take part at random, so that another one may be asked first; \"first\" is the share in %d simulated choices."
	noteLater    = "Each try changes what the node knows, and the load of other nodes is an estimate. The order of later tries may differ."
	noteAccount  = "No token was taken. Without one here, the node asks the lending node of the account, and refuses with 429 if that has none."
	noteNested   = "A nested request whose parent runs here has the priority, deadline and objective of its root instead of these."
	noteNotAsked = "Quarantine, retry budgets and the queues of other nodes were not checked."
)

// explainRoute says where a request would be sent now. It changes nothing that requests
// see.
func (n *Node) explainRoute(q *operator.RouteQuery) *operator.RouteAnswer {
	a := &operator.RouteAnswer{Host: n.settings().Host, Zone: n.settings().Zone, Request: *q}
	a.Request.Key = ""
	s, v := n.callerHandler, n.snapshot.Load()
	if v != nil {
		a.Version = v.Version
	}
	now := s.now()
	j, err := s.withoutEffects(q, v).acceptRequest(n.explainedRequest(q), now)
	if j.route != nil {
		a.Route = explainedMatch(j)
	}
	if j.account != "" {
		a.Account = n.explainedAccount(j.account)
	}
	j.nested = j.nested || q.Nested
	a.Nested, a.Priority = j.nested, j.priority
	if err != nil {
		r := rejectionFor(err)
		a.Status, a.Reason, a.Notes = r.status, r.reason, []string{noteNotAsked}
		return a
	}
	a.DeadlineMs = j.deadline.Sub(now).Milliseconds()
	if !j.objective.IsZero() {
		a.ObjectiveMs = j.objective.Sub(now).Milliseconds()
	}
	all := explainedSplits(j.route)
	a.CrossZoneCost = s.dispatch.crossZoneCost(j, all[0].Service)
	for _, split := range all {
		a.Services = append(a.Services, n.explainService(a, j, split, now))
	}
	a.Notes = explainedNotes(a)
	return a
}

// withoutEffects returns a handler that accepts requests by the configuration v as s does.
// What it learns about the time that callers state is lost.
func (s *callerHandler) withoutEffects(q *operator.RouteQuery, v *config.Snapshot) *callerHandler {
	c := &callerHandler{names: s.names, dispatch: s.dispatch, now: s.now, snapshot: func() *config.Snapshot { return v }, service: s.service, stopping: s.stopping}
	c.stopDeadlines.Store(s.stopDeadlines.Load())
	if v == nil {
		return c
	}
	if route, ok := v.RouteForHost(q.VirtualHost, pathOf(q.Path)); ok {
		s.callerWaits.mu.Lock()
		defer s.callerWaits.mu.Unlock()
		c.callerWaits.usualTimeout = map[string]time.Duration{route.Key(): s.callerWaits.usualTimeout[route.Key()]}
	}
	return c
}

// pathOf returns requestPath of a request with this target.
func pathOf(target string) string { return requestPath(&http.Request{RequestURI: target}) }

// explainedRequest returns the request that a query describes. It has no ID, so that it
// is not taken for one that is made by a running request.
func (n *Node) explainedRequest(q *operator.RouteQuery) *http.Request {
	in := &http.Request{Method: q.Method, URL: &url.URL{Path: pathOf(q.Path)}, RequestURI: q.Path, Host: q.VirtualHost, Header: http.Header{}, ContentLength: q.BodyBytes}
	if q.Key != "" {
		in.Header.Set(n.HeaderNames.Key, q.Key)
	}
	if q.LeftMs > 0 {
		in.Header.Set(n.HeaderNames.TimeLeft, strconv.FormatFloat(q.LeftMs, 'f', -1, 64))
	}
	return in
}

func explainedMatch(j *job) *operator.RouteMatch {
	r := j.route
	m := &operator.RouteMatch{VirtualHost: r.VirtualHost, Prefix: r.Prefix, Kind: string(r.Kind), Open: r.Open, Repeatable: j.repeatable, Attempts: r.Attempts}
	if m.Attempts == 0 {
		m.Attempts = defaultAttempts
	}
	return m
}

func (n *Node) explainedAccount(name string) *operator.RouteAccount {
	a := &operator.RouteAccount{Name: name}
	n.rateLimiter.EachAccount(func(other string, _ ratelimit.Limit, b ratelimit.Bucket) {
		if other == name {
			a.Limited, a.Tokens = true, b.Tokens
		}
	})
	return a
}

// explainedSplits returns the services of a route with their weights.
func explainedSplits(r *config.Route) []config.Split {
	if len(r.Splits) == 0 {
		return []config.Split{{Service: r.Service, Weight: 1}}
	}
	return r.Splits
}

func explainedNotes(a *operator.RouteAnswer) []string {
	var notes []string
	if len(a.Services) > 1 {
		notes = append(notes, noteService)
	}
	notes = append(notes, fmt.Sprintf(noteOrder, balance.ExplainedPicks), noteLater)
	if a.Account != nil {
		notes = append(notes, noteAccount)
	}
	if a.Nested {
		notes = append(notes, noteNested)
	}
	return append(notes, noteNotAsked)
}

func (n *Node) explainService(a *operator.RouteAnswer, j *job, split config.Split, now time.Time) operator.RouteService {
	e := n.chooser.Explain(split.Service, a.CrossZoneCost)
	total := 0
	for _, o := range explainedSplits(j.route) {
		total += o.Weight
	}
	s := operator.RouteService{
		Service: split.Service, Weight: split.Weight, Share: float64(split.Weight) / float64(max(total, 1)), TypicalMs: milliseconds(e.Typical),
		ZoneLoads: e.ZoneLoads, Hosts: []operator.RouteHost{},
	}
	for i := range e.Hosts {
		h := &e.Hosts[i]
		s.Hosts = append(s.Hosts, explainedHost(h, now))
		if h.CallAddress == n.callerHandler.dispatch.selfAddress {
			a.Local = n.explainLocal(h.ID, j)
		}
	}
	return s
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func explainedHost(h *balance.HostExplanation, now time.Time) operator.RouteHost {
	x := operator.RouteHost{
		ID: h.ID, Zone: h.Zone, Address: h.CallAddress, State: targetState(&h.HostStatus), Considered: h.Considered, FirstShare: h.FirstShare,
		RampShare: h.RampShare, InFlight: h.InFlight, Load: h.EstimatedLoad, Full: h.Full, FreeSlot: h.FreeSlot, Pace: h.Pace, ReportedPace: h.ReportedPace,
		LatencyMs: milliseconds(h.Latency), LatencyRatio: h.LatencyRatio, Cost: h.Cost, CrossZoneCost: h.CrossZoneCost,
	}
	if !h.EjectedUntil.IsZero() {
		x.EjectedMs = max(1, h.EjectedUntil.Sub(now).Milliseconds())
	}
	if !h.NotAcceptingUntil.IsZero() {
		x.NotAcceptingMs = max(1, h.NotAcceptingUntil.Sub(now).Milliseconds())
	}
	why := ""
	switch {
	case h.OutOfService:
		why = "the configuration takes it or its zone out of service"
	case h.Leaving:
		why = "it is leaving"
	case x.EjectedMs > 0:
		x.State, why = "Ejected", "ejected after failures"
	case x.NotAcceptingMs > 0:
		x.State, why = "NotAccepting", "it refused all work"
	case h.RampShare < 1:
		x.State = "Ramp"
	}
	if !h.Considered {
		x.WhyNot = why
	}
	return x
}

// explainLocal says whether this node would refuse the request for its own instance.
func (n *Node) explainLocal(instance string, j *job) *operator.RouteLocal {
	l := n.localBackend
	load := l.admission.Load()
	x := &operator.RouteLocal{Instance: instance, Running: load.Running, Permits: load.Permits, Queued: load.Queued, RootShare: 1}
	if share, ok := l.throttle.Shares()[j.route.Key()]; ok && !j.nested {
		x.RootShare = share
	}
	switch reason := l.admission.ClosedReason(); {
	case l.resolveInstance(&InstanceRequest{Instance: instance}) != nil:
		x.Refuses = fmt.Sprintf("%s: another instance is published at the address of the backend server, or none", priorityadmission.Draining)
	case reason != "":
		x.Refuses = string(reason)
	}
	return x
}

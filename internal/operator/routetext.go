package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/go-resty/resty/v2"
)

// FetchRoute asks the node whose operator port is at addr where it would send a request.
// The error is of type ErrBadQuery or ErrUnreachable.
func FetchRoute(ctx context.Context, addr string, q *RouteQuery) (*RouteAnswer, error) {
	if err := q.Check(); err != nil {
		return nil, err
	}
	a := &RouteAnswer{}
	r := resty.New().SetTimeout(statusTimeout).R().SetContext(ctx).SetResult(a).SetQueryParamsFromValues(q.values())
	if q.Key != "" {
		r.SetHeader(headerRouteKey, q.Key)
	}
	response, err := r.Get("http://" + addr + "/route")
	switch {
	case err != nil:
		return nil, ErrUnreachable.Wrap(err, "no answer from %s", addr)
	case response.StatusCode() == http.StatusBadRequest:
		return nil, ErrBadQuery.New("%s answered: %s", addr, strings.TrimSpace(response.String()))
	case response.StatusCode() == http.StatusNotFound:
		return nil, ErrUnreachable.New("the node at %s does not explain requests", addr)
	case response.IsError():
		return nil, ErrUnreachable.New("%s answered %s: %s", addr, response.Status(), strings.TrimSpace(response.String()))
	}
	return a, nil
}

// PrintRoute fetches a RouteAnswer and prints it, as JSON if asJSON is set.
func PrintRoute(ctx context.Context, addr string, q *RouteQuery, asJSON bool, w io.Writer) error {
	a, err := FetchRoute(ctx, addr, q)
	if err != nil {
		return err
	}
	if !asJSON {
		return a.Print(w)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(a)
}

// Print writes the answer as text for people.
func (a *RouteAnswer) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "node\t%s, zone %s\n", a.Host, a.Zone)
	fmt.Fprintf(t, "version\t%d\n", a.Version)
	q := &a.Request
	fmt.Fprintf(t, "request\t%s %s, host %s, %g ms left, body of %d B%s\n", q.Method, q.Path, orNone(q.VirtualHost), q.LeftMs, q.BodyBytes,
		choose(q.Nested, ", nested", ""))
	a.printDecision(t)
	if a.Local != nil {
		a.Local.print(t)
	}
	for i := range a.Services {
		a.Services[i].print(t)
	}
	if len(a.Notes) > 0 {
		fmt.Fprintln(t)
	}
	for _, n := range a.Notes {
		fmt.Fprintf(t, "note: %s\n", n)
	}
	return t.Flush()
}

func (a *RouteAnswer) printDecision(w io.Writer) {
	if r := a.Route; r == nil {
		fmt.Fprintf(w, "route\tnone\n")
	} else {
		fmt.Fprintf(w, "route\t%s, host %s, kind %s, %s, %s, at most %d attempts\n", r.Prefix, orNone(r.VirtualHost), orNone(r.Kind),
			choose(r.Open, "open", "not open"), choose(r.Repeatable, "repeatable", "not repeatable"), r.Attempts)
	}
	if a.Account != nil {
		fmt.Fprintf(w, "account\t%s, %s\n", a.Account.Name, choose(a.Account.Limited, fmt.Sprintf("%.2f tokens here", a.Account.Tokens), "no limit"))
	} else {
		fmt.Fprintf(w, "account\tnone\n")
	}
	if a.Status != 0 {
		fmt.Fprintf(w, "refused\t%d %s, no instance is asked\n", a.Status, a.Reason)
		return
	}
	fmt.Fprintf(w, "counts as\t%s, priority %d\n", choose(a.Nested, "nested request", "root request"), a.Priority)
	objective := "none"
	if a.ObjectiveMs != 0 {
		objective = fmt.Sprintf("%d ms", a.ObjectiveMs)
	}
	fmt.Fprintf(w, "time\tdeadline in %d ms, objective %s\n", a.DeadlineMs, objective)
	fmt.Fprintf(w, "other zone\tcosts %.3f more\n", a.CrossZoneCost)
}

func (l *RouteLocal) print(w io.Writer) {
	fmt.Fprintf(w, "local\t%s, %d running, %d permits, %d queued, %.3f of root requests started, %s\n", l.Instance, l.Running, l.Permits, l.Queued,
		l.RootShare, choose(l.Refuses == "", "not refused as a whole", "refused: "+l.Refuses))
}

func (s *RouteService) print(w io.Writer) {
	fmt.Fprintf(w, "\nservice %s: weight %d, share %.3f, typical latency %.1f ms%s\n", s.Service, s.Weight, s.Share, s.TypicalMs,
		choose(s.TypicalMs == 0, " (unknown)", ""))
	for _, zone := range slices.Sorted(maps.Keys(s.ZoneLoads)) {
		fmt.Fprintf(w, "load of zone %s: %.3f\n", zone, s.ZoneLoads[zone])
	}
	if len(s.Hosts) == 0 {
		fmt.Fprintf(w, "no instances\n")
		return
	}
	fmt.Fprintf(w, "instance\tzone\taddress\tstate\tfirst\tcost\tof it zone\tload\tin flight\tpace\treported\tlatency ms\tratio\tramp\tremarks\n")
	for i := range s.Hosts {
		h := &s.Hosts[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%.3f\t%.3f\t%.1f\t%.3f\t%.3f\t%s\n", h.ID, h.Zone, h.Address, h.State, h.FirstShare, h.Cost,
			h.CrossZoneCost, h.Load, h.InFlight, h.Pace, h.ReportedPace, h.LatencyMs, h.LatencyRatio, h.RampShare, h.remarks())
	}
}

func (h *RouteHost) remarks() string {
	var all []string
	if !h.Considered {
		all = append(all, "not considered: "+h.WhyNot)
	}
	if h.EjectedMs > 0 {
		all = append(all, fmt.Sprintf("ejected for %d ms", h.EjectedMs))
	}
	if h.NotAcceptingMs > 0 {
		all = append(all, fmt.Sprintf("not accepting for %d ms", h.NotAcceptingMs))
	}
	if h.Full {
		all = append(all, "full")
	}
	if h.FreeSlot {
		all = append(all, "slot just freed")
	}
	return strings.Join(all, ", ")
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

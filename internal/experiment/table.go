package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteJSON writes the report as one indented JSON value.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return ReportFailed.Wrap(err, "cannot write the report")
	}
	return nil
}

// WriteText writes the report as tables.
func (r *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s, seed %d, %d nodes, %.1f s measured\n", r.Name, r.Deployment, r.Seed, r.Nodes, float64(r.RunMs)/1000)
	r.writeRows(&b)
	r.writeSummary(&b)
	r.writeBackends(&b)
	r.writeSeconds(&b)
	r.writeEvents(&b)
	r.writeChecks(&b)
	if _, err := io.WriteString(w, b.String()); err != nil {
		return ReportFailed.Wrap(err, "cannot write the report")
	}
	return nil
}

func (r *Report) writeRows(b *strings.Builder) {
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(w *Row, note string) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f%%\t%.1f\t%.1f\t%.1f\t%s\t\n", w.Name, w.Offered, w.OK, w.Limited,
			w.NotRun, w.Unauthorized, w.Failed, 100*w.Success, w.P50, w.P99, w.P999, note)
	}
	fmt.Fprint(t, "\ncalls\toffered\tok\t429\tnot run\t401\tfailed\tsuccess\tp50 ms\tp99 ms\tp99.9 ms\t\t\n")
	for i := range r.Accounts {
		w := &r.Accounts[i]
		note := fmt.Sprintf("wrongful %d", w.Wrongful)
		if !w.Conforming {
			note = "over its rate"
		}
		row(w, note)
	}
	for i := range r.Classes {
		row(&r.Classes[i], "class")
	}
	row(&r.Calls, "")
	_ = t.Flush()
}

func (r *Report) writeSummary(b *strings.Builder) {
	fmt.Fprintf(b, "\nserved within rate %.4f%%, wrongful refusals %d (%.5f%%), worst-served account %s (success %.2f%% below, highest p99 %.1f%% above the median account)\n",
		100*r.Served, r.Wrongful, 100*r.WrongfulRatio, r.Worst, 100*r.SuccessSpread, 100*r.P99Spread)
	for _, k := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(b, "  %6d %s\n", r.Reasons[k], k)
	}
	fmt.Fprintf(b, "latency without the backend server's time: p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms\n", r.Added.P50, r.Added.P99, r.Added.P999)
	if r.Added.Probes > 0 {
		fmt.Fprintf(b, "the same for %d direct calls: p50 %.2f ms, p99 %.2f ms\n", r.Added.Probes, r.Added.DirectP50, r.Added.DirectP99)
	}
	if r.Control.Measured {
		fmt.Fprintf(b, "control traffic: %.0f bytes/s per node, %.0f bytes/s at the busiest\n", r.Control.Mean, r.Control.Max)
	}
	s := r.Source
	fmt.Fprintf(b, "source reads: %d (manifest %d, parts %d, hosts %d), at most %d in a second, %d over its capacity\n",
		s.Total, s.Manifest, s.Parts, s.Hosts, s.PeakPerSecond, s.Throttled)
	fmt.Fprintf(b, "driver: %d calls not sent, p99 of sending %.1f ms late\n", r.Skipped, r.DriverLagMs)
}

func (r *Report) writeBackends(b *strings.Builder) {
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "\nbackend server\truns\tshed\tcancelled\texpired\tpeak running\tpeak connections\tboots\tfell over\tpeak cold\tcold excess\t\n")
	for i := range r.Backends {
		s := &r.Backends[i]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", s.Host, s.Executed, s.Shed, s.Cancelled,
			s.Expired, s.PeakRunning, s.PeakConnections, s.Boots, s.FellOver, s.PeakCold, s.ColdExcess)
	}
	_ = t.Flush()
}

func (r *Report) writeSeconds(b *strings.Builder) {
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "\nsecond\toffered\tok\t429\tnot run\tfailed\tp99 ms\t\n")
	for _, s := range r.Seconds {
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t\n", s.At, s.Offered, s.OK, s.Limited, s.NotRun, s.Failed, s.P99)
	}
	_ = t.Flush()
}

func (r *Report) writeEvents(b *strings.Builder) {
	if len(r.Events) > 0 {
		fmt.Fprint(b, "\nevents\n")
	}
	for _, e := range r.Events {
		fmt.Fprintf(b, "  %6d ms  %s %s %s\n", e.AtMs, e.Do, e.Target, e.Error)
	}
	if len(r.Convergence) > 0 {
		fmt.Fprint(b, "\nconvergence\n")
	}
	for _, c := range r.Convergence {
		note := ""
		if !c.Judged {
			note = "  (during a fault)"
		}
		if c.Ms < 0 {
			fmt.Fprintf(b, "  version %d, %s: not in force everywhere at the end%s\n", c.Version, c.What, note)
			continue
		}
		fmt.Fprintf(b, "  version %d, %s: %d ms%s\n", c.Version, c.What, c.Ms, note)
	}
}

func (r *Report) writeChecks(b *strings.Builder) {
	fmt.Fprint(b, "\npromises\n")
	for _, c := range r.Checks {
		state := "kept"
		if c.Violations > 0 {
			state = "BROKEN"
		}
		fmt.Fprintf(b, "  %-4s %-6s %6d %s\n", c.Promise, state, c.Violations, c.What)
		for _, d := range c.Details {
			fmt.Fprintf(b, "                     %s\n", d)
		}
	}
	if len(r.Aims) > 0 {
		fmt.Fprint(b, "\naims\n")
	}
	for _, a := range r.Aims {
		state := "met"
		if !a.Met {
			state = "MISSED"
		}
		fmt.Fprintf(b, "  %-7s %s: wanted %g, measured %.5g\n", state, a.What, a.Wanted, a.Measured)
	}
}

package experiment

import (
	"context"
	"io"
	"log/slog"
	"time"
)

// RunOptions control how an experiment file is run.
type RunOptions struct {
	// Seed replaces the file's seed unless it is 0.
	Seed uint64
	// Out receives the report, Progress the progress lines; Progress may be nil.
	Out      io.Writer
	Progress io.Writer
	// JSON selects the report as JSON in place of tables.
	JSON bool
	// FixedSplit gives each host a fixed share of an account's rate in place of
	// lending between hosts.
	FixedSplit bool
	// Log receives the log lines of the nodes from LogLevel on; nil drops them.
	Log      io.Writer
	LogLevel slog.Level
}

// RunFile runs an experiment file on a fleet in this process and writes the
// report. The error is PromiseBroken if a check found a violation, BadSpec if
// the file is invalid, and FleetFailed if the fleet did not start or an event
// failed.
func RunFile(ctx context.Context, path string, o RunOptions) error {
	spec, err := LoadSpec(path)
	if err != nil {
		return err
	}
	if o.Seed != 0 {
		spec.Seed = o.Seed
	}
	return runAndReport(ctx, spec, o)
}

// runAndReport runs the experiment and writes the report, also if an event
// failed.
func runAndReport(ctx context.Context, spec *Spec, o RunOptions) error {
	report, err := Execute(ctx, spec, o)
	if report == nil {
		return err
	}
	write := report.WriteText
	if o.JSON {
		write = report.WriteJSON
	}
	if e := write(o.Out); e != nil {
		return e
	}
	if err != nil {
		return err
	}
	return report.Err()
}

// Execute runs an experiment on a fleet in this process. It returns both a
// report and an error if an event failed.
func Execute(ctx context.Context, spec *Spec, o RunOptions) (*Report, error) {
	if err := spec.Validate(); err != nil {
		return nil, err
	}
	d, err := FindDeployment(spec.Deployment)
	if err != nil {
		return nil, err
	}
	p := NewPublication(d, spec.Seed)
	writeProgress(o.Progress, "starting %d nodes of %s, seed %d", len(d.Hosts()), d.Name, spec.Seed)
	f, err := StartFleet(ctx, FleetOptions{
		Deployment: d, Publication: p, Seed: spec.Seed, Network: spec.Network,
		FixedSplit: o.FixedSplit, Log: o.Log, LogLevel: o.LogLevel,
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	writeProgress(o.Progress, "all nodes ready, %s for %.0f s", spec.Name, ms(spec.WarmUpMs+spec.RunMs).Seconds())
	return (&Run{Spec: spec, Deployment: d, Fleet: f, Publication: p, Progress: o.Progress}).Do(ctx)
}

const (
	// defaultDemoDuration is the measured part of a demo; start and warm-up
	// included, the demo takes less than 40 s.
	defaultDemoDuration = 19 * time.Second
	// minDemoDuration is the minimum of the measured part: the zone must be out
	// of service for longer than changeDeadline so that its work can be judged.
	minDemoDuration = 15 * time.Second
	// demoWarmUp exceeds quota.ActivationDelay, the 10 s after which the quota
	// shares of newly published hosts become usable.
	demoWarmUp = 12 * time.Second
)

// DemoOptions control a demo.
type DemoOptions struct {
	// Deployment is "lima" or "antioquia"; empty means lima.
	Deployment string
	// Seed is the seed of the load and of the stand-ins; 0 means 1.
	Seed uint64
	// MeasuredDuration is the measured part; 0 means defaultDemoDuration.
	MeasuredDuration time.Duration
	Out              io.Writer
	JSON             bool
	// Progress receives progress lines; if nil, Out does unless JSON is set.
	Progress io.Writer
}

// RunDemo runs all nodes of a deployment in this process under steady load,
// publishes changes, takes a zone out of service and back in, withdraws a key
// and restarts a backend server cold. It ends by itself and writes the report.
// The error is PromiseBroken if a check found a violation.
func RunDemo(ctx context.Context, o DemoOptions) error {
	if o.Progress == nil && !o.JSON {
		o.Progress = o.Out
	}
	spec, err := demoSpec(o)
	if err != nil {
		return err
	}
	return runAndReport(ctx, spec, RunOptions{Out: o.Out, Progress: o.Progress, JSON: o.JSON})
}

// demoSpec returns the experiment of a demo. Event times are percentages of the
// measured part.
func demoSpec(o DemoOptions) (*Spec, error) {
	if o.Deployment == "" {
		o.Deployment = "lima"
	}
	if o.Seed == 0 {
		o.Seed = 1
	}
	if o.MeasuredDuration == 0 {
		o.MeasuredDuration = defaultDemoDuration
	}
	if o.MeasuredDuration < minDemoDuration {
		return nil, BadSpec.New("the measured part of a demo must be at least %s", minDemoDuration)
	}
	d, err := FindDeployment(o.Deployment)
	if err != nil {
		return nil, err
	}
	run := o.MeasuredDuration.Milliseconds()
	atPercent := func(percent int64) int { return int(run * percent / 100) }
	spec := &Spec{
		Name: "demo", Deployment: o.Deployment, Seed: o.Seed, RunMs: int(run), WarmUpMs: int(demoWarmUp.Milliseconds()),
		Load: 0.6, Repeat: 0.02, Intruders: 0.005, ProbeMs: atPercent(30),
		Events: []Event{
			{AtMs: atPercent(5), Do: Publish},
			{AtMs: atPercent(13), Do: Publish},
			{AtMs: atPercent(21), Do: Publish},
			{AtMs: atPercent(29), Do: ZoneOut, Target: d.Zones[1]},
			{AtMs: atPercent(40), Do: WithdrawKey, Target: d.Accounts[len(d.Accounts)-1].Name},
			{AtMs: atPercent(62), Do: ZoneIn, Target: d.Zones[1]},
			{AtMs: atPercent(75), Do: RestartBackend, Target: d.Hosts()[0].ID},
			{AtMs: atPercent(90), Do: Publish},
		},
		Aims: Aims{MinServed: 0.999, MaxWrongful: 0.001, MaxConvergenceMs: 1000, MaxSpread: 0.10},
	}
	return spec, spec.Validate()
}

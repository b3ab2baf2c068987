package experiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quetzaldock.example/quetzaldock/internal/standin"
)

const (
	// progressInterval is the time between two progress lines.
	progressInterval = 2 * time.Second
	// probeInterval is the time between two direct calls to backend servers.
	probeInterval = 20 * time.Millisecond
	// settleTime is how long a run continues after its last call, so that
	// versions published near the end can reach all nodes and late executions
	// are counted.
	settleTime = 500 * time.Millisecond
)

// A Run is one run of an experiment. Its fleet must be ready and have the
// version of Publication in force.
type Run struct {
	Spec        *Spec
	Deployment  *Deployment
	Fleet       *Fleet
	Publication *Publication
	// Progress receives a line every progressInterval; nil for none.
	Progress io.Writer
}

// A controlSample is the count of control traffic of one node. Counts of
// different incarnations cannot be subtracted.
type controlSample struct {
	incarnation int
	bytes       uint64
}

// Do sends the calls, carries out the events and returns the report; broken
// promises are in Report.Err. If ctx ends early, the report covers the calls
// sent until then. If an event failed, Do returns both the report and an error.
func (r *Run) Do(ctx context.Context) (*Report, error) {
	spec, d, f := r.Spec, r.Deployment, r.Fleet
	calls := Schedule(spec, d, len(f.Hosts))
	driver := NewDriver(f, d, calls, spec.Seed, r.Publication.Keys)
	for _, k := range r.Publication.Keys {
		f.Executions.AddSecret(k)
	}
	driver.Start = time.Now()
	measureStart := driver.Start.Add(ms(spec.WarmUpMs))
	watcher := newVersionWatcher(f, driver.Elapsed)
	runner := &eventRunner{fleet: f, publication: r.Publication, driver: driver, watcher: watcher}
	report := &Report{Name: spec.Name, Deployment: d.Name, Seed: spec.Seed, Nodes: len(f.Hosts), RunMs: spec.RunMs}
	runCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { watcher.run(runCtx) })
	wg.Go(func() { runner.run(runCtx, spec.Events, measureStart) })
	wg.Go(func() { report.Added = r.probeBackends(runCtx, measureStart) })
	wg.Go(func() { r.reportProgress(runCtx, driver) })
	wg.Go(func() { r.measureControl(runCtx, measureStart, report) })
	results := driver.Run(ctx)
	// Without load the driver returns at once; the events and the measurement of
	// control traffic still need the whole run.
	sleepUntil(ctx, measureStart.Add(ms(spec.RunMs)))
	sleepUntil(ctx, time.Now().Add(settleTime))
	stop()
	wg.Wait()
	report.Skipped = int(driver.skippedCalls.Load())
	report.measure(spec, d, results)
	report.Events = runner.rows
	report.Source = f.SourceCounts()
	for _, h := range f.Hosts {
		report.Backends = append(report.Backends, Backend{h.ID, f.BackendStats(h.ID)})
	}
	var versionChecks []Check
	report.Convergence, versionChecks = watcher.result()
	report.Checks = r.checkPromises(results, runner.exclusions, versionChecks)
	report.judgeAims(spec.Aims)
	for _, e := range runner.rows {
		if e.Error != "" {
			return report, FleetFailed.New("%s %s: %s", e.Do, e.Target, e.Error)
		}
	}
	return report, nil
}

// checkPromises returns the checks in the order of the report.
func (r *Run) checkPromises(results []Result, exclusions []exclusion, versionChecks []Check) []Check {
	f := r.Fleet
	zoneOf := map[string]string{}
	var hostIDs []string
	for _, h := range f.Hosts {
		zoneOf[h.ID] = h.Zone
		hostIDs = append(hostIDs, h.ID)
	}
	checks := []Check{versionChecks[0], checkColdOverload(hostIDs, f.BackendStats)}
	exclusionChecks := checkExclusions(results, exclusions, zoneOf)
	checks = append(checks, exclusionChecks[0], checkIntruders(results, f.Executions), checkKeyLeaks(f.Executions), exclusionChecks[1],
		checkRates(results, r.Deployment, f.Executions), checkAnswers(results),
		checkNotRun(results, f.Executions), checkDuplicateRuns(results, f.Executions))
	if c, planned := checkPlannedStops(results, r.Spec, f.Executions); planned {
		checks = append(checks, c)
	}
	return append(checks, versionChecks[1])
}

// reportProgress writes progress lines until ctx ends.
func (r *Run) reportProgress(ctx context.Context, driver *Driver) {
	if r.Progress == nil {
		return
	}
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	total := ms(r.Spec.WarmUpMs + r.Spec.RunMs)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			writeProgress(r.Progress, "%4.0f of %.0f s: %d calls sent, %d running",
				driver.Elapsed().Seconds(), total.Seconds(), driver.sentCalls.Load(), driver.sentCalls.Load()-driver.endedCalls.Load())
		}
	}
}

// writeProgress writes one line unless w is nil.
func writeProgress(w io.Writer, format string, args ...any) {
	if w != nil {
		_, _ = fmt.Fprintf(w, format+"\n", args...)
	}
}

// probeBackends measures the latency of direct calls to the backend servers,
// without the mesh, during the first ProbeMs after the warm-up. It makes one call
// at a time, so that the added load is negligible.
func (r *Run) probeBackends(ctx context.Context, measureStart time.Time) Added {
	h := newHistogram()
	end := measureStart.Add(ms(r.Spec.ProbeMs))
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for i := 0; r.Spec.ProbeMs > 0 && sleepUntil(ctx, measureStart.Add(time.Duration(i)*probeInterval)) && time.Now().Before(end); i++ {
		host := r.Fleet.Hosts[i%len(r.Fleet.Hosts)].ID
		probeOnce(ctx, transport, r.Fleet.BackendAddressOf(host), "probe-"+strconv.Itoa(i), h)
	}
	return Added{DirectP50: percentileMs(h, 50), DirectP99: percentileMs(h, 99), Probes: int(h.TotalCount())}
}

// probeOnce makes one direct call and records its latency without the backend
// server's own time. Failed calls are not recorded.
func probeOnce(ctx context.Context, t *http.Transport, address, trialID string, h *hdrhistogram.Histogram) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/probe", nil)
	if err != nil {
		return
	}
	q.Header.Set(standin.HeaderTrialID, trialID)
	sent := time.Now()
	a, err := t.RoundTrip(q)
	if err != nil {
		return
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	waited := time.Since(sent)
	if e, ok := standin.DecodeEcho(body); err == nil && ok {
		recordLatency(h, waited-time.Duration(e.RunUs)*time.Microsecond)
	}
}

// measureControl measures control traffic from the end of the warm-up to the
// end of the run. Nodes that restart in between are left out, because their
// counts start again at 0.
func (r *Run) measureControl(ctx context.Context, measureStart time.Time, report *Report) {
	if r.Fleet.ControlBytes == nil || !sleepUntil(ctx, measureStart) {
		return
	}
	before := r.readControlSamples()
	<-ctx.Done()
	seconds := time.Since(measureStart).Seconds()
	nodes, sum, highest := 0, 0.0, 0.0
	for host, after := range r.readControlSamples() {
		b := before[host]
		if b.incarnation != after.incarnation {
			continue
		}
		rate := float64(after.bytes-b.bytes) / seconds
		nodes++
		sum += rate
		highest = max(highest, rate)
	}
	if nodes > 0 {
		report.Control = Control{Measured: true, Mean: sum / float64(nodes), Max: highest}
	}
}

func (r *Run) readControlSamples() map[string]controlSample {
	out := map[string]controlSample{}
	for _, h := range r.Fleet.Hosts {
		_, incarnation := r.Fleet.Version(h.ID)
		out[h.ID] = controlSample{incarnation, r.Fleet.ControlBytes(h.ID)}
	}
	return out
}

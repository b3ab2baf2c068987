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
	// probeInterval is the time between two comparison calls.
	probeInterval = 20 * time.Millisecond
	// settle is how long a run goes on after its last call, so that versions
	// published near the end can get everywhere and late executions show.
	settle = 500 * time.Millisecond
)

// A Run is one run of an experiment on a fleet that is ready and has the
// publication's version in force.
type Run struct {
	Spec        *Spec
	Deployment  *Deployment
	Fleet       *Fleet
	Publication *Publication
	// Progress gets a line now and then; nil for none.
	Progress io.Writer
}

type controlCount struct {
	life  int
	bytes uint64
}

// Do sends the calls, carries out the events and returns the report. Check
// Report.Err for broken promises. When ctx ends early, the report covers what
// was sent until then.
func (r *Run) Do(ctx context.Context) (*Report, error) {
	spec, d, f := r.Spec, r.Deployment, r.Fleet
	arrivals := Schedule(spec, d, len(f.Hosts))
	v := NewDriver(f, d, arrivals, spec.Seed, r.Publication.Keys)
	for _, k := range r.Publication.Keys {
		f.Executions.AddSecret(k)
	}
	v.Start = time.Now()
	zero := v.Start.Add(ms(spec.WarmUpMs))
	w := newWatcher(f, v.Since)
	s := &stage{fleet: f, publication: r.Publication, driver: v, watcher: w}
	report := &Report{Name: spec.Name, Deployment: d.Name, Seed: spec.Seed, Nodes: len(f.Hosts), RunMs: spec.RunMs}
	running, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { w.run(running) })
	wg.Go(func() { s.run(running, spec.Events, zero) })
	wg.Go(func() { report.Added = r.probe(running, zero) })
	wg.Go(func() { r.report(running, v) })
	wg.Go(func() { r.measureControl(running, zero, report) })
	results := v.Run(ctx)
	// Without load the events and the control traffic still take the whole run.
	sleepUntil(ctx, zero.Add(ms(spec.RunMs)))
	sleepUntil(ctx, time.Now().Add(settle))
	stop()
	wg.Wait()
	report.Skipped = int(v.skipped.Load())
	report.measure(spec, d, results)
	report.Events = s.rows
	report.Source = f.SourceCounts()
	for _, h := range f.Hosts {
		report.Backends = append(report.Backends, Backend{h.ID, f.BackendStats(h.ID)})
	}
	var versions []Check
	report.Convergence, versions = w.result()
	report.Checks = r.check(results, s.barriers, versions)
	report.judgeAims(spec.Aims)
	for _, e := range s.rows {
		if e.Error != "" {
			return report, FleetFailed.New("%s %s: %s", e.Do, e.Target, e.Error)
		}
	}
	return report, nil
}

func (r *Run) check(results []Result, barriers []barrier, versions []Check) []Check {
	f := r.Fleet
	zoneOf := map[string]string{}
	var ids []string
	for _, h := range f.Hosts {
		zoneOf[h.ID] = h.Zone
		ids = append(ids, h.ID)
	}
	out := []Check{versions[0], checkCold(ids, f.BackendStats)}
	b := checkBarriers(results, barriers, zoneOf)
	out = append(out, b[0], checkIntruders(results, f.Executions), checkLeaks(f.Executions), b[1],
		checkRates(results, r.Deployment, f.Executions), checkAnswers(results),
		checkNotRun(results, f.Executions), checkDoubled(results, f.Executions))
	if c, planned := checkStops(results, r.Spec, f.Executions); planned {
		out = append(out, c)
	}
	return append(out, versions[1])
}

// report writes progress lines.
func (r *Run) report(ctx context.Context, v *Driver) {
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
			progress(r.Progress, "%4.0f of %.0f s: %d calls sent, %d running",
				v.Since().Seconds(), total.Seconds(), v.sent.Load(), v.sent.Load()-v.answered.Load())
		}
	}
}

// progress writes one line unless w is nil.
func progress(w io.Writer, format string, args ...any) {
	if w != nil {
		_, _ = fmt.Fprintf(w, format+"\n", args...)
	}
}

// probe calls backend servers around the mesh for a while. It does so one
// call at a time, so that it adds no load worth mentioning.
func (r *Run) probe(ctx context.Context, zero time.Time) Added {
	h := newHistogram()
	end := zero.Add(ms(r.Spec.ProbeMs))
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for i := 0; r.Spec.ProbeMs > 0 && sleepUntil(ctx, zero.Add(time.Duration(i)*probeInterval)) && time.Now().Before(end); i++ {
		host := r.Fleet.Hosts[i%len(r.Fleet.Hosts)].ID
		probeOnce(ctx, transport, r.Fleet.Backend(host), "probe-"+strconv.Itoa(i), h)
	}
	return Added{DirectP50: quantileMs(h, 50), DirectP99: quantileMs(h, 99), Probes: int(h.TotalCount())}
}

func probeOnce(ctx context.Context, t *http.Transport, address, trial string, h *hdrhistogram.Histogram) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/probe", nil)
	if err != nil {
		return
	}
	q.Header.Set(standin.HeaderTrialID, trial)
	sent := time.Now()
	a, err := t.RoundTrip(q)
	if err != nil {
		return
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	waited := time.Since(sent)
	if e, ok := standin.DecodeEcho(body); err == nil && ok {
		record(h, waited-time.Duration(e.RunUs)*time.Microsecond)
	}
}

// measureControl measures control traffic from the end of the warm-up to the
// end of the run. Nodes that were started anew in between are left out.
func (r *Run) measureControl(ctx context.Context, zero time.Time, report *Report) {
	if r.Fleet.ControlBytes == nil || !sleepUntil(ctx, zero) {
		return
	}
	before := r.readControl()
	<-ctx.Done()
	seconds := time.Since(zero).Seconds()
	nodes, sum, most := 0, 0.0, 0.0
	for host, after := range r.readControl() {
		b := before[host]
		if b.life != after.life {
			continue
		}
		rate := float64(after.bytes-b.bytes) / seconds
		nodes++
		sum += rate
		most = max(most, rate)
	}
	if nodes > 0 {
		report.Control = Control{Measured: true, Mean: sum / float64(nodes), Max: most}
	}
}

func (r *Run) readControl() map[string]controlCount {
	out := map[string]controlCount{}
	for _, h := range r.Fleet.Hosts {
		_, life := r.Fleet.Version(h.ID)
		out[h.ID] = controlCount{life, r.Fleet.ControlBytes(h.ID)}
	}
	return out
}

package experiment

import (
	"context"
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/internal/standin"
)

// An EventRow is an event that was carried out.
type EventRow struct {
	AtMs   int64 // from the start of the warm-up
	Do     Action
	Target string
	Error  string
}

// An eventRunner carries out the events of a run.
type eventRunner struct {
	fleet       *Fleet
	publication *Publication
	driver      *Driver
	watcher     *versionWatcher

	mu           sync.Mutex
	rows         []EventRow
	exclusions   []exclusion
	sourceFaulty bool // the configuration service has a fault
}

// run carries out the events, each at its time after measureStart, the end of
// the warm-up.
func (r *eventRunner) run(ctx context.Context, events []Event, measureStart time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, e := range events {
		if !sleepUntil(ctx, measureStart.Add(ms(e.AtMs))) {
			return
		}
		// Other actions can take seconds and must not delay the next event.
		at := r.driver.Elapsed()
		if publishesVersion(e.Do) {
			r.recordEvent(e, at, r.publish(e, at))
			continue
		}
		wg.Go(func() { r.recordEvent(e, at, r.applyFault(e)) })
	}
}

func (r *eventRunner) recordEvent(e Event, at time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := EventRow{AtMs: at.Milliseconds(), Do: e.Do, Target: e.Target}
	if err != nil {
		row.Error = err.Error()
	}
	r.rows = append(r.rows, row)
}

// publishesVersion reports whether the action changes the configuration.
func publishesVersion(a Action) bool {
	switch a {
	case Publish, ZoneOut, ZoneIn, HostOut, HostIn, WithdrawKey, GrantKey:
		return true
	}
	return false
}

// publish changes the configuration, publishes it and starts to watch for its
// convergence.
func (r *eventRunner) publish(e Event, at time.Duration) error {
	p := r.publication
	var onApplied func()
	switch e.Do {
	case ZoneOut, ZoneIn:
		p.SetZoneOut(e.Target, e.Do == ZoneOut)
	case HostOut, HostIn:
		p.SetHostOut(e.Target, e.Do == HostOut)
	case WithdrawKey:
		p.WithdrawKeys(e.Target)
		r.driver.MarkKeyWithdrawn(e.Target)
	case GrantKey:
		p.ReplaceKey(e.Target)
		key := p.Keys[e.Target]
		r.fleet.Executions.AddSecret(key)
		// The account uses its new key only once that is in force everywhere.
		onApplied = func() { r.driver.SetKey(e.Target, key) }
	default:
		p.ChangeCallTimeout()
	}
	if e.Do == ZoneIn || e.Do == HostIn {
		onApplied = r.driver.ClearAvoidedHosts
	}
	manifest, parts, err := p.Encode()
	if err != nil {
		return FleetFailed.Wrap(err, "cannot encode configuration version %d", p.Version)
	}
	if err := r.fleet.Publish(manifest, parts); err != nil {
		return FleetFailed.Wrap(err, "cannot publish configuration version %d", p.Version)
	}
	r.recordExclusion(e, at)
	r.watcher.watch(p.Version, string(e.Do)+" "+e.Target, at, onApplied)
	return nil
}

// recordExclusion starts or ends the period in which the target of the event
// must not get work.
func (r *eventRunner) recordExclusion(e Event, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e.Do {
	case ZoneOut, HostOut, WithdrawKey:
		if r.sourceFaulty {
			at = notYetVisible
		}
		r.exclusions = append(r.exclusions, exclusion{targetKind: targetKinds[e.Do], target: e.Target, from: at})
	case ZoneIn, HostIn, GrantKey:
		for i := range r.exclusions {
			x := &r.exclusions[i]
			if x.targetKind == targetKinds[e.Do] && x.target == e.Target && x.until == 0 {
				x.until = at
			}
		}
	}
}

// setSourceFaulty records whether the configuration service has a fault. At the
// end of the fault, exclusions that were recorded during it begin at the given
// time.
func (r *eventRunner) setSourceFaulty(faulty bool, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sourceFaulty = faulty
	for i := range r.exclusions {
		if !faulty && r.exclusions[i].from == notYetVisible {
			r.exclusions[i].from = at
		}
	}
}

// applyFault carries out an event that does not publish a version.
func (r *eventRunner) applyFault(e Event) error {
	f := r.fleet
	switch e.Do {
	case SourceRefuse, SourceFail, SourceHang, SourceStale:
		r.setSourceFaulty(true, 0)
	case SourceBack:
		r.setSourceFaulty(false, r.driver.Elapsed())
	}
	switch e.Do {
	case SourceRefuse, SourceFail, SourceHang, SourceStale, PartitionZone, KillNode, StopNode, RestartNodes, DelayParts, SilencePeers:
		r.watcher.setFaultActive(true)
	}
	err := r.callFleet(f, e)
	switch e.Do {
	case SourceBack, HealZone, StartNode, RestartNodes:
		r.watcher.setFaultActive(false)
		r.driver.ClearAvoidedHosts()
	}
	return err
}

// callFleet calls the function of the fleet for the action.
func (r *eventRunner) callFleet(f *Fleet, e Event) error {
	sourceFaults := map[Action]standin.ReadFault{
		SourceRefuse: standin.RefuseConnections, SourceFail: standin.FailReads, SourceHang: standin.HangReads,
		SourceStale: standin.ServeStale, SourceBack: standin.NoFault,
	}
	if fault, ok := sourceFaults[e.Do]; ok && f.SetSourceFault != nil {
		return f.SetSourceFault(fault)
	}
	hostActions := map[Action]func(string) error{
		RestartBackend: f.RestartBackend, SilenceBackend: f.SilenceBackend,
		KillNode: f.KillNode, StartNode: f.StartNode, StopNode: f.StopNode,
	}
	if act := hostActions[e.Do]; act != nil {
		return act(e.Target)
	}
	fleetActions := map[Action]func() error{
		RestartNodes: f.RestartNodes, RestartBackends: f.RestartBackends, SilencePeers: f.SilencePeers, DelayParts: f.DelayParts,
	}
	if act := fleetActions[e.Do]; act != nil {
		return act()
	}
	if f.PartitionZone != nil && (e.Do == PartitionZone || e.Do == HealZone) {
		return f.PartitionZone(e.Target, e.Do == PartitionZone)
	}
	return FleetFailed.New("the fleet does not support the action %s", e.Do)
}

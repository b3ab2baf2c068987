package experiment

import (
	"context"
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/internal/standin"
)

// An EventRow is an event that happened.
type EventRow struct {
	AtMs   int64
	Do     Action
	Target string
	Error  string
}

// A stage carries out the events of a run.
type stage struct {
	fleet       *Fleet
	publication *Publication
	driver      *Driver
	watcher     *watcher

	mu       sync.Mutex
	rows     []EventRow
	barriers []barrier
	faulty   bool // the configuration service has a fault
}

// run carries out the events, each at its time after zero.
func (s *stage) run(ctx context.Context, events []Event, zero time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, e := range events {
		if !sleepUntil(ctx, zero.Add(ms(e.AtMs))) {
			return
		}
		// Some actions take a while; the next event must not wait for them.
		at := s.driver.Since()
		if isPublication(e.Do) {
			s.record(e, at, s.publish(e, at))
			continue
		}
		wg.Go(func() { s.record(e, at, s.act(e)) })
	}
}

func (s *stage) record(e Event, at time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := EventRow{AtMs: at.Milliseconds(), Do: e.Do, Target: e.Target}
	if err != nil {
		r.Error = err.Error()
	}
	s.rows = append(s.rows, r)
}

func isPublication(a Action) bool {
	switch a {
	case Publish, ZoneOut, ZoneIn, HostOut, HostIn, WithdrawKey, GrantKey:
		return true
	}
	return false
}

// publish changes the configuration and publishes it.
func (s *stage) publish(e Event, at time.Duration) error {
	p := s.publication
	var then func()
	switch e.Do {
	case ZoneOut, ZoneIn:
		p.SetZone(e.Target, e.Do == ZoneOut)
	case HostOut, HostIn:
		p.SetHost(e.Target, e.Do == HostOut)
	case WithdrawKey:
		p.Withdraw(e.Target)
		s.driver.Bar(e.Target)
	case GrantKey:
		p.Grant(e.Target)
		key := p.Keys[e.Target]
		s.fleet.Executions.AddSecret(key)
		// The account learns its key once the change is in force.
		then = func() { s.driver.SetKey(e.Target, key) }
	default:
		p.Touch()
	}
	if e.Do == ZoneIn || e.Do == HostIn {
		then = s.driver.Return
	}
	manifest, parts, err := p.Encode()
	if err != nil {
		return FleetFailed.Wrap(err, "cannot encode version %d", p.Version)
	}
	if err := s.fleet.Publish(manifest, parts); err != nil {
		return FleetFailed.Wrap(err, "cannot publish version %d", p.Version)
	}
	s.bar(e, at)
	s.watcher.expect(p.Version, string(e.Do)+" "+e.Target, at, then)
	return nil
}

// bar notes from when and until when something must get no work.
func (s *stage) bar(e Event, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch e.Do {
	case ZoneOut, HostOut, WithdrawKey:
		if s.faulty {
			at = notShown
		}
		s.barriers = append(s.barriers, barrier{kind: targets[e.Do], target: e.Target, from: at})
	case ZoneIn, HostIn, GrantKey:
		for i := range s.barriers {
			b := &s.barriers[i]
			if b.kind == targets[e.Do] && b.target == e.Target && b.until == 0 {
				b.until = at
			}
		}
	}
}

// setFaulty notes that the configuration service has a fault or, with the time
// of its end, has none any more.
func (s *stage) setFaulty(on bool, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faulty = on
	for i := range s.barriers {
		if !on && s.barriers[i].from == notShown {
			s.barriers[i].from = at
		}
	}
}

// act carries out a fault or its end.
func (s *stage) act(e Event) error {
	f := s.fleet
	switch e.Do {
	case SourceRefuse, SourceFail, SourceHang, SourceStale:
		s.setFaulty(true, 0)
	case SourceBack:
		s.setFaulty(false, s.driver.Since())
	}
	switch e.Do {
	case SourceRefuse, SourceFail, SourceHang, SourceStale, PartitionZone, KillNode, StopNode, RestartNodes, CrossNext, SilencePeers:
		s.watcher.disturb(true)
	}
	err := s.actOn(f, e)
	switch e.Do {
	case SourceBack, HealZone, StartNode, RestartNodes:
		s.watcher.disturb(false)
		s.driver.Return()
	}
	return err
}

func (s *stage) actOn(f *Fleet, e Event) error {
	sources := map[Action]standin.ReadFault{
		SourceRefuse: standin.RefuseConnections, SourceFail: standin.FailReads, SourceHang: standin.HangReads,
		SourceStale: standin.ServeStale, SourceBack: standin.NoFault,
	}
	if fault, ok := sources[e.Do]; ok && f.Source != nil {
		return f.Source(fault)
	}
	onHost := map[Action]func(string) error{
		RestartBackend: f.RestartBackend, SilenceBackend: f.SilenceBackend,
		KillNode: f.KillNode, StartNode: f.StartNode, StopNode: f.StopNode,
	}
	if act := onHost[e.Do]; act != nil {
		return act(e.Target)
	}
	all := map[Action]func() error{
		RestartNodes: f.RestartNodes, RestartBackends: f.RestartBackends, SilencePeers: f.SilencePeers, CrossNext: f.CrossNext,
	}
	if act := all[e.Do]; act != nil {
		return act()
	}
	if f.PartitionZone != nil && (e.Do == PartitionZone || e.Do == HealZone) {
		return f.PartitionZone(e.Target, e.Do == PartitionZone)
	}
	return FleetFailed.New("the fleet cannot do %s", e.Do)
}

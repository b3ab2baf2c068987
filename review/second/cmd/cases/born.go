package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"quetzaldock.example/review2/stand"
)

const (
	// clockStep is how far the time of day jumps back, and clockStepLasts for how long.
	clockStep      = 2 * time.Second
	clockStepLasts = 5 * time.Second
	// contact, drain and leaveAfter are contactS, drainS, and how long the instance serves
	// after its report was accepted.
	contact    = 3 * time.Second
	drain      = 2 * time.Second
	leaveAfter = 6 * time.Second
)

// born lets an instance crash and start again under its ID soon after its start, while the
// time of day of its machine has jumped back, and later drains it. A request that reaches
// it more than drainS after the report was accepted breaks DRAIN. Without the disruption
// only the clock is right.
func born(record string, trouble bool) (int, error) {
	var places []stand.Place
	for i := range 7 {
		places = append(places, stand.Place{Zone: fmt.Sprintf("z%d", i%3+1), Service: "roster"})
	}
	m, err := stand.NewMesh(program, record, places)
	if err != nil {
		return couldntRun, err
	}
	defer m.Close()
	m.Later = 1
	leaving := m.Instances[m.Later]
	var offset atomic.Int64
	leaving.ClockOffset = func() time.Duration { return time.Duration(offset.Load()) }
	err = m.Start(stand.Config(
		7, stand.Route("view", shopHost, "/view/", "safe", "roster", 2, true), stand.Service("roster"), stand.Limits(),
	))
	if err != nil {
		return couldntRun, err
	}
	// The instance is added, so that the time between its starts is known.
	if err := leaving.Start(); err != nil {
		return couldntRun, err
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		offset.Store(int64(-clockStep))
		m.Recorder.Printf("the time of day of %s jumps back by %s", m.Machines[1].Name, clockStep)
	}
	leaving.Crash()
	time.Sleep(300 * time.Millisecond)
	if err := leaving.Start(); err != nil {
		return couldntRun, err
	}
	time.Sleep(clockStepLasts)
	offset.Store(0)
	m.Recorder.Printf("the time of day of %s is right", m.Machines[1].Name)
	time.Sleep(contact + time.Second)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, x := range m.Machines {
		clients.Go(func() { sendUntil(stop, m, x.Outbound(), fmt.Sprintf("c%d", i)) })
	}
	time.Sleep(time.Second)
	leaving.Drain()
	acknowledged := time.Now()
	time.Sleep(leaveAfter)
	close(stop)
	clients.Wait()
	leaving.Leave()

	return judgeDrain(m, leaving, acknowledged), nil
}

// judgeDrain returns whether requests reached an instance more than drainS after its
// draining was acknowledged.
func judgeDrain(m *stand.Mesh, leaving *stand.Instance, acknowledged time.Time) int {
	late, before := 0, 0
	for _, r := range m.Runs.All() {
		switch {
		case r.Instance != leaving.ID:
		case r.At.Sub(acknowledged) > drain:
			late++
		case r.At.Before(acknowledged):
			before++
		}
	}
	m.Recorder.Verdict("DRAIN: %d requests reached %s more than %s after its draining was acknowledged (%d before it)", late, leaving.ID, drain, before)
	switch {
	case before == 0:
		return couldntRun
	case late > 0:
		return broken
	}
	return held
}

// sendUntil sends a request every 20 ms.
func sendUntil(stop <-chan struct{}, m *stand.Mesh, address, name string) {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		id := fmt.Sprintf("%s-%d", name, i)
		a, err := stand.Send(address, &stand.Request{Method: "GET", Target: "/view/2f", Host: shopHost, ID: id, DeadlineMs: 800})
		if err != nil {
			m.Recorder.Printf("client sent %s to %s: %v", id, address, err)
			continue
		}
		m.Recorder.Printf("client sent %s to %s, got %d, signature %q", id, address, a.Status, a.Signature)
	}
}

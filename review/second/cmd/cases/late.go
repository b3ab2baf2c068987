package main

import (
	"fmt"
	"sync"
	"time"

	"quetzaldock.example/review2/stand"
)

// lateBy is how late the store does one write: 1 to 6 s.
const lateBy = 4700 * time.Millisecond

// late lets the store do one beat of an instance late, after it has acknowledged that the
// instance drains. A request that reaches the instance more than drainS after that
// acknowledgement breaks DRAIN.
func late(record string, trouble bool) (int, error) {
	var places []stand.Place
	for i := range 7 {
		places = append(places, stand.Place{Zone: fmt.Sprintf("z%d", i%4+1), Service: "roster"})
	}
	m, err := stand.NewMesh(program, record, places)
	if err != nil {
		return couldntRun, err
	}
	defer m.Close()
	leaving := m.Instances[1]
	err = m.Start(stand.Config(
		7, stand.Route("view", shopHost, "/view/", "safe", "roster", 2, true), stand.Service("roster"), stand.Limits(),
	))
	if err != nil {
		return couldntRun, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, x := range m.Machines {
		clients.Go(func() { sendUntil(stop, m, x.Outbound(), fmt.Sprintf("c%d", i)) })
	}
	time.Sleep(2 * time.Second)
	if trouble {
		// The disruption ends with this write.
		leaving.DelayNextBeat(lateBy)
	}
	time.Sleep(contact + 50*time.Millisecond)
	leaving.Drain()
	acknowledged := time.Now()
	time.Sleep(leaveAfter)
	close(stop)
	clients.Wait()
	leaving.Leave()
	return judgeDrain(m, leaving, acknowledged), nil
}

package main

import (
	"fmt"
	"time"

	"quetzaldock.example/review2/stand"
)

const (
	// lateBy is how late the store does one write: 1 to 6 s.
	lateBy = 4700 * time.Millisecond
	// lateLeaveAfter is how long the instance serves after its report was accepted: drainS
	// and a little longer.
	lateLeaveAfter = 2850 * time.Millisecond
)

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
	for _, i := range m.Instances {
		i.Work = handoverWork
	}
	leaving := m.Instances[1]
	err = m.Start(stand.Config(
		7, stand.Route("handover", shopHost, "/handover/", "unsafe", "roster", 2, true), stand.Service("roster"), stand.Limits(),
	))
	if err != nil {
		return couldntRun, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		// The disruption ends with this write.
		leaving.DelayNextBeat(lateBy)
	}
	time.Sleep(contact - time.Second + 50*time.Millisecond)
	return drainUnderLoad(m, 1, lateLeaveAfter), nil
}

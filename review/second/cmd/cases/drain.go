package main

import (
	"fmt"
	"sync"
	"time"

	"quetzaldock.example/review2/stand"
)

const (
	// contact and drain are contactS and drainS.
	contact = 3 * time.Second
	drain   = 2 * time.Second
	// handoverWork is how long an instance works on a request.
	handoverWork = 120 * time.Millisecond
	// sendInterval is the time between two requests of one machine's clients.
	sendInterval = 10 * time.Millisecond
)

// An outcome is what a client got for a request.
type outcome struct {
	status int
	err    error
}

// drainUnderLoad lets clients send requests on all machines. A second later the instance
// reports that it drains; after serveFor more it ends. It returns whether requests reached
// the instance more than drainS after its draining was acknowledged, which breaks DRAIN.
func drainUnderLoad(m *stand.Mesh, leaving *stand.Instance, serveFor time.Duration) int {
	var mu sync.Mutex
	outcomes := map[string]outcome{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, x := range m.Machines {
		clients.Go(func() {
			sendUntil(stop, m, x.Outbound(), fmt.Sprintf("c%d", i), func(id string, o outcome) {
				mu.Lock()
				defer mu.Unlock()
				outcomes[id] = o
			})
		})
	}
	time.Sleep(time.Second)
	leaving.Drain()
	acknowledged := time.Now()
	time.Sleep(time.Until(acknowledged.Add(serveFor)))
	leaving.Leave()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()

	late, before, lost := 0, 0, 0
	for _, r := range m.Runs.All() {
		switch {
		case r.Instance != leaving.ID:
		case r.At.Sub(acknowledged) > drain:
			late++
			if o := outcomes[r.ID]; o.status != 200 {
				lost++
				m.Recorder.Printf("%s reached %s %.3f s after the acknowledgement, and its client got %d, %v", r.ID, r.Instance, r.At.Sub(acknowledged).Seconds(), o.status, o.err)
			}
		case r.At.Before(acknowledged):
			before++
		}
	}
	m.Recorder.Verdict("DRAIN: %d requests reached %s more than %s after its draining was acknowledged (%d before it); %d of them, which may run once, were cut at its end", late, leaving.ID, drain, before, lost)
	switch {
	case before == 0:
		return couldntRun
	case late > 0:
		return broken
	}
	return held
}

// sendUntil sends a request every sendInterval.
func sendUntil(stop <-chan struct{}, m *stand.Mesh, address, name string, ended func(id string, o outcome)) {
	t := time.NewTicker(sendInterval)
	defer t.Stop()
	var requests sync.WaitGroup
	defer requests.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		requests.Go(func() {
			id := fmt.Sprintf("%s-%d", name, i)
			a, err := stand.Send(address, &stand.Request{Method: "POST", Target: "/handover/2f", Host: shopHost, ID: id, DeadlineMs: 1000, Body: "stop 1"})
			if err != nil {
				m.Recorder.Printf("client sent %s to %s: %v", id, address, err)
				ended(id, outcome{err: err})
				return
			}
			m.Recorder.Printf("client sent %s to %s, got %d, signature %q", id, address, a.Status, a.Signature)
			ended(id, outcome{status: a.Status})
		})
	}
}

package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/review2/stand"
)

const (
	// smallRate and smallBurst are the limit of the account that sends too much, in
	// requests per second and requests. The limit is 1.6 times what the account usually
	// sends, as in the site file, and it sends 7.5 times its usual now.
	smallRate  = 6.0
	smallBurst = 6.0
	hotFor     = 6500 * time.Millisecond
	// hotInterval is the time between two of its requests: 1 s / (6 / 1.6 x 7.5).
	hotInterval = 35556 * time.Microsecond
	// The bounds of the rule QUOTA.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.25
	quotaSlack   = 20
	// serveDrained is how long an instance serves after its draining was accepted: drainS
	// and a little longer. leaveGap is the time between two instances that leave.
	serveDrained = 3 * time.Second
	leaveGap     = time.Second
)

// smallKey is the key of the account.
const smallKey = "nu6wsjnbanfqasnmgkcu"

// lenderPlaces are the machines of a deployment of 13.
func lenderPlaces() []stand.Place {
	var all []stand.Place
	for zone, n := range []int{3, 3, 1, 2} {
		for range n {
			all = append(all, stand.Place{Zone: fmt.Sprintf("z%d", zone+1), Service: "roster"})
		}
	}
	for zone := range 4 {
		all = append(all, stand.Place{Zone: fmt.Sprintf("z%d", zone+1), Service: "rutas"})
	}
	return all
}

// lender lets an account send too much while two instances drain and leave, one after the
// other. The account is one whose limit was kept by the processes beside them.
func lender(record string, trouble bool) (int, error) {
	m, err := stand.NewMesh(program, record, lenderPlaces())
	if err != nil {
		return couldntRun, err
	}
	defer m.Close()
	first, second := 1, 4
	account := accountLentBy(m, first, second)
	resources := []map[string]any{
		stand.Route("view", shopHost, "/view/", "safe", "roster", 2, false), stand.Service("roster"), stand.Service("rutas"),
		stand.Tenant(account, smallKey, smallRate, smallBurst), stand.Limits(),
	}
	for i := range 7 {
		resources = append(resources, stand.Tenant(fmt.Sprintf("kitchen%d", i), fmt.Sprintf("key%d", i), 150, 150))
	}
	if err := m.Start(stand.Config(7, resources...)); err != nil {
		return couldntRun, err
	}
	m.Recorder.Printf("account %s: %g a second, burst %g", account, smallRate, smallBurst)
	// Traffic starts 8 s after the machines do.
	time.Sleep(8 * time.Second)

	var leaving sync.WaitGroup
	if trouble {
		for n, i := range []int{first, second} {
			leaving.Go(func() {
				time.Sleep(time.Duration(n) * leaveGap)
				m.Instances[i].Drain()
				time.Sleep(serveDrained)
				m.Instances[i].Leave()
				m.Machines[i].Terminate()
			})
		}
	}
	time.Sleep(serveDrained - time.Second)
	sent := sendTooMuch(m, []int{first, second})
	leaving.Wait()
	most, at := mostInWindow(m.Runs.All(), sent)
	allowed := (smallRate*quotaWindow.Seconds()+smallBurst)*(1+quotaOverage) + quotaSlack
	m.Recorder.Verdict("QUOTA: %d requests of %s were sent and run in %s from %s on, allowed are %g (%d sent)", most, account, quotaWindow, at.Format("15:04:05.000"), allowed, len(sent))
	switch {
	case most == 0:
		return couldntRun, nil
	case float64(most) > allowed:
		return broken, nil
	}
	return held, nil
}

// accountLentBy returns the name of an account whose tokens are lent by the process of the
// first machine, and by that of the second one once the first is gone.
func accountLentBy(m *stand.Mesh, first, second int) string {
	var all, without []string
	for i, x := range m.Machines {
		all = append(all, x.Control())
		if i != first {
			without = append(without, x.Control())
		}
	}
	for n := 0; ; n++ {
		name := fmt.Sprintf("parish%d", n)
		if hosts.HighestRanked(name, all) == all[first] && hosts.HighestRanked(name, without) == all[second] {
			return name
		}
	}
}

// sendTooMuch sends requests of the account on the machines that stay, and returns when
// each was sent.
func sendTooMuch(m *stand.Mesh, leaving []int) map[string]time.Time {
	var clients sync.WaitGroup
	sent := map[string]time.Time{}
	t := time.NewTicker(hotInterval)
	defer t.Stop()
	began := time.Now()
	for i := 0; time.Since(began) < hotFor; i++ {
		<-t.C
		x := i % len(m.Machines)
		for slices.Contains(leaving, x) {
			x = (x + 1) % len(m.Machines)
		}
		id := fmt.Sprintf("hot%04x", i)
		sent[id] = time.Now()
		clients.Go(func() {
			q := &stand.Request{Method: "GET", Target: "/view/2f", Host: shopHost, ID: id, Key: smallKey, DeadlineMs: 800}
			a, err := stand.Send(m.Machines[x].Outbound(), q)
			if err != nil {
				m.Recorder.Printf("client on %s sent %s: %v", m.Machines[x].Name, id, err)
				return
			}
			m.Recorder.Printf("client on %s sent %s, got %d, signature %q", m.Machines[x].Name, id, a.Status, a.Signature)
		})
	}
	clients.Wait()
	return sent
}

// mostInWindow returns the largest number of requests that were both sent and run in one
// window of the rule, and the beginning of that window.
func mostInWindow(runs []stand.Run, sent map[string]time.Time) (most int, at time.Time) {
	for _, from := range sent {
		seen := map[string]bool{}
		for _, r := range runs {
			s, ok := sent[r.ID]
			if ok && !s.Before(from) && r.At.Sub(from) < quotaWindow {
				seen[r.ID] = true
			}
		}
		if len(seen) > most {
			most, at = len(seen), from
		}
	}
	return most, at
}

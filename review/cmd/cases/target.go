package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"quetzaldock.example/review/stand"
)

func init() { cases["target"] = changedTarget }

// targetHosts is the number of hosts of the case.
const targetHosts = 4

// A target is the path and query of a request, and the key that comes with it.
type target struct{ path, key string }

// changedTarget sends requests whose paths begin with one slash or with two. An
// instance has to run each with the path and the host name that the client sent.
func changedTarget() (int, error) {
	d, err := stand.NewDeployment()
	if err != nil {
		return couldNotRun, err
	}
	defer d.Close()
	var mu sync.Mutex
	runs := map[string]stand.Run{}
	for n := range targetHosts {
		i := d.AddHost("desk", fmt.Sprintf("z%d", n%2+1)).Instance
		i.Work, i.HealthWork = 20*time.Millisecond, time.Millisecond
		i.OnRun = func(r stand.Run) {
			mu.Lock()
			defer mu.Unlock()
			runs[r.ID] = r
		}
	}
	config := stand.Configuration(
		1, []stand.Service{{Name: "desk", ColdStartS: 3, ColdPerS: 23}},
		[]stand.Route{
			{Name: "r-pages", Host: "show.example", Prefix: "/", Type: "unsafe", Service: "desk", TimeoutS: 1.5, TargetLatencyS: 0.5, MaxAttempts: 2, Public: true},
			{Name: "r-entry", Host: "show.example", Prefix: "/entry/", Type: "unsafe", Service: "desk", TimeoutS: 1.5, TargetLatencyS: 0.5, MaxAttempts: 2},
		},
		[]stand.Tenant{{Name: "club", Keys: []string{"key-of-club"}}},
	)
	if err := d.Start(config); err != nil {
		return couldNotRun, err
	}
	time.Sleep(4 * time.Second)
	targets := []target{{"/class/7?day=1", ""}, {"/entry/7", "key-of-club"}, {"/entry//7", "key-of-club"}, {"/", ""}}
	if stand.Trouble() {
		targets = append(targets, target{"//class/7?day=1", ""}, target{"//show.example/entry/7", ""})
	}
	changed, sent := 0, 0
	for round := range 10 {
		for n, to := range targets {
			for k, h := range d.Hosts {
				c := &stand.Client{Address: d.Outbound(h)}
				r := stand.Request{
					Method: http.MethodPost, Host: "show.example", Target: to.path, ID: fmt.Sprintf("q%d-%d-%d", round, n, k), Key: to.key,
					Deadline: 3 * time.Second, Body: []byte("entry of a ferret"),
				}
				a := c.Do(r)
				c.Close()
				sent++
				mu.Lock()
				ran, ok := runs[r.ID]
				mu.Unlock()
				d.Record("sent %s POST %s host %s key %q: status %d, error %v; ran: %t as %s %s host %s tenant %q", r.ID, to.path, r.Host, to.key, a.Status, a.Err, ok, ran.Method, ran.Target, ran.Host, ran.Tenant)
				if ok && (ran.Target != to.path || ran.Method != r.Method || string(ran.Body) != string(r.Body)) {
					changed++
					d.Record("UNASKED: request %s was sent with target %s and ran with target %s", r.ID, to.path, ran.Target)
				}
			}
		}
	}
	summary := fmt.Sprintf("%d requests, %d ran with another method, target or body", sent, changed)
	d.Record("%s", summary)
	fmt.Println(summary)
	if changed > 0 {
		return broken, nil
	}
	return held, nil
}

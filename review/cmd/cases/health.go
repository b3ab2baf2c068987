package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quetzaldock.example/review/stand"
)

func init() { cases["health"] = lateAnswerAtHealthCheck }

const (
	healthHosts = 10
	// affectedShare is the share of the instances that send second answers, and
	// extraShare the share of their answers that they send twice.
	affectedShare = 0.6
	extraShare    = 0.03
	episode       = 5 * time.Second
	episodePause  = 1 * time.Second
	episodes      = 14
	clientsOfHost = 10
	// thinkTime is the mean time between two requests of a client.
	thinkTime = 100 * time.Millisecond
)

// lateAnswerAtHealthCheck sends unsafe requests while instances send some answers a
// second time, late. Every 2xx that a client gets has to be the whole answer of an
// instance to the client's own request, and no request may run twice.
func lateAnswerAtHealthCheck() (int, error) {
	d, err := stand.NewDeployment()
	if err != nil {
		return couldNotRun, err
	}
	defer d.Close()
	var active atomic.Bool
	var runsMu sync.Mutex
	runs := map[string]int{}
	zones := []string{"z1", "z2", "z3", "z4"}
	for n := range healthHosts {
		i := d.AddHost("desk", zones[n%len(zones)]).Instance
		i.Work, i.HealthWork = 40*time.Millisecond, healthLag()
		if float64(n) < affectedShare*healthHosts {
			i.Extra = func() bool { return active.Load() && rand.Float64() < extraShare }
		}
		i.OnRun = func(r stand.Run) {
			runsMu.Lock()
			runs[r.ID]++
			runsMu.Unlock()
			d.Record("%s ran %s for %s", r.Instance, r.ID, r.Tenant)
		}
	}
	config := stand.Configuration(
		1, []stand.Service{{Name: "desk", ColdStartS: 3, ColdPerS: 23}},
		[]stand.Route{{Name: "r-entry", Host: "show.example", Prefix: "/entry/", Type: "unsafe", Service: "desk", TimeoutS: 1.5, TargetLatencyS: 0.5, MaxAttempts: 2}},
		[]stand.Tenant{{Name: "club", Keys: []string{"key-of-club"}}},
	)
	if err := d.Start(config); err != nil {
		return couldNotRun, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var sent, mixed, ok, other atomic.Int64
	for n, h := range d.Hosts {
		for k := range clientsOfHost {
			wg.Go(func() {
				c := &stand.Client{Address: d.Outbound(h)}
				defer c.Close()
				for s := 0; ; s++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(rand.ExpFloat64() * float64(thinkTime))):
					}
					r := stand.Request{
						Method: http.MethodPost, Host: "show.example", Target: "/entry/1", ID: fmt.Sprintf("q%d-%d-%d", n, k, s), Key: "key-of-club",
						Deadline: 3 * time.Second, Body: []byte("entry of a ferret"),
					}
					a := c.Do(r)
					sent.Add(1)
					switch {
					case a.Err == nil && a.Status/100 == 2 && a.Header.Get(stand.HeaderSignature) != "" && strings.HasPrefix(string(a.Body), "done "+r.ID+" "):
						ok.Add(1)
						d.Record("%s sent POST %s, answered %d %q", r.ID, r.Target, a.Status, a.Body)
					case a.Err == nil && a.Status/100 == 2:
						mixed.Add(1)
						d.Record("MIXED: request %s got status %d, signature %q, header %v, body %q", r.ID, a.Status, a.Header.Get(stand.HeaderSignature), a.Header, a.Body)
					default:
						other.Add(1)
						d.Record("request %s got status %d, error %v, body %q", r.ID, a.Status, a.Err, a.Body)
					}
				}
			})
		}
	}
	for n := range episodes {
		active.Store(stand.Trouble())
		d.Record("episode %d begins, second answers: %t", n+1, active.Load())
		time.Sleep(episode)
		active.Store(false)
		time.Sleep(episodePause)
	}
	close(stop)
	wg.Wait()
	twice := 0
	runsMu.Lock()
	for id, n := range runs {
		if n > 1 {
			twice++
			d.Record("TWICE: request %s ran %d times", id, n)
		}
	}
	runsMu.Unlock()
	summary := fmt.Sprintf("%d requests: %d right answers, %d other ends, MIXED %d, TWICE %d", sent.Load(), ok.Load(), other.Load(), mixed.Load(), twice)
	d.Record("%s", summary)
	fmt.Println(summary)
	if mixed.Load() > 0 || twice > 0 {
		return broken, nil
	}
	return held, nil
}

// healthLag returns how long an instance takes for the answer to a health check once it
// has a slot: 20 ms, or the number of milliseconds in HEALTH_MS.
func healthLag() time.Duration {
	if ms, err := strconv.Atoi(os.Getenv("HEALTH_MS")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return 20 * time.Millisecond
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"quetzaldock.example/review/stand"
)

func init() { cases["cold"] = coldAgain }

const (
	coldHosts = 4
	// coldPerSecond is coldPerS of the service, and coldBound the number of requests in
	// one second that breaks the rule: coldPerS x coldOverage + coldSlack.
	coldPerSecond = 23.0
	coldBound     = coldPerSecond*1.5 + 5
	coldFor       = 3 * time.Second
	coldEpisodes  = 6
	coldPause     = 9 * time.Second
	coldClients   = 20
	coldThinkTime = 150 * time.Millisecond
	// crashAt is the number of requests in one second at which a cold instance crashes.
	crashAt  = 3 * coldPerSecond
	downFor  = 1500 * time.Millisecond
	coldZone = "z1"
	// heartbeat is the time between two entries of an instance in the store.
	heartbeat = 1500 * time.Millisecond
)

// A coldRun is one request that reached an instance: when its client sent it and when it
// arrived.
type coldRun struct{ sent, arrived time.Time }

// A coldInstance counts what reaches one instance while it is cold.
type coldInstance struct {
	*stand.Instance
	mu      sync.Mutex
	cold    time.Time
	runs    []coldRun
	broken  int
	worst   int
	crashes int
}

// arrive records a request and reports whether the instance crashes by it.
func (c *coldInstance) arrive(r coldRun) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.crashes > 0 || time.Now().UnixNano() >= c.ColdUntil.Load() {
		return false
	}
	c.runs = append(c.runs, r)
	inSecond := 0
	for _, x := range c.runs {
		if !x.sent.Before(c.cold) && r.arrived.Sub(x.sent) < time.Second {
			inSecond++
		}
	}
	c.worst = max(c.worst, inSecond)
	if float64(inSecond) > coldBound {
		c.broken++
	}
	return inSecond > crashAt
}

// writeEntry writes the entry of the instance at its next heartbeat, unless it is down.
func (c *coldInstance) writeEntry(d *stand.Deployment, sequence int) {
	time.Sleep(rand.N(heartbeat))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.crashes == 0 {
		d.Store.Put("servers/"+c.ID, c.Entry("ready", sequence))
		d.Record("%s has written its entry", c.ID)
	}
}

// becomeCold begins a cold time.
func (c *coldInstance) becomeCold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cold, c.runs = time.Now(), nil
	c.ColdUntil.Store(c.cold.Add(coldFor).UnixNano())
}

// coldAgain lets the instances of a zone become cold without a restart while they serve.
func coldAgain() (int, error) {
	d, err := stand.NewDeployment()
	if err != nil {
		return couldNotRun, err
	}
	defer d.Close()
	var sentMu sync.Mutex
	sent := map[string]time.Time{}
	var all []*coldInstance
	for n := range coldHosts {
		i := &coldInstance{Instance: d.AddHost("desk", fmt.Sprintf("z%d", n%2+1)).Instance}
		all = append(all, i)
		i.Work, i.HealthWork = 40*time.Millisecond, time.Millisecond
		i.OnRun = func(r stand.Run) {
			sentMu.Lock()
			at := sent[r.ID]
			sentMu.Unlock()
			d.Record("%s ran %s", r.Instance, r.ID)
			if i.arrive(coldRun{at, r.At}) {
				i.mu.Lock()
				defer i.mu.Unlock()
				if i.crashes++; i.crashes > 1 {
					return
				}
				d.Record("%s crashes", i.ID)
				go func() {
					i.Stop()
					time.Sleep(downFor)
					i.becomeCold()
					i.mu.Lock()
					i.crashes, i.Born = 0, time.Now().UnixMilli()
					i.mu.Unlock()
					_ = i.Start()
					i.writeEntry(d, 1)
				}()
			}
		}
	}
	config := stand.Configuration(
		1, []stand.Service{{Name: "desk", ColdStartS: coldFor.Seconds(), ColdPerS: coldPerSecond}},
		[]stand.Route{{Name: "r-entry", Host: "show.example", Prefix: "/entry/", Type: "unsafe", Service: "desk", TimeoutS: 1.5, TargetLatencyS: 0.5, MaxAttempts: 2}},
		[]stand.Tenant{{Name: "club", Keys: []string{"key-of-club"}}},
	)
	if err := d.Start(config); err != nil {
		return couldNotRun, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var answered, lost, refused atomic.Int64
	for n, h := range d.Hosts {
		for k := range coldClients {
			wg.Go(func() {
				c := &stand.Client{Address: d.Outbound(h)}
				defer c.Close()
				for s := 0; ; s++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(rand.ExpFloat64() * float64(coldThinkTime))):
					}
					r := stand.Request{
						Method: http.MethodPost, Host: "show.example", Target: "/entry/1", ID: fmt.Sprintf("q%d-%d-%d", n, k, s), Key: "key-of-club",
						Deadline: 3 * time.Second, Body: []byte("entry of a ferret"),
					}
					sentMu.Lock()
					sent[r.ID] = time.Now()
					sentMu.Unlock()
					a := c.Do(r)
					d.Record("%s sent POST %s, answered %d, error %v", r.ID, r.Target, a.Status, a.Err)
					switch {
					case a.Err == nil && a.Status/100 == 2:
						answered.Add(1)
					case a.Status == http.StatusServiceUnavailable:
						refused.Add(1)
					default:
						lost.Add(1)
					}
				}
			})
		}
	}
	// The health checks of the nodes and the cold times do not keep step.
	time.Sleep(3*time.Second + rand.N(time.Second))
	for n := range coldEpisodes {
		if stand.Trouble() {
			d.Record("cold time %d of zone %s begins", n+1, coldZone)
			for _, i := range all {
				if i.Zone == coldZone {
					i.becomeCold()
					go i.writeEntry(d, n+2)
				}
			}
		}
		time.Sleep(coldPause + rand.N(time.Second))
	}
	close(stop)
	wg.Wait()
	broke, worst := 0, 0
	for _, i := range all {
		broke, worst = broke+i.broken, max(worst, i.worst)
	}
	summary := fmt.Sprintf("%d answered, %d refused, %d lost; requests over the bound of %.1f in one second at a cold instance: %d, most in one second: %d", answered.Load(), refused.Load(), lost.Load(), coldBound, broke, worst)
	d.Record("%s", summary)
	fmt.Println(summary)
	if broke > 0 {
		return broken, nil
	}
	return held, nil
}

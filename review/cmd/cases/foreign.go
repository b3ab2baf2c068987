package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"quetzaldock.example/review/stand"
)

func init() { cases["foreign"] = foreignEntries }

const (
	foreignHosts = 4
	// measureFor is how long the share of the served requests is measured.
	measureFor = 8 * time.Second
	// downAfterKill is how long the nodes are down in the final fault.
	downAfterKill = time.Second
	// minServedShare of the requests has to be served before the final fault and after
	// the recovery.
	minServedShare = 0.25
)

// served sends requests for measureFor and returns the share that was served.
func (t *configTest) served(name string) float64 {
	sent, ok := 0, 0
	for end := time.Now().Add(measureFor); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, h := range t.Hosts {
			a, ran := t.send(h, http.MethodGet, "/class/1", "key-1")
			sent++
			if a.Err == nil && a.Status == http.StatusOK && ran {
				ok++
			}
		}
	}
	t.Record("%s: %d of %d requests served", name, ok, sent)
	return float64(ok) / float64(sent)
}

// foreignEntries kills all nodes and starts them again. Meanwhile another writer writes
// entries to the store that name a service which no configuration has, and the addresses of the
// instances.
func foreignEntries() (int, error) {
	t, err := newConfigTest(foreignHosts, stand.Configuration(
		1, configServices, []stand.Route{configRoute("r-class", "/class/")}, []stand.Tenant{{Name: "club", Keys: []string{"key-1"}}},
	))
	if err != nil {
		return couldNotRun, err
	}
	defer t.Close()
	before := t.served("before")
	for _, h := range t.Hosts {
		h.Signal(syscall.SIGKILL)
	}
	for _, h := range t.Hosts {
		_ = h.Wait()
	}
	time.Sleep(downAfterKill)
	if stand.Trouble() {
		for _, h := range t.Hosts {
			i := h.Instance
			t.Store.Put("servers/probe-"+i.ID, map[string]any{
				"address": i.Address, "born": time.Now().UnixMilli(),
				"info":   map[string]any{"service": "probe", "version": "v1", "zone": i.Zone, "slots": 1},
				"status": map[string]any{"state": "ready", "sequence": 1, "coldRemainingS": 0},
			})
			t.Record("another writer has written servers/probe-%s with the address of %s and the service probe", i.ID, i.ID)
		}
	}
	for _, h := range t.Hosts {
		if err := t.StartNode(h, false); err != nil {
			return couldNotRun, err
		}
	}
	t.Record("all nodes were killed and are back")
	time.Sleep(recovery + time.Second)
	after := t.served("after the recovery")
	summary := fmt.Sprintf("share served: %.2f before the final fault, %.2f later than recoveryS after it", before, after)
	t.Record("%s", summary)
	fmt.Println(summary)
	if before >= minServedShare && after < minServedShare {
		return broken, nil
	}
	return held, nil
}

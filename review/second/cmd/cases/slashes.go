package main

import (
	"fmt"
	"strings"
	"time"

	"quetzaldock.example/review2/stand"
)

const (
	shopHost = "shop.example"
	shopKey  = "3fexd9dnn2ctnfzs989a"
)

// slashes sends requests whose path begins with two slashes, on a route whose prefix is a
// single one. Each must reach an instance with the path that the client sent.
func slashes(record string, trouble bool) (int, error) {
	m, err := stand.NewMesh(program, record, []stand.Place{{Zone: "z1", Service: "web"}, {Zone: "z2", Service: "web"}, {Zone: "z3", Service: "books"}})
	if err != nil {
		return couldntRun, err
	}
	defer m.Close()
	err = m.Start(stand.Config(
		7, stand.Route("all", shopHost, "/", "unsafe", "web", 2, false), stand.Service("web"), stand.Service("books"),
		stand.Tenant("shop", shopKey, 1000, 1000), stand.Limits(),
	))
	if err != nil {
		return couldntRun, err
	}
	time.Sleep(time.Second)
	path := "//orders/pay/2f?copy=1"
	if !trouble {
		path = strings.TrimPrefix(path, "/")
	}
	sent := map[string]bool{}
	for i := range 30 {
		id := fmt.Sprintf("slash%04x", i)
		sent[id] = true
		q := &stand.Request{Method: "POST", Target: path, Host: shopHost, ID: id, Key: shopKey, DeadlineMs: 2000, Body: "order 1"}
		a, err := stand.Send(m.Machines[i%len(m.Machines)].Outbound(), q)
		if err != nil {
			m.Recorder.Printf("client sent POST %s as %s: %v", path, id, err)
			continue
		}
		m.Recorder.Printf("client sent POST %s as %s, got %d, signature %q", path, id, a.Status, a.Signature)
	}
	runs, changed := 0, 0
	for _, r := range m.Runs.All() {
		if !sent[r.ID] {
			continue
		}
		runs++
		if r.Target != path || r.Host != shopHost {
			changed++
		}
	}
	m.Recorder.Verdict("UNASKED: %d of %d runs were with another path or host than the client sent", changed, runs)
	switch {
	case runs == 0:
		return couldntRun, nil
	case changed > 0:
		return broken, nil
	}
	return held, nil
}

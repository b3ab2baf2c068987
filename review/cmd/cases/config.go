package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"quetzaldock.example/review/stand"
)

func init() { cases["config"] = refusedConfiguration }

const (
	configHosts = 3
	// configApply is configApplyS of the deployment.
	configApply = 2 * time.Second
	// checkFor is how long requests are sent after configApply has passed.
	checkFor = 6 * time.Second
	// recovery is recoveryS of the deployment.
	recovery = 15 * time.Second
)

// A configTest is a deployment whose configuration changes, and what its clients see.
type configTest struct {
	*stand.Deployment
	mu     sync.Mutex
	runs   map[string]stand.Run
	nextID int
}

func (t *configTest) ran(id string) (stand.Run, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.runs[id]
	return r, ok
}

// send sends one request through the node of a host.
func (t *configTest) send(h *stand.Host, method, target, key string) (stand.Answer, bool) {
	t.nextID++
	c := &stand.Client{Address: t.Outbound(h)}
	defer c.Close()
	r := stand.Request{Method: method, Host: "show.example", Target: target, ID: fmt.Sprintf("q%d", t.nextID), Key: key, Deadline: 2 * time.Second}
	a := c.Do(r)
	_, ran := t.ran(r.ID)
	t.Record("%s: %s %s with key %s: status %d, error %v, ran: %t", h.IP, method, target, key, a.Status, a.Err, ran)
	return a, ran
}

// newConfigTest starts a deployment with a configuration.
func newConfigTest(hosts int, config map[string]any) (*configTest, error) {
	d, err := stand.NewDeployment()
	if err != nil {
		return nil, err
	}
	t := &configTest{Deployment: d, runs: map[string]stand.Run{}}
	for n := range hosts {
		i := d.AddHost("desk", fmt.Sprintf("z%d", n%2+1)).Instance
		i.Work, i.HealthWork = 10*time.Millisecond, time.Millisecond
		i.OnRun = func(r stand.Run) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.runs[r.ID] = r
		}
	}
	if err := d.Start(config); err != nil {
		d.Close()
		return nil, err
	}
	time.Sleep(4 * time.Second)
	return t, nil
}

var configServices = []stand.Service{{Name: "desk", ColdStartS: 3, ColdPerS: 23}}

func configRoute(name, prefix string) stand.Route {
	return stand.Route{Name: name, Host: "show.example", Prefix: prefix, Type: "safe", Service: "desk", TimeoutS: 1.2, TargetLatencyS: 0.4, MaxAttempts: 2}
}

// A keyChange is a version that withdraws a key and a route.
type keyChange struct {
	withdrawnKey, droppedPath, addedPath string
	config                               map[string]any
}

// check publishes a version and counts the requests that are handled as only older
// versions allow, later than configApply after the acknowledgement.
func (t *configTest) check(name string, c *keyChange) (stale int) {
	acknowledged := t.Store.Put("op/config", c.config)
	t.Record("%s: published version %v", name, c.config["version"])
	time.Sleep(time.Until(acknowledged.Add(configApply + 500*time.Millisecond)))
	for end := time.Now().Add(checkFor); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, h := range t.Hosts {
			if _, ran := t.send(h, http.MethodGet, "/class/1", c.withdrawnKey); ran {
				stale++
				t.Record("CONFIG: a request with the withdrawn key %s ran %.1f s after the acknowledgement", c.withdrawnKey, time.Since(acknowledged).Seconds())
			}
			if _, ran := t.send(h, http.MethodGet, c.droppedPath, "key-1"); ran {
				stale++
				t.Record("CONFIG: a request on the dropped route %s ran %.1f s after the acknowledgement", c.droppedPath, time.Since(acknowledged).Seconds())
			}
			if a, _ := t.send(h, http.MethodGet, c.addedPath, "key-1"); a.Status == http.StatusNotFound {
				stale++
				t.Record("CONFIG: a request on the added route %s got 404 %.1f s after the acknowledgement", c.addedPath, time.Since(acknowledged).Seconds())
			}
		}
	}
	return stale
}

// restart stops a node, starts it again and reports whether it is ready within recovery.
func (t *configTest) restart(h *stand.Host) (bool, error) {
	h.Signal(syscall.SIGTERM)
	_ = h.Wait()
	if err := t.StartNode(h, false); err != nil {
		return false, err
	}
	for end := time.Now().Add(recovery); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if t.Ready(h) {
			return true, nil
		}
	}
	t.Record("the node of %s is not ready %s after its start", h.IP, recovery)
	t.send(h, http.MethodGet, "/class/1", "key-1")
	return false, nil
}

// refusedConfiguration publishes valid versions: one adds a route whose prefix has a
// percent-encoded letter, one gives a quota to a tenant with a long name. Each also
// withdraws a key and a route.
func refusedConfiguration() (int, error) {
	addedPrefix, tenantName := "/men%C3%BA/", "asociacion-de-criadores-de-hurones-de-miraflores-y-barranco"
	if !stand.Trouble() {
		addedPrefix, tenantName = "/menu/", "asociacion-de-criadores"
	}
	class := configRoute("r-class", "/class/")
	club := func(keys ...string) stand.Tenant {
		return stand.Tenant{Name: "club", Keys: keys, RatePerS: 172, Burst: 172}
	}
	first := stand.Configuration(1, configServices, []stand.Route{class, configRoute("r-old", "/old/")}, []stand.Tenant{club("key-1", "key-2", "key-3")})
	t, err := newConfigTest(configHosts, first)
	if err != nil {
		return couldNotRun, err
	}
	defer t.Close()
	for _, key := range []string{"key-1", "key-2", "key-3"} {
		if a, ran := t.send(t.Hosts[0], http.MethodGet, "/class/1", key); a.Status != http.StatusOK || !ran {
			return couldNotRun, fmt.Errorf("the first version is not in force")
		}
	}
	prefix := t.check("prefix", &keyChange{
		withdrawnKey: "key-2", droppedPath: "/old/1", addedPath: addedPrefix + "1",
		config: stand.Configuration(4, configServices, []stand.Route{class, configRoute("r-menu", addedPrefix)}, []stand.Tenant{club("key-1", "key-3")}),
	})
	ready, err := t.restart(t.Hosts[configHosts-1])
	if err != nil {
		return couldNotRun, err
	}
	t.Store.Put("op/config", stand.Configuration(9, configServices, []stand.Route{class, configRoute("r-old2", "/old2/")}, []stand.Tenant{club("key-1", "key-3")}))
	time.Sleep(configApply + time.Second)
	tenant := t.check("tenant", &keyChange{
		withdrawnKey: "key-3", droppedPath: "/old2/1", addedPath: "/new/1",
		config: stand.Configuration(11, configServices, []stand.Route{class, configRoute("r-new", "/new/")}, []stand.Tenant{
			club("key-1"), {Name: tenantName, Keys: []string{"key-9"}, RatePerS: 20, Burst: 20},
		}),
	})
	summary := fmt.Sprintf(
		"handled as only older versions allow: %d after the version with prefix %s, %d after the version with tenant %s; a node that was started anew meanwhile was ready within %s: %t",
		prefix, addedPrefix, tenant, tenantName, recovery, ready)
	t.Record("%s", summary)
	fmt.Println(summary)
	if prefix+tenant > 0 {
		return broken, nil
	}
	return held, nil
}

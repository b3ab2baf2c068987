package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// TestMeasureNode prints the resident memory and the processor time of one idle
// node process for several sizes of the configured fleet. It runs only with
// QUETZALDOCK_MEASURE=1.
func TestMeasureNode(t *testing.T) {
	if os.Getenv("QUETZALDOCK_MEASURE") == "" {
		t.Skip("set QUETZALDOCK_MEASURE=1")
	}
	for _, n := range []int{13, 110, 400, 1100} {
		t.Run(strconv.Itoa(n), func(t *testing.T) { measureNode(t, n) })
	}
}

func measureNode(t *testing.T, hostCount int) {
	m := newMesh(t, 1)
	m.awaitVersion()
	m.addConfiguredHosts(hostCount)
	m.publish()
	m.publishLeavingHosts(hostCount)
	m.awaitVersion()
	const measuredDuration = 20 * time.Second
	time.Sleep(5 * time.Second)
	before := m.hosts[0].processorTime()
	time.Sleep(measuredDuration)
	used := m.hosts[0].processorTime() - before
	t.Logf("%d hosts, %d services: resident %d KiB, processor %.2f%% of a core", hostCount, len(m.document.Services),
		m.hosts[0].residentKiB(), 100*used.Seconds()/measuredDuration.Seconds())
}

// addConfiguredHosts extends the configuration to hostCount hosts, 40 accounts,
// a service for each 12 hosts and a route to each service.
func (m *mesh) addConfiguredHosts(hostCount int) {
	for i := range max(1, hostCount/12) {
		name := fmt.Sprintf("service-%d", i)
		m.document.Services = append(m.document.Services, config.Service{Name: name})
		m.document.Routes = append(m.document.Routes, config.Route{Prefix: "/" + name, Service: name})
	}
	for i := 1; i < hostCount; i++ {
		m.document.Hosts = append(m.document.Hosts, config.Host{ID: fmt.Sprintf("host-%d", i), Service: m.document.Services[i%len(m.document.Services)].Name, Zone: "z0"})
	}
	for i := range 38 {
		_, digest, err := config.NewKey()
		assert.NilError(m.t, err)
		m.document.Accounts = append(m.document.Accounts, config.ClientAccount{Name: fmt.Sprintf("account-%d", i), Keys: []string{digest}})
	}
}

// publishLeavingHosts publishes a host list with the node and hostCount-1 leaving
// hosts, with which the node exchanges no messages.
func (m *mesh) publishLeavingHosts(hostCount int) {
	l := hosts.List{Hosts: []hosts.Host{{
		ID: m.hosts[0].settings.Host, Service: "desk", Zone: "z0", State: hosts.Live,
		CallAddress: m.hosts[0].callProxy.Address(), ControlAddress: m.hosts[0].controlProxy.Address(),
	}}}
	for i := 1; i < hostCount; i++ {
		l.Hosts = append(l.Hosts, hosts.Host{
			ID: fmt.Sprintf("host-%d", i), Service: m.document.Hosts[i].Service, Zone: "z0", State: hosts.Leaving,
			CallAddress: "127.0.0.1:1", ControlAddress: "127.0.0.1:1",
		})
	}
	assert.NilError(m.t, m.configService.SetHosts(l))
}

// residentKiB returns the resident memory of the node's process in KiB.
func (h *meshHost) residentKiB() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			n, _ := strconv.Atoi(f[1])
			return n
		}
	}
	return 0
}

// processorTime returns the user and system time of the node's process.
func (h *meshHost) processorTime() time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.process.Process.Pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	const ticksPerSecond = 100 // USER_HZ, the unit of /proc/PID/stat on Linux
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

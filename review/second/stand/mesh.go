package stand

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// ErrNotReady means that the processes were not ready in time.
var ErrNotReady = errors.New("the processes are not ready")

// A Mesh is a small deployment: a store, and machines with an instance and a process
// each.
type Mesh struct {
	Store     *Store
	Machines  []*Machine
	Instances []*Instance
	Runs      *RunLog
	Recorder  *Recorder
	// Later is the index of an instance that Start does not start, or negative.
	Later int

	dir string
}

// A Place is where one machine stands, and the service of its instance.
type Place struct{ Zone, Service string }

// started holds the deployments of this process that are not closed.
var started sync.Map

// CloseAll closes all deployments of this process.
func CloseAll() {
	started.Range(func(m, _ any) bool {
		m.(*Mesh).Close()
		return true
	})
}

// NewMesh lays out a deployment, without starting it. program is the system's program.
func NewMesh(program, record string, places []Place) (*Mesh, error) {
	r, err := NewRecorder(record)
	if err != nil {
		return nil, err
	}
	program, err = filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "mesh")
	if err != nil {
		return nil, err
	}
	m := &Mesh{Runs: &RunLog{}, Recorder: r, Later: -1, dir: dir}
	if m.Store, err = StartStore("127.0.0.1"); err != nil {
		return nil, err
	}
	ports, err := freePorts(len(places))
	if err != nil {
		return nil, err
	}
	for i, p := range places {
		machine := &Machine{
			Name: fmt.Sprintf("h%d", i+1), IP: machineIP(i), Zone: p.Zone, Service: p.Service, Ports: ports,
			StoreAddress: m.Store.Address, Program: program, Dir: dir, Recorder: r,
		}
		m.Machines = append(m.Machines, machine)
		m.Instances = append(m.Instances, &Instance{
			ID: fmt.Sprintf("i-%d%04x", i+1, rand.IntN(1<<16)), Service: p.Service, Zone: p.Zone, Address: machine.App(), Slots: 16,
			Work: 20 * time.Millisecond, Store: m.Store, Runs: m.Runs, Recorder: r, ClockOffset: func() time.Duration { return 0 },
		})
	}
	started.Store(m, true)
	return m, nil
}

func machineIP(i int) string { return fmt.Sprintf("127.0.1.%d", i+1) }

// freePorts finds ports that are free at the addresses of all machines.
func freePorts(machines int) (Ports, error) {
	var found [6]int
	for n := 0; n < len(found); {
		p := 20000 + rand.IntN(10000)
		if !isFree(p, machines) {
			continue
		}
		found[n] = p
		n++
	}
	return Ports{found[0], found[1], found[2], found[3], found[4], found[5]}, nil
}

func isFree(port, machines int) bool {
	for i := range machines {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", machineIP(i), port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// Start publishes the configuration, starts the instances and processes, and waits until
// the processes are ready.
func (m *Mesh) Start(config any) error {
	m.Store.Put("op/config", config)
	for i, x := range m.Machines {
		if i != m.Later {
			if err := m.Instances[i].Start(); err != nil {
				return err
			}
		}
		if err := x.Start(false); err != nil {
			return err
		}
	}
	end := time.Now().Add(20 * time.Second)
	for _, x := range m.Machines {
		for !x.Ready() {
			if time.Now().After(end) {
				return ErrNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	m.Recorder.Printf("all processes are ready")
	return nil
}

// Close ends all processes.
func (m *Mesh) Close() {
	if _, open := started.LoadAndDelete(m); !open {
		return
	}
	for _, x := range m.Machines {
		x.Kill()
	}
	m.Store.Close()
	m.Recorder.Close()
	_ = os.RemoveAll(m.dir)
}

// Route returns a resource of kind routes.
func Route(name, host, prefix, kind, service string, timeoutS float64, public bool) map[string]any {
	return resource("routes", name, map[string]any{
		"host": host, "pathPrefix": prefix, "type": kind, "timeoutS": timeoutS, "targetLatencyS": timeoutS / 2, "priority": 1,
		"service": service, "maxAttempts": 2, "public": public,
	})
}

// Service returns a resource of kind services.
func Service(name string) map[string]any {
	return resource("services", name, map[string]any{"healthPath": "/health", "maxConnections": 130, "coldStartS": 3.0, "coldPerS": 43.0})
}

// Tenant returns a resource of kind tenants.
func Tenant(name, key string, ratePerS, burst float64) map[string]any {
	return resource("tenants", name, map[string]any{"apiKeys": []string{key}, "priority": 1, "ratePerS": ratePerS, "burst": burst})
}

// Limits returns the resource of kind limits.
func Limits() map[string]any {
	return resource("limits", "", map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15})
}

// Config returns a configuration.
func Config(version int, resources ...map[string]any) map[string]any {
	return map[string]any{"version": version, "resources": resources}
}

func resource(kind, name string, spec map[string]any) map[string]any {
	metadata := map[string]any{}
	if name != "" {
		metadata["name"] = name
	}
	return map[string]any{"resourceKind": kind, "metadata": metadata, "spec": spec}
}

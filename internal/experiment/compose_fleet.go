package experiment

import (
	"context"
	"time"

	"quetzaldock.example/quetzaldock/internal/standin"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// nodeStartTime is how long a process takes to start again after it died.
const nodeStartTime = 200 * time.Millisecond

// fleet returns the functions that experiments use.
func (c *composition) fleet() *Fleet {
	f := &Fleet{
		Caller:  func(id string) string { return c.byID[id].settings.CallerAddress },
		Backend: func(id string) string { return c.byID[id].backend.Address() },
		Version: func(id string) (uint64, int) {
			m := c.byID[id]
			return m.version.Load(), int(m.life.Load())
		},
		ControlBytes: func(id string) uint64 {
			s := c.byID[id].status(context.Background()).Control
			return uint64(s.BytesIn + s.BytesOut)
		},
		BackendStats: func(id string) standin.BackendStats { return c.byID[id].backend.Stats() },
		SourceCounts: c.platform.ReadCounts,
		Executions:   c.executions,
		Publish:      c.platform.Publish,
		Source:       c.platform.SetReadFault,
		CrossNext: func() error {
			c.platform.SetPublicationOrder(standin.ManifestFirst, crossedFor)
			return nil
		},
		RestartBackend: func(id string) error { return c.byID[id].backend.Restart() },
		RestartBackends: func() error {
			return c.each(func(m *member) error { return m.backend.Restart() })
		},
		SilenceBackend: func(id string) error {
			c.byID[id].backend.SilenceConnections()
			return nil
		},
		KillNode:     c.kill,
		StartNode:    c.startNode,
		StopNode:     c.stopNode,
		RestartNodes: c.restartNodes,
		Close:        c.close,
	}
	if c.network != nil {
		f.PartitionZone = func(zone string, on bool) error {
			c.network.partition(zone, on)
			return nil
		}
		f.SilencePeers = func() error {
			c.network.silence()
			return nil
		}
	}
	return f
}

// crossedFor is how long a crossed publication lacks its parts.
const crossedFor = 800 * time.Millisecond

func (c *composition) kill(id string) error {
	c.list(id, "")
	return c.byID[id].stop(killStopMs)
}

func (c *composition) startNode(id string) error {
	if err := c.byID[id].start(); err != nil {
		return err
	}
	c.list(id, hosts.Live)
	return nil
}

// stopNode is a planned stop: the platform lists the host as leaving, and off
// the list once it is gone. The backend server starts anew before the node
// comes back.
func (c *composition) stopNode(id string) error {
	c.list(id, hosts.Leaving)
	if err := c.byID[id].stop(plannedStopMs); err != nil {
		return err
	}
	c.list(id, "")
	return c.byID[id].backend.Restart()
}

func (c *composition) restartNodes() error {
	if err := c.each(func(m *member) error { return m.stop(killStopMs) }); err != nil {
		return err
	}
	time.Sleep(nodeStartTime)
	return c.each((*member).start)
}

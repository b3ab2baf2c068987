package experiment

import (
	"context"
	"time"

	"quetzaldock.example/quetzaldock/internal/standin"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// nodeRestartTime is the time between the end of the nodes and their new start
// in RestartNodes. A process takes about that long to start again after it died.
const nodeRestartTime = 200 * time.Millisecond

// asFleet returns the functions through which a Run uses the fleet.
func (f *localFleet) asFleet() *Fleet {
	out := &Fleet{
		CallerAddressOf:  func(id string) string { return f.byID[id].settings.CallerAddress },
		BackendAddressOf: func(id string) string { return f.byID[id].backend.Address() },
		Version: func(id string) (uint64, int) {
			m := f.byID[id]
			return m.version.Load(), int(m.incarnation.Load())
		},
		ControlBytes: func(id string) uint64 {
			s := f.byID[id].status(context.Background()).Control
			return uint64(s.BytesIn + s.BytesOut)
		},
		BackendStats:   func(id string) standin.BackendStats { return f.byID[id].backend.Stats() },
		SourceCounts:   f.configService.ReadCounts,
		Executions:     f.executions,
		Publish:        f.configService.Publish,
		SetSourceFault: f.configService.SetReadFault,
		DelayParts: func() error {
			f.configService.SetPublicationOrder(standin.ManifestFirst, partsDelay)
			return nil
		},
		RestartBackend: func(id string) error { return f.byID[id].backend.Restart() },
		RestartBackends: func() error {
			return f.forEachMember(func(m *member) error { return m.backend.Restart() })
		},
		SilenceBackend: func(id string) error {
			f.byID[id].backend.SilenceConnections()
			return nil
		},
		KillNode:     f.killNode,
		StartNode:    f.startNode,
		StopNode:     f.stopNode,
		RestartNodes: f.restartNodes,
		Close:        f.close,
	}
	if f.network != nil {
		out.PartitionZone = func(zone string, on bool) error {
			f.network.partition(zone, on)
			return nil
		}
		out.SilencePeers = func() error {
			f.network.silenceOpen()
			return nil
		}
	}
	return out
}

// partsDelay is how long after the manifest its parts become visible under
// DelayParts.
const partsDelay = 800 * time.Millisecond

func (f *localFleet) killNode(id string) error {
	f.setListedState(id, "")
	return f.byID[id].stop(killStopMs)
}

func (f *localFleet) startNode(id string) error {
	if err := f.byID[id].start(); err != nil {
		return err
	}
	f.setListedState(id, hosts.Live)
	return nil
}

// stopNode makes a planned stop. The host list shows the host as leaving, and no
// longer contains it after the node has ended. Then the backend server restarts.
func (f *localFleet) stopNode(id string) error {
	f.setListedState(id, hosts.Leaving)
	if err := f.byID[id].stop(plannedStopMs); err != nil {
		return err
	}
	f.setListedState(id, "")
	return f.byID[id].backend.Restart()
}

func (f *localFleet) restartNodes() error {
	if err := f.forEachMember(func(m *member) error { return m.stop(killStopMs) }); err != nil {
		return err
	}
	time.Sleep(nodeRestartTime)
	return f.forEachMember((*member).start)
}
